/**
 * Commands for configuration documents, teams and policies.
 */

import { randomUUID } from 'node:crypto'
import { command, positional, string, subcommands } from 'cmd-ts'
import { ErrorKind, isFailure } from '@flamingorouter/scheduler'
import {
  GetConfigurationResponseSchema, GetConfigurationStatusResponseSchema, ListPoliciesResponseSchema,
  ListTeamsResponseSchema, OperatorService, PolicySchema, TeamSchema, WorkloadKindSchema, type Resources
} from '@flamingorouter/schema'
import { withCell } from '../core/cell-access.js'
import type { CellClient } from '../core/cell-client.js'
import { readDocument, readMessage, formatEnumValue } from '../core/documents.js'
import { printMessage, printResult } from '../utils/messages.js'
import { cellOptions, expectedVersionOption, requestIdOption } from '../utils/options.js'
import { OutputFormat, printTable } from '../utils/output.js'

const { method } = OperatorService
const nameArgument = positional({ type: string, displayName: 'NAME', description: 'name of the document' })
const fileArgument = positional({ type: string, displayName: 'FILE', description: 'JSON file; - reads standard input' })

const changeArguments = { ...cellOptions, file: fileArgument, expectedVersion: expectedVersionOption, requestId: requestIdOption }

/** Formats millicores, MiB of memory and accelerators, as in `4000m 16384Mi 1a`. */
export function formatResources (resources: Resources | undefined): string {
  const { millicores = 0, memoryMib = 0, accelerators = 0 } = resources ?? {}
  return `${millicores}m ${memoryMib}Mi ${accelerators}a`
}

const configGet = command({
  name: 'get',
  description: 'Print a configuration document',
  args: { ...cellOptions, name: nameArgument },
  examples: [{ description: 'Save a copy', command: 'flamingorouter config get limits > limits.json' }],
  handler: async args => {
    await withCell(args, async cell => {
      const response = await cell.call(method.getConfiguration, { name: args.name })
      if (args.output === OutputFormat.json) return printMessage(GetConfigurationResponseSchema, response)
      process.stdout.write(`${response.document}\n`)
      process.stderr.write(`version ${response.version}\n`)
    })
  }
})

const configPut = command({
  name: 'put',
  description: 'Replace a configuration document',
  args: { ...cellOptions, name: nameArgument, file: fileArgument, expectedVersion: expectedVersionOption, requestId: requestIdOption },
  examples: [{ description: 'Replace the limits', command: 'flamingorouter config put limits limits.json' }],
  handler: async args => {
    const document = readDocument(args.file)
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const expectedVersion = BigInt(args.expectedVersion ?? await findDocumentVersion(cell, args.name))
      const request = { requestId, name: args.name, expectedVersion, document }
      const { version } = await cell.call(method.putConfiguration, request)
      printResult(args.output, { name: args.name, version, requestId }, `${args.name} is at version ${version}`)
    })
  }
})

const configStatus = command({
  name: 'status',
  description: 'Show which version of the configuration is in force in each process',
  args: cellOptions,
  examples: [{ description: 'Check whether a change is in force everywhere', command: 'flamingorouter config status' }],
  handler: async args => {
    await withCell(args, async cell => {
      const response = await cell.call(method.getConfigurationStatus, {})
      if (args.output === OutputFormat.json) return printMessage(GetConfigurationStatusResponseSchema, response)
      process.stdout.write(`version ${response.version} is ${response.inForce ? 'in force everywhere' : 'not yet in force everywhere'}\n`)
      await printTable(response.processes, [
        { head: 'PROCESS', cell: ({ process }) => process },
        { head: 'VERSION', cell: ({ version }) => version },
        { head: 'LAST SEEN MS AGO', cell: ({ ageMs }) => ageMs },
        { head: 'LIVE', cell: ({ live }) => live ? 'yes' : 'no' }
      ])
    })
  }
})

export const configCommand = subcommands({
  name: 'config',
  description: 'Configuration documents',
  cmds: { get: configGet, put: configPut, status: configStatus }
})

const teamList = command({
  name: 'list',
  description: 'List teams with their quotas and usage',
  args: cellOptions,
  examples: [{ description: 'See which teams use the cell', command: 'flamingorouter team list' }],
  handler: async args => {
    await withCell(args, async cell => {
      const response = await cell.call(method.listTeams, {})
      if (args.output === OutputFormat.json) return printMessage(ListTeamsResponseSchema, response)
      await printTable(response.teams, [
        { head: 'TEAM', cell: ({ team }) => team?.name ?? '' },
        { head: 'FIRM', cell: ({ team }) => team?.firm ?? '' },
        { head: 'WEIGHT', cell: ({ team }) => team?.weight ?? 0 },
        { head: 'QUOTA', cell: ({ team }) => formatResources(team?.quota) },
        { head: 'USED', cell: ({ used }) => formatResources(used) },
        { head: 'SHARE', cell: ({ dominantShare }) => `${(dominantShare * 100).toFixed(1)}%` },
        { head: 'VERSION', cell: ({ team }) => team?.version ?? 0 }
      ])
    })
  }
})

const teamPut = command({
  name: 'put',
  description: 'Create or change a team',
  args: changeArguments,
  examples: [{ description: 'Set a quota', command: 'flamingorouter team put dispatch-team.json' }],
  handler: async args => {
    const team = readMessage(TeamSchema, args.file)
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const expectedVersion = BigInt(args.expectedVersion ?? await findTeamVersion(cell, team.name))
      const { version } = await cell.call(method.putTeam, { requestId, team, expectedVersion })
      printResult(args.output, { name: team.name, version, requestId }, `${team.name} is at version ${version}`)
    })
  }
})

export const teamCommand = subcommands({
  name: 'team',
  description: 'Teams and their quotas',
  cmds: { list: teamList, put: teamPut }
})

const policyList = command({
  name: 'list',
  description: 'List placement policies',
  args: cellOptions,
  examples: [{ description: 'List all policies', command: 'flamingorouter policy list' }],
  handler: async args => {
    await withCell(args, async cell => {
      const response = await cell.call(method.listPolicies, {})
      if (args.output === OutputFormat.json) return printMessage(ListPoliciesResponseSchema, response)
      await printTable(response.policies, [
        { head: 'POLICY', cell: ({ name }) => name },
        { head: 'KIND', cell: ({ kind }) => formatEnumValue(WorkloadKindSchema, kind) },
        { head: 'FIRM', cell: ({ firm }) => firm },
        { head: 'STRATEGY', cell: ({ strategy }) => strategy },
        { head: 'PER VM', cell: ({ maxPerVm }) => maxPerVm },
        { head: 'PER RACK', cell: ({ maxPerRack }) => maxPerRack },
        { head: 'PREEMPTS', cell: ({ preempts }) => preempts ? 'yes' : 'no' },
        { head: 'VERSION', cell: ({ version }) => version }
      ])
    })
  }
})

const policyPut = command({
  name: 'put',
  description: 'Create or change a placement policy',
  args: changeArguments,
  examples: [{ description: 'Spread the services of a firm', command: 'flamingorouter policy put spread.json' }],
  handler: async args => {
    const policy = readMessage(PolicySchema, args.file)
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const expectedVersion = BigInt(args.expectedVersion ?? await findPolicyVersion(cell, policy.name))
      const { version } = await cell.call(method.putPolicy, { requestId, policy, expectedVersion })
      printResult(args.output, { name: policy.name, version, requestId }, `${policy.name} is at version ${version}`)
    })
  }
})

export const policyCommand = subcommands({
  name: 'policy',
  description: 'Placement policies',
  cmds: { list: policyList, put: policyPut }
})

/** The current version of a document; 0 if it does not exist, since a request that creates it must expect version 0. */
async function findDocumentVersion (cell: CellClient, name: string): Promise<bigint> {
  try {
    return (await cell.call(method.getConfiguration, { name })).version
  } catch (thrown) {
    if (isFailure(thrown) && thrown.kind === ErrorKind.notFound) return 0n
    throw thrown
  }
}

async function findTeamVersion (cell: CellClient, name: string): Promise<bigint> {
  const { teams } = await cell.call(method.listTeams, {})
  return teams.find(({ team }) => team?.name === name)?.team?.version ?? 0n
}

async function findPolicyVersion (cell: CellClient, name: string): Promise<bigint> {
  const { policies } = await cell.call(method.listPolicies, {})
  return policies.find(policy => policy.name === name)?.version ?? 0n
}
