/**
 * Clock and timers of the request flow; tests replace them with simulated time.
 */

export abstract class Timers {
  /** Monotonic time in milliseconds. */
  abstract now (): number

  /** Runs an action once after a delay; returns a function that cancels it. */
  abstract schedule (delayMs: number, action: () => void): () => void

  async pause (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => { this.schedule(delayMs, resolve) })
  }
}

export class SystemTimers extends Timers {
  static create (): SystemTimers {
    return new SystemTimers()
  }

  private constructor () {
    super()
  }

  override now (): number {
    return performance.now()
  }

  override schedule (delayMs: number, action: () => void): () => void {
    const timer = setTimeout(action, delayMs)
    return () => { clearTimeout(timer) }
  }
}
