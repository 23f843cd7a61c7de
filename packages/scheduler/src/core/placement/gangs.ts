/**
 * Finds workers for all tasks of a gang at once. Each task is tried in turn with
 * the room of those before it taken; everything is given back before it returns,
 * so that no two gangs ever hold a part each.
 */

import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import { getStrategy } from './strategies.js'
import type { Worker } from './worker.js'

/** One worker for each waiting task, or undefined when they don't all fit. */
export function planGang (gang: Demand, fleet: Fleet): Worker[] | undefined {
  const count = gang.waitingCount
  const plan: Worker[] = []
  moveHolds(gang, fleet, -1)
  while (plan.length < count) {
    const worker = getStrategy(gang.policy.strategy).find(gang, fleet)
    if (worker === undefined) break
    fleet.tryReserve(worker, gang.need, 1)
    gang.countPlace(worker, 1)
    plan.push(worker)
  }
  for (const worker of plan) {
    fleet.tryReserve(worker, gang.need, -1)
    gang.countPlace(worker, -1)
  }
  moveHolds(gang, fleet, 1)
  return plan.length === count ? plan : undefined
}

/** Gives the gang's own held room back for the time of the search, and takes it again. */
function moveHolds (gang: Demand, fleet: Fleet, sign: number): void {
  for (const hold of gang.holds.values()) {
    fleet.tryHold(hold, sign)
    gang.countPlace(hold.worker, sign * hold.count)
  }
}
