/**
 * Extracts the events of one request, job, task, worker or upkeep wave from the
 * logs of several processes: the records that contain its id, sorted by time.
 */

/** One line of a log, parsed into its fields. */
export interface LogRecord {
  /** Unix milliseconds. */
  atMs: number
  process: string
  event: string
  /** The other fields, as text; a JSON value that is not a string is kept as JSON text. */
  fields: Record<string, string>
}

export interface EventTrace {
  records: LogRecord[]
  /** Number of lines that could not be parsed. */
  unreadable: number
  /** Number of lines that the logs of the processes dropped before the records of this trace. */
  leftOut: number
}

/** Fields of a record with the number of lines that the log of the process dropped before it. */
const DROPPED_COUNT_FIELDS = ['leftOutOfThisEvent', 'leftOutForTheReader'] as const

const PAIR_PATTERN = /([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|\S*)/g

/** Collects the records that contain an id, line by line. */
export class TraceReader {
  private readonly records: LogRecord[] = []
  private unreadable = 0

  private constructor (private readonly id: string) {}

  static create (id: string): TraceReader {
    return new TraceReader(id)
  }

  readLine (line: string): void {
    if (line.trim() === '') return
    const record = parseLine(line)
    if (record === undefined) this.unreadable += 1
    else if (isRelatedTo(record, this.id)) this.records.push(record)
  }

  /** Returns the records read so far, sorted by time; records of the same time keep the order in which they were read. */
  createTrace (): EventTrace {
    const records = [...this.records].sort((a, b) => a.atMs - b.atMs)
    const leftOut = records.reduce((sum, { fields }) => sum + DROPPED_COUNT_FIELDS.reduce((count, name) => count + Number(fields[name] ?? 0), 0), 0)
    return { records, unreadable: this.unreadable, leftOut }
  }
}

/** Parses a line of JSON or of key=value pairs, with any text before it; undefined if it has no valid time or no event. */
export function parseLine (line: string): LogRecord | undefined {
  const jsonStart = line.indexOf('{"time"')
  const fields = jsonStart >= 0 ? parseJson(line.slice(jsonStart)) : parsePairs(line)
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
  for (const [, name, value] of line.matchAll(PAIR_PATTERN)) fields[name] = value.startsWith('"') ? unquote(value) : value
  return Object.keys(fields).length === 0 ? undefined : fields
}

function unquote (value: string): string {
  try {
    return String(JSON.parse(value))
  } catch {
    return value
  }
}

/** True if a field equals the id or continues it after a slash (`job/0/1/2` for `job`), or if the path ends with a slash and the id. */
function isRelatedTo ({ fields }: LogRecord, id: string): boolean {
  if (fields.path?.endsWith(`/${id}`) === true) return true
  return Object.values(fields).some(value => value === id || value.startsWith(`${id}/`))
}
