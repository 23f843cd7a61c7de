/**
 * What a placement pass decides.
 */

import type { SchedulingUnit } from '../order/scheduling-units.js'
import type { Run, WorkerView } from '../workers/worker-view.js'

/** A decision to start one task of a unit on a worker. */
export interface RunPlacement {
  unit: SchedulingUnit
  /** Index of the task in its stage. */
  index: number
  view: WorkerView
  /** Admission ticket; empty when the queue needs none. */
  ticket: string
}

/** A less urgent run that is stopped without loss of progress so that a unit gets capacity. */
export interface RunPreemption {
  view: WorkerView
  run: Run
  unit: SchedulingUnit
}

/** A query to the admission service on which workers may run a unit. */
export interface AdmissionQuery {
  unit: SchedulingUnit
  /** Entry through which the query is sent. */
  entry: string
  /** Ids of the queried workers. */
  workers: string[]
}
