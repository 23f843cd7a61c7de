/**
 * Runs of workers that are no longer known, or that have started again.
 */

import type { CalledWorker, StageTask } from '../../../types/jobs.js'
import { NO_RESOURCES } from '../../../types/resources.js'
import { RunStatus, type WorkerView } from '../workers/worker-view.js'

/**
 * Passes the runs of a former incarnation on to its successor, which carries out orders that were sent to the former one
 * until its first list. What that list does not name cannot start any more.
 */
export function passOnRuns (former: WorkerView, successor: WorkerView): void {
  for (const run of [...former.runs.values()]) {
    former.remove(run.task)
    // An orphan that counts against the cap of an account counts until the successor has listed its runs.
    if (run.isOrphan && run.charge === undefined) continue
    successor.add({ ...run, status: RunStatus.inherited, confirmedAt: 0, resendWaitStartsAt: 0, progress: undefined, startedClockMs: undefined, isCrashCounted: true, listedAt: undefined, missingSince: undefined })
  }
}

/** Id of the view that keeps the runs of an incarnation that is no longer known. */
export function formatFormerWorker (worker: string, incarnation: number): string {
  return `${worker}#${incarnation}`
}

/** A placeholder for a worker that is no longer known; it has no address and gets no work. */
export function createUnknownWorker (id: string, task: StageTask): CalledWorker {
  return {
    id,
    incarnation: task.incarnation,
    address: '',
    service: '',
    availabilityZone: '',
    rack: '',
    labels: [],
    capacity: NO_RESOURCES,
    isDraining: true,
    hasLeft: false
  }
}
