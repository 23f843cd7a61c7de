/**
 * What the leader knows of the workers that it calls: their room, the runs that
 * are or may be on them, and whether they can take more. All of it is volatile;
 * a new leader asks each worker anew under its own fence.
 */

import { parseTaskRef, type CalledWorker, type StageSpec, type TaskRef } from '../../types/jobs.js'
import type { Resources } from '../../types/resources.js'
import { FULL_PACE } from './pacing.js'
import type { Progress } from './progress.js'

export const RunStatus = Object.freeze({
  /** A former leader placed it; whether it runs is not known before the worker is asked. */
  inherited: 'inherited',
  /** Its start is ordered and not confirmed. */
  starting: 'starting',
  running: 'running',
  stopping: 'stopping'
} as const)
export type RunStatus = typeof RunStatus[keyof typeof RunStatus]

export interface Run {
  task: string
  ref: TaskRef
  run: number
  status: RunStatus
  resources: Resources
  /** Takes none of the capacity. */
  fills: boolean
  priority: number
  image: string
  /** A stop loses nothing of its work, and it is no member of a gang. */
  isPreemptible: boolean
  /** Cluster time at which its job misses its objective. */
  objectiveAt: number
  estimateMs: number
  /** Cluster time of the placement. */
  placedAt: number
  /** Cluster time of the last order without an answer; 0 when none is open. */
  orderedAt: number
  /** Cluster time at which the last order was confirmed; 0 when it is not. */
  confirmedAt: number
  percent: number
  /** Where its speed is counted from; undefined before the worker listed it. */
  progress: Progress | undefined
  load: number
  /** Tail latency that it must stay below as it serves, in milliseconds; 0 when it serves nobody. */
  targetMs: number
  /** Share of its speed at which it may work, in percent. */
  pace: number
  checkpoint: string
  /** Why it is being stopped. */
  stopReason: string
  /** It goes on from a checkpoint. */
  isResumed: boolean
  /** True once the worker confirmed that it runs, or ran. */
  hasRun: boolean
  /** Its placement is not in the durable state any more; only its end is waited for. */
  isOrphan: boolean
}

export class WorkerView {
  readonly runs = new Map<string, Run>()
  /** True once the worker answered under the fence of this leader. */
  isFenced = false
  isSilent = false
  /** The highest number of an end that was taken in. */
  cursor = 0
  /** Its VM goes down next: it gets no new work. */
  isEvacuating = false
  /** The order to take its VM down may be on its way. */
  isGoingDown = false
  /** Cluster time before which it gets no new work. */
  avoidUntil = 0
  /** Share of recent runs that failed here, 0 to 1. */
  failureRate = 0
  private usedMillicores = 0
  private usedMemory = 0
  private usedAccelerators = 0

  private constructor (public worker: CalledWorker) {}

  static create (worker: CalledWorker): WorkerView {
    return new WorkerView(worker)
  }

  get id (): string {
    return this.worker.id
  }

  get freeMillicores (): number {
    return this.worker.capacity.millicores - this.usedMillicores
  }

  get freeMemory (): number {
    return this.worker.capacity.memoryMib - this.usedMemory
  }

  get freeAccelerators (): number {
    return this.worker.capacity.accelerators - this.usedAccelerators
  }

  takesWork (now: number): boolean {
    return this.isFenced && !this.isSilent && !this.isEvacuating && !this.worker.isDraining && now >= this.avoidUntil
  }

  add (run: Run): void {
    this.remove(run.task)
    this.runs.set(run.task, run)
    this.account(run, 1)
  }

  remove (task: string): void {
    const run = this.runs.get(task)
    if (run === undefined) return
    this.runs.delete(task)
    this.account(run, -1)
  }

  private account (run: Run, sign: number): void {
    if (!run.fills) this.usedMillicores += sign * run.resources.millicores
    this.usedMemory += sign * run.resources.memoryMib
    this.usedAccelerators += sign * run.resources.accelerators
  }
}

/** A run that is placed now. */
export function createRun (ref: TaskRef, task: string, run: number, stage: StageSpec, priority: number, now: number): Run {
  const { resources, fills, image } = stage
  const isPreemptible = stage.checkpoints && !stage.gang && !stage.longRunning
  return {
    task,
    ref,
    run,
    status: RunStatus.starting,
    resources,
    fills,
    priority,
    image,
    isPreemptible,
    objectiveAt: Infinity,
    estimateMs: stage.estimateMs,
    placedAt: now,
    orderedAt: now,
    confirmedAt: 0,
    percent: 0,
    progress: undefined,
    load: 0,
    targetMs: stage.targetMs,
    pace: FULL_PACE,
    checkpoint: '',
    stopReason: '',
    isResumed: false,
    hasRun: false,
    isOrphan: false
  }
}

/** A run that a worker lists and the durable state does not place there. */
export function createOrphan (task: string, run: number, resources: Resources, now: number): Run {
  const ref = parseTaskRef(task) ?? { job: task, occurrence: 0, stage: 0, index: 0 }
  return {
    task,
    ref,
    run,
    status: RunStatus.running,
    resources,
    fills: false,
    priority: 0,
    image: '',
    isPreemptible: false,
    objectiveAt: Infinity,
    estimateMs: 0,
    placedAt: now,
    orderedAt: 0,
    confirmedAt: now,
    percent: 0,
    progress: undefined,
    load: 0,
    targetMs: 0,
    pace: FULL_PACE,
    checkpoint: '',
    stopReason: '',
    isResumed: false,
    hasRun: true,
    isOrphan: true
  }
}

/** True when a task on the worker serves users under a target. */
export function isServing (view: WorkerView): boolean {
  for (const run of view.runs.values()) {
    if (run.targetMs > 0 && !run.fills) return true
  }
  return false
}
