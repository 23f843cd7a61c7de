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
  ended: boolean
  reason: string
  /** Number of the last decision that changed it. */
  change: number
}

/** Identifies one task over all of its attempts: `workload id/index`. */
export function taskKey (workload: string, index: number): string {
  return `${workload}/${index}`
}
