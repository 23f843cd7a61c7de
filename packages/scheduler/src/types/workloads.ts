/**
 * Workloads and their tasks. A service is kept running, a batch runs its tasks
 * one by one, a gang runs all of its tasks at once. A job that a caller submits
 * is a workload of kind batch or gang.
 */

import type { Resources } from './resources.js'

export const WorkloadKind = Object.freeze({
  service: 'service',
  batch: 'batch',
  gang: 'gang'
} as const)
export type WorkloadKind = typeof WorkloadKind[keyof typeof WorkloadKind]

/** Ordered from least to most urgent; the number is the rank. */
export const Urgency = Object.freeze({ bulk: 1, normal: 2, urgent: 3 } as const)
export type Urgency = typeof Urgency[keyof typeof Urgency]

export const TaskPhase = Object.freeze({
  waiting: 'waiting',
  /** On a worker that has not confirmed the start. */
  placed: 'placed',
  running: 'running',
  succeeded: 'succeeded',
  failed: 'failed',
  cancelled: 'cancelled',
  /** It may have run; not run again, since it is not idempotent. */
  unknown: 'unknown'
} as const)
export type TaskPhase = typeof TaskPhase[keyof typeof TaskPhase]

/** Why an attempt of a task is over. */
export const EndCause = Object.freeze({
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped',
  checkpointed: 'checkpointed',
  /** The worker refused the start; it did not run. */
  refused: 'refused',
  /** The session of its worker is over; it may have run. */
  lost: 'lost',
  /** It was cancelled while it waited. */
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
  /** 0 to 100, larger first within one urgency. */
  priority: number
  /** Name of a placement policy; empty takes the default of kind and firm. */
  policy: string
  /** Declared run time of one task in milliseconds; 0 when not known. */
  estimateMs: number
  idempotent: boolean
  retryLimit: number
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
  /** Grows by one with each placement; 0 before the first. */
  attempt: number
  /** Name of the worker that holds the task; empty when none does. */
  target: string
  /** Session of that worker at the placement. */
  session: string
  reason: string
  /** When it last began to wait, in milliseconds of cluster time. */
  waitingSince: number
  /**
   * Not placed before this cluster time in milliseconds; see `startableAt`.
   * Set when an attempt fails, so that a repeat backs off.
   */
  notBefore: number
  /** Failed attempts so far. */
  failures: number
  /** A stop was asked for: `cancel` ends the task, `preempt` makes it wait again. */
  stopping: '' | 'cancel' | 'preempt'
}

export interface WorkloadState {
  id: string
  /** Who submitted it, for access checks. */
  owner: string
  spec: WorkloadSpec
  version: number
  tasks: TaskState[]
  /** True once every task has ended. */
  ended: boolean
  /** Why all of its tasks are being stopped; empty when they are not. */
  stopping: string
  /** No task is placed before this cluster time in milliseconds; see `startableAt`. */
  notBefore: number
  reason: string
  /** Number of the last decision that changed it. */
  change: number
}

/** Identifies one task over all of its attempts: `workload id/index`. */
export function taskKey (workload: string, index: number): string {
  return `${workload}/${index}`
}

/** The workload and the index in a task key; undefined when it is not one. */
export function parseTaskKey (key: string): { id: string, index: number } | undefined {
  const slash = key.lastIndexOf('/')
  const index = Number(key.slice(slash + 1))
  if (slash < 1 || !Number.isSafeInteger(index) || index < 0) return undefined
  return { id: key.slice(0, slash), index }
}

/** Cluster time in milliseconds before which placement leaves a waiting task alone. */
export function startableAt (workload: WorkloadState, task: TaskState): number {
  return Math.max(workload.notBefore, task.notBefore)
}

/** True while a worker holds the task, started or not. */
export function isHeld (task: TaskState): boolean {
  return task.phase === TaskPhase.placed || task.phase === TaskPhase.running
}

/** True until the task has ended. */
export function isLive (task: TaskState): boolean {
  return task.phase === TaskPhase.waiting || isHeld(task)
}
