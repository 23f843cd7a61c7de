/**
 * Conversion of workloads between the messages of the schema and the types of the
 * scheduler, and the rules on their fields.
 */

import { create, type MessageInitShape } from '@bufbuild/protobuf'
import {
  TaskPhase, WorkloadKind, Urgency, type Resources, type WorkloadSpec, type WorkloadState
} from '@flamingorouter/scheduler'
import {
  TaskPhase as TaskPhaseMessage, Urgency as UrgencyMessage, WorkloadKind as WorkloadKindMessage, UrgencySchema,
  WorkloadKindSchema, WorkloadStatusSchema, type Resources as ResourcesMessage, type TaskCountsSchema,
  type WorkloadSpec as WorkloadSpecMessage, type WorkloadStatus
} from '@flamingorouter/schema'
import type { Check } from '../types/violation.js'
import { all, bytes, choice, each, fields, integer, labels, name, optional, required, rule, text } from './checks.js'

const MAX_MILLICORES = 10_000_000
const MAX_MEMORY_MIB = 100_000_000
const MAX_ACCELERATORS = 10_000
const MAX_TASKS = 10_000
const MAX_PRIORITY = 100
const MAX_RETRIES = 100
/** 400 days. */
const MAX_ESTIMATE_MS = 400 * 24 * 3_600_000
const MAX_AVAILABILITY_ZONES = 16
const MAX_LABELS = 32
const MAX_LABEL_LENGTH = 256
const MAX_TASK_PAYLOAD_BYTES = 64 * 1024

const KINDS: Readonly<Record<WorkloadKind, WorkloadKindMessage>> = Object.freeze({
  service: WorkloadKindMessage.SERVICE,
  batch: WorkloadKindMessage.BATCH,
  gang: WorkloadKindMessage.GANG
})

const PHASES: Readonly<Record<TaskPhase, TaskPhaseMessage>> = Object.freeze({
  waiting: TaskPhaseMessage.WAITING,
  placed: TaskPhaseMessage.PLACED,
  running: TaskPhaseMessage.RUNNING,
  succeeded: TaskPhaseMessage.SUCCEEDED,
  failed: TaskPhaseMessage.FAILED,
  cancelled: TaskPhaseMessage.CANCELLED,
  unknown: TaskPhaseMessage.UNKNOWN
})

/** Resources; amounts that no VM can have are refused. */
export const checkResources: Check<ResourcesMessage> = fields<ResourcesMessage>({
  millicores: integer(0, MAX_MILLICORES),
  memoryMib: integer(0, MAX_MEMORY_MIB),
  accelerators: integer(0, MAX_ACCELERATORS)
})

/** Resources of which at least one amount is above zero. */
export const checkNonZeroResources: Check<ResourcesMessage> = all(
  checkResources,
  rule<ResourcesMessage>('millicores', 'at least one amount above zero', hasNonZeroAmount)
)

/** Labels of a workload, or a selector that they must match. */
export const checkSelector: Check<Record<string, string>> = labels(MAX_LABELS, MAX_LABEL_LENGTH)

export const checkSpec: Check<WorkloadSpecMessage> = fields<WorkloadSpecMessage>({
  name: name(),
  kind: choice(WorkloadKindSchema),
  firm: optional(name()),
  team: optional(name()),
  taskCount: integer(1, MAX_TASKS),
  resources: required(checkNonZeroResources),
  priority: integer(0, MAX_PRIORITY),
  policy: optional(name()),
  estimateMs: integer(0, MAX_ESTIMATE_MS),
  retryLimit: integer(0, MAX_RETRIES),
  availabilityZones: each(name(), MAX_AVAILABILITY_ZONES),
  labels: checkSelector,
  payload: bytes(MAX_TASK_PAYLOAD_BYTES)
})

/** Text that is displayed and logged, such as the reason for a drain. */
export const checkReason: Check<string> = text(512)

export function hasNonZeroAmount (resources: ResourcesMessage): boolean {
  return resources.millicores > 0 || resources.memoryMib > 0 || resources.accelerators > 0
}

export function toResources (message: ResourcesMessage | undefined): Resources {
  return {
    millicores: message?.millicores ?? 0,
    memoryMib: message?.memoryMib ?? 0,
    accelerators: message?.accelerators ?? 0
  }
}

export function fromResources (resources: Resources): MessageInitShape<typeof import('@flamingorouter/schema').ResourcesSchema> {
  const { millicores, memoryMib, accelerators } = resources
  return {
    millicores: toUint32(millicores),
    memoryMib: toUint32(memoryMib),
    accelerators: toUint32(accelerators)
  }
}

/** The kind, or an empty text if unspecified. */
export function toKind (message: WorkloadKindMessage): WorkloadKind | '' {
  const found = Object.values(WorkloadKind).find(kind => KINDS[kind] === message)
  return found ?? ''
}

export function fromKind (kind: WorkloadKind | ''): WorkloadKindMessage {
  return kind === '' ? WorkloadKindMessage.UNSPECIFIED : KINDS[kind]
}

/** The urgency; normal if unspecified. */
export function toUrgency (message: UrgencyMessage): Urgency {
  if (message === UrgencyMessage.BULK) return Urgency.bulk
  return message === UrgencyMessage.URGENT ? Urgency.urgent : Urgency.normal
}

/** The name of an urgency in lower case, as used in logs and metrics. */
export function getUrgencyName (urgency: Urgency): string {
  return UrgencySchema.value[urgency].localName.toLowerCase()
}

/** Converts a specification that passed checkSpec; `team` is used when it names none. */
export function toSpec (message: WorkloadSpecMessage, team: string): WorkloadSpec {
  return {
    name: message.name,
    kind: toKind(message.kind) as WorkloadKind,
    firm: message.firm,
    team: message.team === '' ? team : message.team,
    taskCount: message.taskCount,
    resources: toResources(message.resources),
    urgency: toUrgency(message.urgency),
    priority: message.priority,
    policy: message.policy,
    estimateMs: Number(message.estimateMs),
    idempotent: message.idempotent,
    retryLimit: message.retryLimit,
    preemptible: message.preemptible,
    availabilityZones: message.availabilityZones,
    labels: message.labels,
    payload: message.payload
  }
}

/** The status of a workload, with its tasks if requested; `vmOf` returns the VM of a target. */
export function fromWorkload (
  workload: WorkloadState,
  options: { tasks: boolean, vmOf: (target: string) => string }
): WorkloadStatus {
  const { spec } = workload
  const tasks = options.tasks ? workload.tasks : []
  return create(WorkloadStatusSchema, {
    id: workload.id,
    spec: {
      ...spec,
      kind: KINDS[spec.kind],
      resources: fromResources(spec.resources),
      urgency: spec.urgency,
      estimateMs: BigInt(spec.estimateMs)
    },
    version: BigInt(workload.version),
    tasks: tasks.map(task => ({
      index: task.index,
      phase: PHASES[task.phase],
      attempt: task.attempt,
      vm: task.target === '' ? '' : options.vmOf(task.target),
      reason: task.reason
    })),
    ended: workload.ended,
    reason: workload.reason,
    counts: countPhases(workload),
    owner: workload.owner
  })
}

function countPhases (workload: WorkloadState): MessageInitShape<typeof TaskCountsSchema> {
  const counts: Record<TaskPhase, number> =
    { waiting: 0, placed: 0, running: 0, succeeded: 0, failed: 0, cancelled: 0, unknown: 0 }
  for (const task of workload.tasks) counts[task.phase] += 1
  return counts
}

/** Rounds an amount and limits it to the range of uint32. */
function toUint32 (amount: number): number {
  return Math.max(0, Math.min(Math.round(amount), 0xffffffff))
}
