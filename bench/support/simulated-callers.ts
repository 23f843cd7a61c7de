/**
 * Callers that submit jobs through entries, also while there is no leader: an entry
 * holds their calls for a while, then refuses them, and they come back after the
 * delay that they were told, a limited number of times.
 */

import type { EventOf } from '../../packages/scheduler/src/index.js'
import type { Random } from './random.js'
import type { SimulatedClock } from './simulated-clock.js'

/** A time without a leader, in milliseconds. */
export interface LeaderlessTime {
  fromMs: number
  toMs: number
  /**
   * Delay in milliseconds that a refused caller is told, from the time without a leader and a random number from 0 to 1.
   * When absent, entries hold all calls until the next leader is there.
   */
  retryAfterMs?: (leaderlessMs: number, fraction: number) => number
}

type Submission = EventOf<'acceptJob'>

/** Time from the loss of the leader for which entries hold calls, in milliseconds. */
const HOLD_MS = 1_000

/** Time for which an entry holds a call that arrives later, in milliseconds. */
const LATE_HOLD_MS = 25

/** Number of times that a caller repeats a refused call. */
const RETRY_LIMIT = 4

export class SimulatedCallers {
  /** Submissions that were refused until their callers gave up. */
  givenUp = 0
  /** Submissions that reached the next leader, by the time from its start in steps of ARRIVAL_STEP_MS. */
  readonly returned: number[] = []

  private constructor (
    private readonly clock: SimulatedClock,
    private readonly random: Random,
    private readonly leaderless: LeaderlessTime,
    private readonly accept: (submission: Submission) => void
  ) {}

  static create (clock: SimulatedClock, random: Random, leaderless: LeaderlessTime, accept: (submission: Submission) => void): SimulatedCallers {
    return new SimulatedCallers(clock, random, leaderless, accept)
  }

  submit (submission: Submission, refusals = 0): void {
    const { fromMs, toMs, retryAfterMs } = this.leaderless
    const { now } = this.clock
    if (now < fromMs || now >= toMs) {
      if (refusals > 0) this.countReturn()
      return this.accept(submission)
    }
    const heldMs = toMs - now + 1
    const refusedAt = Math.max(fromMs + HOLD_MS, now + LATE_HOLD_MS)
    if (retryAfterMs === undefined || refusedAt >= toMs) {
      this.clock.schedule(heldMs, () => { this.accept({ ...submission, heldMs }) })
      return
    }
    this.clock.schedule(refusedAt - now, () => {
      if (refusals >= RETRY_LIMIT) this.givenUp += 1
      else this.clock.schedule(this.drawDelayMs(retryAfterMs), () => { this.submit(submission, refusals + 1) })
    })
  }

  /** HTTP states the delay in whole seconds. */
  private drawDelayMs (retryAfterMs: (leaderlessMs: number, fraction: number) => number): number {
    return Math.ceil(retryAfterMs(this.clock.now - this.leaderless.fromMs, this.random.sampleFraction()) / 1_000) * 1_000
  }

  private countReturn (): void {
    const step = Math.floor((this.clock.now - this.leaderless.toMs) / ARRIVAL_STEP_MS)
    this.returned[step] = (this.returned[step] ?? 0) + 1
  }
}

/** Width of the steps in which returning calls are counted, in milliseconds. */
export const ARRIVAL_STEP_MS = 250
