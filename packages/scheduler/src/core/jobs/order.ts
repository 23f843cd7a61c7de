/**
 * In which order waiting units get room. It answers a burst of urgent work over
 * a full pool, and a backlog in which some of it has become late: the more
 * urgent queue goes first, and within a rank what must start first so that the
 * stages after it still end in time. Work that misses its objective gives up one
 * rank, so that it neither holds up the same queue's work in time nor waits
 * behind a backlog of far less urgent work. Work whose end is worth nothing any
 * more goes last.
 */

import type { Unit } from './units.js'

/** Ranks that a unit loses when it misses its objective; one is a step of urgency. */
const LATE_RANKS = 1

/** Behind every priority of a queue. */
const WORTHLESS_RANK = Number.MAX_SAFE_INTEGER

interface Ranked {
  unit: Unit
  rank: number
  /** Cluster time by which the unit must start, or the worth of its job falls. */
  dueAt: number
}

export function sortUnits (units: Iterable<Unit>, now: number): Unit[] {
  const ranked = [...units].map(unit => rankUnit(unit, now))
  ranked.sort((one, other) => one.rank - other.rank || one.dueAt - other.dueAt)
  return ranked.map(({ unit }) => unit)
}

function rankUnit (unit: Unit, now: number): Ranked {
  const { spec, queue, objectiveAt, worthlessAt, remainingMs } = unit
  if (spec.longRunning || isInTime(unit, now)) return { unit, rank: queue.priority, dueAt: objectiveAt - remainingMs }
  const isLate = now + remainingMs <= worthlessAt
  return { unit, rank: isLate ? queue.priority + LATE_RANKS : WORTHLESS_RANK, dueAt: worthlessAt - remainingMs }
}

/** True while the job of a unit meets its objective if the unit starts now. */
export function isInTime ({ remainingMs, objectiveAt }: Unit, now: number): boolean {
  return now + remainingMs <= objectiveAt
}
