/**
 * Descriptions of runs for the log.
 */

import type { RunAnomaly } from '../../../types/events.js'
import { parseTaskRef, type StageTask } from '../../../types/jobs.js'
import type { Step } from '../../step.js'
import { findStageTask } from '../apply-job-decision.js'
import type { WorkerView } from '../workers/worker-view.js'

export function noteRunAnomaly (step: Step, view: WorkerView, anomaly: RunAnomaly, { task, run }: { task: string, run: number }, report: string): void {
  const ref = parseTaskRef(task)
  const placed = ref === undefined ? undefined : findStageTask(step.state, ref)
  const detail = `listed: ${report}; in the state: ${placed === undefined ? 'unknown' : describePlacement(placed)}`
  step.effects.push({ kind: 'noteRunAnomaly', anomaly, worker: view.id, incarnation: view.worker.incarnation, task, run, detail })
}

/** Number of runs that the description of a lost worker names. */
const DESCRIBED_RUN_LIMIT = 10

/** Names the youngest runs of a worker, with the time since their placement: those that started last may have ended its process. */
export function describeYoungestRuns (view: WorkerView, now: number): string {
  const youngest = [...view.runs.values()].sort((one, other) => other.placedAt - one.placedAt).slice(0, DESCRIBED_RUN_LIMIT)
  return youngest.map(({ task, run, status, placedAt }) => `${task} run ${run} ${status} ${now - placedAt} ms`).join(', ')
}

export function describePlacement ({ run, phase, worker, incarnation }: StageTask): string {
  return `run ${run} ${phase}${worker === '' ? '' : ` on ${worker} (${incarnation})`}`
}
