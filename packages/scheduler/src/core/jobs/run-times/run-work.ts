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
 * Work of a whole task in milliseconds on a worker of speed 1, from a run that succeeded at `now`; undefined when it is not
 * known. `members` are the runs of the gang, or the run alone; they work from the start of the last one, at the speed of the
 * slowest worker, which is `speed`.
 */
export function measureWork (run: Run, members: readonly Run[], speed: number, now: number): number | undefined {
  if (run.progress === undefined || members.some(({ confirmedAt }) => confirmedAt === 0)) return undefined
  const { baseAt, basePercent } = run.progress
  const observedShare = 1 - basePercent / 100
  if (observedShare < MIN_OBSERVED_SHARE) return undefined
  const workingSince = Math.max(baseAt, ...members.map(({ confirmedAt }) => confirmedAt))
  const workMs = (now - workingSince) * speed / observedShare
  return workMs > 0 ? workMs : undefined
}
