/**
 * Stops runs that are stalled or much too slow, so that they are started elsewhere.
 */

import type { StagedJob } from '../../../types/jobs.js'
import type { Step } from '../../step.js'
import { computeExpectedRunMs } from '../order/queues.js'
import type { Run, WorkerView } from '../workers/worker-view.js'
import type { RunOrders } from './run-orders.js'
import { isStalled, isTooSlow } from './run-progress.js'

/** Run number above which a slow run is no longer restarted elsewhere. */
const SLOW_RESTART_LIMIT = 3

/** Time for which a worker gets no new work after a run on it was found to be too slow. */
const SLOW_COOLDOWN_MS = 3_000

export class SlowRuns {
  private constructor (private readonly orders: RunOrders) {}

  static create (orders: RunOrders): SlowRuns {
    return new SlowRuns(orders)
  }

  recordProgress (run: Run, percent: number, now: number): void {
    // A run that resumes from a checkpoint does not start at 0 percent.
    if (run.progress === undefined || percent < run.progress.basePercent) run.progress = { baseAt: now, basePercent: percent }
    run.percent = percent
  }

  /**
   * Stops a run that is stalled or too slow; its worker gets no new work for a while. A run that is still to report its
   * first checkpoint is not stopped, since a restart would lose all of its progress.
   */
  stopIfSlow (step: Step, view: WorkerView, run: Run, job: StagedJob, meanRunMs: number | undefined): void {
    const stage = job.spec.stages[run.ref.stage]
    if (stage.longRunning || stage.fills || run.progress === undefined || run.run > SLOW_RESTART_LIMIT) return
    const expectedMs = computeExpectedRunMs(stage.estimateMs, meanRunMs)
    // The members of a gang run at the speed of the slowest one. Restarting all of them rarely saves time, so a gang is
    // stopped only when it makes no progress.
    const isSlow = stage.gang ? isStalled(run.progress, run.percent, step.now) : isTooSlow(run.progress, run.percent, step.now, expectedMs)
    if (expectedMs === 0 || !isSlow) return
    view.cooldownUntil = Math.max(view.cooldownUntil, step.now + SLOW_COOLDOWN_MS)
    if (run.checkpoint === '' && stage.checkpoints) return
    this.orders.stopRun(step, view, run, `too slow: at ${run.percent} percent after ${step.now - run.progress.baseAt} ms`)
    if (stage.gang) this.orders.stopGang(step, run)
  }
}
