/**
 * Simulated workers of unlike speed, and the runs on them. The work of a run is counted
 * in milliseconds on a worker of speed 1.
 */

import type { CalledWorker, EndedRun, ReportedRun } from '../../packages/scheduler/src/index.js'

/** A time in which some workers run at a share of their speed. */
export interface Slowdown { workers: readonly number[], fromMs: number, toMs: number, factor: number }

/** A run on a worker. */
export class ActiveRun {
  isStopping = false
  /** Cluster time at which it was started. */
  readonly startedAt: number
  /** Number of times its end was scheduled; only the last one counts. */
  endSchedule = 0
  private doneMs: number
  private settledAt: number
  /** 0 while it waits for its gang. */
  private speed = 0

  private constructor (
    readonly progress: ReportedRun,
    /** Work of the whole task, including the restore of a checkpoint. */
    readonly workMs: number,
    /** Work that was done by the checkpoint from which the run resumed. */
    readonly resumedMs: number,
    readonly fails: boolean,
    /** Key of its stage if that is a gang; empty otherwise. */
    readonly gang: string,
    now: number
  ) {
    this.doneMs = resumedMs
    this.startedAt = now
    this.settledAt = now
  }

  static create (progress: ReportedRun, workMs: number, resumedMs: number, fails: boolean, gang: string, now: number): ActiveRun {
    return new ActiveRun(progress, workMs, resumedMs, fails, gang, now)
  }

  setSpeed (speed: number, now: number): void {
    this.doneMs = this.countDone(now)
    this.settledAt = now
    this.speed = speed
  }

  countDone (now: number): number {
    return this.doneMs + (now - this.settledAt) * this.speed
  }

  /** Time until the work is done at the present speed. */
  countLeft (now: number): number {
    return Math.max(1, (this.workMs - this.countDone(now)) / this.speed)
  }

  /** Time on its worker that is lost when it ends with `keptMs` of its work saved. */
  countLostTime (keptMs: number, now: number): number {
    const gainedMs = this.countDone(now) - this.resumedMs
    const lostShare = gainedMs <= 0 ? 1 : 1 - Math.max(0, keptMs - this.resumedMs) / gainedMs
    return lostShare * (now - this.startedAt)
  }
}

/** A simulated worker: its active runs, and the ended runs that the leader has not acknowledged. */
export class WorkerModel {
  readonly active = new Map<string, ActiveRun>()
  ended: EndedRun[] = []
  lastEndNumber = 0

  private constructor (readonly facts: CalledWorker, public speed: number) {}

  static create (facts: CalledWorker, speed = 1): WorkerModel {
    return new WorkerModel(facts, speed)
  }
}
