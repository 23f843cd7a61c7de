/**
 * Logs the load of the cell and of the leading process once per second, so that
 * an operator can tell a full cell from a leader that cannot keep up.
 */

import { summarizeCellLoad, type ClusterState } from '@flamingorouter/scheduler'
import type { LoopMonitor } from './loop-monitor.js'
import type { RuntimeLog } from './runtime-log.js'

/** Minimum time between two log lines, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000

export class LoadReporter {
  /** Monotonic time of the last log line, in milliseconds. */
  private reportedAt = -Infinity

  private constructor (private readonly log: RuntimeLog, private readonly monitor: LoopMonitor | undefined) {}

  static create (log: RuntimeLog, monitor?: LoopMonitor): LoadReporter {
    return new LoadReporter(log, monitor)
  }

  /** Logs the load if it is due and the cell has called workers. `now` is the monotonic time in milliseconds. */
  report (state: ClusterState, now: number): void {
    if (state.calledWorkers.size === 0 || now - this.reportedAt < REPORT_INTERVAL_MS) return
    this.reportedAt = now
    const { placed, waiting, ...load } = summarizeCellLoad(state)
    this.log.info('cell_load', { ...load, placed: formatCounts(placed), waiting: formatCounts(waiting), change: state.change, ...this.monitor?.takeReport() })
  }
}

function formatCounts (counts: Record<string, number>): string {
  return Object.entries(counts).map(([queue, count]) => `${queue}:${count}`).join(' ')
}
