/**
 * Measures named work of a process for the line of a stall. Work inside other work is
 * named as well, and counts once in the sum.
 */

import { monotonicNow } from './clock.js'
import type { LoopMonitor } from './loop-monitor.js'

export class WorkMeter {
  /** Number of calls of `measure` in progress. */
  private depth = 0

  private constructor (private readonly monitor: LoopMonitor | undefined) {}

  /** Without a monitor nothing is recorded. */
  static create (monitor: LoopMonitor | undefined): WorkMeter {
    return new WorkMeter(monitor)
  }

  record (kind: string, durationMs: number): void {
    this.monitor?.recordWork(kind, durationMs, this.depth > 0)
  }

  /** Runs a function and records its time under a name. */
  measure<T> (kind: string, run: () => T): T {
    const startedAt = monotonicNow()
    this.depth += 1
    try {
      return run()
    } finally {
      this.depth -= 1
      this.record(kind, monotonicNow() - startedAt)
    }
  }
}
