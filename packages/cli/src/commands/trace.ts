/**
 * The command that prints the events of one id from the logs of several processes.
 */

import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { command, number, option, positional, restPositionals, string } from 'cmd-ts'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { TraceReader, type EventTrace } from '../core/trace-reader.js'
import { outputOption } from '../utils/options.js'
import { OutputFormat, replaceControlCharacters, printJson } from '../utils/output.js'

/**
 * Shortest time without events that is reported as a gap: the lease of a run and one long
 * poll of a worker on the platform, so that waiting for either is not reported.
 */
const DEFAULT_GAP_MS = 5_000

const STANDARD_INPUT = '-'
const MS_PER_SECOND = 1_000

export const traceCommand = command({
  name: 'trace',
  description: 'Print the events of one request, job, task, worker or wave from the logs of all processes',
  args: {
    id: positional({ type: string, displayName: 'ID' }),
    files: restPositionals({ type: string, displayName: 'FILE', description: 'logs of any processes; - or none reads standard input' }),
    gapMs: option({
      type: number, long: 'gap-ms', defaultValue: () => DEFAULT_GAP_MS, defaultValueIsSerializable: true, description: 'shortest time without events that is reported as a gap'
    }),
    output: outputOption
  },
  examples: [{ description: 'Trace a job that ended late', command: 'flamingorouter trace 40b688ea731494a1 logs/*.log' }],
  handler: async ({ id, files, gapMs, output }) => {
    const reader = TraceReader.create(id)
    for (const file of files.length === 0 ? [STANDARD_INPUT] : files) await readLines(file, line => { reader.readLine(line) })
    const trace = reader.createTrace()
    if (output === OutputFormat.json) return printJson(trace)
    if (trace.records.length === 0) fail(ErrorKind.notFound, `no log line contains ${id}${describeMissingLines(trace)}`)
    printTrace(trace, gapMs)
  }
})

async function readLines (file: string, handleLine: (line: string) => void): Promise<void> {
  const input = file === STANDARD_INPUT ? process.stdin : createReadStream(file)
  try {
    for await (const line of createInterface({ input, crlfDelay: Infinity })) handleLine(line)
  } catch (thrown) {
    fail(ErrorKind.notFound, `${file} cannot be read: ${(thrown as Error).message}`)
  }
}

function printTrace (trace: EventTrace, gapMs: number): void {
  const [first] = trace.records
  let previousMs = first.atMs
  for (const { atMs, process: name, event, fields } of trace.records) {
    if (atMs - previousMs >= gapMs) process.stdout.write(`          (no events for ${formatSeconds(atMs - previousMs)} s)\n`)
    previousMs = atMs
    const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`).join(' ')
    process.stdout.write(`${formatSeconds(atMs - first.atMs).padStart(9)} ${replaceControlCharacters(`${name} ${event} ${pairs}`)}\n`)
  }
  process.stdout.write(`${trace.records.length} lines from ${new Date(first.atMs).toISOString()}${describeMissingLines(trace)}\n`)
}

function describeMissingLines ({ unreadable, leftOut }: EventTrace): string {
  const parts = [unreadable > 0 ? `${unreadable} lines could not be parsed` : '', leftOut > 0 ? `${leftOut} lines were dropped by the logs of the processes` : '']
  return parts.filter(part => part !== '').map(part => `; ${part}`).join('')
}

function formatSeconds (ms: number): string {
  return (ms / MS_PER_SECOND).toFixed(3)
}
