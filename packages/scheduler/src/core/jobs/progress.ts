/**
 * Finds runs that stand still or crawl. It answers workers that look healthy and
 * on which tasks hang, and workers that turn slow: what would take far longer to
 * end there than a fresh run elsewhere is stopped and started elsewhere.
 */

/** How far a run has come, as a worker told. */
export interface Progress {
  /** Cluster time and percent from which the speed is counted. */
  baseAt: number
  basePercent: number
}

/** Time over which a speed is counted, at least, in milliseconds: shorter ones are mostly rounding. */
const SPEED_SPAN_MS = 700

/** The same as a share of the expected run time. */
const SPEED_SPAN_SHARE = 0.25

/** A run that needs this many times the expected run time to end is stuck; natural ones stay below. */
const STUCK_FACTOR = 2.5

/** Added to that, for the time that a stop and a new start take, in milliseconds. */
const RESTART_MS = 500

/** Time without any progress after which a gang stands still, in milliseconds: its slowest tasks show some by then. */
const STILL_MS = 2_500

/** True when a run has made no progress at all for long. */
export function isStill (progress: Progress, percent: number, now: number): boolean {
  return percent <= progress.basePercent && now - progress.baseAt > STILL_MS
}

/** True when a run would end far sooner if it began anew on a sound worker. */
export function isStuck (progress: Progress, percent: number, now: number, expectedMs: number): boolean {
  const spanMs = now - progress.baseAt
  if (spanMs < Math.max(SPEED_SPAN_MS, SPEED_SPAN_SHARE * expectedMs)) return false
  const done = percent - progress.basePercent
  const leftMs = done <= 0 ? Infinity : spanMs * (100 - percent) / done
  return leftMs > STUCK_FACTOR * expectedMs + RESTART_MS
}
