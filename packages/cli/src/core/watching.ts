/**
 * Watches: one line that is written anew on a terminal, or one line a change.
 */

import {
  CallerService, OperatorService, WatchJobResponseSchema, type ListWorkloadsResponse, type TaskCounts, type WorkloadStatus
} from '@flamingorouter/schema'
import { ERROR_ANSWERS, ErrorKind, toFailure } from '@flamingorouter/scheduler'
import { printMessage } from '../utils/messages.js'
import { OutputFormat, printable, printJson } from '../utils/output.js'
import type { CellClient } from './cell-client.js'

const WAIT_MS = 10_000
/** Failed reads in a row after which a watch ends. */
const MAX_FAILURES = 5
const BAR_CELLS = 24
const CLEAR_LINE = '\r\u001b[2K'

/** Shows a job until it ends; the exit code tells whether every task succeeded. */
export async function watchJob (cell: CellClient, id: string, output: OutputFormat): Promise<void> {
  let afterChange = 0n
  for (;;) {
    const response = await persist(() => cell.call(CallerService.method.watchJob, { id, afterChange, waitMs: WAIT_MS }, WAIT_MS))
    const status = response.status as WorkloadStatus
    const isNew = response.change > afterChange
    afterChange = response.change
    if (isNew && output === OutputFormat.json) printMessage(WatchJobResponseSchema, response)
    if (isNew && output === OutputFormat.table) writeProgress(status)
    if (!status.ended) continue
    if (output === OutputFormat.table && process.stdout.isTTY) process.stdout.write('\n')
    const hasFailed = (status.counts?.succeeded ?? 0) < (status.spec?.taskCount ?? 0)
    if (hasFailed) process.exitCode = ERROR_ANSWERS[ErrorKind.failedPrecondition].exitCode
    return
  }
}

/** Shows every change of any workload until the process is interrupted. */
export async function watchWorkloads (cell: CellClient, output: OutputFormat): Promise<never> {
  let afterChange = 0n
  for (;;) {
    const waitMs = afterChange === 0n ? 0 : WAIT_MS
    const request = { afterChange, waitMs }
    const response: ListWorkloadsResponse = await persist(() => cell.call(OperatorService.method.watchWorkloads, request, waitMs))
    afterChange = response.change
    for (const status of response.workloads) {
      if (output === OutputFormat.json) printJson({ id: status.id, counts: status.counts, ended: status.ended })
      else process.stdout.write(`${describeProgress(status)}\n`)
    }
  }
}

/** Reads again while the cell is out of reach for a while, as when its leader changes. */
async function persist<T> (read: () => Promise<T>): Promise<T> {
  for (let failures = 1; ; failures += 1) {
    try {
      return await read()
    } catch (thrown) {
      const { kind, message } = toFailure(thrown)
      const mayPass = ERROR_ANSWERS[kind].retryable || kind === ErrorKind.deadlineExceeded
      if (!mayPass || failures === MAX_FAILURES) throw thrown
      process.stderr.write(`${printable(message)}; trying again\n`)
    }
  }
}

function writeProgress (status: WorkloadStatus): void {
  const line = describeProgress(status)
  process.stdout.write(process.stdout.isTTY ? `${CLEAR_LINE}${line}` : `${line}\n`)
}

function describeProgress (status: WorkloadStatus): string {
  const counts = status.counts as TaskCounts
  const total = Math.max(1, status.spec?.taskCount ?? 1)
  const done = counts.succeeded + counts.failed + counts.cancelled + counts.unknown
  const filled = Math.min(BAR_CELLS, Math.floor(BAR_CELLS * done / total))
  const bar = '#'.repeat(filled) + '.'.repeat(BAR_CELLS - filled)
  const parts = [
    `${status.id} [${bar}] ${done}/${total}`,
    `waiting ${counts.waiting}`,
    `running ${counts.placed + counts.running}`,
    `failed ${counts.failed + counts.unknown}`
  ]
  if (status.ended) parts.push(`ended ${status.reason}`.trim())
  return printable(parts.join('  '))
}
