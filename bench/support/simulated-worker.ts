/**
 * A simulated worker: its active runs, and the ended runs that the leader has not
 * acknowledged.
 */

import type { CalledWorker, EndedRun, ReportedRun } from '../../packages/scheduler/src/index.js'

/**
 * A run on a worker. `workMs` is the whole run time of its task, including the restore of a
 * checkpoint, of which `doneMs` were done by the checkpoint from which the run resumed; `gang` is the key of its stage, empty unless the
 * stage is a gang.
 */
export interface ActiveRun { progress: ReportedRun, workMs: number, doneMs: number, workingSince: number, fails: boolean, gang: string, isStopping: boolean }

export class WorkerModel {
  readonly active = new Map<string, ActiveRun>()
  ended: EndedRun[] = []
  lastEndNumber = 0
  private constructor (readonly facts: CalledWorker) {}

  static create (facts: CalledWorker): WorkerModel {
    return new WorkerModel(facts)
  }
}
