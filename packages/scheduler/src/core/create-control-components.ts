/**
 * The components for sessions, tasks, workloads and configuration, in the order in
 * which they handle an event.
 */

import type { Limits } from '../types/limits.js'
import { Configuration } from './configuration/configuration.js'
import type { RunTimeEstimates } from './health/run-time-estimates.js'
import { Health } from './health/health.js'
import type { UsageTable } from './health/usage-table.js'
import type { Component } from './component.js'
import { Drains } from './sessions/drains.js'
import { Sessions, type SessionOptions } from './sessions/sessions.js'
import { Tasks } from './tasks/tasks.js'
import { Workloads, type WorkloadOptions } from './tasks/workloads.js'

export interface ControlOptions extends SessionOptions, WorkloadOptions {
  /** Shared with placement, which bases the sizes of allocations on it. */
  usage?: UsageTable
  /** Shared with placement, which bases backfill on it. */
  estimates?: RunTimeEstimates
}

/** Creates these components; placement and requests must come after them. */
export function createControlComponents (limits: Limits, options: ControlOptions = {}): Component[] {
  return [
    Sessions.create(limits, options),
    Drains.create(limits),
    Workloads.create(limits, options),
    Health.create(limits),
    Tasks.create(limits, options.usage, options.estimates),
    Configuration.create(limits)
  ]
}
