/**
 * A strategy chooses the worker for one task. Which one is used is policy, by
 * workload; each searches the indexes of the fleet rather than all of it.
 */

import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { StrategyName } from './policy.js'
import type { Worker } from './worker.js'

export abstract class Strategy {
  abstract readonly name: StrategyName

  /** A worker with room for one task, or undefined when there is none. */
  abstract find (demand: Demand, fleet: Fleet): Worker | undefined

  /** Rates a worker that has room; the lowest is the best. */
  abstract rate (worker: Worker, demand: Demand, fleet: Fleet): number

  /** The best of a few candidates that have room. */
  choose (candidates: readonly Worker[], demand: Demand, fleet: Fleet): Worker | undefined {
    let best: Worker | undefined
    let lowest = Infinity
    for (const worker of candidates) {
      const rating = this.rate(worker, demand, fleet)
      if (best !== undefined && rating >= lowest) continue
      best = worker
      lowest = rating
    }
    return best
  }
}

/** The first few workers, from the tightest fit on, that have room and are allowed. */
export function findTightest (demand: Demand, fleet: Fleet, most: number): Worker[] {
  const found: Worker[] = []
  const { need } = demand
  fleet.visitTightest(need, worker => {
    if (worker.hasRoom(need) && demand.isAllowed(worker)) found.push(worker)
    return found.length >= most
  })
  return found
}
