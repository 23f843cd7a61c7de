/**
 * What the specification of a workload must hold, and what may change in one that
 * lives.
 */

import type { Resources } from '../../types/resources.js'
import { isHeld, Urgency, WorkloadKind, type WorkloadSpec, type WorkloadState } from '../../types/workloads.js'

const TASKS_MAX = 100_000
const PRIORITY_MAX = 100
const RETRY_LIMIT_MAX = 1_000
const PAYLOAD_MAX_BYTES = 65_536
const NAME_MAX_CHARACTERS = 128
/** Ids that begin so are given out by the system. */
export const JOB_PREFIX = 'job-'

/** What is wrong with a specification; empty when nothing is. */
export function specFault (spec: WorkloadSpec): string {
  if (spec.name.length > NAME_MAX_CHARACTERS) return `name is longer than ${NAME_MAX_CHARACTERS} characters`
  if (!Object.values(WorkloadKind).includes(spec.kind)) return 'kind is not one of service, batch, gang'
  if (!Object.values(Urgency).includes(spec.urgency)) return 'urgency is not one of bulk, normal, urgent'
  const least = spec.kind === WorkloadKind.service ? 0 : 1
  if (!isWhole(spec.taskCount, least, TASKS_MAX)) return `task count ${spec.taskCount} is not from ${least} to ${TASKS_MAX}`
  if (!isWhole(spec.priority, 0, PRIORITY_MAX)) return `priority ${spec.priority} is not from 0 to ${PRIORITY_MAX}`
  if (!isWhole(spec.retryLimit, 0, RETRY_LIMIT_MAX)) return `retry limit ${spec.retryLimit} is not from 0 to ${RETRY_LIMIT_MAX}`
  if (spec.payload.length > PAYLOAD_MAX_BYTES) return `payload is larger than ${PAYLOAD_MAX_BYTES} bytes`
  return resourcesFault(spec.resources)
}

/** What is wrong with the id that an operator chose; empty when nothing is. */
export function idFault (id: string): string {
  if (id === '' || id.length > NAME_MAX_CHARACTERS) return `id has not 1 to ${NAME_MAX_CHARACTERS} characters`
  if (id.startsWith(JOB_PREFIX)) return `ids that begin with ${JOB_PREFIX} are given out by the system`
  return /[\s/#]/.test(id) ? 'id holds a space, a slash or a number sign' : ''
}

/** What forbids a change of a workload that lives; empty when nothing does. */
export function changeFault (existing: WorkloadState, spec: WorkloadSpec): string {
  if (existing.ended) return ''
  if (existing.stopping !== '') return 'the workload is being stopped'
  if (existing.spec.kind !== spec.kind) return 'the kind of a workload does not change while it lives'
  if (existing.spec.idempotent !== spec.idempotent) return 'idempotent does not change while the workload lives'
  const isService = spec.kind === WorkloadKind.service
  if (!isService && existing.spec.taskCount !== spec.taskCount) return 'the task count of a job does not change'
  if (isSameResources(existing.spec.resources, spec.resources)) return ''
  return existing.tasks.some(isHeld) ? 'resources do not change while workers hold tasks; scale to zero first' : ''
}

function resourcesFault (resources: Resources): string {
  const { millicores, memoryMib, accelerators } = resources
  const isValid = [millicores, memoryMib, accelerators].every(amount => Number.isSafeInteger(amount) && amount >= 0)
  if (!isValid) return 'resources are not whole numbers'
  return millicores > 0 || memoryMib > 0 || accelerators > 0 ? '' : 'resources are empty'
}

function isSameResources (one: Resources, other: Resources): boolean {
  return one.millicores === other.millicores &&
    one.memoryMib === other.memoryMib &&
    one.accelerators === other.accelerators
}

function isWhole (value: number, least: number, most: number): boolean {
  return Number.isInteger(value) && value >= least && value <= most
}

/** The specification for the audit trail, with the payload as its size. */
export function describeSpec (spec: WorkloadSpec): string {
  return JSON.stringify({ ...spec, payload: `${spec.payload.length} bytes` })
}

/** A caller's job in the audit trail: there are many, so it is short. */
export function summarizeSpec (spec: WorkloadSpec): string {
  const { millicores, memoryMib, accelerators } = spec.resources
  return `${spec.kind} ${spec.name} ${spec.taskCount}x${millicores}m/${memoryMib}MiB/${accelerators} team=${spec.team}`
}
