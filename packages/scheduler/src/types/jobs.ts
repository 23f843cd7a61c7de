/**
 * Staged jobs: work that callers hand to a queue. A job has stages that depend
 * on earlier ones; each stage has tasks of one size. Their workers do not renew
 * sessions: the leader calls them, fences them by its term and extends a lease
 * on their own clock.
 */

import type { Resources } from './resources.js'

export interface StageSpec {
  taskCount: number
  resources: Resources
  /** Declared run time of one task in milliseconds, often far off; 0 when not known. */
  estimateMs: number
  /** Earlier stages, counted from 0, whose tasks must all have succeeded. */
  dependsOn: number[]
  /** The tasks report checkpoints, and a run may go on from one. */
  checkpoints: boolean
  /** The tasks work only while all of them run, and end together. */
  gang: boolean
  /** The tasks are slower when they are spread over several racks. */
  rackLocal: boolean
  /** Label that a worker must have; empty for any. */
  requiredLabel: string
  /** Rack that holds the data; empty when it does not matter. */
  dataRack: string
  /** Tasks of one occurrence that one worker may run; 0 for any number. */
  perWorkerLimit: number
  /** Copies of one task may run at the same time. */
  speculative: boolean
  /** The tasks run until the job is cancelled, and are started again however they end. */
  longRunning: boolean
  /** Tasks of the same image behave alike. */
  image: string
  /** Tail latency in milliseconds that a serving task must stay below; 0 when it serves nobody. */
  targetMs: number
  /** Best effort: takes the processor time that other tasks leave, and none of the capacity. */
  fills: boolean
  /** Long-running tasks that may be away at once through acts of the system. */
  disruptionBudget: number
}

/** A job that repeats on a schedule. */
export interface Recurrence {
  count: number
  /** Unix milliseconds. */
  firstMs: number
  intervalMs: number
}

export interface JobSpec {
  /** Opaque to the scheduler, handed to each run. */
  payload: string
  stages: StageSpec[]
  recurrence?: Recurrence
}

export const JobPhase = Object.freeze({
  live: 'live',
  completed: 'completed',
  failed: 'failed',
  cancelled: 'cancelled'
} as const)
export type JobPhase = typeof JobPhase[keyof typeof JobPhase]

export const StageTaskPhase = Object.freeze({
  waiting: 'waiting',
  /** A run of it is on a worker, or may be. */
  placed: 'placed',
  done: 'done'
} as const)
export type StageTaskPhase = typeof StageTaskPhase[keyof typeof StageTaskPhase]

/** One task of one occurrence of a stage. */
export interface StageTask {
  phase: StageTaskPhase
  /** Number of the last run; 0 before the first. */
  run: number
  /** Runs that ended as failed. */
  failures: number
  /** Worker of the last run while it is placed; empty otherwise. */
  worker: string
  /** Incarnation of that worker. */
  incarnation: number
  checkpoint: string
}

/** Tasks of one occurrence, by stage and index. */
export type Occurrence = StageTask[][]

export interface StagedJob {
  id: string
  queue: string
  spec: JobSpec
  phase: JobPhase
  /** Cluster time in milliseconds. */
  acceptedAt: number
  /** Cluster time of its end; 0 while it lives. */
  closedAt: number
  /** True once any task has been placed. */
  started: boolean
  /** By number of the occurrence; those that are due. */
  occurrences: Map<number, Occurrence>
}

/** A queue that callers hand jobs to. */
export interface JobQueue {
  name: string
  /** Host that callers name; compared without case. */
  host: string
  /** Start of the path that selects the queue; the longest one counts. */
  pathPrefix: string
  /** Service whose workers run its tasks. */
  service: string
  /** 0 comes first. */
  priority: number
  /** Failed runs after which a task, or a gang, is given up. */
  attemptLimit: number
  /** The objective is this many times the longest chain of work, and `targetMs` more. */
  stretch: number
  targetMs: number
  timeoutMs: number
  /** Set when an external service decides which workers may run a stage. */
  admission?: AdmissionCost
}

/** What the external admission service takes for one call. */
export interface AdmissionCost {
  decideMs: number
  perWorkerMs: number
  /** How long a ticket is valid, in milliseconds. */
  validMs: number
}

/** What an operator put in force for the cell, under a version of his own. */
export interface CellConfiguration {
  version: number
  queues: JobQueue[]
  /** Queues that were removed while jobs of theirs lived. */
  retired: JobQueue[]
  services: Array<{ name: string, standby: boolean }>
  /** The document as the operator sent it, to be read back. */
  document: string
}

/** A worker that the leader calls. */
export interface CalledWorker {
  id: string
  /** Grows with each start of the worker under the same id. */
  incarnation: number
  /** host:port */
  address: string
  service: string
  availabilityZone: string
  rack: string
  labels: string[]
  capacity: Resources
  isDraining: boolean
  /** It said that its process ends now. */
  hasLeft: boolean
}

/** Names one task: `job/occurrence/stage/index`. */
export interface TaskRef {
  job: string
  occurrence: number
  stage: number
  index: number
}

export function formatTaskRef ({ job, occurrence, stage, index }: TaskRef): string {
  return `${job}/${occurrence}/${stage}/${index}`
}

/** The task that a name stands for; undefined when it is not one. */
export function parseTaskRef (name: string): TaskRef | undefined {
  const [job, occurrence, stage, index, ...rest] = name.split('/')
  const numbers = [occurrence, stage, index].map(Number)
  if (job === '' || rest.length > 0 || numbers.some(number => !Number.isSafeInteger(number) || number < 0)) return undefined
  return { job, occurrence: numbers[0], stage: numbers[1], index: numbers[2] }
}

/** Names one occurrence of a stage. */
export function stageKey (ref: Omit<TaskRef, 'index'>): string {
  return `${ref.job}/${ref.occurrence}/${ref.stage}`
}

export function isLiveJob (job: StagedJob): boolean {
  return job.phase === JobPhase.live
}

export function createOccurrence (spec: JobSpec): Occurrence {
  return spec.stages.map(stage => Array.from({ length: stage.taskCount }, () => ({
    phase: StageTaskPhase.waiting, run: 0, failures: 0, worker: '', incarnation: 0, checkpoint: ''
  })))
}
