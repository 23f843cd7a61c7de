/**
 * Requests to services and their outcomes.
 */

import type { Urgency } from './workloads.js'

export const OutcomeKind = Object.freeze({
  done: 'done',
  notRun: 'notRun',
  unknown: 'unknown',
  cancelled: 'cancelled',
  pending: 'pending'
} as const)
export type OutcomeKind = typeof OutcomeKind[keyof typeof OutcomeKind]

export interface Outcome {
  kind: OutcomeKind
  body: Uint8Array
  /** SHA-256 of the body in hexadecimal; empty without a body. */
  digest: string
  reason: string
  /** Milliseconds; 0 when coming back is no use. */
  retryAfterMs: number
}

/** What the leader needs to know of a request; the payload stays at the entry. */
export interface RequestFacts {
  caller: string
  requestId: string
  service: string
  idempotent: boolean
  urgency: Urgency
  /** Milliseconds that the caller still waits, from the arrival at the leader. */
  deadlineMs: number
  /** SHA-256 of service, flags and payload: tells a repeat from a conflict. */
  digest: string
  /**
   * When the caller first made the request, in Unix milliseconds by its own
   * clock; 0 when it does not say. A repeat carries the same value.
   */
  createdMs: number
  /** Names one process of an entry, from its start to its end. */
  instance: string
  /**
   * Names one execution of Submit. An acquire with a token says that this
   * execution holds no grant for the request.
   */
  token: string
}

/** The durable record of a request that must not run twice. */
export interface RequestState {
  caller: string
  requestId: string
  digest: string
  service: string
  /** Runner that may have run it; empty when it was settled unclaimed. */
  runner: string
  session: string
  /** Identity of the grant; empty when it was settled unclaimed. */
  grant: string
  /** Instance and token that hold the grant. */
  instance: string
  token: string
  /** See RequestFacts. */
  createdMs: number
  /** Cluster time in milliseconds until which the runner may work on it. */
  expiresAt: number
  outcome: Outcome
  /** Cluster time in milliseconds. */
  claimedAt: number
  settledAt: number
}

/** Permission for one entry to send one request to one slot of one runner. */
export interface Grant {
  /** Unique over all terms. */
  id: string
  runner: string
  address: string
  session: string
  slot: number
  fence: number
  /** Milliseconds that the entry may use the slot, from its receipt. */
  expiresInMs: number
  /** Connections that this entry may keep open to the runner. */
  connections: number
}

/** A grant in use, as an entry reports it to a new leader. */
export interface HeldGrant {
  id: string
  runner: string
  slot: number
  caller: string
  requestId: string
  /** Milliseconds until the runner has to be done with it. */
  expiresInMs: number
}

/** What an entry tells a leader before it asks for anything, and whenever it finds it again. */
export interface EntryReport {
  instance: string
  grants: HeldGrant[]
  /** Tokens of all requests that it still works on; any of them may get a grant from an answer on its way. */
  tokens: string[]
}

/** What the durable state holds of one process of an entry, so that a new leader knows whom to wait for. */
export interface EntryState {
  instance: string
  /** Cluster time in milliseconds after which none of its grants is in use. */
  horizon: number
}
