/**
 * Time limits and sizes that the scheduler works with. All times are in
 * milliseconds.
 */

export interface Limits {
  /** How long a session lives after a renewal. */
  leaseMs: number
  renewEveryMs: number
  /** How far two clocks may drift apart within one lease. */
  driftMs: number
  /** After how long commands without an answer are sent again. */
  resendMs: number
  /** How long a task may take to stop or to checkpoint. */
  stopGraceMs: number
  /** First delay before a failed task is tried again; doubled by each further failure. */
  backoffBaseMs: number
  backoffMaxMs: number
  /** A service task that ran as long as this starts to count its failures anew. */
  stableRunMs: number
  /** How long the outcome of a request is kept. */
  retentionMs: number
  /** Requests that may wait in the queue of one service. */
  queueLimit: number
  /** Durable records of requests that are not idempotent. */
  requestLimit: number
  /** Fingerprints of forgotten requests that had no time of their own. */
  forgottenLimit: number
  /** Bytes of bodies kept with those records. */
  bodyLimit: number
  /** Outcomes of idempotent requests kept in memory. */
  recentLimit: number
  /** Entries over which the connections of a runner are divided. */
  entryLimit: number
  /** How long after its deadline a request may still occupy its slot. */
  lateMs: number
  /** Ended workloads that are kept for reading. */
  endedLimit: number
  /** Audit entries kept in the state. */
  auditLimit: number
}

export const DEFAULT_LIMITS: Readonly<Limits> = Object.freeze({
  leaseMs: 5_000,
  renewEveryMs: 1_000,
  driftMs: 500,
  resendMs: 500,
  stopGraceMs: 2_000,
  backoffBaseMs: 250,
  backoffMaxMs: 60_000,
  stableRunMs: 60_000,
  retentionMs: 600_000,
  queueLimit: 10_000,
  requestLimit: 20_000,
  forgottenLimit: 50_000,
  bodyLimit: 16_777_216,
  recentLimit: 2_000,
  entryLimit: 16,
  lateMs: 2_000,
  endedLimit: 10_000,
  auditLimit: 20_000
})
