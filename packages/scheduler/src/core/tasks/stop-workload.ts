/**
 * Stops workloads and single tasks permanently.
 */

import { EndCause, isAssigned, isLive, TaskPhase, type WorkloadState } from '../../types/workloads.js'
import type { Step } from '../step.js'

/** Stops a workload: ends its waiting tasks and asks workers to stop the others. `reason` is stored with the workload. */
export function stopWorkload (step: Step, workload: WorkloadState, reason: string): void {
  // The version is increased so that an earlier change that arrives late fails with a version conflict.
  step.decide({ kind: 'workloadStopping', id: workload.id, version: workload.version + 1, reason })
  for (const task of workload.tasks) stopTask(step, workload, task.index, reason)
  // Without live tasks, as in a service scaled to zero, no later end of a task would end the workload.
  if (!workload.tasks.some(isLive)) step.decide({ kind: 'workloadEnded', id: workload.id, reason })
}

/** Ends a waiting task, or asks the worker of an assigned one to stop it. A task that has ended is left unchanged. */
export function stopTask (step: Step, workload: WorkloadState, index: number, reason: string): void {
  const { id } = workload
  const task = workload.tasks[index]
  const { attempt } = task
  if (task.phase === TaskPhase.waiting) {
    const phase = TaskPhase.cancelled
    step.decide({ kind: 'taskEnded', id, index, attempt, target: '', phase, cause: EndCause.cancelled, reason })
  } else if (isAssigned(task) && task.stopping !== 'cancel') {
    step.decide({ kind: 'taskStopping', id, index, attempt, stopping: 'cancel' })
  }
}
