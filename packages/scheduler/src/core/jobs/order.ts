/**
 * In which order waiting units get room. It answers a burst of urgent work over
 * a full pool: the more urgent queue goes first, within a queue the job whose
 * objective is missed first, and a job that misses its objective in any case
 * goes behind all that can still meet theirs.
 */

import type { Unit } from './units.js'

/** Ranks of urgency, least first. */
const Tier = Object.freeze({ meetsObjective: 0, late: 1, worthless: 2 } as const)
type Tier = typeof Tier[keyof typeof Tier]

export function sortUnits (units: Iterable<Unit>, now: number): Unit[] {
  const ranked = [...units].map(unit => ({ unit, tier: tierOf(unit, now) }))
  ranked.sort((one, other) => one.tier - other.tier ||
    one.unit.queue.priority - other.unit.queue.priority ||
    one.unit.objectiveAt - other.unit.objectiveAt)
  return ranked.map(({ unit }) => unit)
}

function tierOf (unit: Unit, now: number): Tier {
  if (unit.spec.longRunning) return Tier.meetsObjective
  const endAt = now + unit.spec.estimateMs
  if (endAt <= unit.objectiveAt) return Tier.meetsObjective
  return endAt <= unit.worthlessAt ? Tier.late : Tier.worthless
}
