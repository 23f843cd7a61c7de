/**
 * What a worker that is called tells of itself, against what is known of it.
 */

import type { CalledWorker } from '../../types/jobs.js'

/** A worker that drains, or left, does so for the rest of its incarnation: what says otherwise was sent before. */
export function mergeReport (known: CalledWorker | undefined, told: CalledWorker): CalledWorker {
  if (known === undefined || known.incarnation !== told.incarnation) return told
  return { ...told, isDraining: known.isDraining || told.isDraining, hasLeft: known.hasLeft || told.hasLeft }
}

/** True when a report changes nothing. */
export function isSameReport (one: CalledWorker, other: CalledWorker): boolean {
  return one.isDraining === other.isDraining && one.hasLeft === other.hasLeft && one.address === other.address && one.service === other.service &&
    one.capacity.millicores === other.capacity.millicores && one.capacity.memoryMib === other.capacity.memoryMib &&
    one.capacity.accelerators === other.capacity.accelerators && one.labels.join() === other.labels.join()
}
