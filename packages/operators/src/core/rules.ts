/**
 * Validation and access rules for the methods of the operator service.
 */

import type { DescMethodUnary } from '@bufbuild/protobuf'
import {
  address, all, anything, checkReason, checkResources, checkSelector, checkSpec, fields, identifier, integer, jsonObject,
  MAX_PAGE_SIZE, MAX_WAIT_MS, name, oneOf, oneOfFields, optional, required, Role, text, type Check, type MethodRules
} from '@flamingorouter/rpc'
import { StrategyName } from '@flamingorouter/scheduler'
import {
  OperatorService, type AddMemberRequest, type ApplyWorkloadRequest, type DeleteWorkloadRequest, type DrainRequest,
  type ExplainRequest, type GetConfigurationRequest, type GetWorkloadRequest, type ListAuditRequest,
  type ListWorkloadsRequest, type Policy, type PutConfigurationRequest, type PutPolicyRequest, type PutTeamRequest,
  type ReadmitRequest, type RemoveMemberRequest, type Team, type WatchWorkloadsRequest
} from '@flamingorouter/schema'

const MAX_TEAM_WEIGHT = 1_000
const MAX_TASKS_PER_VM_OR_RACK = 10_000
const MAX_DOCUMENT_LENGTH = 256 * 1024
const MAX_FILTER_LENGTH = 128

const ALLOWED_ROLES: readonly Role[] = [Role.operator]

const method = OperatorService.method
const requestId = optional(identifier())
const expectedVersion = integer(0)

function createRules (methodDescriptor: DescMethodUnary<any, any>, check: Check<any>): MethodRules {
  return { method: methodDescriptor, check, roles: ALLOWED_ROLES }
}

const checkTeam = fields<Team>({
  name: name(),
  firm: optional(name()),
  quota: optional(checkResources),
  weight: integer(0, MAX_TEAM_WEIGHT)
})

const checkPolicy = fields<Policy>({
  name: name(),
  firm: optional(name()),
  strategy: oneOf(Object.values(StrategyName)),
  maxPerVm: integer(0, MAX_TASKS_PER_VM_OR_RACK),
  maxPerRack: integer(0, MAX_TASKS_PER_VM_OR_RACK)
})

/** Rules of every method of the operator service. */
export const operatorMethodRules: readonly MethodRules[] = [
  createRules(method.applyWorkload, fields<ApplyWorkloadRequest>({ requestId, spec: required(checkSpec), expectedVersion })),
  createRules(method.getWorkload, fields<GetWorkloadRequest>({ id: identifier() })),
  createRules(method.listWorkloads, fields<ListWorkloadsRequest>({
    team: optional(name()),
    selector: checkSelector,
    limit: integer(0, MAX_PAGE_SIZE),
    afterId: optional(identifier())
  })),
  createRules(method.watchWorkloads, fields<WatchWorkloadsRequest>({ afterChange: integer(0), waitMs: integer(0, MAX_WAIT_MS) })),
  createRules(method.deleteWorkload, fields<DeleteWorkloadRequest>({ requestId, id: identifier(), expectedVersion })),
  createRules(method.putTeam, fields<PutTeamRequest>({ requestId, team: required(checkTeam), expectedVersion })),
  createRules(method.listTeams, anything()),
  createRules(method.putPolicy, fields<PutPolicyRequest>({ requestId, policy: required(checkPolicy), expectedVersion })),
  createRules(method.listPolicies, anything()),
  createRules(method.putConfiguration, fields<PutConfigurationRequest>({
    requestId,
    name: name(),
    expectedVersion,
    document: jsonObject(MAX_DOCUMENT_LENGTH)
  })),
  createRules(method.getConfiguration, fields<GetConfigurationRequest>({ name: name() })),
  createRules(method.getConfigurationStatus, anything()),
  createRules(method.drain, all(
    fields<DrainRequest>({ requestId, vm: optional(name()), target: optional(name()), reason: checkReason }),
    oneOfFields<DrainRequest>(['vm', 'target'])
  )),
  createRules(method.readmit, all(
    fields<ReadmitRequest>({ requestId, vm: optional(name()), target: optional(name()) }),
    oneOfFields<ReadmitRequest>(['vm', 'target'])
  )),
  createRules(method.listMembers, anything()),
  createRules(method.addMember, fields<AddMemberRequest>({
    requestId,
    id: name(),
    address: address(),
    availabilityZone: name()
  })),
  createRules(method.removeMember, fields<RemoveMemberRequest>({ requestId, id: name() })),
  createRules(method.getStatus, anything()),
  createRules(method.explain, fields<ExplainRequest>({ id: identifier() })),
  createRules(method.listAudit, fields<ListAuditRequest>({
    actor: text(MAX_FILTER_LENGTH),
    method: text(MAX_FILTER_LENGTH),
    subject: text(MAX_FILTER_LENGTH),
    after: integer(0),
    limit: integer(0, MAX_PAGE_SIZE)
  }))
]
