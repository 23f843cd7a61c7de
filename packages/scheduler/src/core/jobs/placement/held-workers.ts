/**
 * On which workers one pass holds capacity back for work that waits until other runs
 * end. In a cell that is in little use such work would keep all other work waiting
 * although most capacity is idle, and for as long as the longest run lasts. So at most
 * half of the workers are held until half of the capacity is in use.
 */

import type { WorkerView } from '../workers/worker-view.js'
import type { Candidate } from './candidate.js'

/** Share of the processor capacity of a service in use from which any number of its workers may be held. */
const BUSY_SHARE = 0.5

/** Share of the workers of a service that may be held while less is in use. */
const HELD_SHARE = 0.5

interface ServiceHolds { held: Set<string>, limit: number }

export class HeldWorkers {
  private readonly services = new Map<string, ServiceHolds>()

  private constructor (private readonly candidates: readonly Candidate[]) {}

  static create (candidates: readonly Candidate[]): HeldWorkers {
    return new HeldWorkers(candidates)
  }

  /** Holds a worker unless it would be one too many; returns whether it is held. */
  hold ({ id, worker: { service } }: WorkerView): boolean {
    let holds = this.services.get(service)
    if (holds === undefined) this.services.set(service, holds = { held: new Set(), limit: this.computeLimit(service) })
    if (holds.held.size < holds.limit) holds.held.add(id)
    return holds.held.has(id)
  }

  private computeLimit (service: string): number {
    let workers = 0
    let free = 0
    let capacity = 0
    for (const { view } of this.candidates) {
      if (view.worker.service !== service) continue
      workers += 1
      free += view.freeMillicores
      capacity += view.worker.capacity.millicores
    }
    return capacity - free >= BUSY_SHARE * capacity ? workers : Math.floor(HELD_SHARE * workers)
  }
}
