/**
 * Checks the disruption budgets of serving stages: how many tasks of a stage the
 * scheduler may make unavailable at the same time.
 */

import { formatTaskRef, stageKey, type StageTask, type TaskRef } from '../../../types/jobs.js'
import type { ClusterState } from '../../../types/state.js'
import { RunStatus, type WorkerView } from './worker-view.js'

/** Progress in percent that a long-running task reports once it is ready to serve. */
const READY_PERCENT = 100

/** A stage with a disruption budget that has tasks on a given worker. */
export interface ServingStage {
  /** Tasks of the stage on the worker; at least one. */
  refs: TaskRef[]
  /** Tasks that may be unavailable at once. */
  budget: number
  /** Tasks that are not on the worker and not ready. */
  unavailableElsewhere: number
}

type Views = ReadonlyMap<string, WorkerView>

/** True when every serving stage stays within its disruption budget after all runs on the worker have ended. */
export function isSafeToTakeDown (state: ClusterState, views: Views, view: WorkerView): boolean {
  return listServingStages(state, views, view).every(({ refs, budget, unavailableElsewhere }) => unavailableElsewhere + refs.length <= budget)
}

export function listServingStages (state: ClusterState, views: Views, view: WorkerView): ServingStage[] {
  const stages = new Map<string, TaskRef[]>()
  for (const { ref, isOrphan } of view.runs.values()) {
    if (isOrphan || getBudget(state, ref) === 0) continue
    const refs = stages.get(stageKey(ref))
    if (refs === undefined) stages.set(stageKey(ref), [ref])
    else refs.push(ref)
  }
  return [...stages.values()].map(refs => ({ refs, budget: getBudget(state, refs[0]), unavailableElsewhere: countUnavailable(state, views, view, refs[0]) }))
}

function getBudget (state: ClusterState, { job, stage }: TaskRef): number {
  return state.jobs.get(job)?.spec.stages[stage]?.disruptionBudget ?? 0
}

/** Number of tasks of a stage that are not on this worker and not ready. */
function countUnavailable (state: ClusterState, views: Views, view: WorkerView, { job, occurrence, stage }: TaskRef): number {
  const tasks = state.jobs.get(job)?.occurrences.get(occurrence)?.[stage] ?? []
  return tasks.filter((task, index) => task.worker !== view.id && !isReady(views, task, { job, occurrence, stage, index })).length
}

function isReady (views: Views, task: StageTask, ref: TaskRef): boolean {
  const view = views.get(task.worker)
  const run = view?.runs.get(formatTaskRef(ref))
  return view?.isGoingDown === false && run?.status === RunStatus.running && run.percent === READY_PERCENT
}
