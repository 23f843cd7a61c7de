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

  private constructor (private readonly partMs: number, private readonly expire: () => void) {}

  /** Calls `expire` after `limitMs`, unless the limit is cancelled before. */
  static start (limitMs: number, expire: () => void): TimeLimit {
    const limit = new TimeLimit(limitMs / PART_COUNT, expire)
    limit.wait(PART_COUNT)
    return limit
  }

  cancel (): void {
    this.isCancelled = true
    clearTimeout(this.timer)
  }

  private wait (partsLeft: number): void {
    this.timer = setTimeout(() => {
      if (partsLeft > 1) return this.wait(partsLeft - 1)
      // Immediates run after the answers that have arrived are read.
      setImmediate(() => { if (!this.isCancelled) this.expire() })
    }, this.partMs)
  }
}
