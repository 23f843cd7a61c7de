/**
 * Merges and compares the reports in which called workers describe themselves.
 */

import type { CalledWorker } from '../../../types/jobs.js'

/**
 * Merges a report into the stored description. A report that was sent before another one of the same incarnation, and
 * arrived late, changes nothing but this: a worker that is draining, or has left, stays so for the rest of its incarnation.
 * `latestSequence` is the highest sequence number that was seen, which may be above the stored one.
 */
export function mergeReport (known: CalledWorker | undefined, reported: CalledWorker, latestSequence = 0): CalledWorker {
  if (known === undefined || known.incarnation !== reported.incarnation) return reported
  const isLate = reported.sequence !== undefined && reported.sequence < Math.max(latestSequence, known.sequence ?? 0)
  return { ...isLate ? known : reported, isDraining: known.isDraining || reported.isDraining, hasLeft: known.hasLeft || reported.hasLeft }
}

/** True when a report does not change the stored description; only the properties that a worker can change are compared. */
export function isSameReport (one: CalledWorker, other: CalledWorker): boolean {
  return one.isDraining === other.isDraining && one.hasLeft === other.hasLeft && one.address === other.address && one.service === other.service &&
    one.capacity.millicores === other.capacity.millicores && one.capacity.memoryMib === other.capacity.memoryMib &&
    one.capacity.accelerators === other.capacity.accelerators && one.labels.join() === other.labels.join()
}
