/**
 * Commands for the cell as a whole: drains, members, status and audit.
 */

import { randomUUID } from 'node:crypto'
import { command, number, option, optional, positional, string, subcommands } from 'cmd-ts'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import {
  GetStatusResponseSchema, ListAuditResponseSchema, ListMembersResponseSchema, OperatorService, type ListMembersResponse
} from '@flamingorouter/schema'
import { withCell } from '../core/cell-access.js'
import { printStatus, watchStatus } from '../core/status.js'
import { printMessage, printResult } from '../utils/messages.js'
import { cellOptions, requestIdOption, switchOption } from '../utils/options.js'
import { OutputFormat, replaceControlCharacters, printTable } from '../utils/output.js'

const { method } = OperatorService

const DEFAULT_AUDIT_LIMIT = 50

const drainScopeArguments = {
  vm: option({ type: optional(string), long: 'vm', description: 'VM with all of its targets' }),
  target: option({ type: optional(string), long: 'target', description: 'one target' })
}

function parseDrainScope (args: { vm: string | undefined, target: string | undefined }): { vm: string, target: string } {
  if ((args.vm === undefined) === (args.target === undefined)) fail(ErrorKind.invalidArgument, 'give exactly one of --vm and --target')
  return { vm: args.vm ?? '', target: args.target ?? '' }
}

export const drainCommand = command({
  name: 'drain',
  description: 'Stop placing work on a VM or a target, and move its work elsewhere',
  args: {
    ...cellOptions,
    ...drainScopeArguments,
    reason: option({ type: string, long: 'reason', defaultValue: () => '', description: 'reason to record in the audit trail' }),
    requestId: requestIdOption
  },
  examples: [{ description: 'Before maintenance', command: 'flamingorouter drain --vm vm-17 --reason "disk change"' }],
  handler: async args => {
    const scope = parseDrainScope(args)
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const { targets } = await cell.call(method.drain, { requestId, ...scope, reason: args.reason })
      printResult(args.output, { targets, requestId }, `${targets} targets are drained and accept no new work`)
    })
  }
})

export const readmitCommand = command({
  name: 'readmit',
  description: 'Place work on a drained VM or target again',
  args: { ...cellOptions, ...drainScopeArguments, requestId: requestIdOption },
  examples: [{ description: 'After maintenance', command: 'flamingorouter readmit --vm vm-17' }],
  handler: async args => {
    const scope = parseDrainScope(args)
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const { targets } = await cell.call(method.readmit, { requestId, ...scope })
      printResult(args.output, { targets, requestId }, `${targets} targets accept work again`)
    })
  }
})

const memberArgument = positional({ type: string, displayName: 'ID', description: 'name of the controller process' })

const membersList = command({
  name: 'list',
  description: 'List the controllers',
  args: cellOptions,
  examples: [{ description: 'Show the leader', command: 'flamingorouter members list' }],
  handler: async args => {
    await withCell(args, async cell => {
      await printMembers(args.output, await cell.call(method.listMembers, {}))
    })
  }
})

const membersAdd = command({
  name: 'add',
  description: 'Add a controller, which becomes a voter once it has caught up',
  args: {
    ...cellOptions,
    id: memberArgument,
    address: option({ type: string, long: 'address', description: 'host:port at which other processes reach the controller' }),
    zone: option({ type: string, long: 'availability-zone', description: 'availability zone of the VM' }),
    requestId: requestIdOption
  },
  examples: [{
    description: 'Replace a lost VM, before the old member is removed',
    command: 'flamingorouter members add entry-13 --address 10.0.1.13:7100 --availability-zone zone-1'
  }],
  handler: async args => {
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const request = { requestId, id: args.id, address: args.address, availabilityZone: args.zone }
      await printMembers(args.output, await cell.call(method.addMember, request))
    })
  }
})

const membersRemove = command({
  name: 'remove',
  description: 'Remove a controller',
  args: { ...cellOptions, id: memberArgument, requestId: requestIdOption },
  examples: [{ description: 'Remove the controller of a lost VM', command: 'flamingorouter members remove entry-3' }],
  handler: async args => {
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      await printMembers(args.output, await cell.call(method.removeMember, { requestId, id: args.id }))
    })
  }
})

export const membersCommand = subcommands({
  name: 'members',
  description: 'Manage the controllers of the group',
  cmds: { list: membersList, add: membersAdd, remove: membersRemove }
})

export const auditCommand = command({
  name: 'audit',
  description: 'Show the latest changes, accepted and refused',
  args: {
    ...cellOptions,
    by: option({ type: optional(string), long: 'by', description: 'only changes of this actor' }),
    method: option({ type: optional(string), long: 'method', description: 'only this method, such as ApplyWorkload' }),
    subject: option({ type: optional(string), long: 'subject', description: 'only changes of this workload, team, VM or document' }),
    after: option({ type: optional(number), long: 'after', description: 'only entries after this number, oldest first' }),
    limit: option({ type: optional(number), long: 'limit', description: 'number of entries, at most 1000; defaults to 50' })
  },
  examples: [{ description: 'Show the changes of a workload', command: 'flamingorouter audit --subject dispatch' }],
  handler: async args => {
    await withCell(args, async cell => {
      const response = await cell.call(method.listAudit, {
        actor: args.by ?? '',
        method: args.method ?? '',
        subject: args.subject ?? '',
        after: BigInt(args.after ?? 0),
        limit: args.limit ?? DEFAULT_AUDIT_LIMIT,
        latest: args.after === undefined
      })
      if (args.output === OutputFormat.json) return printMessage(ListAuditResponseSchema, response)
      await printTable(response.entries, [
        { head: 'NUMBER', cell: entry => entry.number },
        { head: 'TIME', cell: entry => new Date(Number(entry.timeMs)).toISOString() },
        { head: 'ACTOR', cell: entry => entry.actor },
        { head: 'METHOD', cell: entry => entry.method },
        { head: 'SUBJECT', cell: entry => entry.subject },
        { head: 'OUTCOME', cell: entry => entry.refusal === '' ? 'accepted' : entry.refusal },
        { head: 'AFTER', cell: entry => entry.after }
      ])
    })
  }
})

export const statusCommand = command({
  name: 'status',
  description: 'Show the cell: leader, targets, load and warnings',
  args: { ...cellOptions, withTargets: switchOption('targets', 'list every target') },
  examples: [{ description: 'Show the cell with its targets', command: 'flamingorouter status --targets' }],
  handler: async args => {
    await withCell(args, async cell => {
      const status = await cell.call(method.getStatus, {})
      if (args.output === OutputFormat.json) return printMessage(GetStatusResponseSchema, status)
      await printStatus(status, args.withTargets)
    })
  }
})

export const topCommand = command({
  name: 'top',
  description: 'Show the load of the cell and of its most utilized targets periodically',
  args: {
    ...cellOptions,
    everyMs: option({ type: number, long: 'every-ms', defaultValue: () => 2_000, defaultValueIsSerializable: true, description: 'interval between two reads' }),
    rounds: option({ type: number, long: 'rounds', defaultValue: () => 0, defaultValueIsSerializable: true, description: 'number of reads; 0 continues until interrupted' })
  },
  examples: [{ description: 'Watch the load of the cell', command: 'flamingorouter top' }],
  handler: async args => {
    await withCell(args, cell => watchStatus(cell, args.output, args))
  }
})

async function printMembers (output: OutputFormat, response: ListMembersResponse): Promise<void> {
  if (output === OutputFormat.json) return printMessage(ListMembersResponseSchema, response)
  await printTable(response.members, [
    { head: 'ID', cell: ({ id }) => id },
    { head: 'ADDRESS', cell: ({ address }) => address },
    { head: 'ZONE', cell: ({ availabilityZone }) => availabilityZone },
    { head: 'ROLE', cell: ({ role, leader }) => leader ? `${role}, leads` : role },
    { head: 'MATCH', cell: ({ matchIndex }) => matchIndex }
  ])
  for (const warning of response.warnings) process.stderr.write(`warning: ${replaceControlCharacters(warning)}\n`)
}
