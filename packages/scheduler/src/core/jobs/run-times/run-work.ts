/**
 * The work of a finished run, which is what later estimates of run times are based on.
 * Loads with gangs, restarts from checkpoints and machines of unlike speed make the time
 * from placement to end a poor measure, so waiting for the gang, restored progress and
 * the speed of the worker are taken out.
 */

import type { Run } from '../workers/worker-view.js'

/** Least share of its task that a run must have done under observation; below it, rounding of the percentage dominates. */
const MIN_OBSERVED_SHARE = 0.25

/**
 * Time in milliseconds that a whole task takes, from a run that succeeded at `now`; undefined when it is not known. `members`
 * are the runs of the gang, or the run alone; they work from the start of the last one.
 */
export function measureElapsed (run: Run, members: readonly Run[], now: number): number | undefined {
  if (run.progress === undefined || members.some(({ confirmedAt }) => confirmedAt === 0)) return undefined
  const { baseAt, basePercent, isWhole } = run.progress
  // Of the runs that a new leader finds in progress most are long, and they would make its estimates too high.
  if (isWhole !== true && !run.isResumed) return undefined
  const observedShare = 1 - basePercent / 100
  if (observedShare < MIN_OBSERVED_SHARE) return undefined
  const workingSince = Math.max(baseAt, ...members.map(({ confirmedAt }) => confirmedAt))
  const elapsedMs = (now - workingSince) / observedShare
  return elapsedMs > 0 ? elapsedMs : undefined
}
