/**
 * The orders of operators, callers and workers that change what the cell does and wait for
 * an acknowledgement: they are logged one by one, with what identifies them.
 */

import { createHash } from 'node:crypto'
import type { JobEvent } from '@flamingorouter/controllers'
import type { LogFields } from './runtime-log.js'

/** The log fields that identify an order; undefined for an event that is too frequent to be logged. */
export function describeOrder (event: JobEvent): LogFields | undefined {
  switch (event.kind) {
    case 'configureCell': return { order: event.kind, version: event.cell.version }
    case 'startUpkeepWave': return { order: event.kind, wave: event.id }
    case 'cancelJob': return { order: event.kind, path: event.path }
    case 'workerLeft': return { order: event.kind, worker: event.id }
    case 'workerReported': return event.worker.isDraining ? { order: 'workerDrains', worker: event.worker.id } : undefined
    default: return undefined
  }
}

/**
 * Identifies an order that is carried to the leader after its caller has gone, by all that decides its effect; undefined for
 * an event that ends with its call. The notice that a worker leaves names no incarnation, so that a late one might reach the next.
 */
export function identifyOrder (event: JobEvent): string | undefined {
  switch (event.kind) {
    case 'configureCell':
    case 'startUpkeepWave': return createHash('sha256').update(JSON.stringify(event)).digest('base64url')
    case 'workerReported': return event.worker.isDraining ? `${event.worker.id}/${event.worker.incarnation}` : undefined
    default: return undefined
  }
}
