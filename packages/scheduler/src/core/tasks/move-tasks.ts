/**
 * Moves tasks off workers that are draining or leaving. Running tasks of a service
 * are moved a few at a time, so that it is not down as a whole. Other tasks are
 * moved only if a restart is acceptable. On a leaving worker they must be
 * idempotent or preemptible. On a draining one they must be both, so that a move
 * loses at most progress: a task that cannot save a checkpoint is run again. All
 * others run to completion.
 */

import { TargetPhase, type TargetState } from '../../types/targets.js'
import { TaskPhase, type TaskState, WorkloadKind, type WorkloadState } from '../../types/workloads.js'
import type { Step } from '../step.js'
import type { AssignedTasks } from './assigned-tasks.js'

/** Maximum number of tasks that one tick moves off one worker. */
const MOVE_LIMIT = 64
/**
 * A running task of a service is moved only while the number of tasks of the service that are
 * down for any reason is below its task count divided by this number, rounded down, or is 0.
 */
const DOWN_TASK_DIVISOR = 4

/** Preempts the tasks that are to be moved. */
export function moveTasks (step: Step, assigned: AssignedTasks): void {
  for (const target of step.state.targets.values()) {
    if (target.phase === TargetPhase.draining || target.phase === TargetPhase.leaving) moveOff(step, assigned, target)
  }
}

function moveOff (step: Step, assigned: AssignedTasks, target: TargetState): void {
  let moves = 0
  for (const { id, index, attempt } of assigned.getByTarget(target.name).values()) {
    const workload = step.state.workloads.get(id)
    const task = workload?.tasks[index]
    if (workload === undefined || task === undefined || task.stopping !== '') continue
    if (!canMove(target, workload, task)) continue
    step.decide({ kind: 'taskStopping', id, index, attempt, stopping: 'preempt' })
    moves += 1
    if (moves === MOVE_LIMIT) return
  }
}

function canMove (target: TargetState, workload: WorkloadState, task: TaskState): boolean {
  const { kind, idempotent, preemptible } = workload.spec
  if (kind === WorkloadKind.service) return task.phase === TaskPhase.placed || canStopRunningTask(workload)
  if (target.phase === TargetPhase.leaving) return idempotent || preemptible
  return idempotent && preemptible
}

function canStopRunningTask (service: WorkloadState): boolean {
  const count = service.spec.taskCount
  let upCount = 0
  for (const task of service.tasks) {
    if (task.phase === TaskPhase.running && task.stopping === '') upCount += 1
  }
  return count - upCount < Math.max(1, Math.floor(count / DOWN_TASK_DIVISOR))
}
