/**
 * Finds workers for all tasks of a gang at once. Tasks are placed tentatively
 * one after the other, and all tentative placements are reverted before the
 * function returns. So two gangs can never block each other with a partial
 * placement each.
 */

import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import { getStrategy } from './strategies.js'
import type { Worker } from './worker.js'

/** One worker for each waiting task of the gang, or undefined when not all of them can be placed. */
export function planGang (gang: Demand, fleet: Fleet): Worker[] | undefined {
  const count = gang.waitingCount
  const plan: Worker[] = []
  adjustHolds(gang, fleet, -1)
  while (plan.length < count) {
    const worker = getStrategy(gang.policy.strategy).find(gang, fleet)
    if (worker === undefined) break
    fleet.adjustUsedTentatively(worker, gang.need, 1)
    gang.adjustTaskCounts(worker, 1)
    plan.push(worker)
  }
  for (const worker of plan) {
    fleet.adjustUsedTentatively(worker, gang.need, -1)
    gang.adjustTaskCounts(worker, -1)
  }
  adjustHolds(gang, fleet, 1)
  return plan.length === count ? plan : undefined
}

/**
 * With the sign -1, makes the resources held for the gang available to the search; with 1,
 * withholds them again.
 */
function adjustHolds (gang: Demand, fleet: Fleet, sign: number): void {
  for (const hold of gang.holds.values()) {
    fleet.adjustHoldTentatively(hold, sign)
    gang.adjustTaskCounts(hold.worker, sign * hold.count)
  }
}
