/**
 * Methods that the leading controller cannot answer from the durable state alone:
 * membership, the status of the group, and the configuration that each process has in force.
 */

import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { createStatusResponse } from '@flamingorouter/operators'
import { createOrigin, requireAllTeams, type CallContext } from '@flamingorouter/rpc'
import { isAnswered, toFailure, type ChangeOrigin } from '@flamingorouter/scheduler'
import {
  GetConfigurationStatusResponseSchema, GetStatusResponseSchema, ListMembersResponseSchema, OperatorService, type Member
} from '@flamingorouter/schema'
import type { ReplicaStatus } from '@flamingorouter/controllers'
import type { Controller } from './controller.js'
import { monotonicNow } from './clock.js'

export type LocalMethod = (request: Uint8Array, context: CallContext, controller: Controller) => Promise<Uint8Array>

/** Warnings about a loss that would cost the quorum: of one availability zone, or of any voter when there are too few. */
export function listMemberWarnings (status: ReplicaStatus): string[] {
  const voters = status.members.filter(member => member.role === 'voter')
  const byZone = new Map<string, number>()
  for (const voter of voters) byZone.set(voter.availabilityZone, (byZone.get(voter.availabilityZone) ?? 0) + 1)
  const warnings: string[] = []
  for (const [zone, count] of byZone) {
    if (count * 2 >= voters.length && voters.length > 1) {
      warnings.push(`availability zone ${zone} holds ${count} of ${voters.length} voters; losing it loses the quorum`)
    }
  }
  if (voters.length < 3) warnings.push(`${voters.length} voters cannot survive the loss of one`)
  return warnings
}

function listMembers (status: ReplicaStatus): Member[] {
  return status.members.map(member => ({
    $typeName: 'flamingorouter.operators.v1.Member',
    id: member.id,
    address: member.address,
    availabilityZone: member.availabilityZone,
    role: member.role,
    leader: member.id === status.leader,
    matchIndex: BigInt(status.matchIndex[member.id] ?? 0)
  }))
}

async function answerMembers (controller: Controller): Promise<Uint8Array> {
  const status = controller.replica.status()
  return toBinary(ListMembersResponseSchema, create(ListMembersResponseSchema, {
    members: listMembers(status),
    warnings: listMemberWarnings(status)
  }))
}

async function answerAddMember (bytes: Uint8Array, context: CallContext, controller: Controller): Promise<Uint8Array> {
  const request = fromBinary(OperatorService.method.addMember.input, bytes)
  requireAllTeams(context)
  const { id, address, availabilityZone } = request
  const origin = createOrigin(OperatorService.method.addMember, request.requestId, context)
  return await changeMembers(controller, origin, id, async () => {
    await controller.replica.addMember({ id, address, availabilityZone, role: 'learner' })
  })
}

async function answerRemoveMember (bytes: Uint8Array, context: CallContext, controller: Controller): Promise<Uint8Array> {
  const request = fromBinary(OperatorService.method.removeMember.input, bytes)
  requireAllTeams(context)
  const origin = createOrigin(OperatorService.method.removeMember, request.requestId, context)
  return await changeMembers(controller, origin, request.id, async () => {
    await controller.replica.removeMember(request.id)
  })
}

/** Changes the membership unless the call repeats an answered one, and audits the change or its refusal. */
async function changeMembers (
  controller: Controller,
  origin: ChangeOrigin,
  member: string,
  change: () => Promise<void>
): Promise<Uint8Array> {
  if (isAnswered(controller.state, origin)) return await answerMembers(controller)
  const before = describeMember(controller, member)
  const refusal = await change().then(() => undefined, toFailure)
  const after = describeMember(controller, member)
  await controller.ask(call => ({ kind: 'memberChanged', call, origin, member, before, after, refusal }))
  return await answerMembers(controller)
}

function describeMember (controller: Controller, id: string): string {
  const member = controller.replica.status().members.find(each => each.id === id)
  return member === undefined ? '' : JSON.stringify(member)
}

async function answerConfigurationStatus (
  _bytes: Uint8Array,
  _context: CallContext,
  controller: Controller
): Promise<Uint8Array> {
  const version = controller.state.configurationVersion
  await controller.barrier()
  const now = monotonicNow()
  return toBinary(GetConfigurationStatusResponseSchema, create(GetConfigurationStatusResponseSchema, {
    version: BigInt(version),
    inForce: controller.entries.isInForce(version, now),
    processes: controller.entries.list().map(entry => ({
      process: entry.process,
      version: BigInt(entry.configurationVersion),
      ageMs: Math.round(now - entry.lastHeartbeatAt),
      live: controller.entries.isLive(entry, now)
    }))
  }))
}

async function answerStatus (_bytes: Uint8Array, _context: CallContext, controller: Controller): Promise<Uint8Array> {
  const status = controller.replica.status()
  const now = monotonicNow()
  const response = createStatusResponse(controller.state, {
    leader: status.leader,
    term: status.term,
    committed: status.commitIndex,
    entries: controller.entries.list().filter(entry => controller.entries.isLive(entry, now)).length,
    warnings: listMemberWarnings(status)
  })
  await controller.barrier()
  return toBinary(GetStatusResponseSchema, response)
}

/** Creates all local methods, by their full RPC name. */
export function createLocalMethods (): Map<string, LocalMethod> {
  const service = OperatorService.typeName
  return new Map<string, LocalMethod>([
    [`${service}/ListMembers`, async (_bytes, _context, controller) => await answerMembers(controller)],
    [`${service}/AddMember`, answerAddMember],
    [`${service}/RemoveMember`, answerRemoveMember],
    [`${service}/GetConfigurationStatus`, answerConfigurationStatus],
    [`${service}/GetStatus`, answerStatus]
  ])
}
