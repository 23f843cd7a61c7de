/**
 * A strategy chooses the worker for one task. The policy of the workload
 * selects the strategy. Each strategy searches the indexes of the fleet instead
 * of all workers.
 */

import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { StrategyName } from './policy.js'
import type { Worker } from './worker.js'

export abstract class Strategy {
  abstract readonly name: StrategyName

  /** A worker that the demand allows and that has enough free resources for one task; undefined when there is none. */
  abstract find (demand: Demand, fleet: Fleet): Worker | undefined

  /** The cost of placing the task on a worker with enough free resources, by which `chooseBest` compares workers. */
  abstract computeCost (worker: Worker, demand: Demand, fleet: Fleet): number

  /**
   * The candidate with the lowest cost; undefined without candidates. All candidates must
   * have enough free resources.
   */
  chooseBest (candidates: readonly Worker[], demand: Demand, fleet: Fleet): Worker | undefined {
    let best: Worker | undefined
    let lowestCost = Infinity
    for (const worker of candidates) {
      const cost = this.computeCost(worker, demand, fleet)
      if (best !== undefined && cost >= lowestCost) continue
      best = worker
      lowestCost = cost
    }
    return best
  }
}

/** At most `limit` allowed workers with enough free resources, approximately the tightest fit first. */
export function findTightestFits (demand: Demand, fleet: Fleet, limit: number): Worker[] {
  const candidates: Worker[] = []
  const { need } = demand
  fleet.visitTightest(need, worker => {
    if (worker.hasFreeResources(need) && demand.isWorkerAllowed(worker)) candidates.push(worker)
    return candidates.length >= limit
  })
  return candidates
}
