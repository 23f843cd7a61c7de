/**
 * Holds: room kept on workers for waiting tasks of one demand, whether it is
 * free already or still in use by tasks that end first. Nobody else takes held
 * room, so what was freed for a task can't be lost to another.
 */

import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { Hold, Worker } from './worker.js'

export class Holds {
  /** Demands whose held room may be free by now. */
  private readonly toTry = new Set<Demand>()

  private constructor (private readonly fleet: Fleet) {}

  static create (fleet: Fleet): Holds {
    return new Holds(fleet)
  }

  /** Keeps room on a worker for one more task. */
  keep (owner: Demand, worker: Worker): void {
    const hold = owner.holds.get(worker)
    if (hold === undefined) owner.holds.set(worker, this.fleet.hold(owner, worker, 1))
    else this.fleet.changeHold(hold, 1)
    owner.heldCount += 1
    owner.countPlace(worker, 1)
    this.toTry.add(owner)
  }

  /** Gives back the room of one task. */
  release (hold: Hold): void {
    const { owner, worker } = hold
    this.fleet.changeHold(hold, -1)
    if (hold.count === 0) owner.holds.delete(worker)
    owner.heldCount -= 1
    owner.countPlace(worker, -1)
  }

  releaseAll (owner: Demand): void {
    for (const hold of Array.from(owner.holds.values())) {
      while (hold.count > 0) this.release(hold)
    }
  }

  /** Gives back room for which no task waits any more. */
  trim (owner: Demand): void {
    for (const hold of Array.from(owner.holds.values()).reverse()) {
      while (hold.count > 0 && owner.heldCount > owner.waitingCount) this.release(hold)
    }
  }

  /** Gives back what is held on a worker that takes no work; returns whose it was. */
  releaseWorker (worker: Worker): Demand[] {
    const owners = worker.holds.map(hold => hold.owner)
    for (const hold of Array.from(worker.holds)) {
      while (hold.count > 0) this.release(hold)
    }
    return owners
  }

  /** Notes that room became free on a worker. */
  addRoom (worker: Worker): void {
    for (const hold of worker.holds) this.toTry.add(hold.owner)
  }

  /** The demands to try; each call empties the list. */
  takeToTry (): Demand[] {
    if (this.toTry.size === 0) return []
    const demands = Array.from(this.toTry)
    this.toTry.clear()
    return demands
  }
}
