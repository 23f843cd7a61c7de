/**
 * RPC bindings for the sessions of targets: announce, renew and leave.
 */

import { create } from '@bufbuild/protobuf'
import { ANONYMOUS_NAME, expectAnswer, toResources, type Binding, type CallContext, type EventBinding } from '@flamingorouter/rpc'
import { ErrorKind, fail, NO_RESOURCES, TargetKind, TaskResult, type Announcement } from '@flamingorouter/scheduler'
import {
  AnnounceResponseSchema, LeaveResponseSchema, RenewResponseSchema, TargetService, TaskResult as TaskResultMessage,
  type AnnounceRequest, type AnnounceRequestSchema, type LeaveRequestSchema, type RenewRequestSchema
} from '@flamingorouter/schema'

const RESULTS_BY_MESSAGE: Readonly<Record<TaskResultMessage, TaskResult>> = Object.freeze({
  [TaskResultMessage.UNSPECIFIED]: TaskResult.failed,
  [TaskResultMessage.SUCCEEDED]: TaskResult.succeeded,
  [TaskResultMessage.FAILED]: TaskResult.failed,
  [TaskResultMessage.STOPPED]: TaskResult.stopped,
  [TaskResultMessage.CHECKPOINTED]: TaskResult.checkpointed,
  [TaskResultMessage.REFUSED]: TaskResult.refused
})

const announce: EventBinding<typeof AnnounceRequestSchema, typeof AnnounceResponseSchema> = {
  kind: 'event',
  method: TargetService.method.announce,
  toEvent: (request, context) => {
    requireOwnName(request.name, context)
    return { kind: 'announce', call: context.call, entry: context.entry, announcement: toAnnouncement(request) }
  },
  toResponse: answer => {
    const { session, fence, leaseMs, renewEveryMs } = expectAnswer(answer, 'session')
    return create(AnnounceResponseSchema, { session, fence: BigInt(fence), leaseMs, renewEveryMs })
  }
}

const renew: EventBinding<typeof RenewRequestSchema, typeof RenewResponseSchema> = {
  kind: 'event',
  method: TargetService.method.renew,
  toEvent: (request, context) => {
    requireOwnName(request.name, context)
    return {
      kind: 'renew',
      call: context.call,
      entry: context.entry,
      name: request.name,
      session: request.session,
      running: request.running.map(({ task, attempt, usage }) => ({ task, attempt, usage: toResources(usage) })),
      ended: request.ended.map(({ task, attempt, result, reason, runMs }) =>
        ({ task, attempt, result: RESULTS_BY_MESSAGE[result], reason, runMs: Number(runMs) }))
    }
  },
  toResponse: answer => {
    const { leaseMs, acknowledged, sessionOver } = expectAnswer(answer, 'renewed')
    return create(RenewResponseSchema, { leaseMs, acknowledged, sessionOver })
  }
}

const leave: EventBinding<typeof LeaveRequestSchema, typeof LeaveResponseSchema> = {
  kind: 'event',
  method: TargetService.method.leave,
  toEvent: (request, context) => {
    requireOwnName(request.name, context)
    const { name, session, reason } = request
    return { kind: 'leave', call: context.call, name, session, reason }
  },
  toResponse: answer => create(LeaveResponseSchema, { inFlight: expectAnswer(answer, 'left').inFlight })
}

export const targetBindings: readonly Binding[] = [announce, renew, leave]

/**
 * Fails with permissionDenied if a caller acts for a target other than itself. The
 * target's name must equal the name in the caller's token, or continue it after a
 * dot, dash, colon or at-sign, so that the targets of one fleet can share a token. An
 * anonymous caller may act for any target.
 */
function requireOwnName (name: string, context: CallContext): void {
  const { actor } = context
  if (actor === ANONYMOUS_NAME || name === actor) return
  if (name.startsWith(actor) && '.-:@'.includes(name[actor.length])) return
  fail(ErrorKind.permissionDenied, `${actor} may not act for target ${name}`)
}

function toAnnouncement (request: AnnounceRequest): Announcement {
  const { name, vm, rack, availabilityZone, address, runner } = request
  return {
    name,
    kind: runner === undefined ? TargetKind.worker : TargetKind.runner,
    incarnation: Number(request.incarnation),
    vm,
    rack,
    availabilityZone,
    address,
    capacity: request.worker === undefined ? { ...NO_RESOURCES } : toResources(request.worker.capacity),
    service: runner?.service ?? '',
    slots: runner?.slots ?? 0,
    connections: runner?.connections ?? 0
  }
}
