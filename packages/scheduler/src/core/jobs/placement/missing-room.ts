/**
 * Demands for which one pass has found no room. Room only shrinks during a pass, so a
 * later task that needs as much or more finds none either: hundreds of units that wait for
 * the same scarce resource need not be tried one by one.
 */

import type { Resources } from '../../../types/resources.js'
import { isWithin } from '../../placement/resource-arithmetic.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'

/** Number of demands that are kept for workers of one kind. */
const DEMAND_LIMIT = 8

export class MissingRoom {
  /** By service and required label. */
  private readonly demands = new Map<string, Resources[]>()

  static create (): MissingRoom {
    return new MissingRoom()
  }

  /** Records that no worker took all tasks of a unit. It says nothing about room if something else may have been the cause. */
  record (unit: SchedulingUnit): void {
    const { queue, spec, suspects } = unit
    if (queue.admission !== undefined || spec.gang || spec.perWorkerLimit > 0 || suspects.size > 0) return
    const demand = getDemand(unit)
    const key = formatKey(unit)
    // A smaller demand says more than the larger ones.
    const others = (this.demands.get(key) ?? []).filter(other => !isWithin(demand, other))
    this.demands.set(key, [demand, ...others].slice(0, DEMAND_LIMIT))
  }

  /** True when no worker has room for a task of the unit, and its queue needs no tickets, which it might wait for meanwhile. */
  isCertain (unit: SchedulingUnit): boolean {
    if (unit.queue.admission !== undefined) return false
    const demands = this.demands.get(formatKey(unit))
    return demands !== undefined && demands.some(demand => isWithin(demand, getDemand(unit)))
  }
}

function formatKey ({ queue, spec }: SchedulingUnit): string {
  return `${queue.service} ${spec.requiredLabel}`
}

/** Best-effort tasks need no processor capacity. */
function getDemand ({ spec: { resources, fills } }: SchedulingUnit): Resources {
  return fills ? { ...resources, millicores: 0 } : resources
}
