/**
 * Time as the flow of requests sees it, so that tests can stand in for it.
 */

export abstract class Timers {
  /** Milliseconds that never run backwards. */
  abstract now (): number

  /** Runs an action once, after a time in milliseconds; returns what calls it off. */
  abstract after (ms: number, action: () => void): () => void

  async pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.after(ms, resolve) })
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

  override after (ms: number, action: () => void): () => void {
    const timer = setTimeout(action, ms)
    return () => { clearTimeout(timer) }
  }
}
