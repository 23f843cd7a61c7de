/**
 * Measures how late the event loop of a process runs its timers, and how much
 * processor time the process uses. A process without enough processor time takes
 * its peers for silent, so both belong beside every decision about them.
 */

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
}

export interface LoopMonitorOptions {
  /** Interval at which `tick` is called while the event loop is not delayed, in milliseconds. */
  intervalMs: number
  /** Monotonic time in milliseconds. */
  now: () => number
  readProcessorTime: () => ProcessorTime
  /** Called with the delay of each timer, in milliseconds. */
  handleDelay: (delayMs: number, isStalled: boolean) => void
}

export class LoopMonitor {
  private lastTickAt: number
  private longestDelayMs = 0
  private reportedAt: number
  private reportedTime: ProcessorTime

  private constructor (private readonly options: LoopMonitorOptions) {
    this.lastTickAt = options.now()
    this.reportedAt = this.lastTickAt
    this.reportedTime = options.readProcessorTime()
  }

  static create (options: LoopMonitorOptions): LoopMonitor {
    return new LoopMonitor(options)
  }

  /** Records the delay of the timer that calls it. */
  tick (): void {
    const now = this.options.now()
    const delayMs = Math.max(0, now - this.lastTickAt - this.options.intervalMs)
    this.lastTickAt = now
    this.longestDelayMs = Math.max(this.longestDelayMs, delayMs)
    this.options.handleDelay(delayMs, delayMs >= STALL_THRESHOLD_MS)
  }

  /** The load since the previous call. */
  takeReport (): LoopLoad {
    const now = this.options.now()
    const time = this.options.readProcessorTime()
    const usedMs = (time.user + time.system - this.reportedTime.user - this.reportedTime.system) / 1_000
    const elapsedMs = now - this.reportedAt
    const load = { busyPercent: elapsedMs > 0 ? Math.round(PERCENT * usedMs / elapsedMs) : 0, loopDelayMs: Math.round(this.longestDelayMs) }
    this.reportedAt = now
    this.reportedTime = time
    this.longestDelayMs = 0
    return load
  }
}
