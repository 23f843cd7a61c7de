/**
 * Units: occurrences of stages whose tasks wait and may start, since the stages
 * that they depend on have succeeded.
 */

import {
  isLiveJob, StageTaskPhase, stageKey, type CellConfiguration, type Occurrence, type JobQueue, type StagedJob, type StageSpec
} from '../../types/jobs.js'
import { chainMs, findQueue, remainingMs } from './queues.js'

/** Times the objective after which the end of a job is worth nothing to its caller. */
const WORTHLESS_AFTER = 3

export interface Unit {
  key: string
  job: string
  occurrence: number
  stage: number
  spec: StageSpec
  payload: string
  queue: JobQueue
  /** Cluster time at which the objective of the job is missed. */
  objectiveAt: number
  /** Time that the job takes from the start of this stage to its end, in milliseconds. */
  remainingMs: number
  /** Cluster time at which its end is worth nothing any more. */
  worthlessAt: number
  /** Indexes of the tasks that wait. */
  waiting: number[]
  /** Workers that run tasks of this stage, and how many. */
  placedOn: Map<string, number>
}

export class UnitBook {
  private readonly units = new Map<string, Unit>()
  private readonly keysOfJob = new Map<string, string[]>()

  static create (): UnitBook {
    return new UnitBook()
  }

  clear (): void {
    this.units.clear()
    this.keysOfJob.clear()
  }

  get (key: string): Unit | undefined {
    return this.units.get(key)
  }

  all (): IterableIterator<Unit> {
    return this.units.values()
  }

  /** Brings the units of a job up to its present state. */
  refresh (job: StagedJob, cell: CellConfiguration | undefined, learntMs: number | undefined): void {
    this.drop(job.id)
    if (!isLiveJob(job)) return
    const queue = findQueue(cell, job.queue)
    if (queue === undefined) return
    const keys: string[] = []
    for (const [number, occurrence] of job.occurrences) {
      occurrence.forEach((tasks, stage) => {
        if (!isStageOpen(job, occurrence, stage)) return
        const waiting = tasks.flatMap((task, index) => task.phase === StageTaskPhase.waiting ? [index] : [])
        if (waiting.length === 0) return
        const unit = createUnit(job, number, stage, queue, waiting, learntMs)
        this.units.set(unit.key, unit)
        keys.push(unit.key)
      })
    }
    if (keys.length > 0) this.keysOfJob.set(job.id, keys)
  }

  drop (job: string): void {
    for (const key of this.keysOfJob.get(job) ?? []) this.units.delete(key)
    this.keysOfJob.delete(job)
  }
}

/** True when all stages that a stage depends on have succeeded, and a gang of it has no member placed. */
export function isStageOpen (job: StagedJob, occurrence: Occurrence, stage: number): boolean {
  const { dependsOn, gang } = job.spec.stages[stage]
  if (gang && occurrence[stage].some(task => task.phase === StageTaskPhase.placed)) return false
  return dependsOn.every(index => occurrence[index].every(task => task.phase === StageTaskPhase.done))
}

/** Cluster time at which an occurrence is due. */
export function dueAt (job: StagedJob, occurrence: number): number {
  const { recurrence } = job.spec
  return recurrence === undefined ? job.acceptedAt : recurrence.firstMs + occurrence * recurrence.intervalMs
}

function createUnit (
  job: StagedJob, number: number, stage: number, queue: JobQueue, waiting: number[], learntMs: number | undefined
): Unit {
  const begin = dueAt(job, number)
  const objectiveMs = queue.stretch * chainMs(job.spec, queue, learntMs) + queue.targetMs
  const placedOn = new Map<string, number>()
  for (const { worker } of job.occurrences.get(number)?.[stage] ?? []) {
    if (worker !== '') placedOn.set(worker, (placedOn.get(worker) ?? 0) + 1)
  }
  return {
    key: stageKey({ job: job.id, occurrence: number, stage }),
    job: job.id,
    occurrence: number,
    stage,
    spec: job.spec.stages[stage],
    payload: job.spec.payload,
    queue,
    objectiveAt: begin + objectiveMs,
    worthlessAt: begin + WORTHLESS_AFTER * objectiveMs,
    remainingMs: remainingMs(job.spec, queue, learntMs, stage),
    waiting,
    placedOn
  }
}
