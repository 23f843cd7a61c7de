/**
 * What the runtime needs of a log: one event a line, with its fields.
 */

import bunyan from 'bunyan'
import type { LogLevel } from '../types/settings.js'

export type LogFields = Record<string, string | number | boolean>

export abstract class RuntimeLog {
  abstract info (event: string, fields?: LogFields): void
  abstract warn (event: string, fields?: LogFields): void
  abstract error (event: string, fields?: LogFields): void
}

/** Writes nothing. */
export class QuietLog extends RuntimeLog {
  static create (): QuietLog {
    return new QuietLog()
  }

  override info (): void {}
  override warn (): void {}
  override error (): void {}
}

/** Writes each event to standard output as one line of key=value pairs. */
export class StreamLog extends RuntimeLog {
  private constructor (private readonly logger: bunyan) {
    super()
  }

  static create (process: string, level: LogLevel): StreamLog {
    return new StreamLog(bunyan.createLogger({
      name: process,
      streams: [{ level, type: 'raw', stream: { write: writeRecord } as unknown as NodeJS.WritableStream }]
    }))
  }

  override info (event: string, fields: LogFields = {}): void {
    this.logger.info(fields, event)
  }

  override warn (event: string, fields: LogFields = {}): void {
    this.logger.warn(fields, event)
  }

  override error (event: string, fields: LogFields = {}): void {
    this.logger.error(fields, event)
  }
}

/** Members of a record of bunyan that are written under other names or not at all. */
const OWN_MEMBERS: ReadonlySet<string> = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v'])

const PLAIN = /^[\w.:/@-]+$/

function writeRecord (record: Record<string, unknown>): void {
  const { time, level, name, msg } = record
  const pairs = [
    `time=${(time as Date).toISOString()}`,
    `level=${bunyan.nameFromLevel[level as number]}`,
    `process=${formatValue(name)}`,
    `event=${formatValue(msg)}`
  ]
  for (const [key, value] of Object.entries(record)) {
    if (!OWN_MEMBERS.has(key)) pairs.push(`${key}=${formatValue(value)}`)
  }
  process.stdout.write(`${pairs.join(' ')}\n`)
}

/** Quotes what is not plain, so that no value can be taken for another pair or line. */
function formatValue (value: unknown): string {
  const text = String(value)
  return PLAIN.test(text) ? text : JSON.stringify(text)
}
