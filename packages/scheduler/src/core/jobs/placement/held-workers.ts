/**
 * On which workers one pass holds capacity back for long-running stages that wait until
 * other runs end. Such a stage stays at the head of the order, so in a cell that is in
 * little use it would keep all other work waiting although most capacity is idle, and for
 * as long as the longest run lasts. So at most half of the workers are held for them until
 * half of the capacity is in use. Work that ends is moved back once it is late.
 */

import type { SchedulingUnit } from '../order/scheduling-units.js'
import type { WorkerView } from '../workers/worker-view.js'
import type { Candidate } from './candidate.js'

/** Share of the processor capacity of a service in use from which any number of its workers may be held for them. */
const BUSY_SHARE = 0.5

/** Share of the workers of a service that may be held for long-running stages while less is in use. */
const HELD_SHARE = 0.5

interface ServiceHolds { held: Set<string>, limit: number }

export class HeldWorkers {
  private readonly services = new Map<string, ServiceHolds>()

  private constructor (private readonly candidates: readonly Candidate[]) {}

  static create (candidates: readonly Candidate[]): HeldWorkers {
    return new HeldWorkers(candidates)
  }

  /** Holds a worker for a unit unless it would be one too many; returns whether it is held. */
  hold ({ id, worker: { service } }: WorkerView, { spec }: SchedulingUnit): boolean {
    if (!spec.longRunning) return true
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
