/**
 * Chooses the worker for one task: the one with the least free capacity that
 * suffices, so that workers with much free capacity remain for large tasks.
 */

import type { SchedulingUnit } from '../order/scheduling-units.js'
import { isServing } from '../workers/worker-view.js'
import { fits, isBelowLimit, type Candidate } from './candidate.js'

/**
 * Penalty in millicores for a worker on another rack than the input data. Half of it applies to tasks of a rack-local
 * stage, for a worker that has none of them while other workers do.
 */
const REMOTE_PENALTY = 1_000_000

/** Penalty in millicores, for tasks that are not in a gang, for a worker with reserved capacity. */
const RESERVED_PENALTY = 100_000

/** Penalty in millicores for a worker whose recent runs all failed; scaled by the failure rate. */
const FAILURE_PENALTY = 200_000

/** Penalty in millicores, for best-effort tasks, for a worker whose tasks serve users, because best-effort tasks would slow those. */
const SERVING_PENALTY = 500_000

/**
 * Bonus in millicores, for tasks of the highest priority, for a worker that is faster than its peers by a factor of e. For
 * gangs of other queues the same bonus lowered the credit of two of three replays, since it takes the large gaps on fast workers.
 */
const SPEED_BONUS = 20_000

/** The candidate with the lowest score on which one task of the unit fits; undefined when there is none. */
export function pickCandidate (unit: SchedulingUnit, usable: Candidate[], taskCounts: ReadonlyMap<string, number>): Candidate | undefined {
  const { spec } = unit
  let best: Candidate | undefined
  let bestScore = Infinity
  for (const candidate of usable) {
    const isKeptFree = candidate.suspectUnit !== undefined && !(spec.gang && candidate.suspectUnit === unit.key)
    if (isKeptFree || !fits(candidate.free, spec.resources, spec.fills) || !isBelowLimit(candidate, unit, taskCounts)) continue
    const score = computeScore(candidate, unit, taskCounts)
    if (score >= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}

/**
 * Score of a candidate in millicores; lower is better. It is the free capacity (best fit) plus penalties. For
 * best-effort tasks free capacity lowers the score, since they run best on idle workers.
 */
export function computeScore (candidate: Candidate, { spec, queue }: SchedulingUnit, taskCounts: ReadonlyMap<string, number>): number {
  let score = candidate.free.millicores + FAILURE_PENALTY * candidate.view.failureRate
  if (queue.priority === 0) score -= SPEED_BONUS * candidate.view.speedLog
  if (spec.fills) score = (isServing(candidate.view) ? SERVING_PENALTY : 0) - candidate.free.millicores
  if (candidate.isReserved && !spec.gang) score += RESERVED_PENALTY
  if (spec.dataRack !== '' && candidate.view.worker.rack !== spec.dataRack) score += REMOTE_PENALTY
  if (spec.rackLocal && taskCounts.size > 0 && !taskCounts.has(candidate.view.id)) score += REMOTE_PENALTY / 2
  return score
}
