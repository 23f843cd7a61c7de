/**
 * Requests to services and their outcomes.
 */

import type { Urgency } from './workloads.js'

export const OutcomeKind = Object.freeze({
  /** The request ran; the body is its complete answer, or empty when there was no room to keep it. */
  done: 'done',
  notRun: 'notRun',
  /** The request may have run. */
  unknown: 'unknown',
  /** The request was cancelled before it ran. */
  cancelled: 'cancelled',
  /** The request is still waiting or running. */
  pending: 'pending'
} as const)
export type OutcomeKind = typeof OutcomeKind[keyof typeof OutcomeKind]

export interface Outcome {
  kind: OutcomeKind
  body: Uint8Array
  /** SHA-256 of the body in hexadecimal, also when the body was not kept; empty when there never was one. */
  digest: string
  reason: string
  /** Milliseconds after which a retry is worthwhile; 0 when a retry is pointless. */
  retryAfterMs: number
}

/** The attributes of a request that the leader needs; the payload stays at the entry. */
export interface RequestFacts {
  caller: string
  requestId: string
  service: string
  idempotent: boolean
  urgency: Urgency
  /** Remaining time in milliseconds that the caller waits, counted from the arrival at the leader. */
  deadlineMs: number
  /** SHA-256 of service, flags and payload; distinguishes a repeat from a conflicting use of the request id. */
  digest: string
  /**
   * When the caller first made the request, in Unix milliseconds by its own
   * clock; 0 when the caller does not state it. A repeat carries the same value.
   */
  createdMs: number
  /** Identifies one process of an entry; a restarted entry has another instance. */
  instance: string
  /**
   * Identifies one execution of Submit. An acquire event with a token implies
   * that this execution has no grant for the request, unless it sent a later one.
   */
  token: string
  /** Number of the acquire event among those of this execution, counted from 1. */
  attempt: number
}

/** The durable record of a request that must not run twice. */
export interface RequestState {
  caller: string
  requestId: string
  digest: string
  service: string
  /** Runner that may have run the request; empty when it was settled without a grant. */
  runner: string
  session: string
  /** Id of the grant; empty when the request was settled without one. */
  grant: string
  /** Process of the entry that received the grant; empty when the request was settled without one. */
  instance: string
  /** Execution of Submit that asked for the grant; see `RequestFacts`. */
  token: string
  /** Acquire event that asked for the grant; see `RequestFacts`. */
  attempt: number
  /** See `RequestFacts`. */
  createdMs: number
  /** Cluster time in milliseconds until which the runner may work on the request. */
  expiresAt: number
  outcome: Outcome
  /** Cluster time in milliseconds. */
  claimedAt: number
  /** Cluster time in milliseconds; 0 while the outcome is pending. */
  settledAt: number
}

/** Permission for one entry to send one request to one slot of one runner. */
export interface Grant {
  /** Unique across all terms. */
  id: string
  runner: string
  address: string
  session: string
  slot: number
  /** Fencing token of the runner's session. */
  fence: number
  /** Milliseconds for which the entry may use the slot, counted from the receipt of the grant. */
  expiresInMs: number
  /** Connections that this entry may keep open to the runner. */
  connections: number
}

/** A grant in use, as an entry reports it to a new leader. */
export interface ReportedGrant {
  id: string
  runner: string
  slot: number
  caller: string
  requestId: string
  /** Milliseconds until the runner must have finished the request. */
  expiresInMs: number
}

/** Report of an entry to a leader: sent before its first request to that leader and after each reconnection. */
export interface EntryReport {
  instance: string
  /** Number of the report among those of this process, counted from 1. */
  sequence: number
  grants: ReportedGrant[]
  /** Tokens of all requests in progress at the entry; an answer in transit may still bring a grant for any of them. */
  tokens: string[]
}

/** The durable state of one process of an entry; a new leader reads from it how long the process may use its grants. */
export interface EntryState {
  instance: string
  /** Cluster time in milliseconds after which none of its grants is in use. */
  horizon: number
}
