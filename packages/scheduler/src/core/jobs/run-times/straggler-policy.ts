/**
 * Decides which runs are stopped so that they are started elsewhere. The load to be told
 * apart: workers that turn slow or hang while they appear healthy, and tasks that simply
 * take longer than declared, for which a restart only discards work.
 */

import type { StageSpec } from '../../../types/jobs.js'
import { computeExpectedRunMs } from '../order/queues.js'
import { isStalled, isStuck, isTooSlow } from '../runs/run-progress.js'
import type { Run } from '../workers/worker-view.js'
import type { LearntRunTimes } from './learnt-run-times.js'
import { estimateWhole } from './run-time-model.js'

/** Time that a stop, a new start and the restoration of a checkpoint take, in milliseconds. */
const RESTART_MS = 750

/** Factor by which a restart must end sooner, since the placement may have to wait for capacity. */
const RESTART_GAIN = 1.3

/** Percentage from which a member of a gang may have done its part; it waits for the others, which may take several times as long. */
const FINISHED_PERCENT = 99

/** A run on a worker, with its stage. */
export interface PlacedRun { worker: string, run: Run, queue: string, stage: StageSpec }

export abstract class StragglerPolicy {
  /** Takes the progress that a worker listed for a run. */
  abstract recordProgress (placed: PlacedRun, now: number): void
  /** Why a run is to be stopped, and its worker to get no work for a while; undefined when it is to go on. */
  abstract findReason (placed: PlacedRun, now: number): string | undefined
}

/** Stops what would take much longer than the declared time and the mean of its queue suggest. */
export class DeclaredStragglers extends StragglerPolicy {
  private constructor (private readonly meanRunMs: ReadonlyMap<string, number>) {
    super()
  }

  /** `meanRunMs` is the mean run time observed in each queue. */
  static create (meanRunMs: ReadonlyMap<string, number>): DeclaredStragglers {
    return new DeclaredStragglers(meanRunMs)
  }

  recordProgress (): void {}

  findReason ({ run, queue, stage }: PlacedRun, now: number): string | undefined {
    if (run.progress === undefined) return undefined
    const expectedMs = computeExpectedRunMs(stage.estimateMs, this.meanRunMs.get(queue))
    // The members of a gang run at the speed of the slowest one. Restarting all of them rarely saves time, so a gang is
    // stopped only when it makes no progress.
    const isSlow = stage.gang ? isStalled(run.progress, run.percent, now) : isTooSlow(run.progress, run.percent, now, expectedMs)
    if (expectedMs === 0 || !isSlow) return undefined
    return `too slow: at ${run.percent} percent after ${now - run.progress.baseAt} ms`
  }
}

/** Stops what makes no progress, and what would end sooner elsewhere because its worker is slow by the evidence of other runs. */
export class LearntStragglers extends StragglerPolicy {
  private constructor (private readonly learnt: LearntRunTimes) {
    super()
  }

  static create (learnt: LearntRunTimes): LearntStragglers {
    return new LearntStragglers(learnt)
  }

  recordProgress ({ worker, run, queue, stage }: PlacedRun, now: number): void {
    this.learnt.recordProgress(worker, run, queue, stage, now)
  }

  findReason ({ worker, run, queue, stage }: PlacedRun, now: number): string | undefined {
    if (run.progress === undefined || (stage.gang && run.percent >= FINISHED_PERCENT)) return undefined
    const { baseAt, basePercent } = run.progress
    const { expectedMs, upperMs, samples } = this.learnt.estimate(queue, stage)
    if (expectedMs > 0 && isStuck(run.progress, run.percent, now, upperMs)) {
      return `no progress: at ${run.percent} percent after ${now - baseAt} ms, expected ${Math.round(expectedMs)} ms, at most ${Math.round(upperMs)} ms by ${Math.round(samples)} runs`
    }
    // Restarting a whole gang for one slow member discarded far more work in replays than it saved.
    if (stage.gang || expectedMs === 0) return undefined
    const evidence = this.learnt.speeds.findSlowEvidence(worker, run, now)
    if (evidence === undefined) return undefined
    const gained = run.percent - basePercent
    const workMs = estimateWhole(expectedMs, (now - baseAt) * evidence.speed, gained)
    const hereMs = workMs * (100 - run.percent) / 100 / evidence.speed
    // A stop saves a checkpoint if the task has any.
    const elsewhereMs = workMs * (stage.checkpoints ? 100 - run.percent : 100) / 100 + RESTART_MS
    if (hereMs < RESTART_GAIN * elsewhereMs) return undefined
    return `slow worker: at ${run.percent} percent after ${now - baseAt} ms, ${Math.round(hereMs)} ms left here, ${Math.round(elsewhereMs)} ms elsewhere; ` +
      `worker speed ${evidence.speed.toFixed(2)}, usually ${evidence.usualSpeed.toFixed(2)}, by ${evidence.samples} other stages; ` +
      `expected ${Math.round(expectedMs)} ms, at most ${Math.round(upperMs)} ms by ${Math.round(samples)} runs`
  }
}
