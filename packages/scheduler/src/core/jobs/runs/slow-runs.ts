/**
 * Stops runs that are stalled or much too slow, so that they are started elsewhere.
 */

import type { StagedJob } from '../../../types/jobs.js'
import type { Step } from '../../step.js'
import type { StragglerPolicy } from '../run-times/straggler-policy.js'
import type { Run, WorkerView } from '../workers/worker-view.js'
import type { RunOrders } from './run-orders.js'

/** Run number above which a slow run is no longer restarted elsewhere. */
const SLOW_RESTART_LIMIT = 3

/** Time for which a worker gets no new work after a run on it was found to be too slow. */
const SLOW_COOLDOWN_MS = 3_000

export class SlowRuns {
  private constructor (private readonly orders: RunOrders, private readonly policy: StragglerPolicy) {}

  static create (orders: RunOrders, policy: StragglerPolicy): SlowRuns {
    return new SlowRuns(orders, policy)
  }

  recordProgress (run: Run, percent: number, now: number): void {
    // A run that resumes from a checkpoint does not start at 0 percent.
    if (run.progress === undefined || percent < run.progress.basePercent) run.progress = { baseAt: now, basePercent: percent }
    if (percent > run.percent) run.progress.gainedAt = now
    run.percent = percent
  }

  /**
   * Stops a run that is stalled or too slow; its worker gets no new work for a while. A run that is still to report its
   * first checkpoint is not stopped, since a restart would lose all of its progress.
   */
  stopIfSlow (step: Step, view: WorkerView, run: Run, job: StagedJob): void {
    const stage = job.spec.stages[run.ref.stage]
    const placed = { worker: view.id, run, queue: job.queue, stage }
    this.policy.recordProgress(placed, step.now)
    if (stage.longRunning || stage.fills || run.progress === undefined || run.run > SLOW_RESTART_LIMIT) return
    const reason = this.policy.findReason(placed, step.now)
    if (reason === undefined) return
    view.cooldownUntil = Math.max(view.cooldownUntil, step.now + SLOW_COOLDOWN_MS)
    if (run.checkpoint === '' && stage.checkpoints) return
    this.orders.stopRun(step, view, run, reason)
    if (stage.gang) this.orders.stopGang(step, run)
  }
}
