/**
 * The placement strategies that a policy can select.
 */

import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import { StrategyName } from './policy.js'
import { RESOURCE_DIMENSIONS } from './resource-arithmetic.js'
import { findTightestFits, Strategy } from './strategy.js'
import type { Worker } from './worker.js'

/** Number of workers with a tight fit among which `BestFit` and `Balance` choose the best. */
const CANDIDATE_LIMIT = 8

/** Chooses the first worker with enough free resources, in order of arrival. Benchmarks compare the other strategies with it. */
export class FirstFit extends Strategy {
  override readonly name = StrategyName.firstFit

  private constructor () {
    super()
  }

  static create (): FirstFit {
    return new FirstFit()
  }

  override find (demand: Demand, fleet: Fleet): Worker | undefined {
    return fleet.tournamentTree.findFirst(demand.need, worker => demand.isWorkerAllowed(worker))
  }

  override computeCost (worker: Worker): number {
    return worker.order
  }
}

/** Chooses the worker with the least free amount in the scarcest dimension, which packs batch work tightly. */
export class BestFit extends Strategy {
  override readonly name = StrategyName.bestFit

  private constructor () {
    super()
  }

  static create (): BestFit {
    return new BestFit()
  }

  override find (demand: Demand, fleet: Fleet): Worker | undefined {
    return this.chooseBest(findTightestFits(demand, fleet, CANDIDATE_LIMIT), demand, fleet)
  }

  override computeCost (worker: Worker, demand: Demand, fleet: Fleet): number {
    const scarcest = RESOURCE_DIMENSIONS[fleet.findScarcestDimension(demand.need)]
    return worker.free[scarcest]
  }
}

/**
 * Keeps the free resources balanced over the dimensions, so that none is left unusable:
 * minimises the sum of squares of the remaining shares, weighted by the scarcity of the
 * dimension (Panigrahy et al., Heuristics for vector bin packing, 2011).
 */
export class Balance extends Strategy {
  override readonly name = StrategyName.balance

  private constructor () {
    super()
  }

  static create (): Balance {
    return new Balance()
  }

  override find (demand: Demand, fleet: Fleet): Worker | undefined {
    return this.chooseBest(findTightestFits(demand, fleet, CANDIDATE_LIMIT), demand, fleet)
  }

  override computeCost (worker: Worker, demand: Demand, fleet: Fleet): number {
    let sum = 0
    for (const dimension of RESOURCE_DIMENSIONS) {
      const capacity = worker.target.capacity[dimension]
      if (capacity === 0) continue
      const remaining = (worker.free[dimension] - demand.need[dimension]) / capacity
      const scarcity = 1 - fleet.totalFree[dimension] / fleet.totalCapacity[dimension]
      sum += scarcity * remaining * remaining
    }
    return sum
  }
}

/** Chooses the availability zone, then the rack, then the VM with the fewest tasks of the workload. */
export class Spread extends Strategy {
  override readonly name = StrategyName.spread

  private constructor () {
    super()
  }

  static create (): Spread {
    return new Spread()
  }

  override find (demand: Demand, fleet: Fleet): Worker | undefined {
    const zones = Array.from(fleet.racksByZone).sort(([one], [other]) => demand.countInZone(one) - demand.countInZone(other))
    for (const [, racks] of zones) {
      const worker = this.findInZone(racks, demand, fleet)
      if (worker !== undefined) return worker
    }
    return undefined
  }

  override computeCost (worker: Worker, demand: Demand): number {
    const { vm, rack, availabilityZone, capacity } = worker.target
    const load = 1 - worker.free.millicores / Math.max(1, capacity.millicores)
    return demand.countInZone(availabilityZone) * ZONE_WEIGHT +
      demand.countInRack(rack) * RACK_WEIGHT +
      demand.countOnVm(vm) * VM_WEIGHT + load
  }

  private findInZone (racks: ReadonlyMap<string, Worker[]>, demand: Demand, fleet: Fleet): Worker | undefined {
    const ordered = Array.from(racks).sort(([one], [other]) => demand.countInRack(one) - demand.countInRack(other))
    for (const [, workers] of ordered) {
      const candidates = workers.filter(worker => worker.hasFreeResources(demand.need) && demand.isWorkerAllowed(worker))
      if (candidates.length > 0) return this.chooseBest(candidates, demand, fleet)
    }
    return undefined
  }
}

/**
 * Costs of one task of the workload in the same availability zone, in the same rack and on the
 * same VM. A task in the zone costs as much as 100,000 tasks in the rack, and a task in the rack
 * as much as 10,000 tasks on the VM. The load of the worker costs at most 1 and decides between
 * workers with the same number of tasks.
 */
const ZONE_WEIGHT = 1e10
const RACK_WEIGHT = 1e5
const VM_WEIGHT = 10

const STRATEGIES: Readonly<Record<StrategyName, Strategy>> = Object.freeze({
  [StrategyName.firstFit]: FirstFit.create(),
  [StrategyName.bestFit]: BestFit.create(),
  [StrategyName.balance]: Balance.create(),
  [StrategyName.spread]: Spread.create()
})

export function getStrategy (name: StrategyName): Strategy {
  return STRATEGIES[name]
}
