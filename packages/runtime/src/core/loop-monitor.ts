/**
 * Measures how late the event loop of a process runs its timers, and how much
 * processor time the process uses. A process without enough processor time takes
 * its peers for silent, so both belong beside every decision about them.
 */

import { TurnWork } from './turn-work.js'

/** Delay of a timer from which the event loop counts as stalled; two thirds of an election timeout of 300 ms. */
const STALL_THRESHOLD_MS = 200

const PERCENT = 100

/** Processor time since the start of the process, in microseconds. */
export interface ProcessorTime { user: number, system: number }

/** Load of the event loop since the previous report. */
export interface LoopLoad {
  /** Processor time used, in percent of one core. */
  busyPercent: number
  /** Longest delay of a timer, in milliseconds. */
  loopDelayMs: number
  /** Time spent on garbage collection by the thread of the event loop, in percent of the elapsed time. */
  gcPercent: number
}

/** A delay of the event loop, and what the process did during it. */
export interface LoopDelay {
  delayMs: number
  isStalled: boolean
  /** Time spent on named work, in milliseconds; the rest of the delay went into reading, writing and garbage collection. */
  workMs: number
  /** The work that took longest, each as `kind:total/count/longest` in milliseconds. */
  work: string
}

export interface LoopMonitorOptions {
  /** Interval at which `tick` is called while the event loop is not delayed, in milliseconds. */
  intervalMs: number
  /** Monotonic time in milliseconds. */
  now: () => number
  readProcessorTime: () => ProcessorTime
  /** Time spent on garbage collection since the start of the process, in milliseconds. */
  readGcMs?: () => number
  /** Called with the delay of each timer. */
  handleDelay: (delay: LoopDelay) => void
}

export class LoopMonitor {
  private lastTickAt: number
  private longestDelayMs = 0
  private reportedAt: number
  private reportedTime: ProcessorTime
  private reportedGcMs = 0
  private readonly turnWork = TurnWork.create()

  private constructor (private readonly options: LoopMonitorOptions) {
    this.lastTickAt = options.now()
    this.reportedAt = this.lastTickAt
    this.reportedTime = options.readProcessorTime()
  }

  static create (options: LoopMonitorOptions): LoopMonitor {
    return new LoopMonitor(options)
  }

  /** Records work since the last tick, by kind; `isNested` if its time is part of that of other work. */
  recordWork (kind: string, durationMs: number, isNested = false): void {
    this.turnWork.record(kind, durationMs, isNested)
  }

  /** Time since the last tick, in milliseconds. */
  get sinceTickMs (): number {
    return this.options.now() - this.lastTickAt
  }

  /** Records the delay of the timer that calls it. */
  tick (): void {
    const now = this.options.now()
    const delayMs = Math.max(0, now - this.lastTickAt - this.options.intervalMs)
    this.lastTickAt = now
    this.longestDelayMs = Math.max(this.longestDelayMs, delayMs)
    const isStalled = delayMs >= STALL_THRESHOLD_MS
    this.options.handleDelay({ delayMs, isStalled, ...isStalled ? this.turnWork.summarize() : { workMs: 0, work: '' } })
    this.turnWork.clear()
  }

  /** The load since the previous call. */
  takeReport (): LoopLoad {
    const now = this.options.now()
    const time = this.options.readProcessorTime()
    const usedMs = (time.user + time.system - this.reportedTime.user - this.reportedTime.system) / 1_000
    const elapsedMs = now - this.reportedAt
    const gcMs = this.options.readGcMs?.() ?? 0
    const toPercent = (ms: number): number => elapsedMs > 0 ? Math.round(PERCENT * ms / elapsedMs) : 0
    const load = { busyPercent: toPercent(usedMs), gcPercent: toPercent(gcMs - this.reportedGcMs), loopDelayMs: Math.round(this.longestDelayMs) }
    this.reportedGcMs = gcMs
    this.reportedAt = now
    this.reportedTime = time
    this.longestDelayMs = 0
    return load
  }
}
