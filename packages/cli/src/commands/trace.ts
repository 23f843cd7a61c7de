/**
 * The command that tells the story of one id out of logs.
 */

import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { command, number, option, positional, restPositionals, string } from 'cmd-ts'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { StoryTeller, type Story } from '../core/story.js'
import { outputOption } from '../utils/options.js'
import { OutputFormat, printable, printJson } from '../utils/output.js'

/** Time without a line after which the story names a gap, in milliseconds: a lease of a run, and a list. */
const DEFAULT_GAP_MS = 5_000

const STANDARD_INPUT = '-'
const MS_PER_SECOND = 1_000

export const traceCommand = command({
  name: 'trace',
  description: 'Tell what the logs of all processes say of one request, job, task, worker or wave',
  args: {
    id: positional({ type: string, displayName: 'ID' }),
    files: restPositionals({ type: string, displayName: 'FILE', description: 'logs of any processes; - or none reads standard input' }),
    gapMs: option({
      type: number, long: 'gap-ms', defaultValue: () => DEFAULT_GAP_MS, defaultValueIsSerializable: true, description: 'time without a line that is named'
    }),
    output: outputOption
  },
  examples: [{ description: 'A job that ended late', command: 'flamingorouter trace 40b688ea731494a1 logs/*.log' }],
  handler: async ({ id, files, gapMs, output }) => {
    const teller = StoryTeller.create(id)
    for (const file of files.length === 0 ? [STANDARD_INPUT] : files) await readLines(file, line => { teller.read(line) })
    const story = teller.tell()
    if (output === OutputFormat.json) return printJson(story)
    if (story.records.length === 0) fail(ErrorKind.notFound, `no line names ${id}${describeOmissions(story)}`)
    writeStory(story, gapMs)
  }
})

async function readLines (file: string, take: (line: string) => void): Promise<void> {
  const input = file === STANDARD_INPUT ? process.stdin : createReadStream(file)
  try {
    for await (const line of createInterface({ input, crlfDelay: Infinity })) take(line)
  } catch (thrown) {
    fail(ErrorKind.notFound, `${file} can't be read: ${(thrown as Error).message}`)
  }
}

function writeStory (story: Story, gapMs: number): void {
  const [first] = story.records
  let before = first.atMs
  for (const { atMs, process: name, event, fields } of story.records) {
    if (atMs - before >= gapMs) process.stdout.write(`          (nothing for ${formatSeconds(atMs - before)} s)\n`)
    before = atMs
    const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`).join(' ')
    process.stdout.write(`${formatSeconds(atMs - first.atMs).padStart(9)} ${printable(`${name} ${event} ${pairs}`)}\n`)
  }
  process.stdout.write(`${story.records.length} lines from ${new Date(first.atMs).toISOString()}${describeOmissions(story)}\n`)
}

function describeOmissions ({ unreadable, leftOut }: Story): string {
  const parts = [unreadable > 0 ? `${unreadable} lines could not be read` : '', leftOut > 0 ? `${leftOut} lines were left out by their processes` : '']
  return parts.filter(part => part !== '').map(part => `; ${part}`).join('')
}

function formatSeconds (ms: number): string {
  return (ms / MS_PER_SECOND).toFixed(3)
}
