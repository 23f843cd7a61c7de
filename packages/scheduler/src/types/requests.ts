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
}
