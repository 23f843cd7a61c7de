/**
 * Virtual time, which advances only when a test runs it, with timers and pauses.
 */

interface Timer { dueAt: number, order: number, run: () => void }

export class VirtualTime {
  now = 0
  private order = 0
  /** A binary heap: each timer is due no later than those at twice its index plus one and plus two. */
  private readonly timers: Timer[] = []

  static create (): VirtualTime {
    return new VirtualTime()
  }

  after (ms: number, run: () => void): void {
    this.push({ dueAt: this.now + Math.max(0, ms), order: this.order++, run })
  }

  pause (ms: number): Promise<void> {
    return new Promise(resolve => { this.after(ms, resolve) })
  }

  /**
   * Runs the timers that are due up to a time, and lets all promises settle before each of them. Each timer has its own
   * turn of the event loop, which costs less than a promise under the hooks of node:test.
   */
  runUntil (until: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const runNext = (): void => {
        const next = this.timers[0]
        if (next === undefined || next.dueAt > until) {
          this.now = until
          return resolve()
        }
        this.removeFirst()
        this.now = Math.max(this.now, next.dueAt)
        try {
          next.run()
        } catch (thrown) {
          return reject(thrown)
        }
        setImmediate(runNext)
      }
      setImmediate(runNext)
    })
  }

  private push (timer: Timer): void {
    const { timers } = this
    let index = timers.length
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(timer, timers[parent])) break
      timers[index] = timers[parent]
      index = parent
    }
    timers[index] = timer
  }

  private removeFirst (): void {
    const { timers } = this
    const last = timers.pop()
    if (last === undefined || timers.length === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= timers.length) break
      if (child + 1 < timers.length && isBefore(timers[child + 1], timers[child])) child += 1
      if (!isBefore(timers[child], last)) break
      timers[index] = timers[child]
      index = child
    }
    timers[index] = last
  }
}

function isBefore (one: Timer, other: Timer): boolean {
  return one.dueAt < other.dueAt || (one.dueAt === other.dueAt && one.order < other.order)
}
