/**
 * Keeps the tasks of a gang in a common state: when the attempt of one task ends
 * before the others, the others are stopped, and the gang is either restarted or
 * ended as a whole.
 */

import { EndCause, isAssigned, isLive, TaskPhase, type TaskState, type WorkloadState } from '../../types/workloads.js'
import type { Step } from '../step.js'

/**
 * Ends or restarts the other tasks of a gang after one of them ended or was requeued. The gang ends when a task ended
 * without success, or when it would have to run a succeeded task again and is not idempotent.
 */
export function reconcileGang (step: Step, gang: WorkloadState): void {
  if (gang.ended) return
  const unsuccessful = gang.tasks.find(isUnsuccessful)
  if (unsuccessful !== undefined) return endGang(step, gang, `task ${unsuccessful.index} of the gang is ${unsuccessful.phase}`)
  if (!gang.tasks.some(task => task.phase === TaskPhase.waiting)) return
  const hasSucceededTask = gang.tasks.some(task => task.phase === TaskPhase.succeeded)
  if (hasSucceededTask && !gang.spec.idempotent) return endGang(step, gang, 'the gang can not start over')
  restartGang(step, gang)
}

function isUnsuccessful (task: TaskState): boolean {
  return !isLive(task) && task.phase !== TaskPhase.succeeded
}

/** Cancels the waiting tasks and asks workers to stop the others. */
function endGang (step: Step, gang: WorkloadState, reason: string): void {
  for (const task of gang.tasks) {
    const { index, attempt } = task
    if (task.phase === TaskPhase.waiting) {
      const phase = TaskPhase.cancelled
      step.decide({ kind: 'taskEnded', id: gang.id, index, attempt, target: '', phase, cause: EndCause.cancelled, reason })
    } else if (isAssigned(task) && task.stopping !== 'cancel') {
      step.decide({ kind: 'taskStopping', id: gang.id, index, attempt, stopping: 'cancel' })
    }
  }
}

/** Preempts the assigned tasks and requeues the succeeded ones, so that all tasks wait again. */
function restartGang (step: Step, gang: WorkloadState): void {
  for (const task of gang.tasks) {
    const { index, attempt, failures } = task
    if (isAssigned(task) && task.stopping === '') {
      step.decide({ kind: 'taskStopping', id: gang.id, index, attempt, stopping: 'preempt' })
    } else if (task.phase === TaskPhase.succeeded) {
      step.decide({
        kind: 'taskRequeued',
        id: gang.id,
        index,
        attempt,
        target: '',
        failures,
        cause: EndCause.succeeded,
        reason: 'the gang starts over',
        at: step.now,
        notBefore: 0
      })
    }
  }
}
