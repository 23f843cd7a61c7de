/**
 * Workloads and their tasks. A service is kept running, a batch runs its tasks
 * independently, a gang runs all of its tasks at the same time. A job that a
 * caller submits is a workload of kind batch or gang.
 */

import type { Resources } from './resources.js'

export const WorkloadKind = Object.freeze({
  service: 'service',
  batch: 'batch',
  gang: 'gang'
} as const)
export type WorkloadKind = typeof WorkloadKind[keyof typeof WorkloadKind]

/** Urgency classes; a larger number is more urgent. */
export const Urgency = Object.freeze({ bulk: 1, normal: 2, urgent: 3 } as const)
export type Urgency = typeof Urgency[keyof typeof Urgency]

export const TaskPhase = Object.freeze({
  waiting: 'waiting',
  /** Assigned to a worker that has not confirmed the start. */
  placed: 'placed',
  running: 'running',
  succeeded: 'succeeded',
  failed: 'failed',
  cancelled: 'cancelled',
  /** The task may have run and is not run again, since it is not idempotent. */
  unknown: 'unknown'
} as const)
export type TaskPhase = typeof TaskPhase[keyof typeof TaskPhase]

/** Why an attempt of a task is over. */
export const EndCause = Object.freeze({
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped',
  checkpointed: 'checkpointed',
  /** The worker refused the start; the task did not run. */
  refused: 'refused',
  /** The session of the worker is over; the task may have run. */
  lost: 'lost',
  /** The task was cancelled while it waited. */
  cancelled: 'cancelled'
} as const)
export type EndCause = typeof EndCause[keyof typeof EndCause]

export interface WorkloadSpec {
  name: string
  kind: WorkloadKind
  firm: string
  team: string
  taskCount: number
  resources: Resources
  urgency: Urgency
  /** 0 to 100; within one urgency, the larger priority is placed first. */
  priority: number
  /** Name of a placement policy; empty selects the default for the kind and the firm. */
  policy: string
  /** Declared run time of one task in milliseconds; 0 when not known. */
  estimateMs: number
  /** True when a task may run a second time without further effect. */
  idempotent: boolean
  /** Retries of a failed task, in a gang of all of its tasks together; used only for idempotent work that is not a service. */
  retryLimit: number
  /** True when the tasks may be checkpointed and moved. */
  preemptible: boolean
  /** Allowed availability zones; empty allows all. */
  availabilityZones: string[]
  labels: Record<string, string>
  /** Opaque to the scheduler. */
  payload: Uint8Array
}

export interface TaskState {
  index: number
  phase: TaskPhase
  /** Number of the current or last attempt; incremented by each placement. */
  attempt: number
  /** Name of the worker that the task is assigned to; empty when there is none. */
  target: string
  /** Session of that worker at the time of the placement. */
  session: string
  reason: string
  /** Cluster time in milliseconds at which the task last began to wait. */
  waitingSince: number
  /**
   * The task is not placed before this cluster time in milliseconds; see
   * `computeEarliestStartAt`. Set when an attempt fails or its start is refused, so that retries are delayed.
   */
  notBefore: number
  /** Failed attempts so far. */
  failures: number
  /** Attempts in a row that were lost with the session of their worker; undefined while there are none. */
  losses?: number
  /** Set when a stop was requested: `cancel` ends the task, `preempt` makes it wait again. */
  stopping: '' | 'cancel' | 'preempt'
}

export interface WorkloadState {
  id: string
  /** Principal that submitted the workload, for access checks. */
  owner: string
  spec: WorkloadSpec
  version: number
  tasks: TaskState[]
  /** True once every task has ended. */
  ended: boolean
  /** Why all tasks of the workload are being stopped; empty when they are not. */
  stopping: string
  /** No task is placed before this cluster time in milliseconds; see `computeEarliestStartAt`. */
  notBefore: number
  reason: string
  /** Number of the last decision that changed the workload. */
  change: number
}

/** Key that identifies one task across all of its attempts: `workload id/index`. */
export function createTaskKey (workload: string, index: number): string {
  return `${workload}/${index}`
}

/** Splits a task key into workload id and index; returns undefined when the key is malformed. */
export function parseTaskKey (key: string): { id: string, index: number } | undefined {
  const slash = key.lastIndexOf('/')
  const index = Number(key.slice(slash + 1))
  if (slash < 1 || !Number.isSafeInteger(index) || index < 0) return undefined
  return { id: key.slice(0, slash), index }
}

/** Cluster time in milliseconds before which a waiting task is not placed. */
export function computeEarliestStartAt (workload: WorkloadState, task: TaskState): number {
  return Math.max(workload.notBefore, task.notBefore)
}

/** True while the task is assigned to a worker, whether or not it has started. */
export function isAssigned (task: TaskState): boolean {
  return task.phase === TaskPhase.placed || task.phase === TaskPhase.running
}

/** True until the task has ended. */
export function isLive (task: TaskState): boolean {
  return task.phase === TaskPhase.waiting || isAssigned(task)
}
