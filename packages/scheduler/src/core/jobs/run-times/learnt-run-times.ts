/**
 * What the leader has learnt about run times and worker speeds, for a cell in which
 * neither can be known in advance.
 */

import type { StageSpec } from '../../../types/jobs.js'
import type { ClusterState } from '../../../types/state.js'
import type { Run } from '../workers/worker-view.js'
import { RunTimeModel, type EstimatedStage } from './run-time-model.js'
import { WorkerSpeeds, type ExpectedWork } from './worker-speeds.js'

export class LearntRunTimes {
  readonly model = RunTimeModel.create()
  readonly speeds = WorkerSpeeds.create()

  private constructor () {}

  static create (): LearntRunTimes {
    return new LearntRunTimes()
  }

  /** A new leader keeps what was committed, and learns the speeds again. */
  reset (state: ClusterState): void {
    this.model.attach(state)
    this.speeds.clear()
  }

  expectWork (queue: string, stage: EstimatedStage): ExpectedWork {
    return { expectedMs: this.model.estimate(queue, stage).expectedMs, deviation: this.model.deviationOf(queue, stage) }
  }

  recordProgress (worker: string, run: Run, queue: string, stage: StageSpec, now: number): void {
    if (stage.gang || stage.longRunning || stage.fills) return
    this.speeds.recordProgress(worker, run, this.expectWork(queue, stage), now)
  }

  /** Takes the end of a run that succeeded; `elapsedMs` is the time that the whole task takes on this worker. */
  recordEnd (worker: string, run: Run, queue: string, stage: StageSpec, elapsedMs: number | undefined, now: number): void {
    if (stage.gang || elapsedMs === undefined || run.progress?.isWhole !== true) return this.speeds.forgetRun(worker, run.task)
    this.speeds.recordEnd(worker, run, elapsedMs, this.expectWork(queue, stage), now)
  }
}
