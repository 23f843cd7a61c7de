/**
 * The time limit of a call, in time during which this process could read the answer.
 * After a stall of the event loop, timers run before what has arrived is read. A plain
 * timer then gives up calls that were answered in time, and their repetition adds to the
 * load that caused the stall.
 */

/** Number of parts of a limit. A turn of the event loop counts as one part at most, however long it is. */
const PART_COUNT = 8

export class TimeLimit {
  private timer: NodeJS.Timeout | undefined
  private isCancelled = false

  private readonly startedAt = performance.now()

  private constructor (private readonly limitMs: number, private readonly expire: () => void) {}

  /** Calls `expire` after `limitMs` or more, unless the limit is cancelled before. */
  static start (limitMs: number, expire: () => void): TimeLimit {
    const limit = new TimeLimit(limitMs, expire)
    limit.wait(PART_COUNT, limitMs / PART_COUNT)
    return limit
  }

  cancel (): void {
    this.isCancelled = true
    clearTimeout(this.timer)
  }

  private wait (partsLeft: number, partMs: number): void {
    this.timer = setTimeout(() => {
      if (partsLeft > 1) return this.wait(partsLeft - 1, partMs)
      // A timer counts from the start of the turn in which it is set, so that the first part may be short.
      const missingMs = this.limitMs - (performance.now() - this.startedAt)
      if (missingMs > 0) return this.wait(1, missingMs)
      // Immediates run after the answers that have arrived are read.
      setImmediate(() => { if (!this.isCancelled) this.expire() })
    }, partMs)
  }
}
