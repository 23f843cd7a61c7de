/**
 * Resource holds: resources on workers that are set aside for waiting tasks of
 * one demand, whether they are free or still in use by tasks that will end. No
 * other demand can use held resources, so resources that were freed for a task
 * cannot be taken by another one.
 */

import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { ResourceHold, Worker } from './worker.js'

export class ResourceHolds {
  /** Demands whose held resources may have become free. */
  private readonly startCandidates = new Set<Demand>()

  private constructor (private readonly fleet: Fleet) {}

  static create (fleet: Fleet): ResourceHolds {
    return new ResourceHolds(fleet)
  }

  /** Holds resources on a worker for one more task of a demand. */
  holdForTask (owner: Demand, worker: Worker): void {
    const hold = owner.holds.get(worker)
    if (hold === undefined) owner.holds.set(worker, this.fleet.createHold(owner, worker, 1))
    else this.fleet.adjustHoldCount(hold, 1)
    owner.heldTaskCount += 1
    owner.adjustTaskCounts(worker, 1)
    this.startCandidates.add(owner)
  }

  /** Releases the resources that a hold has for one task. */
  releaseTask (hold: ResourceHold): void {
    const { owner, worker } = hold
    this.fleet.adjustHoldCount(hold, -1)
    if (hold.count === 0) owner.holds.delete(worker)
    owner.heldTaskCount -= 1
    owner.adjustTaskCounts(worker, -1)
  }

  /** Releases all resources held for a demand. */
  releaseAll (owner: Demand): void {
    for (const hold of Array.from(owner.holds.values())) {
      while (hold.count > 0) this.releaseTask(hold)
    }
  }

  /** Releases holds in excess of the waiting tasks of a demand, most recent first. */
  releaseExcess (owner: Demand): void {
    for (const hold of Array.from(owner.holds.values()).reverse()) {
      while (hold.count > 0 && owner.heldTaskCount > owner.waitingCount) this.releaseTask(hold)
    }
  }

  /** Releases all holds on a worker that is not usable; returns the demands that had one. */
  releaseWorker (worker: Worker): Demand[] {
    const owners = worker.holds.map(hold => hold.owner)
    for (const hold of Array.from(worker.holds)) {
      while (hold.count > 0) this.releaseTask(hold)
    }
    return owners
  }

  /** Adds the demands with a hold on a worker whose free resources increased. */
  addStartCandidates (worker: Worker): void {
    for (const hold of worker.holds) this.startCandidates.add(hold.owner)
  }

  /** The demands whose held resources may suffice to start tasks; each call clears the set. */
  takeStartCandidates (): Demand[] {
    if (this.startCandidates.size === 0) return []
    const demands = Array.from(this.startCandidates)
    this.startCandidates.clear()
    return demands
  }
}
