/**
 * Moves work off workers that are draining or leaving. A service is moved a few
 * tasks at a time, so that it is never wholly down; other work is moved when that
 * costs no more than its progress, and else runs to its end.
 */

import { TargetPhase, type TargetState } from '../../types/targets.js'
import { TaskPhase, type TaskState, WorkloadKind, type WorkloadState } from '../../types/workloads.js'
import type { Step } from '../step.js'
import type { HeldTasks } from './held.js'

/** Most tasks that one tick moves off one worker. */
const MOVES_PER_TICK = 64
/** One in so many tasks of a service may be down for moves at once, and at least one. */
const DOWN_SHARE = 4

/** Asks for the moves that are due. */
export function moveTasks (step: Step, held: HeldTasks): void {
  for (const target of step.state.targets.values()) {
    if (target.phase === TargetPhase.draining || target.phase === TargetPhase.leaving) moveOff(step, held, target)
  }
}

function moveOff (step: Step, held: HeldTasks, target: TargetState): void {
  let moves = 0
  for (const { id, index, attempt } of held.on(target.name).values()) {
    const workload = step.state.workloads.get(id)
    const task = workload?.tasks[index]
    if (workload === undefined || task === undefined || task.stopping !== '') continue
    if (!canMove(target, workload, task)) continue
    step.decide({ kind: 'taskStopping', id, index, attempt, stopping: 'preempt' })
    moves += 1
    if (moves === MOVES_PER_TICK) return
  }
}

function canMove (target: TargetState, workload: WorkloadState, task: TaskState): boolean {
  const { kind, idempotent, preemptible } = workload.spec
  if (kind === WorkloadKind.service) return task.phase === TaskPhase.placed || canBeDown(workload)
  if (target.phase === TargetPhase.leaving) return idempotent || preemptible
  return idempotent && preemptible
}

function canBeDown (service: WorkloadState): boolean {
  const count = service.spec.taskCount
  let up = 0
  for (const task of service.tasks) {
    if (task.phase === TaskPhase.running && task.stopping === '') up += 1
  }
  return count - up < Math.max(1, Math.floor(count / DOWN_SHARE))
}
