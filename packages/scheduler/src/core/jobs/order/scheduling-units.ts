/**
 * A scheduling unit is one occurrence of a stage that has waiting tasks and whose
 * dependencies have all succeeded; a gang with a placed task is none. The index of
 * the units is volatile and is derived from the replicated state.
 */

import { hasAccounts } from '../../../types/accounts.js'
import {
  isLiveJob, StageTaskPhase, stageKey, type CellConfiguration, type Occurrence, type JobQueue, type StagedJob, type StageSpec
} from '../../../types/jobs.js'
import { findQueue, objectiveMs, remainingPathMs, submittedAt, type RunTimeSource } from './queues.js'
import { isSuspected } from '../runs/worker-crashes.js'

/** Multiple of the objective after which the result of a job has no value to its caller. */
const WORTHLESS_FACTOR = 3

export interface SchedulingUnit {
  /** `job/occurrence/stage`. */
  key: string
  job: string
  occurrence: number
  stage: number
  spec: StageSpec
  payload: string
  queue: JobQueue
  /** Client account of the job; undefined if it has none. */
  account?: string
  /** The job is beyond what its account is owed. */
  isBeyondWeight?: boolean
  /** Cluster time in milliseconds by which the job must end to meet its objective. */
  objectiveAt: number
  /** Expected time from the start of this stage to the end of the job, in milliseconds. */
  remainingMs: number
  /** Cluster time in milliseconds after which the result of the job has no value. */
  worthlessAt: number
  /** Indexes of the waiting tasks. */
  waiting: number[]
  /** Indexes of those of them that are suspected to crash workers. */
  suspects: ReadonlySet<number>
  /** Number of tasks of this stage placed on each worker, by worker id. */
  placedCounts: Map<string, number>
}

export class SchedulingUnitIndex {
  private readonly units = new Map<string, SchedulingUnit>()
  private readonly keysByJob = new Map<string, string[]>()

  static create (): SchedulingUnitIndex {
    return new SchedulingUnitIndex()
  }

  clear (): void {
    this.units.clear()
    this.keysByJob.clear()
  }

  get (key: string): SchedulingUnit | undefined {
    return this.units.get(key)
  }

  list (): IterableIterator<SchedulingUnit> {
    return this.units.values()
  }

  /**
   * Recomputes the units of a job from its current state. A job that is closed, or whose queue is not known, has none.
   * `runTimes` says what the run times of its queue are expected by.
   */
  refresh (job: StagedJob, cell: CellConfiguration | undefined, runTimes: RunTimeSource): void {
    this.remove(job.id)
    if (!isLiveJob(job)) return
    const queue = findQueue(cell, job.queue)
    if (queue === undefined) return
    const keys: string[] = []
    for (const [occurrenceNumber, occurrence] of job.occurrences) {
      occurrence.forEach((tasks, stage) => {
        if (!isStageReady(job, occurrence, stage)) return
        const waiting = tasks.flatMap((task, index) => task.phase === StageTaskPhase.waiting ? [index] : [])
        if (waiting.length === 0) return
        const unit = createUnit(job, occurrenceNumber, stage, queue, waiting, runTimes)
        // A mark from before a configuration without accounts has no effect any more.
        if (!hasAccounts(cell)) unit.isBeyondWeight = false
        this.units.set(unit.key, unit)
        keys.push(unit.key)
      })
    }
    if (keys.length > 0) this.keysByJob.set(job.id, keys)
  }

  remove (job: string): void {
    for (const key of this.keysByJob.get(job) ?? []) this.units.delete(key)
    this.keysByJob.delete(job)
  }
}

/** True when all dependencies of a stage have succeeded and, if it is a gang, none of its tasks is placed. */
export function isStageReady (job: StagedJob, occurrence: Occurrence, stage: number): boolean {
  const { dependsOn, gang } = job.spec.stages[stage]
  if (gang && occurrence[stage].some(task => task.phase === StageTaskPhase.placed)) return false
  return dependsOn.every(index => occurrence[index].every(task => task.phase === StageTaskPhase.done))
}

/** Cluster time in milliseconds at which an occurrence is due; for a job without recurrence, the time of its submission. */
export function occurrenceDueAt (job: StagedJob, occurrence: number): number {
  const { recurrence } = job.spec
  return recurrence === undefined ? submittedAt(job) : recurrence.firstMs + occurrence * recurrence.intervalMs
}

/** A run that is in progress although the replicated state does not place it. */
export interface Orphan { task: string, worker: string }

/**
 * The unit without the tasks that have an orphan; a gang starts as a whole, so it has none left then. The orphans count as
 * placed on their workers.
 */
export function excludeOrphans (unit: SchedulingUnit, orphans: readonly Orphan[]): SchedulingUnit {
  const own = orphans.filter(({ task }) => task.startsWith(`${unit.key}/`))
  if (own.length === 0) return unit
  const tasks = new Set(own.map(({ task }) => task))
  const waiting = unit.waiting.filter(index => !tasks.has(`${unit.key}/${index}`))
  const placedCounts = new Map(unit.placedCounts)
  for (const { worker } of own) placedCounts.set(worker, (placedCounts.get(worker) ?? 0) + 1)
  return { ...unit, waiting: unit.spec.gang && waiting.length < unit.waiting.length ? [] : waiting, placedCounts }
}

/**
 * Splits units into those of suspected tasks, which are placed first, and the rest. A gang with a suspected task counts as a
 * whole among the former.
 */
export function splitSuspects (units: readonly SchedulingUnit[]): { suspected: SchedulingUnit[], others: SchedulingUnit[] } {
  if (units.every(unit => unit.suspects.size === 0)) return { suspected: [], others: [...units] }
  const suspected: SchedulingUnit[] = []
  const others: SchedulingUnit[] = []
  for (const unit of units) {
    const isWhole = unit.suspects.size === 0 || unit.spec.gang
    const waiting = isWhole ? unit.waiting : unit.waiting.filter(index => unit.suspects.has(index))
    const rest = isWhole ? [] : unit.waiting.filter(index => !unit.suspects.has(index))
    if (unit.suspects.size === 0) others.push(unit)
    else suspected.push({ ...unit, waiting })
    if (rest.length > 0) others.push({ ...unit, waiting: rest })
  }
  return { suspected, others }
}

function createUnit (
  job: StagedJob, occurrenceNumber: number, stage: number, queue: JobQueue, waiting: number[], runTimes: RunTimeSource
): SchedulingUnit {
  const startAt = occurrenceDueAt(job, occurrenceNumber)
  const jobObjectiveMs = objectiveMs(job.spec, queue, runTimes)
  const placedCounts = new Map<string, number>()
  const tasks = job.occurrences.get(occurrenceNumber)?.[stage] ?? []
  for (const { worker } of tasks) {
    if (worker !== '') placedCounts.set(worker, (placedCounts.get(worker) ?? 0) + 1)
  }
  return {
    key: stageKey({ job: job.id, occurrence: occurrenceNumber, stage }),
    job: job.id,
    occurrence: occurrenceNumber,
    stage,
    spec: job.spec.stages[stage],
    payload: job.spec.payload,
    queue,
    account: job.account,
    isBeyondWeight: job.isBeyondWeight === true,
    objectiveAt: startAt + jobObjectiveMs,
    worthlessAt: startAt + WORTHLESS_FACTOR * jobObjectiveMs,
    remainingMs: remainingPathMs(job.spec, queue, runTimes, stage),
    waiting,
    suspects: new Set(waiting.filter(index => isSuspected(tasks[index]))),
    placedCounts
  }
}
