/**
 * Which units may hold back capacity that they cannot use yet, and how many in one pass.
 */

import { hasValue } from '../order/unit-order.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'

/** Least number of units for which one pass may reserve capacity because not all of their tasks could be placed. */
const RESERVATION_MINIMUM = 12

/**
 * Workers for each such unit in a large cell. With fewer reservations small tasks of less urgent queues fill what is released
 * before a gang that waits has all of its capacity; with more, capacity is idle.
 */
const WORKERS_PER_RESERVATION = 20

/**
 * Share of the processor capacity of the reference worker above which a task is large. For a large task, capacity is
 * reserved on workers where it does not fit yet, as for a gang.
 */
const LARGE_SHARE = 0.2

/** Processor capacity of the reference worker. */
const LARGE_REFERENCE_MILLICORES = 32_000

/** Number of units for which one pass may reserve capacity. */
export function countReservations (workerCount: number): number {
  return Math.max(RESERVATION_MINIMUM, workerCount / WORKERS_PER_RESERVATION)
}

/** False for work of an account that is beyond its weight or has no value any more; it takes what is free and holds nothing back from other work. */
export function mayReserve (unit: SchedulingUnit, now: number): boolean {
  return unit.isBeyondWeight !== true && (unit.account === undefined || hasValue(unit, now))
}

export function isLarge (unit: SchedulingUnit): boolean {
  return unit.spec.resources.millicores > LARGE_SHARE * LARGE_REFERENCE_MILLICORES
}
