/**
 * Bindings that concern the cell as a whole: drains, status and the audit trail.
 */

import { create, type MessageInitShape } from '@bufbuild/protobuf'
import {
  expectAnswer, fromResources, createOrigin, resolvePageSize, requireAllTeams, type Binding, type EventBinding, type ReadBinding
} from '@flamingorouter/rpc'
import {
  NO_RESOURCES, TargetKind, TaskPhase, type AuditEntry, type ClusterState, type Resources, type TargetState
} from '@flamingorouter/scheduler'
import {
  DrainResponseSchema, GetStatusResponseSchema, ListAuditResponseSchema, OperatorService, ReadmitResponseSchema,
  type AuditEntrySchema, type DrainRequestSchema, type GetStatusRequestSchema, type GetStatusResponse,
  type ListAuditRequest, type ListAuditRequestSchema, type ReadmitRequestSchema, type TargetStatusSchema
} from '@flamingorouter/schema'
import { addResources, isAssigned, sumCapacity } from './resource-sums.js'

const { method } = OperatorService

/** The part of the status that is not in the replicated state. */
export interface CellFacts {
  /** Name of the leading controller. */
  leader: string
  term: number
  /** Index of the last committed log entry. */
  committed: number
  /** Number of connected entries. */
  entries: number
  warnings: string[]
}

/** Used where only the replicated state is known. */
export const NO_FACTS: Readonly<CellFacts> = Object.freeze({ leader: '', term: 0, committed: 0, entries: 0, warnings: [] })

const drain: EventBinding<typeof DrainRequestSchema, typeof DrainResponseSchema> = {
  kind: 'event',
  method: method.drain,
  toEvent: (request, context) => {
    requireAllTeams(context)
    const { vm, target, reason } = request
    const origin = createOrigin(method.drain, request.requestId, context)
    return { kind: 'drain', call: context.call, origin, vm, target, reason }
  },
  toResponse: answer => create(DrainResponseSchema, { targets: expectAnswer(answer, 'targets').count })
}

const readmit: EventBinding<typeof ReadmitRequestSchema, typeof ReadmitResponseSchema> = {
  kind: 'event',
  method: method.readmit,
  toEvent: (request, context) => {
    requireAllTeams(context)
    const { vm, target } = request
    const origin = createOrigin(method.readmit, request.requestId, context)
    return { kind: 'readmit', call: context.call, origin, vm, target }
  },
  toResponse: answer => create(ReadmitResponseSchema, { targets: expectAnswer(answer, 'targets').count })
}

const getStatus: ReadBinding<typeof GetStatusRequestSchema, typeof GetStatusResponseSchema> = {
  kind: 'read',
  method: method.getStatus,
  read: (_request, _context, state) => createStatusResponse(state, NO_FACTS)
}

const listAudit: ReadBinding<typeof ListAuditRequestSchema, typeof ListAuditResponseSchema> = {
  kind: 'read',
  method: method.listAudit,
  read: (request, context, state) => {
    requireAllTeams(context)
    return create(ListAuditResponseSchema, { entries: selectAuditEntries(state.audit, request).map(fromAuditEntry) })
  }
}

export const cellBindings: readonly Binding[] = [drain, readmit, getStatus, listAudit]

/** Creates the status of the cell from the replicated state and the facts of the leading process. */
export function createStatusResponse (state: ClusterState, facts: CellFacts): GetStatusResponse {
  const usageByTarget = new Map<string, { reserved: Resources, tasks: number }>()
  let waiting = 0
  let running = 0
  for (const { ended, spec, tasks } of state.workloads.values()) {
    if (ended) continue
    for (const task of tasks) {
      if (task.phase === TaskPhase.waiting) waiting += 1
      if (task.phase === TaskPhase.running) running += 1
      if (!isAssigned(task)) continue
      const usage = usageByTarget.get(task.target) ?? { reserved: { ...NO_RESOURCES }, tasks: 0 }
      addResources(usage.reserved, spec.resources)
      usage.tasks += 1
      usageByTarget.set(task.target, usage)
    }
  }
  const reserved = { ...NO_RESOURCES }
  for (const usage of usageByTarget.values()) addResources(reserved, usage.reserved)
  const targets = [...state.targets.values()]
  const workers = targets.filter(target => target.kind === TargetKind.worker).length
  return create(GetStatusResponseSchema, {
    leader: facts.leader,
    term: BigInt(facts.term),
    committed: BigInt(facts.committed),
    workers,
    runners: targets.length - workers,
    entries: facts.entries,
    tasksWaiting: waiting,
    tasksRunning: running,
    capacity: fromResources(sumCapacity(state)),
    reserved: fromResources(reserved),
    warnings: facts.warnings,
    targets: targets.map(target => fromTarget(target, usageByTarget.get(target.name)))
  })
}

function fromTarget (
  target: TargetState,
  usage: { reserved: Resources, tasks: number } | undefined
): MessageInitShape<typeof TargetStatusSchema> {
  const { name, vm, rack, availabilityZone, kind, phase } = target
  return {
    name,
    vm,
    rack,
    availabilityZone,
    kind,
    phase,
    capacity: fromResources(target.capacity),
    reserved: fromResources(usage?.reserved ?? NO_RESOURCES),
    tasks: usage?.tasks ?? 0
  }
}

/** One page of the matching entries with numbers above `after`, in ascending order: the first ones, or the last ones if `latest` is set. */
function selectAuditEntries (audit: readonly AuditEntry[], request: ListAuditRequest): AuditEntry[] {
  const limit = resolvePageSize(request.limit)
  const after = Number(request.after)
  const selected: AuditEntry[] = []
  for (let offset = 0; offset < audit.length && selected.length < limit; offset += 1) {
    const entry = request.latest ? audit[audit.length - 1 - offset] : audit[offset]
    if (entry.number > after && matchesAuditFilter(entry, request)) selected.push(entry)
  }
  return request.latest ? selected.reverse() : selected
}

function matchesAuditFilter (entry: AuditEntry, request: ListAuditRequest): boolean {
  if (request.actor !== '' && entry.actor !== request.actor) return false
  if (request.method !== '' && entry.method !== request.method) return false
  return request.subject === '' || entry.subject === request.subject
}

function fromAuditEntry (entry: AuditEntry): MessageInitShape<typeof AuditEntrySchema> {
  const { actor, method, subject, before, after, refusal, requestId } = entry
  return {
    number: BigInt(entry.number),
    timeMs: BigInt(Math.round(entry.timeMs)),
    actor,
    method,
    subject,
    before,
    after,
    refusal,
    requestId
  }
}
