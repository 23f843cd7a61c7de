/**
 * RPC bindings that convert notices about VMs to the events drain, readmit and vmGone.
 */

import { create } from '@bufbuild/protobuf'
import { expectAnswer, createOrigin, requireAllTeams, type Binding, type CallContext, type EventBinding } from '@flamingorouter/rpc'
import type { Event } from '@flamingorouter/scheduler'
import {
  NotifyVmResponseSchema, PlatformService, VmNotice, type NotifyVmRequest, type NotifyVmRequestSchema
} from '@flamingorouter/schema'

const notifyVm: EventBinding<typeof NotifyVmRequestSchema, typeof NotifyVmResponseSchema> = {
  kind: 'event',
  method: PlatformService.method.notifyVm,
  toEvent,
  toResponse: answer => create(NotifyVmResponseSchema, { targets: expectAnswer(answer, 'targets').count })
}

function toEvent (request: NotifyVmRequest, context: CallContext): Event {
  requireAllTeams(context)
  const { call } = context
  const { vm } = request
  const origin = createOrigin(PlatformService.method.notifyVm, request.requestId, context)
  switch (request.notice) {
    case VmNotice.GONE: return { kind: 'vmGone', call, origin, vm }
    case VmNotice.STOP_CANCELLED: return { kind: 'readmit', call, origin, vm, target: '' }
    default: return { kind: 'drain', call, origin, vm, target: '', reason: `planned stop in ${request.inMs} ms` }
  }
}

export const platformBindings: readonly Binding[] = [notifyVm]
