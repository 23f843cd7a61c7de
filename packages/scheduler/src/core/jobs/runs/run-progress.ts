/**
 * Detects runs that hang or are much too slow. This covers workers that appear
 * healthy while their tasks hang, and workers that become slow: a run that would
 * take far longer to finish than a new run on another worker is stopped and
 * started elsewhere.
 */

/** Reference point for the speed of a run, from the progress that its worker reported. */
export interface RunProgress {
  /** Cluster time in milliseconds from which the speed is computed. */
  baseAt: number
  /** Percent complete at that time. */
  basePercent: number
  /** Cluster time in milliseconds at which a higher percentage was last reported; undefined before that. */
  gainedAt?: number
  /** True if the run was observed from its start; one that a new leader finds in progress is longer than its like on average. */
  isWhole?: boolean
}

/** Minimum time over which a speed is computed: over shorter times, rounding of the percentage dominates. */
const SPEED_WINDOW_MS = 700

/** The same minimum as a share of the expected run time; the larger of both applies. */
const SPEED_WINDOW_SHARE = 0.25

/** A run that still needs more than this many times the expected run time is too slow; normal variation stays below. */
const SLOW_FACTOR = 2.5

/** Allowance for the time that a stop and a new start take; added to the limit that `SLOW_FACTOR` sets. */
const RESTART_COST_MS = 500

/** Time without progress after which a gang counts as stalled: even its slowest tasks report some progress by then. */
const STALL_TIMEOUT_MS = 2_500

/** True when a run has made no progress since its reference point and the stall timeout has passed since then. */
export function isStalled (progress: RunProgress, percent: number, now: number): boolean {
  return percent <= progress.basePercent && now - progress.baseAt > STALL_TIMEOUT_MS
}

/** Share of the upper run time without progress after which a run is stuck; even a task that takes 7 times as long gains a percent by then. */
const STUCK_SHARE = 0.1

/** Multiple of the time that a run took for each percent so far after which it is stuck if it gains none. */
const STUCK_FACTOR = 5

/** True when a run has stopped to make progress, however long it takes. `upperMs` is an upper bound of its usual run time. */
export function isStuck ({ baseAt, basePercent, gainedAt = baseAt }: RunProgress, percent: number, now: number, upperMs: number): boolean {
  const gainedPercent = percent - basePercent
  const percentMs = gainedPercent <= 0 ? 0 : (gainedAt - baseAt) / gainedPercent
  return now - gainedAt > Math.max(STALL_TIMEOUT_MS, STUCK_SHARE * upperMs, STUCK_FACTOR * percentMs)
}

/** True when a run would finish much sooner if it were restarted on a healthy worker. `expectedMs` is the expected run time. */
export function isTooSlow (progress: RunProgress, percent: number, now: number, expectedMs: number): boolean {
  const spanMs = now - progress.baseAt
  if (spanMs < Math.max(SPEED_WINDOW_MS, SPEED_WINDOW_SHARE * expectedMs)) return false
  const gainedPercent = percent - progress.basePercent
  const leftMs = gainedPercent <= 0 ? Infinity : spanMs * (100 - percent) / gainedPercent
  return leftMs > SLOW_FACTOR * expectedMs + RESTART_COST_MS
}
