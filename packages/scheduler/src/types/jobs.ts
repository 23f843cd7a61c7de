/**
 * Staged jobs: work that callers submit to a queue. A job has stages that depend
 * on earlier stages; all tasks of a stage have the same size. Workers of staged
 * jobs do not renew sessions: the leader calls them, uses its term as the fencing
 * token and extends a lease that is measured on the worker's own clock.
 */

import type { AccountDirectory } from './accounts.js'
import type { Resources } from './resources.js'

export interface StageSpec {
  taskCount: number
  resources: Resources
  /** Declared run time of one task in milliseconds, often inaccurate; 0 when not known. */
  estimateMs: number
  /** Zero-based indexes of earlier stages; all of their tasks must succeed before this stage starts. */
  dependsOn: number[]
  /** The tasks report checkpoints, and a run can resume from one. */
  checkpoints: boolean
  /** The tasks make progress only while all of them run, and end together. */
  gang: boolean
  /** The tasks run more slowly when they are spread over several racks. */
  rackLocal: boolean
  /** Label that a worker must have; empty for any. */
  requiredLabel: string
  /** Rack that stores the input data; empty for no preference. */
  dataRack: string
  /** Tasks of one occurrence that one worker may run; 0 for no limit. */
  perWorkerLimit: number
  /** Copies of one task may run at the same time; the scheduler does not use this. */
  speculative: boolean
  /** The tasks run until the job is cancelled and are restarted whenever they end, whatever the result. */
  longRunning: boolean
  /** Image of the tasks; tasks of the same image are expected to behave alike. */
  image: string
  /** Tail latency in milliseconds that a serving task must stay below; 0 when the tasks serve no requests. */
  targetMs: number
  /** Best effort: uses only processor time that other tasks leave idle and reserves no processor capacity. */
  fills: boolean
  /** Tasks of a long-running stage that the scheduler may make unavailable at the same time; 0 for no limit. */
  disruptionBudget: number
}

/** A job that repeats on a schedule. */
export interface Recurrence {
  /** Number of occurrences. */
  count: number
  /** Time at which the first occurrence is due, in Unix milliseconds. */
  firstMs: number
  intervalMs: number
}

export interface JobSpec {
  /** Opaque to the scheduler; passed to each run. */
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
  /** A run of the task is on a worker, or may be. */
  placed: 'placed',
  done: 'done'
} as const)
export type StageTaskPhase = typeof StageTaskPhase[keyof typeof StageTaskPhase]

/** Crashes of workers that count against a task. */
export interface TaskCrashes {
  /** How strongly the task is suspected to have caused them; see `EVIDENCE_LIMIT`. */
  evidence: number
  /** Number of its last runs in a row that were lost with a crashed worker. */
  lostRuns: number
}

/** One task of one occurrence of a stage. */
export interface StageTask {
  phase: StageTaskPhase
  /** Number of the last run; 0 before the first. */
  run: number
  /** Number of failed runs. */
  failures: number
  /** Numbers of the failed runs, by which a failure that is listed again is recognised; undefined while there is none. */
  failedRuns?: number[]
  /** Undefined while there are none. */
  crashes?: TaskCrashes
  /** Worker of the last run while the task is placed; empty otherwise. */
  worker: string
  /** Incarnation of that worker. */
  incarnation: number
  /** Newest reported checkpoint; empty when there is none. */
  checkpoint: string
}

/** Tasks of one occurrence, by stage and index. */
export type Occurrence = StageTask[][]

export interface StagedJob {
  id: string
  queue: string
  /** Name of the client account that submitted it; undefined where there are no accounts, or on an open queue. */
  account?: string
  /** True for a job beyond the number of jobs per second that its account is owed. */
  isBeyondWeight?: boolean
  spec: JobSpec
  phase: JobPhase
  /** Cluster time in milliseconds. */
  acceptedAt: number
  /** Time for which its submission waited at an entry for a leader, in milliseconds; the objective counts from its start. Absent when it did not wait. */
  heldMs?: number
  /** Cluster time in milliseconds at which the job ended; 0 until then. */
  closedAt: number
  /** True once any task has been placed. */
  started: boolean
  /** Occurrences that are due, by number; none once the job is completed. */
  occurrences: Map<number, Occurrence>
}

/** A queue that callers submit jobs to. */
export interface JobQueue {
  name: string
  /** Host that callers address; compared case-insensitively. */
  host: string
  /** Path prefix that selects the queue; the longest match wins. */
  pathPrefix: string
  /** Service whose workers run its tasks. */
  service: string
  /** 0 is the highest priority. */
  priority: number
  /** Failed runs after which a task or a gang is not run again. */
  attemptLimit: number
  /** Multiple of the length of a job's critical path in the objective for its completion time; `targetMs` is added to it. */
  stretch: number
  /** Fixed part of the objective in milliseconds. */
  targetMs: number
  /** Timeout of the configured route in milliseconds; the scheduler does not use it. */
  timeoutMs: number
  /** Set when an external service decides which workers may run a stage. */
  admission?: AdmissionTiming
  /** Callers need no key; undefined counts as false. */
  isOpen?: boolean
}

/** Time that the external admission service needs for one call, in milliseconds: `decideMs` plus `perWorkerMs` for each worker. */
export interface AdmissionTiming {
  decideMs: number
  perWorkerMs: number
  /** Validity of a ticket in milliseconds. */
  validMs: number
}

/** The configuration of the cell that an operator put in force, under a version that the operator chose. */
export interface CellConfiguration extends AccountDirectory {
  version: number
  queues: JobQueue[]
  /** Queues that were removed while they had jobs that had not ended. */
  retired: JobQueue[]
  /** Services that queues may name; the scheduler does not use `standby`. */
  services: Array<{ name: string, standby: boolean }>
  /** The document as the operator sent it, for reading it back. */
  document: string
}

/** A worker that the leader calls, as opposed to one that renews a session. */
export interface CalledWorker {
  id: string
  /** Increases with each start of a worker under the same id. */
  incarnation: number
  /** Host and port as `host:port`. */
  address: string
  service: string
  availabilityZone: string
  rack: string
  labels: string[]
  capacity: Resources
  isDraining: boolean
  /** Rises with each report of one incarnation, by which a late one is recognised; undefined in reports of earlier versions. */
  sequence?: number
  /** The worker has announced that its process is about to end. */
  hasLeft: boolean
}

/** Identifies one task; its text form is `job/occurrence/stage/index`. */
export interface TaskRef {
  job: string
  occurrence: number
  stage: number
  index: number
}

export function formatTaskRef ({ job, occurrence, stage, index }: TaskRef): string {
  return `${job}/${occurrence}/${stage}/${index}`
}

/** Parses the text form of a task reference; returns undefined when it is malformed. */
export function parseTaskRef (name: string): TaskRef | undefined {
  const [job, occurrence, stage, index, ...rest] = name.split('/')
  const numbers = [occurrence, stage, index].map(Number)
  if (job === '' || rest.length > 0 || numbers.some(number => !Number.isSafeInteger(number) || number < 0)) return undefined
  return { job, occurrence: numbers[0], stage: numbers[1], index: numbers[2] }
}

/** Key of one occurrence of a stage: `job/occurrence/stage`. */
export function stageKey (ref: Omit<TaskRef, 'index'>): string {
  return `${ref.job}/${ref.occurrence}/${ref.stage}`
}

export function isLiveJob (job: StagedJob): boolean {
  return job.phase === JobPhase.live
}

/** True while a run of the job is placed, which may also be so after it was closed. */
export function hasPlacedTask (job: StagedJob): boolean {
  return [...job.occurrences.values()].some(stages => stages.some(tasks => tasks.some(({ phase }) => phase === StageTaskPhase.placed)))
}

export function createOccurrence (spec: JobSpec): Occurrence {
  return spec.stages.map(stage => Array.from({ length: stage.taskCount }, () => ({
    phase: StageTaskPhase.waiting, run: 0, failures: 0, worker: '', incarnation: 0, checkpoint: ''
  })))
}
