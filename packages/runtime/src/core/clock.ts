/**
 * Time sources of a process.
 */

import { performance } from 'node:perf_hooks'

const STARTED_AT_MS = Date.now() - performance.now()

/** Milliseconds that never run backwards; only differences mean anything. */
export function monotonicNow (): number {
  return performance.now()
}

/** Milliseconds since 1970, taken once at the start and advanced by the monotonic clock. */
export function clusterNow (): number {
  return Math.round(STARTED_AT_MS + performance.now())
}
