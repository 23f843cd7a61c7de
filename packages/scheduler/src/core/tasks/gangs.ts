/**
 * Gangs live and die together: when one task of a gang is over before the rest,
 * the rest are stopped, and they wait again together or end together.
 */

import { EndCause, isHeld, isLive, TaskPhase, type TaskState, type WorkloadState } from '../../types/workloads.js'
import type { Step } from '../step.js'

/** Brings the tasks of a gang into line after one of them ended or was requeued. */
export function settleGang (step: Step, gang: WorkloadState): void {
  if (gang.ended) return
  const broken = gang.tasks.find(isBroken)
  if (broken !== undefined) return endTogether(step, gang, `task ${broken.index} of the gang is ${broken.phase}`)
  if (!gang.tasks.some(task => task.phase === TaskPhase.waiting)) return
  const hasFinished = gang.tasks.some(task => task.phase === TaskPhase.succeeded)
  if (hasFinished && !gang.spec.idempotent) return endTogether(step, gang, 'the gang can not start over')
  startOver(step, gang)
}

function isBroken (task: TaskState): boolean {
  return !isLive(task) && task.phase !== TaskPhase.succeeded
}

function endTogether (step: Step, gang: WorkloadState, reason: string): void {
  for (const task of gang.tasks) {
    const { index, attempt } = task
    if (task.phase === TaskPhase.waiting) {
      const phase = TaskPhase.cancelled
      step.decide({ kind: 'taskEnded', id: gang.id, index, attempt, target: '', phase, cause: EndCause.cancelled, reason })
    } else if (isHeld(task) && task.stopping !== 'cancel') {
      step.decide({ kind: 'taskStopping', id: gang.id, index, attempt, stopping: 'cancel' })
    }
  }
}

function startOver (step: Step, gang: WorkloadState): void {
  for (const task of gang.tasks) {
    const { index, attempt, failures } = task
    if (isHeld(task) && task.stopping === '') {
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
