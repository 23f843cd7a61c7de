/**
 * Bindings for workloads: apply, get, list, watch, delete and explain.
 */

import { create } from '@bufbuild/protobuf'
import {
  expectAnswer, findWorkload, fromWorkload, matchesLabels, canReadTeam, createOrigin, resolvePageSize, requireAllTeams, requireTeam,
  toKind, toSpec, createVmLookup, type Binding, type EventBinding, type ReadBinding
} from '@flamingorouter/rpc'
import type { ClusterState, WorkloadState } from '@flamingorouter/scheduler'
import {
  ApplyWorkloadResponseSchema, DeleteWorkloadResponseSchema, ExplainResponseSchema, GetWorkloadResponseSchema,
  ListWorkloadsResponseSchema, OperatorService, type ApplyWorkloadRequestSchema, type DeleteWorkloadRequestSchema,
  type ExplainRequestSchema, type GetWorkloadRequestSchema, type ListWorkloadsRequest, type ListWorkloadsRequestSchema,
  type ListWorkloadsResponse, type WatchWorkloadsRequestSchema, type WorkloadSpec
} from '@flamingorouter/schema'

const { method } = OperatorService

/** The id of a workload applied by an operator is the name in its specification. */
const applyWorkload: EventBinding<typeof ApplyWorkloadRequestSchema, typeof ApplyWorkloadResponseSchema> = {
  kind: 'event',
  method: method.applyWorkload,
  toEvent: (request, context) => {
    const spec = toSpec(request.spec as WorkloadSpec, context.team)
    requireTeam(spec.team, context)
    return {
      kind: 'applyWorkload',
      call: context.call,
      origin: createOrigin(method.applyWorkload, request.requestId, context),
      id: spec.name,
      spec,
      expectedVersion: Number(request.expectedVersion)
    }
  },
  toResponse: answer => {
    const { id, version } = expectAnswer(answer, 'applied')
    return create(ApplyWorkloadResponseSchema, { id, version: BigInt(version) })
  }
}

const getWorkload: ReadBinding<typeof GetWorkloadRequestSchema, typeof GetWorkloadResponseSchema> = {
  kind: 'read',
  method: method.getWorkload,
  read: (request, context, state) => create(GetWorkloadResponseSchema, {
    status: fromWorkload(findWorkload(state, request.id, context), { tasks: true, vmOf: createVmLookup(state) })
  })
}

const listWorkloads: ReadBinding<typeof ListWorkloadsRequestSchema, typeof ListWorkloadsResponseSchema> = {
  kind: 'read',
  method: method.listWorkloads,
  read: (request, context, state) => {
    const isMatch = (workload: WorkloadState): boolean =>
      canReadTeam(workload.spec.team, context) && matchesFilter(workload, request)
    return createListResponse(state, selectFirst(state, isMatch, request.afterId, resolvePageSize(request.limit)))
  }
}

const watchWorkloads: ReadBinding<typeof WatchWorkloadsRequestSchema, typeof ListWorkloadsResponseSchema> = {
  kind: 'read',
  method: method.watchWorkloads,
  read: (request, context, state) => {
    const after = Number(request.afterChange)
    const changed = [...state.workloads.values()]
      .filter(workload => workload.change > after && canReadTeam(workload.spec.team, context))
    return createListResponse(state, changed)
  },
  waitMs: request => request.waitMs,
  isChanged: (request, state) => {
    const after = Number(request.afterChange)
    for (const workload of state.workloads.values()) {
      if (workload.change > after) return true
    }
    return false
  }
}

const deleteWorkload: EventBinding<typeof DeleteWorkloadRequestSchema, typeof DeleteWorkloadResponseSchema> = {
  kind: 'event',
  method: method.deleteWorkload,
  toEvent: (request, context) => {
    requireAllTeams(context)
    return {
      kind: 'deleteWorkload',
      call: context.call,
      origin: createOrigin(method.deleteWorkload, request.requestId, context),
      id: request.id,
      expectedVersion: Number(request.expectedVersion)
    }
  },
  toResponse: answer => create(DeleteWorkloadResponseSchema, { version: BigInt(expectAnswer(answer, 'applied').version) })
}

const explain: EventBinding<typeof ExplainRequestSchema, typeof ExplainResponseSchema> = {
  kind: 'event',
  method: method.explain,
  toEvent: (request, context) => {
    requireAllTeams(context)
    return { kind: 'explain', call: context.call, id: request.id }
  },
  toResponse: answer => create(ExplainResponseSchema, expectAnswer(answer, 'explained'))
}

export const workloadBindings: readonly Binding[] =
  [applyWorkload, getWorkload, listWorkloads, watchWorkloads, deleteWorkload, explain]

function createListResponse (state: ClusterState, workloads: readonly WorkloadState[]): ListWorkloadsResponse {
  const vmOf = createVmLookup(state)
  return create(ListWorkloadsResponseSchema, {
    workloads: workloads.map(workload => fromWorkload(workload, { tasks: false, vmOf })),
    change: BigInt(state.change)
  })
}

function matchesFilter ({ spec }: WorkloadState, request: ListWorkloadsRequest): boolean {
  const kind = toKind(request.kind)
  if (kind !== '' && spec.kind !== kind) return false
  if (request.team !== '' && spec.team !== request.team) return false
  return matchesLabels(spec.labels, request.selector)
}

/**
 * The first `limit` matching workloads in the order of their ids, after `afterId`. Collects at
 * most `2 * limit` ids at a time, so that a page does not require sorting all workloads.
 */
function selectFirst (
  state: ClusterState,
  isMatch: (workload: WorkloadState) => boolean,
  afterId: string,
  limit: number
): WorkloadState[] {
  let candidateIds: string[] = []
  let upperBound: string | undefined
  for (const [id, workload] of state.workloads) {
    if (id <= afterId || (upperBound !== undefined && id >= upperBound) || !isMatch(workload)) continue
    candidateIds.push(id)
    if (candidateIds.length < limit * 2) continue
    candidateIds = candidateIds.sort().slice(0, limit)
    upperBound = candidateIds[limit - 1]
  }
  return candidateIds.sort().slice(0, limit).map(id => state.workloads.get(id) as WorkloadState)
}
