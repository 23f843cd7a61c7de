/**
 * Commands for workloads and jobs.
 */

import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { command, number, option, optional, positional, string } from 'cmd-ts'
import { isFailure, ErrorKind } from '@flamingorouter/scheduler'
import {
  CallerService, GetWorkloadResponseSchema, ListWorkloadsResponseSchema, OperatorService, TaskPhaseSchema,
  WorkloadKindSchema, WorkloadSpecSchema, type TaskStatus, type WorkloadStatus
} from '@flamingorouter/schema'
import { withCell } from '../core/cell-access.js'
import type { CellClient } from '../core/cell-client.js'
import { parseEnumValue, readMessage, formatEnumValue } from '../core/documents.js'
import { watchJob, watchWorkloads } from '../core/watch-progress.js'
import { cellOptions, expectedVersionOption, requestIdOption, selectorOption, switchOption } from '../utils/options.js'
import { printMessage, printResult } from '../utils/messages.js'
import { OutputFormat, printTable, type Column } from '../utils/output.js'

const fileArgument = positional({ type: string, displayName: 'FILE', description: 'JSON file with the specification; - reads standard input' })
const idArgument = positional({ type: string, displayName: 'ID', description: 'id of the workload' })

/** Columns of a table with one row per workload. */
export const WORKLOAD_COLUMNS: readonly Column<WorkloadStatus>[] = [
  { head: 'ID', cell: ({ id }) => id },
  { head: 'NAME', cell: ({ spec }) => spec?.name ?? '' },
  { head: 'KIND', cell: ({ spec }) => formatEnumValue(WorkloadKindSchema, spec?.kind ?? 0) },
  { head: 'TEAM', cell: ({ spec }) => spec?.team ?? '' },
  { head: 'VERSION', cell: ({ version }) => version },
  { head: 'WAITING', cell: ({ counts }) => counts?.waiting ?? 0 },
  { head: 'RUNNING', cell: ({ counts }) => (counts?.placed ?? 0) + (counts?.running ?? 0) },
  { head: 'DONE', cell: ({ counts }) => counts?.succeeded ?? 0 },
  { head: 'FAILED', cell: ({ counts }) => (counts?.failed ?? 0) + (counts?.unknown ?? 0) },
  { head: 'STATE', cell: ({ ended, reason }) => ended ? `ended ${reason}`.trim() : reason || 'live' }
]

const TASK_COLUMNS: readonly Column<TaskStatus>[] = [
  { head: 'TASK', cell: ({ index }) => index },
  { head: 'PHASE', cell: ({ phase }) => formatEnumValue(TaskPhaseSchema, phase) },
  { head: 'ATTEMPT', cell: ({ attempt }) => attempt },
  { head: 'VM', cell: ({ vm }) => vm },
  { head: 'REASON', cell: ({ reason }) => reason }
]

export const applyCommand = command({
  name: 'apply',
  description: 'Create or change a workload',
  args: { ...cellOptions, file: fileArgument, expectedVersion: expectedVersionOption, requestId: requestIdOption },
  examples: [
    { description: 'Create or change a service', command: 'flamingorouter apply dispatch.json' },
    { description: 'Change the service only if it is at version 3', command: 'flamingorouter apply dispatch.json --expected-version 3' }
  ],
  handler: async args => {
    const spec = readMessage(WorkloadSpecSchema, args.file)
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const expectedVersion = args.expectedVersion ?? await findVersion(cell, spec.name)
      const request = { requestId, spec, expectedVersion: BigInt(expectedVersion) }
      const { id, version } = await cell.call(OperatorService.method.applyWorkload, request)
      printResult(args.output, { id, version, requestId }, `${id} is at version ${version}`)
    })
  }
})

export const getCommand = command({
  name: 'get',
  description: 'Show one workload with its tasks, or list workloads',
  args: {
    ...cellOptions,
    id: positional({ type: optional(string), displayName: 'ID', description: 'id of the workload' }),
    kind: option({ type: optional(string), long: 'kind', description: 'service, batch or gang' }),
    team: option({ type: optional(string), long: 'team', description: 'team whose quota the workloads use' }),
    selector: selectorOption,
    limit: option({ type: optional(number), long: 'limit', description: 'number of workloads, at most 1000; defaults to 100' }),
    after: option({ type: optional(string), long: 'after', description: 'last id of the previous page' })
  },
  examples: [
    { description: 'List the batch work of a team', command: 'flamingorouter get --kind batch --team dispatch' },
    { description: 'Show one workload', command: 'flamingorouter get route-rebuild -o json' }
  ],
  handler: async args => {
    await withCell(args, async cell => {
      if (args.id !== undefined) {
        const response = await cell.call(OperatorService.method.getWorkload, { id: args.id })
        if (args.output === OutputFormat.json) return printMessage(GetWorkloadResponseSchema, response)
        await printTable([response.status as WorkloadStatus], WORKLOAD_COLUMNS)
        return await printTable(response.status?.tasks ?? [], TASK_COLUMNS)
      }
      const response = await cell.call(OperatorService.method.listWorkloads, {
        kind: args.kind === undefined ? 0 : parseEnumValue(WorkloadKindSchema, args.kind),
        team: args.team ?? '',
        selector: args.selector,
        limit: args.limit ?? 0,
        afterId: args.after ?? ''
      })
      if (args.output === OutputFormat.json) return printMessage(ListWorkloadsResponseSchema, response)
      await printTable(response.workloads, WORKLOAD_COLUMNS)
    })
  }
})

export const deleteCommand = command({
  name: 'delete',
  description: 'End a workload and stop its tasks',
  args: { ...cellOptions, id: idArgument, expectedVersion: expectedVersionOption, requestId: requestIdOption },
  examples: [{ description: 'End a service', command: 'flamingorouter delete dispatch' }],
  handler: async args => {
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const expectedVersion = args.expectedVersion ?? await findVersion(cell, args.id)
      const request = { requestId, id: args.id, expectedVersion: BigInt(expectedVersion) }
      const { version } = await cell.call(OperatorService.method.deleteWorkload, request)
      printResult(args.output, { id: args.id, version, requestId }, `${args.id} is being stopped`)
    })
  }
})

export const explainCommand = command({
  name: 'explain',
  description: 'Explain why the tasks of a workload are waiting',
  args: { ...cellOptions, id: idArgument },
  examples: [{ description: 'Explain why a gang does not start', command: 'flamingorouter explain storm-17' }],
  handler: async args => {
    await withCell(args, async cell => {
      const { summary, constraints } = await cell.call(OperatorService.method.explain, { id: args.id })
      if (args.output === OutputFormat.json) return printResult(args.output, { summary, constraints }, '')
      process.stdout.write(`${summary}\n`)
      if (constraints.length === 0) return
      await printTable(constraints, [
        { head: 'CONSTRAINT', cell: ({ name }) => name },
        { head: 'FAILING VMS', cell: ({ failingVms }) => failingVms },
        { head: 'DETAIL', cell: ({ detail }) => detail }
      ])
    })
  }
})

export const submitCommand = command({
  name: 'submit',
  description: 'Submit a batch or gang job',
  args: { ...cellOptions, file: fileArgument, requestId: requestIdOption, watch: switchOption('watch', 'show progress until the job ends') },
  examples: [{ description: 'Submit a job and wait until it ends', command: 'flamingorouter submit route-rebuild.json --watch' }],
  handler: async args => {
    const spec = readMessage(WorkloadSpecSchema, args.file)
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const { id } = await cell.call(CallerService.method.submitJob, { requestId, spec })
      printResult(args.output, { id, requestId }, id)
      if (args.watch) await watchJob(cell, id, args.output)
    })
  }
})

export const watchCommand = command({
  name: 'watch',
  description: 'Show the progress of a job until it ends, or every change of any workload',
  args: { ...cellOptions, id: positional({ type: optional(string), displayName: 'ID', description: 'id of the job' }) },
  examples: [{ description: 'Follow a job', command: 'flamingorouter watch job-12' }],
  handler: async args => {
    await withCell(args, cell => args.id === undefined ? watchWorkloads(cell, args.output) : watchJob(cell, args.id, args.output))
  }
})

/** Returns the version that a change without --expected-version applies to: the current one, or 0 to create the workload. */
async function findVersion (cell: CellClient, id: string): Promise<number> {
  try {
    const { status } = await cell.call(OperatorService.method.getWorkload, create(OperatorService.method.getWorkload.input, { id }))
    return Number(status?.version ?? 0n)
  } catch (thrown) {
    if (isFailure(thrown) && thrown.kind === ErrorKind.notFound) return 0
    throw thrown
  }
}
