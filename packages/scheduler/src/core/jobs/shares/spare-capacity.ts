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

/** Share of the capacity without long-running tasks that is kept free for owed work. */
const HEADROOM_SHARE = 0.1

export class SpareCapacity {
  private constructor (private readonly spare: Resources) {}

  /** Capacity that is spare on some workers, after all owed units were placed and have reserved what they wait for. */
  static create (candidates: Iterable<Candidate>): SpareCapacity {
    const spare = createZeroResources()
    const changing = createZeroResources()
    for (const { view, free } of candidates) {
      for (const dimension of RESOURCE_DIMENSIONS) spare[dimension] += Math.max(0, free[dimension])
      addResources(changing, view.worker.capacity)
      for (const run of view.runs.values()) {
        if (run.isLongRunning) addResources(changing, run.resources, -1)
      }
    }
    addResources(spare, changing, -HEADROOM_SHARE)
    return new SpareCapacity(spare)
  }

  /** Number of tasks of a unit that may start; a gang starts as a whole, and one task always may while anything is spare. */
  countTasks ({ spec, waiting }: SchedulingUnit): number {
    const demand = getDemand(spec)
    if (RESOURCE_DIMENSIONS.some(dimension => demand[dimension] > 0 && this.spare[dimension] <= 0)) return 0
    return spec.gang ? waiting.length : Math.min(waiting.length, Math.max(1, countFitting(demand, this.spare)))
  }

  take ({ spec }: SchedulingUnit, count: number): void {
    addResources(this.spare, getDemand(spec), -count)
  }
}

/** Best-effort tasks need no processor capacity. */
function getDemand ({ resources, fills }: SchedulingUnit['spec']): Resources {
  return fills ? { ...resources, millicores: 0 } : resources
}
