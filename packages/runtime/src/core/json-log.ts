/**
 * A log on a file descriptor, one JSON object a line. It never blocks: a reader
 * that stops reading fills a bounded buffer, after which lines are left out and
 * counted. An event that comes too often is left out beyond a rate, and counted.
 */

import { write } from 'node:fs'
import { RuntimeLog, type LogFields } from './runtime-log.js'

/** Bytes that may wait for the reader. */
const BUFFER_BYTES = 1024 * 1024

/** Lines of one event in one second. */
const EVENT_RATE = 400

const RATE_WINDOW_MS = 1_000

/** Bytes of one write; a pipe takes them whole or not at all. */
const WRITE_BYTES = 4_096

/** Writes bytes somewhere and calls back; a whole write, or an error. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void

export class JsonLog extends RuntimeLog {
  private waiting: string[] = []
  private waitingBytes = 0
  private isWriting = false
  private left = 0
  private readonly rates = new Map<string, { since: number, count: number }>()

  private constructor (private readonly process: string, private readonly writeBytes: WriteBytes) {
    super()
  }

  static create (process: string, writeBytes: WriteBytes = writeToStandardOutput): JsonLog {
    return new JsonLog(process, writeBytes)
  }

  override info (event: string, fields: LogFields = {}): void {
    this.line('info', event, fields)
  }

  override warn (event: string, fields: LogFields = {}): void {
    this.line('warn', event, fields)
  }

  override error (event: string, fields: LogFields = {}): void {
    this.line('error', event, fields)
  }

  private line (level: string, event: string, fields: LogFields): void {
    const now = Date.now()
    const left = this.leftOut(event, now)
    if (left < 0) return
    const record: Record<string, unknown> = { time: new Date(now).toISOString(), level, process: this.process, event, ...fields }
    if (left > 0) record.leftOutOfThisEvent = left
    if (this.left > 0) record.leftOutForTheReader = this.left
    const text = `${JSON.stringify(record)}\n`
    if (this.waitingBytes + text.length > BUFFER_BYTES) {
      this.left += 1
      return
    }
    this.left = 0
    this.waiting.push(text)
    this.waitingBytes += text.length
    if (!this.isWriting) this.flush()
  }

  /** Lines of the event that were left out before this one; negative when this one is left out too. */
  private leftOut (event: string, now: number): number {
    const rate = this.rates.get(event)
    if (rate === undefined || now - rate.since >= RATE_WINDOW_MS || now < rate.since) {
      this.rates.set(event, { since: now, count: 1 })
      return Math.max(0, (rate?.count ?? 0) - EVENT_RATE)
    }
    rate.count += 1
    return rate.count > EVENT_RATE ? -1 : 0
  }

  private flush (): void {
    let lines = 0
    let size = 0
    while (lines < this.waiting.length && (lines === 0 || size + this.waiting[lines].length <= WRITE_BYTES)) size += this.waiting[lines++].length
    const bytes = Buffer.from(this.waiting.splice(0, lines).join(''))
    this.waitingBytes -= size
    this.isWriting = true
    this.writeBytes(bytes, error => {
      this.isWriting = false
      if (error !== null) this.left += lines
      if (this.waiting.length > 0) this.flush()
    })
  }
}

/** Pause before a full pipe is tried again, in milliseconds. */
const FULL_PIPE_MS = 5

/** A pipe may take a part of the bytes, or none while it is full; the rest follows. */
function writeToStandardOutput (bytes: Buffer, done: (error: Error | null) => void): void {
  write(process.stdout.fd, bytes, 0, bytes.length, null, (error, written) => {
    if (error?.code === 'EAGAIN') {
      setTimeout(() => { writeToStandardOutput(bytes, done) }, FULL_PIPE_MS)
      return
    }
    if (error !== null || written >= bytes.length) return done(error)
    writeToStandardOutput(bytes.subarray(written), done)
  })
}
