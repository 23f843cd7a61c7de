/**
 * When nothing can run any more on a worker that this leader has not reached. The leader
 * never read the clock of that worker, so it cannot tell when a lease ends there; it only
 * knows the longest lease that any leader grants, and until when one may have granted it.
 */

import { RunStatus, type WorkerView } from '../workers/worker-view.js'

/** Bound on how much slower the clock of a worker may run than cluster time, as a share. */
const CLOCK_DRIFT = 0.02

/** Time after the start of a leader in which orders of the previous one may still extend leases, in milliseconds. */
const PREVIOUS_LEADER_MS = 3_000

export class UnreachedLeases {
  private constructor (
    /** Time after which no lease remains, in milliseconds of cluster time. */
    readonly longestMs: number
  ) {}

  /** `runLeaseMs` is the longest lease that a worker grants to its runs, in milliseconds of its clock. */
  static create (runLeaseMs: number): UnreachedLeases {
    return new UnreachedLeases(runLeaseMs / (1 - CLOCK_DRIFT) + PREVIOUS_LEADER_MS)
  }

  /**
   * True when no lease can remain on a worker, counted from when this leader learned of it and from the last start that it
   * ordered there. Inherited runs were placed before.
   */
  areOver (view: WorkerView, now: number): boolean {
    const placedAt = [...view.runs.values()].map(run => run.status === RunStatus.inherited ? 0 : run.placedAt)
    return now - Math.max(view.unreachedSince, ...placedAt) > this.longestMs
  }

  /** True when the worker has not reported itself for as long as a lease may last. */
  isWithoutSign (view: WorkerView, now: number): boolean {
    return now - view.lastSignAt > this.longestMs
  }
}
