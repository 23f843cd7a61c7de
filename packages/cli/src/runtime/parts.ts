/**
 * The scheduler with all of its parts, joined where one asks another.
 */

import {
  checkFeasible, createControlParts, Estimates, Placement, Requests, Scheduler, UsageTable, type Limits
} from '@flamingorouter/scheduler'

export function createScheduler (limits: Limits): Scheduler {
  const usage = UsageTable.create()
  const estimates = Estimates.create()
  const requests = Requests.create(limits)
  const control = createControlParts(limits, {
    usage,
    estimates,
    requestsInFlight: runner => requests.inFlight(runner),
    infeasibility: spec => checkFeasible(scheduler.state, spec)
  })
  const scheduler: Scheduler = Scheduler.create([...control, Placement.create({ usage, estimates }), requests])
  return scheduler
}
