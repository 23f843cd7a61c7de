/**
 * Steps whose tasks serve and may not all be away at once through acts of the
 * system.
 */

import { formatTaskRef, stageKey, type StageTask, type TaskRef } from '../../types/jobs.js'
import type { ClusterState } from '../../types/state.js'
import { RunStatus, type WorkerView } from './workers.js'

/** Percent that a long-running task tells once it is at work. */
const AT_WORK_PERCENT = 100

/** A step with a disruption budget, as far as one worker is concerned. */
export interface ServingStep {
  /** Its tasks on the worker. */
  refs: TaskRef[]
  budget: number
  awayElsewhere: number
}

type Views = ReadonlyMap<string, WorkerView>

/** True when no step misses more serving tasks than it may, once all that runs on a worker is gone. */
export function mayTakeDown (state: ClusterState, views: Views, view: WorkerView): boolean {
  return listServingSteps(state, views, view).every(({ refs, budget, awayElsewhere }) => awayElsewhere + refs.length <= budget)
}

export function listServingSteps (state: ClusterState, views: Views, view: WorkerView): ServingStep[] {
  const steps = new Map<string, TaskRef[]>()
  for (const { ref, isOrphan } of view.runs.values()) {
    if (isOrphan || budgetOf(state, ref) === 0) continue
    const refs = steps.get(stageKey(ref))
    if (refs === undefined) steps.set(stageKey(ref), [ref])
    else refs.push(ref)
  }
  return [...steps.values()].map(refs => ({ refs, budget: budgetOf(state, refs[0]), awayElsewhere: countAway(state, views, view, refs[0]) }))
}

function budgetOf (state: ClusterState, { job, stage }: TaskRef): number {
  return state.jobs.get(job)?.spec.stages[stage]?.disruptionBudget ?? 0
}

/** Tasks of a step that are not on this worker and not at work. */
function countAway (state: ClusterState, views: Views, view: WorkerView, { job, occurrence, stage }: TaskRef): number {
  const tasks = state.jobs.get(job)?.occurrences.get(occurrence)?.[stage] ?? []
  return tasks.filter((task, index) => task.worker !== view.id && !isAtWork(views, task, { job, occurrence, stage, index })).length
}

function isAtWork (views: Views, task: StageTask, ref: TaskRef): boolean {
  const view = views.get(task.worker)
  const run = view?.runs.get(formatTaskRef(ref))
  return view?.isGoingDown === false && run?.status === RunStatus.running && run.percent === AT_WORK_PERCENT
}
