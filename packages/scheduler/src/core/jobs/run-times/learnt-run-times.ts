/**
 * What the leader has learnt about run times and worker speeds, for a cell in which
 * neither can be known in advance.
 */

import type { StageSpec } from '../../../types/jobs.js'
import type { ClusterState } from '../../../types/state.js'
import type { RunTimeEstimate } from '../../../types/run-times.js'
import type { Run, WorkerView } from '../workers/worker-view.js'
import { RunTimeModel } from './run-time-model.js'
import { WorkerSpeeds, type ExpectedWork } from './worker-speeds.js'

/** Time for which estimates are kept, in milliseconds; each list of a worker asks for those of all of its runs. */
const ESTIMATE_RETENTION_MS = 500

/** An estimate with the standard deviation of its logarithm. */
export interface StageEstimate extends RunTimeEstimate, ExpectedWork {}

export class LearntRunTimes {
  readonly model = RunTimeModel.create()
  readonly speeds = WorkerSpeeds.create()
  private estimates = new WeakMap<StageSpec, StageEstimate>()
  private estimatesAt = 0

  private constructor () {}

  static create (): LearntRunTimes {
    return new LearntRunTimes()
  }

  /** A new leader keeps what was committed, and learns the speeds again. */
  reset (state: ClusterState, now: number): void {
    this.model.attach(state)
    this.speeds.clear()
    this.forgetEstimates(now)
  }

  tick (state: ClusterState, views: ReadonlyMap<string, WorkerView>, now: number): void {
    this.model.attach(state)
    this.speeds.refresh(now, views)
    if (now - this.estimatesAt >= ESTIMATE_RETENTION_MS) this.forgetEstimates(now)
  }

  /** The estimate for the tasks of a stage of a job; it may be as old as ESTIMATE_RETENTION_MS. */
  estimate (queue: string, stage: StageSpec): StageEstimate {
    let estimate = this.estimates.get(stage)
    if (estimate === undefined) {
      estimate = { ...this.model.estimate(queue, stage), deviation: this.model.deviationOf(queue, stage) }
      this.estimates.set(stage, estimate)
    }
    return estimate
  }

  private forgetEstimates (now: number): void {
    this.estimates = new WeakMap()
    this.estimatesAt = now
  }

  recordProgress (worker: string, run: Run, queue: string, stage: StageSpec, now: number): void {
    if (stage.gang || stage.longRunning || stage.fills) return
    this.speeds.recordProgress(worker, run, this.estimate(queue, stage), now)
  }

  /** Takes the end of a run that succeeded; `elapsedMs` is the time that the whole task takes on this worker. */
  recordEnd (worker: string, run: Run, queue: string, stage: StageSpec, elapsedMs: number | undefined, now: number): void {
    if (stage.gang || elapsedMs === undefined || run.progress?.isWhole !== true) return this.speeds.forgetRun(worker, run.task)
    this.speeds.recordEnd(worker, run, elapsedMs, this.estimate(queue, stage), now)
  }
}
