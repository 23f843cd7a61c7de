/**
 * Validates workload specifications, and changes to the specification of a live
 * workload.
 */

import type { Resources } from '../../types/resources.js'
import { isAssigned, Urgency, WorkloadKind, type WorkloadSpec, type WorkloadState } from '../../types/workloads.js'

const TASKS_MAX = 100_000
const PRIORITY_MAX = 100
const RETRY_LIMIT_MAX = 1_000
const PAYLOAD_MAX_BYTES = 65_536
/** Also applies to ids. */
const NAME_MAX_CHARACTERS = 128
/** Prefix of ids that the system assigns; operators cannot use it. */
export const JOB_ID_PREFIX = 'job-'

/** Why a specification is invalid; empty when it is valid. */
export function findSpecFault (spec: WorkloadSpec): string {
  if (spec.name.length > NAME_MAX_CHARACTERS) return `name is longer than ${NAME_MAX_CHARACTERS} characters`
  if (!Object.values(WorkloadKind).includes(spec.kind)) return 'kind is not one of service, batch, gang'
  if (!Object.values(Urgency).includes(spec.urgency)) return 'urgency is not one of bulk, normal, urgent'
  const minCount = spec.kind === WorkloadKind.service ? 0 : 1
  if (!isIntegerInRange(spec.taskCount, minCount, TASKS_MAX)) return `task count ${spec.taskCount} is not from ${minCount} to ${TASKS_MAX}`
  if (!isIntegerInRange(spec.priority, 0, PRIORITY_MAX)) return `priority ${spec.priority} is not from 0 to ${PRIORITY_MAX}`
  if (!isIntegerInRange(spec.retryLimit, 0, RETRY_LIMIT_MAX)) return `retry limit ${spec.retryLimit} is not from 0 to ${RETRY_LIMIT_MAX}`
  if (spec.payload.length > PAYLOAD_MAX_BYTES) return `payload is larger than ${PAYLOAD_MAX_BYTES} bytes`
  return findResourcesFault(spec.resources)
}

/** Why an id chosen by an operator is invalid; empty when it is valid. */
export function findIdFault (id: string): string {
  if (id === '' || id.length > NAME_MAX_CHARACTERS) return `id must have 1 to ${NAME_MAX_CHARACTERS} characters`
  if (id.startsWith(JOB_ID_PREFIX)) return `ids that begin with ${JOB_ID_PREFIX} are reserved for the system`
  return /[\s/#]/.test(id) ? 'id contains whitespace, a slash or a number sign' : ''
}

/** Why a specification cannot replace that of a live workload; empty when it can. An ended workload accepts any change. */
export function findChangeFault (existing: WorkloadState, spec: WorkloadSpec): string {
  if (existing.ended) return ''
  if (existing.stopping !== '') return 'the workload is being stopped'
  if (existing.spec.kind !== spec.kind) return 'the kind of a live workload cannot be changed'
  if (existing.spec.idempotent !== spec.idempotent) return 'idempotent cannot be changed on a live workload'
  const isService = spec.kind === WorkloadKind.service
  if (!isService && existing.spec.taskCount !== spec.taskCount) return 'the task count of a live job cannot be changed'
  if (isSameResources(existing.spec.resources, spec.resources)) return ''
  return existing.tasks.some(isAssigned) ? 'resources cannot be changed while tasks are assigned to workers; scale to zero first' : ''
}

function findResourcesFault (resources: Resources): string {
  const { millicores, memoryMib, accelerators } = resources
  const isValid = [millicores, memoryMib, accelerators].every(amount => Number.isSafeInteger(amount) && amount >= 0)
  if (!isValid) return 'resources must be integers of at least 0'
  return millicores > 0 || memoryMib > 0 || accelerators > 0 ? '' : 'resources must contain an amount above 0'
}

function isSameResources (one: Resources, other: Resources): boolean {
  return one.millicores === other.millicores &&
    one.memoryMib === other.memoryMib &&
    one.accelerators === other.accelerators
}

function isIntegerInRange (value: number, min: number, max: number): boolean {
  return Number.isInteger(value) && value >= min && value <= max
}

/** The specification as it is written to the audit trail, with the payload replaced by its size. */
export function describeSpec (spec: WorkloadSpec): string {
  return JSON.stringify({ ...spec, payload: `${spec.payload.length} bytes` })
}

/** A short description of a caller's job for the audit trail, because there are many of them. */
export function summarizeSpec (spec: WorkloadSpec): string {
  const { millicores, memoryMib, accelerators } = spec.resources
  return `${spec.kind} ${spec.name} ${spec.taskCount}x${millicores}m/${memoryMib}MiB/${accelerators} team=${spec.team}`
}
