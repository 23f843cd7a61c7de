/**
 * Time and size limits of the scheduler. All times are in milliseconds. A property
 * whose name ends in `Limit` is the largest number of what its comment names.
 */

export interface Limits {
  /** How long a session stays valid after a renewal. */
  leaseMs: number
  renewEveryMs: number
  /** Bound on the drift between two clocks within one lease. */
  driftMs: number
  /** Interval at which unanswered commands are sent again. */
  resendMs: number
  /** Grace period for a task to stop or to checkpoint. */
  stopGraceMs: number
  /** Delay before the first retry of a failed task; doubled after each further failure. */
  backoffBaseMs: number
  backoffMaxMs: number
  /** Run time after which the failure count of a service task is reset. */
  stableRunMs: number
  /** How long the outcome of a request or of a change is kept. */
  retentionMs: number
  /** Requests that may wait in the queue of one service. */
  queueLimit: number
  /** Durable records of requests that are not idempotent. */
  requestLimit: number
  /** Fingerprints of requests that had no creation time and whose records were removed. */
  forgottenLimit: number
  /** Bytes of response bodies kept with the durable records, in total. */
  bodyLimit: number
  /** Outcomes of idempotent requests kept in memory. */
  recentLimit: number
  /** Entries of the cluster; the connections of a runner are divided by this number. */
  entryLimit: number
  /** How long after its deadline a request may still use its slot. */
  lateMs: number
  /** Ended workloads that are kept for queries. */
  endedLimit: number
  /** Audit entries kept in the state. */
  auditLimit: number
  /** Ids of unknown jobs that were cancelled and whose submission would be refused. */
  cancelledIdLimit: number
  /** Longest lease that a called worker grants to its runs, on its own clock. */
  runLeaseMs: number
  /** Estimate run times from finished runs, and tell long tasks from slow workers. */
  learntRunTimes: boolean
  /** Share of its cap by which an account may exceed it at most; only for the check of gangs that are wider than the cap. */
  accountOverage: number
  /** Window over which the jobs of an account are counted against its weight. */
  accountWindowMs: number
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
  auditLimit: 20_000,
  cancelledIdLimit: 50_000,
  runLeaseMs: 6_000,
  learntRunTimes: false,
  accountOverage: 0.1,
  accountWindowMs: 5_000
})
