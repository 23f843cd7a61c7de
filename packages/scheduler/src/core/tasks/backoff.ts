/**
 * Delays before a task is retried: exponential backoff with an upper bound.
 */

import type { Limits } from '../../types/limits.js'
import { EndCause } from '../../types/workloads.js'

/** Backoff in milliseconds after a number of failures: `limits.backoffBaseMs` after the first, doubled after each further one; at most `limits.backoffMaxMs`. */
export function computeExponentialBackoffMs (limits: Limits, failures: number): number {
  // The cap keeps the power finite for any number of failures; `backoffMaxMs` limits the result.
  const doublings = Math.min(failures - 1, 30)
  return Math.min(limits.backoffMaxMs, limits.backoffBaseMs * 2 ** Math.max(0, doublings))
}

/**
 * Delay in milliseconds before a requeued task may be placed again: exponential after a failure, the base delay after a
 * refused start. A task that was lost with its worker waits only if that happened to the attempt before too, since it may be
 * what ends its workers. `count` is the number of failures, or of lost attempts in a row.
 */
export function computeBackoffMs (limits: Limits, cause: EndCause, count: number): number {
  if (cause === EndCause.failed) return computeExponentialBackoffMs(limits, count)
  if (cause === EndCause.lost) return count <= 1 ? 0 : computeExponentialBackoffMs(limits, count - 1)
  return cause === EndCause.refused ? limits.backoffBaseMs : 0
}
