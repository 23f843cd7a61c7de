/**
 * The capacity that work beyond the weights of its accounts may use: what is free,
 * less a headroom for owed work that arrives next. On a busy cell a burst of one
 * account would otherwise fill every gap, and each job that is owed to others would
 * wait until a run of the burst ends. Long-running tasks free nothing from one moment
 * to the next, so the headroom is a share of the rest: a cell nine tenths full of
 * services still serves a burst.
 */

import type { Resources } from '../../../types/resources.js'
import { addResources, countFitting, createZeroResources, RESOURCE_DIMENSIONS } from '../../placement/resource-arithmetic.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'
import type { Candidate } from '../placement/candidate.js'

/**
 * Share of the capacity without long-running tasks that is kept free for owed work. With a tenth, an account at 8 times its
 * usual rate made the gangs of others wait 1.14 times as long in the replay of a full cell; with a fifth, 1.06 times.
 */
const HEADROOM_SHARE = 0.2

export class SpareCapacity {
  /** What is spare by service; computed with the first unit beyond a weight, when all owed units are placed. */
  private readonly spares = new Map<string, Resources>()

  private constructor (private readonly candidates: readonly Candidate[]) {}

  static create (candidates: readonly Candidate[]): SpareCapacity {
    return new SpareCapacity(candidates)
  }

  /**
   * The part of a unit that may start; undefined if that is nothing. Owed units are not limited. A gang starts as a whole, and
   * one task always may start while anything is spare.
   */
  limit (unit: SchedulingUnit): SchedulingUnit | undefined {
    if (unit.isBeyondWeight !== true) return unit
    const { spec, waiting } = unit
    const demand = getDemand(spec)
    const spare = this.getSpare(unit.queue.service)
    if (RESOURCE_DIMENSIONS.some(dimension => demand[dimension] > 0 && spare[dimension] <= 0)) return undefined
    return spec.gang ? unit : { ...unit, waiting: waiting.slice(0, Math.max(1, countFitting(demand, spare))) }
  }

  /** Deducts tasks that are placed; those of owed units are deducted from the free capacity of their workers alone. */
  take ({ isBeyondWeight, spec, queue }: SchedulingUnit, count: number): void {
    if (isBeyondWeight === true) addResources(this.getSpare(queue.service), getDemand(spec), -count)
  }

  private getSpare (service: string): Resources {
    const spare = this.spares.get(service) ?? this.computeSpare(service)
    this.spares.set(service, spare)
    return spare
  }

  private computeSpare (service: string): Resources {
    const spare = createZeroResources()
    const changing = createZeroResources()
    for (const { view, free } of this.candidates) {
      if (view.worker.service !== service) continue
      for (const dimension of RESOURCE_DIMENSIONS) spare[dimension] += Math.max(0, free[dimension])
      addResources(changing, view.worker.capacity)
      addResources(changing, view.longRunning, -1)
    }
    addResources(spare, changing, -HEADROOM_SHARE)
    return spare
  }
}

/** Best-effort tasks need no processor capacity. */
function getDemand ({ resources, fills }: SchedulingUnit['spec']): Resources {
  return fills ? { ...resources, millicores: 0 } : resources
}
