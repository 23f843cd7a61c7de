/**
 * The speed of each worker relative to its peers, for cells whose machines are of several
 * generations and in which a machine at times turns slow. Progress of the runs in
 * progress and recent ends are compared with the expected work. Single tasks that take
 * many times as long as expected say nothing about their worker, so what contradicts
 * the other evidence about a worker counts little. The estimates are volatile; a new
 * leader learns them again within seconds.
 */

import type { Run } from '../workers/worker-view.js'
import { SpeedRecord, type SpeedEstimate } from './speed-record.js'

/** Interval at which the mean of all workers is computed again, in milliseconds. */
const CENTRE_INTERVAL_MS = 500

/** Share of its usual speed below which a worker is slow; work restarted elsewhere then ends sooner even at some cost. */
const SLOW_SHARE = 0.5

/** Share of its usual speed below which the overall estimate of a worker makes it worth a closer look. */
const SUSPICIOUS_SHARE = 0.85

/** Least usual speed that is assumed of a worker, relative to the mean, so that one that was never fast can be slow as well. */
const MIN_USUAL_SPEED = 0.6

/** Standard deviations by which a worker must be below the limit to count as slow. */
const SLOW_CONFIDENCE = 1.3

/** Variance of the speed of a worker about its usual speed when it may have turned slow. */
const SUDDEN_VARIANCE = 1

/** What is known of the work of a run, as natural logarithms. */
export interface ExpectedWork {
  expectedMs: number
  /** Standard deviation of the logarithm of the work; Infinity when hardly anything is known of it. */
  deviation: number
}

/** Why a worker counts as slow. */
export interface SlowEvidence {
  /** Present speed relative to the mean of all workers, from evidence other than the run in question. */
  speed: number
  /** Usual speed of the worker, relative to the mean of all workers. */
  usualSpeed: number
  /** Number of other stages that the evidence is from. */
  samples: number
}

export class WorkerSpeeds {
  private readonly records = new Map<string, SpeedRecord>()
  /** Mean of the logarithms of the speeds of all workers. */
  private centre = 0
  private centreAt = 0

  private constructor () {}

  static create (): WorkerSpeeds {
    return new WorkerSpeeds()
  }

  clear (): void {
    this.records.clear()
    this.centre = 0
    this.centreAt = 0
  }

  /** Speed relative to the mean of all workers; 1 when nothing is known. A later incarnation of a worker keeps it. */
  speedOf (worker: string): number {
    return Math.exp(this.speedLogOf(worker))
  }

  /** Natural logarithm of `speedOf`. */
  speedLogOf (worker: string): number {
    const record = this.records.get(worker)
    return record === undefined ? 0 : record.estimate.log - this.centre
  }

  /** Standard deviation of the logarithm of the speed of a worker. */
  errorOf (worker: string): number {
    return Math.sqrt((this.records.get(worker) ?? SpeedRecord.create(this.centre)).estimate.variance)
  }

  /** Takes the progress that a worker listed for a run. Runs of gangs say nothing, since they wait for their slowest member. */
  recordProgress (worker: string, run: Run, work: ExpectedWork, now: number): void {
    this.getRecord(worker).recordProgress(run, work, this.centre, now)
  }

  /** Takes the end of a run that succeeded after it had worked for a time; `work` is what was expected for that time. */
  recordEnd (worker: string, run: Run, elapsedMs: number, work: ExpectedWork, now: number): void {
    this.getRecord(worker).recordEnd(run, elapsedMs, work, now)
  }

  /** Forgets the progress of a run that is no longer on the worker. */
  forgetRun (worker: string, task: string): void {
    this.records.get(worker)?.forgetRun(task)
  }

  /** Computes the mean of all workers again, in intervals, and forgets workers and runs that `views` no longer contains. */
  refresh (now: number, views: ReadonlyMap<string, { runs: ReadonlyMap<string, Run>, speedLog: number }>): void {
    if (now - this.centreAt < CENTRE_INTERVAL_MS) return
    this.centreAt = now
    let sum = 0
    let weight = 0
    for (const [worker, record] of this.records) {
      const view = views.get(worker)
      if (view === undefined) {
        this.records.delete(worker)
        continue
      }
      record.keepRuns(view.runs)
      const { log, variance } = record.update(this.centre, now)
      sum += log / variance
      weight += 1 / variance
    }
    if (weight > 0) this.centre = sum / weight
    // Kept with the worker because a pass reads it for each pair of a task and a worker.
    for (const [worker, view] of views) view.speedLog = this.speedLogOf(worker)
  }

  /** Evidence that the worker of a run is slow, without that run itself; undefined when there is none. */
  findSlowEvidence (worker: string, run: Run, now: number): SlowEvidence | undefined {
    const record = this.records.get(worker)
    // Checked first because it is cheap: the overall estimate of a slow worker is well below its usual speed.
    if (record === undefined || record.estimate.log - this.centre > (record.usual ?? 0) + Math.log(SUSPICIOUS_SHARE)) return undefined
    const others = record.estimateWithout(run, this.centre, now, SUDDEN_VARIANCE)
    if (others.samples === 0) return undefined
    const usual = Math.max(record.usual ?? 0, Math.log(MIN_USUAL_SPEED))
    const upper = others.log - this.centre + SLOW_CONFIDENCE * Math.sqrt(others.variance)
    const limit = usual + Math.log(SLOW_SHARE)
    if (upper >= limit || !record.isBelow(limit + this.centre, run, now)) return undefined
    return { speed: toSpeed(others, this.centre), usualSpeed: Math.exp(usual), samples: others.samples }
  }

  private getRecord (worker: string): SpeedRecord {
    let record = this.records.get(worker)
    if (record === undefined) {
      record = SpeedRecord.create(this.centre)
      this.records.set(worker, record)
    }
    return record
  }
}

function toSpeed ({ log }: SpeedEstimate, centre: number): number {
  return Math.exp(log - centre)
}
