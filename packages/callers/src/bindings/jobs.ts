/**
 * Bindings of the job methods: callers submit, watch and cancel batch and gang workloads.
 */

import { create } from '@bufbuild/protobuf'
import {
  expectAnswer, findWorkload, fromWorkload, createOrigin, requireTeam, toSpec, createVmLookup, type Binding, type EventBinding,
  type ReadBinding
} from '@flamingorouter/rpc'
import {
  CallerService, CancelJobsResponseSchema, SubmitJobResponseSchema, WatchJobResponseSchema, type CancelJobsRequestSchema,
  type SubmitJobRequestSchema, type WatchJobRequestSchema, type WorkloadSpec
} from '@flamingorouter/schema'

const submitJob: EventBinding<typeof SubmitJobRequestSchema, typeof SubmitJobResponseSchema> = {
  kind: 'event',
  method: CallerService.method.submitJob,
  toEvent: (request, context) => {
    const spec = toSpec(request.spec as WorkloadSpec, context.team)
    requireTeam(spec.team, context)
    const origin = createOrigin(CallerService.method.submitJob, request.requestId, context)
    return { kind: 'submitJob', call: context.call, origin, spec }
  },
  toResponse: answer => create(SubmitJobResponseSchema, { id: expectAnswer(answer, 'applied').id })
}

const watchJob: ReadBinding<typeof WatchJobRequestSchema, typeof WatchJobResponseSchema> = {
  kind: 'read',
  method: CallerService.method.watchJob,
  read: (request, context, state) => {
    const workload = findWorkload(state, request.id, context)
    return create(WatchJobResponseSchema, {
      status: fromWorkload(workload, { tasks: true, vmOf: createVmLookup(state) }),
      change: BigInt(workload.change)
    })
  },
  waitMs: request => request.afterChange === 0n ? 0 : request.waitMs,
  isChanged: (request, state) => {
    const workload = state.workloads.get(request.id)
    return workload === undefined || BigInt(workload.change) > request.afterChange
  }
}

const cancelJobs: EventBinding<typeof CancelJobsRequestSchema, typeof CancelJobsResponseSchema> = {
  kind: 'event',
  method: CallerService.method.cancelJobs,
  toEvent: (request, context) => ({
    kind: 'cancelJobs',
    call: context.call,
    origin: createOrigin(CallerService.method.cancelJobs, request.requestId, context),
    id: request.id,
    selector: request.selector,
    team: context.team
  }),
  toResponse: answer => create(CancelJobsResponseSchema, { cancelled: expectAnswer(answer, 'cancelled').count })
}

export const callerBindings: readonly Binding[] = [submitJob, watchJob, cancelJobs]
