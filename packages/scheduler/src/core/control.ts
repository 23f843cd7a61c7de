/**
 * The parts that keep sessions, tasks, workloads and configuration, in the order
 * in which they handle an event.
 */

import type { Limits } from '../types/limits.js'
import { Configuration } from './configuration/configuration.js'
import type { Estimates } from './health/estimates.js'
import { Health } from './health/health.js'
import type { UsageTable } from './health/usage.js'
import type { Part } from './part.js'
import { Drains } from './sessions/drains.js'
import { Sessions, type SessionOptions } from './sessions/sessions.js'
import { Tasks } from './tasks/tasks.js'
import { Workloads, type WorkloadOptions } from './tasks/workloads.js'

export interface ControlOptions extends SessionOptions, WorkloadOptions {
  /** Shared with placement, which reserves by it. */
  usage?: UsageTable
  /** Shared with placement, which backfills by it. */
  estimates?: Estimates
}

/** Creates the parts; placement and requests go after them. */
export function createControlParts (limits: Limits, options: ControlOptions = {}): Part[] {
  return [
    Sessions.create(limits, options),
    Drains.create(limits),
    Workloads.create(limits, options),
    Health.create(limits),
    Tasks.create(limits, options.usage, options.estimates),
    Configuration.create(limits)
  ]
}
