/**
 * The log of a process on standard output, with one line of key=value pairs per event.
 */

import bunyan from 'bunyan'
import { RuntimeLog, type LogFields } from '@flamingorouter/runtime'
import type { LogLevel } from '../types/settings.js'
import { formatLogLine } from '../utils/log-line.js'

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

function writeRecord (record: Record<string, unknown>): void {
  process.stdout.write(`${formatLogLine(record)}\n`)
}
