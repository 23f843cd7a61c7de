/**
 * What becomes of a task whose attempt is over. A task that is not idempotent
 * waits again only when no attempt of it can have run.
 */

import { EndCause, TaskPhase, type TaskState, WorkloadKind, type WorkloadState } from '../../types/workloads.js'

export type Verdict =
  | { kind: 'ended', phase: TaskPhase }
  /** With its count of failures from now on. */
  | { kind: 'requeued', failures: number }

const FINISHED: Verdict = Object.freeze({ kind: 'ended', phase: TaskPhase.succeeded })
const FAILED: Verdict = Object.freeze({ kind: 'ended', phase: TaskPhase.failed })
const CANCELLED: Verdict = Object.freeze({ kind: 'ended', phase: TaskPhase.cancelled })
const UNKNOWN: Verdict = Object.freeze({ kind: 'ended', phase: TaskPhase.unknown })

/** What a held attempt may have done, by the way that it ended. */
export function mayHaveRun (task: TaskState, cause: EndCause): boolean {
  return cause !== EndCause.refused || task.phase === TaskPhase.running
}

/** Judges an attempt that a worker held. */
export function judgeEnd (workload: WorkloadState, task: TaskState, cause: EndCause, isStable = false): Verdict {
  if (workload.spec.kind === WorkloadKind.service) return judgeService(workload, task, cause, isStable)
  if (cause === EndCause.succeeded) return FINISHED
  if (task.stopping === 'cancel') return judgeCancelled(workload, task, cause)
  if (cause === EndCause.failed) return canRetry(workload, task) ? retried(task) : FAILED
  return canRunAgain(workload, task, cause) ? moved(task) : UNKNOWN
}

function retried (task: TaskState): Verdict {
  return { kind: 'requeued', failures: task.failures + 1 }
}

function moved (task: TaskState): Verdict {
  return { kind: 'requeued', failures: task.failures }
}

/** A service has no result: its tasks are kept running, whatever they end with. */
function judgeService (workload: WorkloadState, task: TaskState, cause: EndCause, isStable: boolean): Verdict {
  const isSurplus = workload.stopping !== '' || task.index >= workload.spec.taskCount
  if (isSurplus) return CANCELLED
  if (isStable) return { kind: 'requeued', failures: 0 }
  return cause === EndCause.failed ? retried(task) : moved(task)
}

function judgeCancelled (workload: WorkloadState, task: TaskState, cause: EndCause): Verdict {
  if (cause === EndCause.failed) return FAILED
  const isLost = cause === EndCause.lost && !workload.spec.idempotent
  return isLost ? UNKNOWN : CANCELLED
}

function canRetry (workload: WorkloadState, task: TaskState): boolean {
  if (!workload.spec.idempotent) return false
  const failures = workload.spec.kind === WorkloadKind.gang ? countFailures(workload) : task.failures
  return failures < workload.spec.retryLimit
}

function canRunAgain (workload: WorkloadState, task: TaskState, cause: EndCause): boolean {
  if (workload.spec.idempotent || !mayHaveRun(task, cause)) return true
  // What was checkpointed goes on where it stopped; it does not run a second time.
  return cause === EndCause.checkpointed && workload.spec.preemptible
}

/** The tasks of a gang share one count of tries. */
function countFailures (workload: WorkloadState): number {
  let failures = 0
  for (const task of workload.tasks) failures += task.failures
  return failures
}
