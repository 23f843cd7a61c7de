/**
 * The strategies that a policy can name.
 */

import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import { StrategyName } from './policy.js'
import { DIMENSIONS } from './sizes.js'
import { findTightest, Strategy } from './strategy.js'
import type { Worker } from './worker.js'

/** Candidates among which the best is taken. */
const CANDIDATES = 8

/** Takes the first worker with room, in order of arrival. The baseline. */
export class FirstFit extends Strategy {
  override readonly name = StrategyName.firstFit

  private constructor () {
    super()
  }

  static create (): FirstFit {
    return new FirstFit()
  }

  override find (demand: Demand, fleet: Fleet): Worker | undefined {
    return fleet.tournament.findFirst(demand.need, worker => demand.isAllowed(worker))
  }

  override rate (worker: Worker): number {
    return worker.order
  }
}

/** Leaves the least of the scarcest dimension over, which packs batch work. */
export class BestFit extends Strategy {
  override readonly name = StrategyName.bestFit

  private constructor () {
    super()
  }

  static create (): BestFit {
    return new BestFit()
  }

  override find (demand: Demand, fleet: Fleet): Worker | undefined {
    return this.choose(findTightest(demand, fleet, CANDIDATES), demand, fleet)
  }

  override rate (worker: Worker, demand: Demand, fleet: Fleet): number {
    const scarcest = DIMENSIONS[fleet.findScarcest(demand.need)]
    return worker.free[scarcest]
  }
}

/**
 * Leaves what is over in each dimension in proportion, so that no dimension is
 * stranded: the least sum of squares of what is left, weighted by how scarce the
 * dimension is (Panigrahy et al., Heuristics for vector bin packing, 2011).
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
    return this.choose(findTightest(demand, fleet, CANDIDATES), demand, fleet)
  }

  override rate (worker: Worker, demand: Demand, fleet: Fleet): number {
    let sum = 0
    for (const dimension of DIMENSIONS) {
      const capacity = worker.target.capacity[dimension]
      if (capacity === 0) continue
      const left = (worker.free[dimension] - demand.need[dimension]) / capacity
      const scarcity = 1 - fleet.free[dimension] / fleet.total[dimension]
      sum += scarcity * left * left
    }
    return sum
  }
}

/** Puts each task where the workload has fewest: zone, then rack, then VM. */
export class Spread extends Strategy {
  override readonly name = StrategyName.spread

  private constructor () {
    super()
  }

  static create (): Spread {
    return new Spread()
  }

  override find (demand: Demand, fleet: Fleet): Worker | undefined {
    const zones = Array.from(fleet.zones).sort(([one], [other]) => demand.countInZone(one) - demand.countInZone(other))
    for (const [, racks] of zones) {
      const worker = this.findInZone(racks, demand, fleet)
      if (worker !== undefined) return worker
    }
    return undefined
  }

  override rate (worker: Worker, demand: Demand): number {
    const { vm, rack, availabilityZone, capacity } = worker.target
    const load = 1 - worker.free.millicores / Math.max(1, capacity.millicores)
    return demand.countInZone(availabilityZone) * ZONE_WEIGHT +
      demand.countInRack(rack) * RACK_WEIGHT +
      demand.countOnVm(vm) * VM_WEIGHT + load
  }

  private findInZone (racks: ReadonlyMap<string, Worker[]>, demand: Demand, fleet: Fleet): Worker | undefined {
    const ordered = Array.from(racks).sort(([one], [other]) => demand.countInRack(one) - demand.countInRack(other))
    for (const [, workers] of ordered) {
      const open = workers.filter(worker => worker.hasRoom(demand.need) && demand.isAllowed(worker))
      if (open.length > 0) return this.choose(open, demand, fleet)
    }
    return undefined
  }
}

/** A task more in a zone outweighs any number of tasks in a rack, and so on down. */
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
