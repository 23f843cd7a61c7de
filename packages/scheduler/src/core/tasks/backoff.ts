/**
 * How long a task waits before it is tried again: exponential backoff with an
 * upper bound.
 */

import type { Limits } from '../../types/limits.js'
import { EndCause } from '../../types/workloads.js'

/** Milliseconds of delay after a number of failures. */
export function exponentialMs (limits: Limits, failures: number): number {
  const doublings = Math.min(failures - 1, 30)
  return Math.min(limits.backoffMaxMs, limits.backoffBaseMs * 2 ** Math.max(0, doublings))
}

/** Milliseconds before a requeued task may be placed again. */
export function backoffMs (limits: Limits, cause: EndCause, failures: number): number {
  if (cause === EndCause.failed) return exponentialMs(limits, failures)
  return cause === EndCause.refused ? limits.backoffBaseMs : 0
}
