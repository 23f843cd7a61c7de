/**
 * Simulated time: timers fire in order, and pending promise callbacks run between them.
 */

import { setImmediate } from 'node:timers/promises'
import { Timers } from '../src/index.js'

export const START_MS = 1_700_000_000_000

interface Timer { dueAt: number, action: () => void }

export class ModelTimers extends Timers {
  time = START_MS
  private timers: Timer[] = []

  override now (): number {
    return this.time
  }

  override schedule (delayMs: number, action: () => void): () => void {
    const timer = { dueAt: this.time + Math.max(0, delayMs), action }
    this.timers.push(timer)
    return () => { this.timers = this.timers.filter(other => other !== timer) }
  }

  async advance (durationMs: number): Promise<void> {
    const until = this.time + durationMs
    for (;;) {
      await flushPromises()
      const next = this.timers.filter(timer => timer.dueAt <= until).sort((a, b) => a.dueAt - b.dueAt)[0]
      if (next === undefined) break
      this.timers = this.timers.filter(timer => timer !== next)
      this.time = Math.max(this.time, next.dueAt)
      next.action()
    }
    this.time = until
  }
}

export async function flushPromises (): Promise<void> {
  await setImmediate()
}
