/**
 * Controls the speed of best-effort tasks that share a worker with tasks that
 * serve users. When the tail latency of a serving task approaches its target,
 * best-effort tasks are slowed at once and then sped up again in steps. A
 * feedback loop is used because the interference between images is not known in
 * advance and changes within seconds.
 */

import type { Step } from '../../step.js'
import { RunStatus, type Run, type WorkerView } from './worker-view.js'

/** Pace of a best-effort task without restriction, in percent of its full speed. */
export const FULL_PACE_PERCENT = 100

/** Pace in percent at which a best-effort task starts beside a serving task. */
export const INITIAL_PACE_PERCENT = 40

/** Ratio of tail latency to target from which the pace is halved. */
const SLOWDOWN_LATENCY_RATIO = 0.8

/** Ratio of tail latency to target below which the pace is raised. */
const RECOVERY_LATENCY_RATIO = 0.6

/** Amount by which the pace is raised after each report below the recovery ratio, in percentage points. */
const RECOVERY_PERCENT = 10

/**
 * The next pace of best-effort tasks in percent. `worstLatencyRatio` is the highest ratio of tail latency to target
 * among the serving tasks; at 1 or more, best-effort tasks are halted.
 */
export function choosePace (pace: number, worstLatencyRatio: number): number {
  if (worstLatencyRatio >= 1) return 0
  if (worstLatencyRatio >= SLOWDOWN_LATENCY_RATIO) return Math.floor(pace / 2)
  return worstLatencyRatio < RECOVERY_LATENCY_RATIO ? Math.min(FULL_PACE_PERCENT, pace + RECOVERY_PERCENT) : pace
}

/**
 * Adjusts the pace of the best-effort tasks on a worker after it reported latencies. While a serving task exceeds its
 * target, the order is repeated with each report, since the outcome of an order is not reported.
 */
export function adjustPaces (step: Step, view: WorkerView): void {
  let worstLatencyRatio = -1
  const bestEffort: Run[] = []
  for (const run of view.runs.values()) {
    if (run.status !== RunStatus.running) continue
    if (run.fills) bestEffort.push(run)
    else if (run.targetMs > 0) worstLatencyRatio = Math.max(worstLatencyRatio, run.load / run.targetMs)
  }
  for (const run of bestEffort) {
    const pace = worstLatencyRatio < 0 ? FULL_PACE_PERCENT : choosePace(run.pace, worstLatencyRatio)
    if (pace === run.pace && worstLatencyRatio < 1) continue
    run.pace = pace
    step.effects.push({ kind: 'paceRun', worker: view.worker, task: run.task, run: run.run, percent: pace })
  }
}
