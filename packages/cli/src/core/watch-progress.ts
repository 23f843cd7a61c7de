/**
 * Shows the progress of workloads: one line that is rewritten on a terminal, otherwise one line per change.
 */

import {
  CallerService, OperatorService, WatchJobResponseSchema, type ListWorkloadsResponse, type TaskCounts, type WorkloadStatus
} from '@flamingorouter/schema'
import { ERROR_ANSWERS, ErrorKind, toFailure } from '@flamingorouter/scheduler'
import { printMessage } from '../utils/messages.js'
import { OutputFormat, replaceControlCharacters, printJson } from '../utils/output.js'
import type { CellClient } from './cell-client.js'

const LONG_POLL_TIMEOUT_MS = 10_000
/** A watch ends with the error after this number of failed reads in a row. */
const MAX_CONSECUTIVE_FAILURES = 5
const BAR_WIDTH = 24
const CLEAR_LINE = '\r\u001b[2K'

/** Shows the progress of a job until it ends. Sets a failing exit code unless every task succeeded. */
export async function watchJob (cell: CellClient, id: string, output: OutputFormat): Promise<void> {
  let afterChange = 0n
  for (;;) {
    const response = await retryRead(() => cell.call(CallerService.method.watchJob, { id, afterChange, waitMs: LONG_POLL_TIMEOUT_MS }, LONG_POLL_TIMEOUT_MS))
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

/** Shows every change of every workload until the process is interrupted. */
export async function watchWorkloads (cell: CellClient, output: OutputFormat): Promise<never> {
  let afterChange = 0n
  for (;;) {
    const waitMs = afterChange === 0n ? 0 : LONG_POLL_TIMEOUT_MS
    const request = { afterChange, waitMs }
    const response: ListWorkloadsResponse = await retryRead(() => cell.call(OperatorService.method.watchWorkloads, request, waitMs))
    afterChange = response.change
    for (const status of response.workloads) {
      if (output === OutputFormat.json) printJson({ id: status.id, counts: status.counts, ended: status.ended })
      else process.stdout.write(`${describeProgress(status)}\n`)
    }
  }
}

/** Retries a read after transient errors, such as during a change of the leader. */
async function retryRead<T> (read: () => Promise<T>): Promise<T> {
  for (let failures = 1; ; failures += 1) {
    try {
      return await read()
    } catch (thrown) {
      const { kind, message } = toFailure(thrown)
      const isTransient = ERROR_ANSWERS[kind].retryable || kind === ErrorKind.deadlineExceeded
      if (!isTransient || failures === MAX_CONSECUTIVE_FAILURES) throw thrown
      process.stderr.write(`${replaceControlCharacters(message)}; retrying\n`)
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
  const filled = Math.min(BAR_WIDTH, Math.floor(BAR_WIDTH * done / total))
  const bar = '#'.repeat(filled) + '.'.repeat(BAR_WIDTH - filled)
  const parts = [
    `${status.id} [${bar}] ${done}/${total}`,
    `waiting ${counts.waiting}`,
    `running ${counts.placed + counts.running}`,
    `failed ${counts.failed + counts.unknown}`
  ]
  if (status.ended) parts.push(`ended ${status.reason}`.trim())
  return replaceControlCharacters(parts.join('  '))
}
