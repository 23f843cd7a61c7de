/**
 * Prints the status of a cell, once or periodically.
 */

import { GetStatusResponseSchema, OperatorService, type GetStatusResponse, type Resources, type TargetStatus } from '@flamingorouter/schema'
import { printMessage } from '../utils/messages.js'
import { OutputFormat, replaceControlCharacters, printTable } from '../utils/output.js'
import type { CellClient } from './cell-client.js'

const CLEAR_SCREEN = '\u001b[H\u001b[2J'
const MAX_SHOWN_TARGETS = 20
const MIN_INTERVAL_MS = 100

export async function printStatus (status: GetStatusResponse, withTargets: boolean): Promise<void> {
  await printTable(createSummaryRows(status), [
    { head: 'CELL', cell: ([name]) => name },
    { head: '', cell: ([, value]) => value }
  ])
  for (const warning of status.warnings) process.stderr.write(`warning: ${replaceControlCharacters(warning)}\n`)
  if (withTargets) await printTargets(status.targets)
}

/** Reads and prints the status every `everyMs`, but at least 100 ms apart, `rounds` times; 0 for no limit. */
export async function watchStatus (
  cell: CellClient,
  output: OutputFormat,
  options: { everyMs: number, rounds: number }
): Promise<void> {
  for (let round = 1; ; round += 1) {
    const status = await cell.call(OperatorService.method.getStatus, {})
    if (output === OutputFormat.json) {
      printMessage(GetStatusResponseSchema, status)
    } else {
      if (process.stdout.isTTY) process.stdout.write(CLEAR_SCREEN)
      await printStatus(status, false)
      await printTargets([...status.targets].sort((a, b) => computeUtilization(b) - computeUtilization(a)).slice(0, MAX_SHOWN_TARGETS))
    }
    if (round === options.rounds) return
    await new Promise(resolve => { setTimeout(resolve, Math.max(MIN_INTERVAL_MS, options.everyMs)) })
  }
}

function createSummaryRows (status: GetStatusResponse): [string, string][] {
  const { capacity, reserved } = status
  return [
    ['leader', `${status.leader} in term ${status.term}`],
    ['committed', String(status.committed)],
    ['entries', String(status.entries)],
    ['workers', String(status.workers)],
    ['runners', String(status.runners)],
    ['tasks', `${status.tasksRunning} running, ${status.tasksWaiting} waiting`],
    ['processors', formatShare(reserved, capacity, 'millicores', 'm')],
    ['memory', formatShare(reserved, capacity, 'memoryMib', 'Mi')],
    ['accelerators', formatShare(reserved, capacity, 'accelerators', '')]
  ]
}

async function printTargets (targets: readonly TargetStatus[]): Promise<void> {
  await printTable(targets, [
    { head: 'TARGET', cell: ({ name }) => name },
    { head: 'KIND', cell: ({ kind }) => kind },
    { head: 'VM', cell: ({ vm }) => vm },
    { head: 'RACK', cell: ({ rack }) => rack },
    { head: 'ZONE', cell: ({ availabilityZone }) => availabilityZone },
    { head: 'PHASE', cell: ({ phase }) => phase },
    { head: 'TASKS', cell: ({ tasks }) => tasks },
    { head: 'PROCESSORS', cell: ({ reserved, capacity }) => formatShare(reserved, capacity, 'millicores', 'm') },
    { head: 'MEMORY', cell: ({ reserved, capacity }) => formatShare(reserved, capacity, 'memoryMib', 'Mi') }
  ])
}

type Dimension = 'millicores' | 'memoryMib' | 'accelerators'

function formatShare (used: Resources | undefined, total: Resources | undefined, dimension: Dimension, unit: string): string {
  const capacity = total?.[dimension] ?? 0
  if (capacity === 0) return '-'
  const amount = used?.[dimension] ?? 0
  return `${amount}${unit} of ${capacity}${unit} (${Math.round(amount * 100 / capacity)}%)`
}

function computeUtilization ({ reserved, capacity }: TargetStatus): number {
  const computeShare = (dimension: Dimension): number => (reserved?.[dimension] ?? 0) / Math.max(1, capacity?.[dimension] ?? 1)
  return Math.max(computeShare('millicores'), computeShare('memoryMib'))
}
