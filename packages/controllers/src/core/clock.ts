/**
 * Time that never goes back.
 */

import { performance } from 'node:perf_hooks'

export abstract class Clock {
  /** Milliseconds since some fixed moment of this process. */
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
