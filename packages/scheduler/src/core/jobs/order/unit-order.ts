/**
 * Sorts waiting units for placement. Units are ranked by the priority of their
 * queue and, within a rank, by the latest time at which they can start so that
 * the remaining stages still finish in time. The order is meant for bursts of
 * urgent work on a full pool and for backlogs that contain late work. A unit that
 * can no longer meet its objective is moved back by one rank: it then does not
 * delay work of the same queue that is on time, and does not wait behind a backlog
 * of much less urgent work either. Shortly before its result loses all value it
 * returns to its rank, since work of other ranks would keep it waiting for as long
 * as the backlog lasts. Units whose result has no value any more come last. Units
 * of long-running stages are never moved back.
 *
 * What an account sends beyond its weight comes after all work that is owed, except
 * work without value. This bounds what a burst of one account takes from others.
 */

import type { SchedulingUnit } from './scheduling-units.js'

/** Added to the rank of a unit that misses its objective; 1 equals one step of queue priority. */
const LATE_RANK_PENALTY = 1

/** Time left until the latest start of a unit from which it may preempt, in milliseconds; covers several stops and commits. */
const PREEMPTION_SLACK_MS = 2_000

/** Added to the rank of a unit beyond the weight of its account; greater than the priority of any queue. */
const BEYOND_WEIGHT_RANK = Number.MAX_SAFE_INTEGER / 2

/** Rank of units whose result has no value any more; greater than any other. */
const WORTHLESS_RANK = Number.MAX_SAFE_INTEGER

export interface RankedUnit {
  unit: SchedulingUnit
  /** The lowest rank is placed first. */
  rank: number
  /**
   * Latest cluster time in milliseconds at which the unit can start so that its job meets its objective; for a late unit,
   * so that the result still has value.
   */
  latestStartAt: number
}

export function sortUnits (units: Iterable<SchedulingUnit>, now: number): SchedulingUnit[] {
  return rankUnits(units, now).map(({ unit }) => unit)
}

/** The units in their order, with their ranks. */
export function rankUnits (units: Iterable<SchedulingUnit>, now: number): RankedUnit[] {
  const ranked = [...units].map(unit => rankUnit(unit, now))
  return ranked.sort((one, other) => one.rank - other.rank || one.latestStartAt - other.latestStartAt)
}

function rankUnit (unit: SchedulingUnit, now: number): RankedUnit {
  const { objectiveAt, worthlessAt, remainingMs } = unit
  const rank = unit.queue.priority + (unit.isBeyondWeight === true ? BEYOND_WEIGHT_RANK : 0)
  if (unit.spec.longRunning || isInTime(unit, now)) return { unit, rank, latestStartAt: objectiveAt - remainingMs }
  if (isLastChance(unit, now)) return { unit, rank, latestStartAt: worthlessAt - remainingMs }
  return { unit, rank: hasValue(unit, now) ? rank + LATE_RANK_PENALTY : WORTHLESS_RANK, latestStartAt: worthlessAt - remainingMs }
}

/** True when the job of a unit meets its objective if the unit starts now. */
export function isInTime ({ remainingMs, objectiveAt }: SchedulingUnit, now: number): boolean {
  return now + remainingMs <= objectiveAt
}

/** True while the result of the job still has a value if the unit starts now. Long-running stages always have one. */
export function hasValue ({ spec, remainingMs, worthlessAt }: SchedulingUnit, now: number): boolean {
  return spec.longRunning || now + remainingMs <= worthlessAt
}

/**
 * True for a late unit that must start soon, or its result will have no value. Declared run times are often too short, so
 * this begins one more run time before the last moment.
 */
export function isLastChance ({ remainingMs, worthlessAt }: SchedulingUnit, now: number): boolean {
  const leftMs = worthlessAt - now
  return leftMs >= remainingMs && leftMs < 2 * remainingMs
}

/**
 * True when a unit may stop less urgent runs: it must start soon, to meet its objective or for its result to have any value.
 * A unit with more time left waits for capacity that is released anyway, since each preemption costs a stop, a second start
 * and the restoration of a checkpoint.
 */
export function isPreemptionDue (unit: SchedulingUnit, now: number): boolean {
  const slackMs = unit.objectiveAt - unit.remainingMs - now
  return (slackMs >= 0 && slackMs <= PREEMPTION_SLACK_MS) || isLastChance(unit, now)
}
