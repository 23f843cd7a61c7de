/**
 * All components of the scheduler, connected to each other, in the order in which
 * they handle an event.
 */

import type { Limits } from '../types/limits.js'
import { createControlComponents } from './create-control-components.js'
import { RunTimeEstimates } from './health/run-time-estimates.js'
import { UsageTable } from './health/usage-table.js'
import type { Component } from './component.js'
import { StagedJobs } from './jobs/staged-jobs.js'
import { findInfeasibility } from './placement/feasibility.js'
import { Placement } from './placement/placement.js'
import { Requests } from './requests/requests.js'

export function createComponents (limits: Limits): Component[] {
  const usage = UsageTable.create()
  const estimates = RunTimeEstimates.create()
  const requests = Requests.create(limits)
  const countRequestsInFlight = (runner: string): number => requests.countInFlight(runner)
  return [
    ...createControlComponents(limits, { usage, estimates, countRequestsInFlight, findInfeasibility }),
    Placement.create({ usage, estimates }),
    requests,
    StagedJobs.create(limits)
  ]
}
