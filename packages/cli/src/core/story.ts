/**
 * The story of one request, job, task, worker or wave out of the logs of several
 * processes: the lines that name it, in the order of their times, with the gaps
 * between them.
 */

/** One line of a log, by its fields. */
export interface LogRecord {
  /** Unix milliseconds. */
  atMs: number
  process: string
  event: string
  /** The other fields as they were written. */
  fields: Record<string, string>
}

export interface Story {
  records: LogRecord[]
  /** Lines that could not be read. */
  unreadable: number
  /** Lines that a process said it had left out of events that are part of the story. */
  leftOut: number
}

/** Fields in which a process tells how many lines it left out before this one. */
const LEFT_OUT_FIELDS = ['leftOutOfThisEvent', 'leftOutForTheReader'] as const

const PAIR = /([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|\S*)/g

/** Collects the records that name an id; feed it lines, then ask for the story. */
export class StoryTeller {
  private readonly records: LogRecord[] = []
  private unreadable = 0

  private constructor (private readonly id: string) {}

  static create (id: string): StoryTeller {
    return new StoryTeller(id)
  }

  read (line: string): void {
    if (line.trim() === '') return
    const record = parseLine(line)
    if (record === undefined) this.unreadable += 1
    else if (isAbout(record, this.id)) this.records.push(record)
  }

  /** Lines of one time stay in the order in which they were read. */
  tell (): Story {
    const records = [...this.records].sort((one, other) => one.atMs - other.atMs)
    const leftOut = records.reduce((sum, { fields }) => sum + LEFT_OUT_FIELDS.reduce((each, name) => each + Number(fields[name] ?? 0), 0), 0)
    return { records, unreadable: this.unreadable, leftOut }
  }
}

/** Reads a line of JSON or of key=value pairs, whatever stands before it; undefined when it is neither. */
export function parseLine (line: string): LogRecord | undefined {
  const brace = line.indexOf('{"time"')
  const fields = brace >= 0 ? parseJson(line.slice(brace)) : parsePairs(line)
  if (fields === undefined) return undefined
  const { time = '', process = '', event = '', ...others } = fields
  const atMs = Date.parse(time)
  return Number.isNaN(atMs) || event === '' ? undefined : { atMs, process, event, fields: others }
}

function parseJson (text: string): Record<string, string> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    if (typeof value !== 'object' || value === null) return undefined
    return Object.fromEntries(Object.entries(value).map(([name, each]) => [name, typeof each === 'string' ? each : JSON.stringify(each)]))
  } catch {
    return undefined
  }
}

function parsePairs (line: string): Record<string, string> | undefined {
  const fields: Record<string, string> = {}
  for (const [, name, value] of line.matchAll(PAIR)) fields[name] = value.startsWith('"') ? unquote(value) : value
  return Object.keys(fields).length === 0 ? undefined : fields
}

function unquote (value: string): string {
  try {
    return String(JSON.parse(value))
  } catch {
    return value
  }
}

/** True when a field is the id, or names a part of it: `job/0/1/2` is about `job`, and a path ends with it. */
function isAbout ({ fields }: LogRecord, id: string): boolean {
  if (fields.path?.endsWith(`/${id}`) === true) return true
  return Object.values(fields).some(value => value === id || value.startsWith(`${id}/`))
}
