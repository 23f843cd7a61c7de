/**
 * How many entries an admission query must leave idle for more urgent ones. An entry
 * sends one query at a time, and one for a gang takes most of a second, so a burst of
 * less urgent work, or of one account, would make urgent queries wait.
 */

import type { SchedulingUnit } from '../order/scheduling-units.js'

/** Least number of idle entries that queries for queues below the highest priority leave for queues of the highest priority. */
const URGENT_ENTRY_RESERVE = 3

/**
 * Share of all entries that they leave idle, if that is more. Under a backlog, units that wait renew their tickets as often
 * as there are entries for it.
 */
const URGENT_ENTRY_SHARE = 0.2

/** Share of all entries that queries for work beyond the weight of its account leave idle. */
const OWED_ENTRY_SHARE = 0.5

/** Number of idle entries that a query for a unit leaves to more urgent ones. */
export function countReservedEntries ({ queue, isBeyondWeight }: SchedulingUnit, entryCount: number): number {
  const reserved = queue.priority === 0 ? 0 : Math.max(URGENT_ENTRY_RESERVE, Math.ceil(URGENT_ENTRY_SHARE * entryCount))
  return isBeyondWeight === true ? Math.max(reserved, Math.floor(OWED_ENTRY_SHARE * entryCount)) : reserved
}
