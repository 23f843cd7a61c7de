/**
 * A log on a file descriptor, one JSON object per line. It never blocks: when the
 * reader stops reading, a bounded buffer fills and further lines are dropped and
 * counted. Lines of one event beyond a rate limit are also dropped and counted. The
 * lines of a few milliseconds share a write, since each write costs a busy process
 * more than its lines. While several writes are in flight, lines may change places;
 * each has its time.
 */

import { write } from 'node:fs'
import { RuntimeLog, type LogFields } from './runtime-log.js'

/** Maximum size of the lines that wait for the reader, in UTF-16 code units; equal to bytes for ASCII text. */
const BUFFER_LIMIT_BYTES = 1024 * 1024

/** Maximum number of lines of one event in one rate window. */
const EVENT_LIMIT_PER_SECOND = 400

/**
 * Maximum number of lines of one event in one rate window while lines wait for the reader. A process that completes few
 * writes is overloaded, and its rare lines must not wait behind those of each job.
 */
const BACKLOGGED_EVENT_LIMIT = 40

/** Size of the waiting lines from which the lower limit holds, in UTF-16 code units. */
const BACKLOG_BYTES = 32 * 1024

/** Length of the window over which the lines of one event are counted, in milliseconds. */
const RATE_WINDOW_MS = 1_000

/**
 * Maximum size of one write of several lines. A pipe accepts a write of up to 4096 bytes whole or not at all; longer ones
 * mix with those of other processes that share the pipe.
 */
const WRITE_LIMIT_BYTES = 4_096

/**
 * Maximum number of writes in flight. Each occupies a thread of the pool that also syncs the replicated log, for as long
 * as the reader of a blocking pipe does not read.
 */
const WRITES_IN_FLIGHT_MAX = 2

/** Time for which a line may wait for others that share its write, in milliseconds; shorter than any delay before an exit. */
const GATHER_MS = 10

/** Writes all bytes, or fails; calls `done` with null or the error. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void

export class JsonLog extends RuntimeLog {
  private bufferedLines: string[] = []
  private bufferedBytes = 0
  private writesInFlight = 0
  private droppedLines = 0
  private isFlushDue = false
  private readonly rates = new Map<string, { since: number, count: number, dropped: number }>()

  private constructor (private readonly process: string, private readonly writeBytes: WriteBytes, private readonly gatherMs: number) {
    super()
  }

  static create (process: string, writeBytes: WriteBytes = writeToStandardOutput, gatherMs = GATHER_MS): JsonLog {
    return new JsonLog(process, writeBytes, gatherMs)
  }

  override info (event: string, fields: LogFields = {}): void {
    this.writeLine('info', event, fields)
  }

  override warn (event: string, fields: LogFields = {}): void {
    this.writeLine('warn', event, fields)
  }

  override error (event: string, fields: LogFields = {}): void {
    this.writeLine('error', event, fields)
  }

  private writeLine (level: string, event: string, fields: LogFields): void {
    const now = Date.now()
    const droppedOfEvent = this.countLine(event, now)
    if (droppedOfEvent < 0) return
    const record: Record<string, unknown> = { time: new Date(now).toISOString(), level, process: this.process, event, ...fields }
    if (droppedOfEvent > 0) record.leftOutOfThisEvent = droppedOfEvent
    if (this.droppedLines > 0) record.leftOutForTheReader = this.droppedLines
    const text = `${JSON.stringify(record)}\n`
    if (this.bufferedBytes + text.length > BUFFER_LIMIT_BYTES) {
      this.droppedLines += 1
      return
    }
    this.droppedLines = 0
    this.bufferedLines.push(text)
    this.bufferedBytes += text.length
    if (this.bufferedBytes >= WRITE_LIMIT_BYTES || this.gatherMs === 0) this.startWrite()
    else this.startWriteLater()
  }

  private startWrite (): void {
    if (this.writesInFlight < WRITES_IN_FLIGHT_MAX && this.bufferedLines.length > 0) this.flush()
  }

  private startWriteLater (): void {
    if (this.isFlushDue) return
    this.isFlushDue = true
    setTimeout(() => {
      this.isFlushDue = false
      this.startWrite()
    }, this.gatherMs)
  }

  /**
   * Counts a line of the event. Returns the number of lines of the event that were
   * dropped in its previous rate window, or a negative number to drop this one.
   */
  private countLine (event: string, now: number): number {
    const rate = this.rates.get(event)
    if (rate === undefined || now - rate.since >= RATE_WINDOW_MS || now < rate.since) {
      this.rates.set(event, { since: now, count: 1, dropped: 0 })
      return rate?.dropped ?? 0
    }
    rate.count += 1
    const limit = this.bufferedBytes >= BACKLOG_BYTES ? BACKLOGGED_EVENT_LIMIT : EVENT_LIMIT_PER_SECOND
    if (rate.count <= limit) return 0
    rate.dropped += 1
    return -1
  }

  private flush (): void {
    let lineCount = 0
    let size = 0
    while (lineCount < this.bufferedLines.length && (lineCount === 0 || size + this.bufferedLines[lineCount].length <= WRITE_LIMIT_BYTES)) size += this.bufferedLines[lineCount++].length
    const bytes = Buffer.from(this.bufferedLines.splice(0, lineCount).join(''))
    this.bufferedBytes -= size
    this.writesInFlight += 1
    this.writeBytes(bytes, error => {
      this.writesInFlight -= 1
      if (error !== null) this.droppedLines += lineCount
      if (this.bufferedLines.length > 0) this.flush()
    })
  }
}

/** Pause before the next write to a full pipe, in milliseconds. */
const PIPE_RETRY_DELAY_MS = 5

/** Writes all bytes to standard output. A pipe may accept only some of them, or none while it is full; retries the rest. */
function writeToStandardOutput (bytes: Buffer, done: (error: Error | null) => void): void {
  write(process.stdout.fd, bytes, 0, bytes.length, null, (error, written) => {
    if (error?.code === 'EAGAIN') {
      setTimeout(() => { writeToStandardOutput(bytes, done) }, PIPE_RETRY_DELAY_MS)
      return
    }
    if (error !== null || written >= bytes.length) return done(error)
    writeToStandardOutput(bytes.subarray(written), done)
  })
}
