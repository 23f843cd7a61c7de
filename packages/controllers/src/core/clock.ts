/**
 * Monotonic time.
 */

import { performance } from 'node:perf_hooks'

export abstract class Clock {
  /** Milliseconds since a fixed but arbitrary start; never decreases. */
  abstract now (): number
}

export class MonotonicClock extends Clock {
  static create (): MonotonicClock {
    return new MonotonicClock()
  }

  now (): number {
    return performance.now()
  }
}
