/**
 * Which workers one pass gives to tasks that are suspected to crash workers. Such a task
 * starts on a worker where no other run is in its startup, and nothing else starts there
 * in the same pass, so that a crash tells whether it was the cause. The members of a gang
 * end together and count as one cause, so they may share a worker.
 *
 * A share of the workers bounds how many may be in such use at the same time. A gang
 * starts as a whole, so one gang at a time may take as many as it needs beyond the share.
 */

import type { SchedulingUnit } from '../order/scheduling-units.js'
import type { WorkerView } from '../workers/worker-view.js'
import { fits, isBelowLimit, type Candidate } from './candidate.js'

/**
 * Share of the workers on which a suspected task may be in its startup, or that wait for such a task, at the same time; each
 * of them gets no other work meanwhile, and may crash.
 */
const SUSPECT_WORKER_SHARE = 0.2

/** A worker for a suspected task; until it is calm, a run there may still crash it in its startup, and the task has to wait. */
export interface SuspectWorker { candidate: Candidate, isCalm: boolean }

export class SuspectWorkers {
  private constructor (
    /** Number of workers that the share still allows; negative while a gang exceeds it. */
    private left: number,
    private readonly now: number
  ) {}

  /** `candidateCount` is the number of workers that can take work; `views` are all workers. */
  static create (views: readonly WorkerView[], candidateCount: number, now: number): SuspectWorkers {
    const probedCount = views.reduce((count, view) => !view.isSilent && view.isProbed(now) ? count + 1 : count, 0)
    const allowed = Math.max(1, Math.floor(SUSPECT_WORKER_SHARE * (candidateCount + probedCount)))
    return new SuspectWorkers(allowed - probedCount, now)
  }

  /** True unless the suspected tasks of a gang exceed the share already. */
  get isOpenToGangs (): boolean {
    return this.left >= 0
  }

  /**
   * A worker for a suspected task; if none is calm, the calmest one, which gets no other work in this pass, so that it will be.
   * For a task of a gang the share is not checked: the caller checks `isOpenToGangs` once for the whole gang.
   */
  pick (unit: SchedulingUnit, usable: readonly Candidate[], taskCounts: ReadonlyMap<string, number>): SuspectWorker | undefined {
    const fitting = usable.filter(candidate => fits(candidate.free, unit.spec.resources, unit.spec.fills) && isBelowLimit(candidate, unit, taskCounts))
    const shared = unit.spec.gang ? fitting.find(({ suspectUnit }) => suspectUnit === unit.key) : undefined
    if (shared !== undefined) return { candidate: shared, isCalm: shared.view.countStartups(this.now) === 0 }
    if (!unit.spec.gang && this.left <= 0) return undefined
    const [calmest] = fitting.filter(({ suspectUnit, isChosen }) => suspectUnit === undefined && !isChosen)
      .map(candidate => ({ candidate, startups: candidate.view.countStartups(this.now), runs: candidate.view.runs.size }))
      .sort((one, other) => one.startups - other.startups || one.runs - other.runs)
    if (calmest === undefined) return undefined
    calmest.candidate.suspectUnit = unit.key
    this.left -= 1
    return { candidate: calmest.candidate, isCalm: calmest.startups === 0 }
  }
}
