/**
 * Which runs may be stopped for more urgent work: those that keep their progress and
 * whose job can afford it.
 */

import { RunStatus, type Run, type WorkerView } from '../workers/worker-view.js'

/** Running preemptible runs of a worker whose jobs can afford a preemption, largest processor demand first. */
export function listPreemptible (view: WorkerView, now: number): Run[] {
  const found: Run[] = []
  for (const run of view.runs.values()) {
    if (run.isPreemptible && run.status === RunStatus.running && canAffordPreemption(run, now)) found.push(run)
  }
  return found.sort((one, other) => other.resources.millicores - one.resources.millicores)
}

/** Time that must remain for a preemption until the objective, or until the result has no value, as a multiple of the estimated run time of the task. */
const PREEMPTION_SLACK_FACTOR = 2

/** Allowance for the time that a preempted task waits for placement; added to the slack. */
const PREEMPTION_WAIT_MS = 5_000

/**
 * True when the job of a run still meets its objective after a preemption. If it misses it in any case, the result must still
 * have a value after a preemption, or none without one.
 */
export function canAffordPreemption (run: Run, now: number): boolean {
  const neededMs = run.estimateMs * (100 - run.percent) / 100
  const endsBefore = run.objectiveAt - now >= neededMs ? run.objectiveAt : run.worthlessAt
  const leftMs = endsBefore - now
  return leftMs < neededMs || leftMs > PREEMPTION_SLACK_FACTOR * run.estimateMs + PREEMPTION_WAIT_MS
}
