/**
 * Where a call to the leader spent its time, for the log of the process that made it.
 */

import type { HandlingTimes } from '@flamingorouter/controllers'
import { monotonicNow } from './clock.js'
import type { LogFields } from './runtime-log.js'

export class CallTimes {
  private attempts = 0
  private searchMs = 0
  /** Time of the attempts that brought no answer, in milliseconds. */
  private lostMs = 0
  /** Time of the last attempt, in milliseconds. */
  private lastMs = 0

  private constructor (private readonly startedAt: number) {}

  static create (): CallTimes {
    return new CallTimes(monotonicNow())
  }

  recordSearch (durationMs: number): void {
    this.searchMs += durationMs
  }

  recordAttempt (durationMs: number): void {
    this.lostMs += this.lastMs
    this.lastMs = durationMs
    this.attempts += 1
  }

  /**
   * The fields of a log line, in milliseconds. `wayMs` is the time between this process and the leader, there and back,
   * and includes the wait until either reads what has arrived; without an answer, it is that of the last attempt as a whole.
   */
  describe (handling?: HandlingTimes): LogFields {
    const wayMs = this.lastMs - (handling?.commitMs ?? 0)
    return {
      tookMs: Math.round(monotonicNow() - this.startedAt),
      attempts: this.attempts,
      searchMs: Math.round(this.searchMs),
      lostMs: Math.round(this.lostMs),
      wayMs: Math.round(wayMs),
      ...handling === undefined ? {} : { turnMs: handling.turnMs, commitMs: handling.commitMs }
    }
  }
}
