/**
 * How fast best-effort tasks may work beside tasks that serve users. It answers
 * a serving task whose tail nears its target: what fills is slowed at once and
 * given its speed back step by step, since how images disturb each other is not
 * known in advance and changes within seconds.
 */

import type { Step } from '../step.js'
import { RunStatus, type Run, type WorkerView } from './workers.js'

export const FULL_PACE = 100

/** Pace in percent at which a task begins beside one that serves. */
export const FIRST_PACE = 40

/** Shares of its target at which a tail is too near to it, and at which there is room to spare. */
const NEAR_SHARE = 0.8
const CALM_SHARE = 0.6

/** What is given back at each report without harm, in percent. */
const RECOVERY_PERCENT = 10

/** The pace of what fills, from the pace so far and the worst tail of the serving tasks as a share of its target. */
export function choosePace (pace: number, worstShare: number): number {
  if (worstShare >= 1) return 0
  if (worstShare >= NEAR_SHARE) return Math.floor(pace / 2)
  return worstShare < CALM_SHARE ? Math.min(FULL_PACE, pace + RECOVERY_PERCENT) : pace
}

/** Sets the pace of what fills on a worker, after it reported its loads; repeats an order while harm goes on. */
export function paceWorker (step: Step, view: WorkerView): void {
  let worstShare = -1
  const filling: Run[] = []
  for (const run of view.runs.values()) {
    if (run.status !== RunStatus.running) continue
    if (run.fills) filling.push(run)
    else if (run.targetMs > 0) worstShare = Math.max(worstShare, run.load / run.targetMs)
  }
  for (const run of filling) {
    const pace = worstShare < 0 ? FULL_PACE : choosePace(run.pace, worstShare)
    if (pace === run.pace && worstShare < 1) continue
    run.pace = pace
    step.effects.push({ kind: 'paceRun', worker: view.worker, task: run.task, run: run.run, percent: pace })
  }
}
