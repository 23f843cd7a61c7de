/**
 * Stopping the tasks of a workload for good.
 */

import { EndCause, isHeld, isLive, TaskPhase, type WorkloadState } from '../../types/workloads.js'
import type { Step } from '../step.js'

/** Ends the tasks that wait, and has the others stopped. */
export function stopAll (step: Step, workload: WorkloadState, reason: string): void {
  // A new version, so that an earlier change that comes late finds another one.
  step.decide({ kind: 'workloadStopping', id: workload.id, version: workload.version + 1, reason })
  for (const task of workload.tasks) stopTask(step, workload, task.index, reason)
  // A service without tasks has nothing to wait for.
  if (!workload.tasks.some(isLive)) step.decide({ kind: 'workloadEnded', id: workload.id, reason })
}

/** Ends a task that waits; one that a worker holds is asked to stop. */
export function stopTask (step: Step, workload: WorkloadState, index: number, reason: string): void {
  const { id } = workload
  const task = workload.tasks[index]
  const { attempt } = task
  if (task.phase === TaskPhase.waiting) {
    const phase = TaskPhase.cancelled
    step.decide({ kind: 'taskEnded', id, index, attempt, target: '', phase, cause: EndCause.cancelled, reason })
  } else if (isHeld(task) && task.stopping !== 'cancel') {
    step.decide({ kind: 'taskStopping', id, index, attempt, stopping: 'cancel' })
  }
}
