/**
 * Decides whether a task ends or is requeued after its attempt is over. A task of
 * a job that is not idempotent is requeued only when no attempt of it can have
 * run, or when it resumes from a checkpoint.
 */

import { EndCause, TaskPhase, type TaskState, WorkloadKind, type WorkloadState } from '../../types/workloads.js'

export type AttemptResolution =
  | { kind: 'ended', phase: TaskPhase }
  /** `failures` is the new failure count of the task. */
  | { kind: 'requeued', failures: number }

const SUCCEEDED: AttemptResolution = Object.freeze({ kind: 'ended', phase: TaskPhase.succeeded })
const FAILED: AttemptResolution = Object.freeze({ kind: 'ended', phase: TaskPhase.failed })
const CANCELLED: AttemptResolution = Object.freeze({ kind: 'ended', phase: TaskPhase.cancelled })
const UNKNOWN: AttemptResolution = Object.freeze({ kind: 'ended', phase: TaskPhase.unknown })

/** False only when an attempt certainly never ran: its start was refused, and the worker never reported it as running. */
export function mayHaveRun (task: TaskState, cause: EndCause): boolean {
  return cause !== EndCause.refused || task.phase === TaskPhase.running
}

/**
 * Decides how an assigned attempt that ended with `cause` affects its task. `isStable` is true when the attempt ran for
 * at least `limits.stableRunMs`; it matters only for services.
 */
export function resolveAttempt (workload: WorkloadState, task: TaskState, cause: EndCause, isStable = false): AttemptResolution {
  if (workload.spec.kind === WorkloadKind.service) return resolveService(workload, task, cause, isStable)
  if (cause === EndCause.succeeded) return SUCCEEDED
  if (task.stopping === 'cancel') return resolveCancelled(workload, task, cause)
  if (cause === EndCause.failed) return canRetry(workload, task) ? requeueAfterFailure(task) : FAILED
  return canRunAgain(workload, task, cause) ? requeueUnchanged(task) : UNKNOWN
}

function requeueAfterFailure (task: TaskState): AttemptResolution {
  return { kind: 'requeued', failures: task.failures + 1 }
}

function requeueUnchanged (task: TaskState): AttemptResolution {
  return { kind: 'requeued', failures: task.failures }
}

/** Services never complete: their tasks are restarted however they end. A stable run resets the failure count. */
function resolveService (workload: WorkloadState, task: TaskState, cause: EndCause, isStable: boolean): AttemptResolution {
  const isSurplus = workload.stopping !== '' || task.index >= workload.spec.taskCount
  if (isSurplus) return CANCELLED
  if (isStable) return { kind: 'requeued', failures: 0 }
  return cause === EndCause.failed ? requeueAfterFailure(task) : requeueUnchanged(task)
}

function resolveCancelled (workload: WorkloadState, task: TaskState, cause: EndCause): AttemptResolution {
  if (cause === EndCause.failed) return FAILED
  const isOutcomeUnknown = cause === EndCause.lost && !workload.spec.idempotent
  return isOutcomeUnknown ? UNKNOWN : CANCELLED
}

function canRetry (workload: WorkloadState, task: TaskState): boolean {
  if (!workload.spec.idempotent) return false
  const failures = workload.spec.kind === WorkloadKind.gang ? countFailures(workload) : task.failures
  return failures < workload.spec.retryLimit
}

function canRunAgain (workload: WorkloadState, task: TaskState, cause: EndCause): boolean {
  if (workload.spec.idempotent || !mayHaveRun(task, cause)) return true
  // A task that was checkpointed resumes where it stopped and does not repeat its work.
  return cause === EndCause.checkpointed && workload.spec.preemptible
}

/** Total failure count of a gang; its tasks share one retry limit. */
function countFailures (workload: WorkloadState): number {
  let failures = 0
  for (const task of workload.tasks) failures += task.failures
  return failures
}
