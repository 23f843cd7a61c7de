/**
 * Time sources of a process.
 */

import { performance } from 'node:perf_hooks'

const STARTED_AT_MS = Date.now() - performance.now()

/** Monotonic time in milliseconds; only differences between two values are meaningful. */
export function monotonicNow (): number {
  return performance.now()
}

/** Milliseconds since 1970: read from the wall clock once at the start, then advanced by the monotonic clock. */
export function clusterNow (): number {
  return Math.round(STARTED_AT_MS + performance.now())
}
