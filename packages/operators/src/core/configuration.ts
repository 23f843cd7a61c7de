/**
 * Bindings for what operators configure: teams, placement policies and documents.
 */

import { create, type MessageInitShape } from '@bufbuild/protobuf'
import {
  expectAnswer, fromKind, fromResources, canReadTeam, createOrigin, requireAllTeams, toKind, toResources, type Binding,
  type EventBinding, type ReadBinding
} from '@flamingorouter/rpc'
import {
  ErrorKind, fail, NO_RESOURCES, type ClusterState, type PolicyState, type Resources, type TeamState
} from '@flamingorouter/scheduler'
import {
  GetConfigurationResponseSchema, ListPoliciesResponseSchema, ListTeamsResponseSchema, OperatorService,
  PutConfigurationResponseSchema, PutPolicyResponseSchema, PutTeamResponseSchema, type GetConfigurationRequestSchema,
  type ListPoliciesRequestSchema, type ListTeamsRequestSchema, type Policy, type PolicySchema,
  type PutConfigurationRequestSchema, type PutPolicyRequestSchema, type PutTeamRequestSchema, type Team, type TeamUsageSchema
} from '@flamingorouter/schema'
import { addResources, isAssigned, sumCapacity } from './resource-sums.js'

/** Weight of a team whose request has weight 0. */
const DEFAULT_TEAM_WEIGHT = 100

const { method } = OperatorService

const putTeam: EventBinding<typeof PutTeamRequestSchema, typeof PutTeamResponseSchema> = {
  kind: 'event',
  method: method.putTeam,
  toEvent: (request, context) => {
    requireAllTeams(context)
    return {
      kind: 'putTeam',
      call: context.call,
      origin: createOrigin(method.putTeam, request.requestId, context),
      team: toTeam(request.team as Team),
      expectedVersion: Number(request.expectedVersion)
    }
  },
  toResponse: answer => create(PutTeamResponseSchema, { version: BigInt(expectAnswer(answer, 'applied').version) })
}

const listTeams: ReadBinding<typeof ListTeamsRequestSchema, typeof ListTeamsResponseSchema> = {
  kind: 'read',
  method: method.listTeams,
  read: (_request, context, state) => {
    const capacity = sumCapacity(state)
    const used = sumUsageByTeam(state)
    const teams = [...state.teams.values()].filter(team => canReadTeam(team.name, context))
    return create(ListTeamsResponseSchema, {
      teams: teams.map(team => fromTeam(team, used.get(team.name) ?? NO_RESOURCES, capacity))
    })
  }
}

const putPolicy: EventBinding<typeof PutPolicyRequestSchema, typeof PutPolicyResponseSchema> = {
  kind: 'event',
  method: method.putPolicy,
  toEvent: (request, context) => {
    requireAllTeams(context)
    return {
      kind: 'putPolicy',
      call: context.call,
      origin: createOrigin(method.putPolicy, request.requestId, context),
      policy: toPolicy(request.policy as Policy),
      expectedVersion: Number(request.expectedVersion)
    }
  },
  toResponse: answer => create(PutPolicyResponseSchema, { version: BigInt(expectAnswer(answer, 'applied').version) })
}

const listPolicies: ReadBinding<typeof ListPoliciesRequestSchema, typeof ListPoliciesResponseSchema> = {
  kind: 'read',
  method: method.listPolicies,
  read: (_request, _context, state) => create(ListPoliciesResponseSchema, {
    policies: [...state.policies.values()].map(fromPolicy)
  })
}

const putConfiguration: EventBinding<typeof PutConfigurationRequestSchema, typeof PutConfigurationResponseSchema> = {
  kind: 'event',
  method: method.putConfiguration,
  toEvent: (request, context) => {
    requireAllTeams(context)
    return {
      kind: 'putDocument',
      call: context.call,
      origin: createOrigin(method.putConfiguration, request.requestId, context),
      document: { name: request.name, version: 0, document: request.document },
      expectedVersion: Number(request.expectedVersion)
    }
  },
  toResponse: answer => create(PutConfigurationResponseSchema, { version: BigInt(expectAnswer(answer, 'applied').version) })
}

const getConfiguration: ReadBinding<typeof GetConfigurationRequestSchema, typeof GetConfigurationResponseSchema> = {
  kind: 'read',
  method: method.getConfiguration,
  read: (request, _context, state) => {
    const document = state.documents.get(request.name)
    if (document === undefined) fail(ErrorKind.notFound, `there is no configuration document ${request.name}`)
    const { name, version, document: text } = document
    return create(GetConfigurationResponseSchema, { name, version: BigInt(version), document: text })
  }
}

export const configurationBindings: readonly Binding[] =
  [putTeam, listTeams, putPolicy, listPolicies, putConfiguration, getConfiguration]

function toTeam (message: Team): TeamState {
  return {
    name: message.name,
    firm: message.firm,
    quota: toResources(message.quota),
    weight: message.weight === 0 ? DEFAULT_TEAM_WEIGHT : message.weight,
    version: 0
  }
}

function fromTeam (team: TeamState, used: Resources, capacity: Resources): MessageInitShape<typeof TeamUsageSchema> {
  return {
    team: { ...team, quota: fromResources(team.quota), version: BigInt(team.version) },
    used: fromResources(used),
    dominantShare: computeDominantShare(used, capacity)
  }
}

function toPolicy (message: Policy): PolicyState {
  const { name, firm, strategy, maxPerVm, maxPerRack, preempts } = message
  return { name, kind: toKind(message.kind), firm, strategy, maxPerVm, maxPerRack, preempts, version: 0 }
}

function fromPolicy (policy: PolicyState): MessageInitShape<typeof PolicySchema> {
  return { ...policy, kind: fromKind(policy.kind), version: BigInt(policy.version) }
}

/** Resources of the assigned tasks of each team. */
function sumUsageByTeam (state: ClusterState): Map<string, Resources> {
  const used = new Map<string, Resources>()
  for (const { ended, spec, tasks } of state.workloads.values()) {
    if (ended) continue
    const assignedCount = tasks.filter(isAssigned).length
    const sum = used.get(spec.team) ?? { ...NO_RESOURCES }
    addResources(sum, spec.resources, assignedCount)
    used.set(spec.team, sum)
  }
  return used
}

/**
 * The used share of the capacity, in the dimension in which it is largest. A dimension without
 * capacity counts as 0; the share exceeds 1 if more is used than the current capacity.
 */
function computeDominantShare (used: Resources, capacity: Resources): number {
  const computeShare = (amount: number, total: number): number => total > 0 ? amount / total : 0
  return Math.max(
    computeShare(used.millicores, capacity.millicores),
    computeShare(used.memoryMib, capacity.memoryMib),
    computeShare(used.accelerators, capacity.accelerators)
  )
}
