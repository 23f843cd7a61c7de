/**
 * What is known of the speed of one worker. Each run in progress gives an observation:
 * either its progress against the work expected of it, which is as uncertain as the
 * latter, or its progress against its own earlier progress, which shows within seconds
 * that a worker turned slow or recovered. Each ended run gives one as well. The tasks of
 * a stage are long or short together, so all of them on one worker count as one
 * observation. All values are natural logarithms.
 */

import { stageKey } from '../../../types/jobs.js'
import type { Run } from '../workers/worker-view.js'
import type { ExpectedWork } from './worker-speeds.js'

/** Least time over which progress is measured, in milliseconds; over shorter times, rounding of the percentage dominates. */
const WINDOW_MS = 700

/** Standard deviation of the difference of two percentages that are rounded down. */
const ROUNDING_PERCENT = 0.4

/** Percentage that a run without progress counts as having gained. */
const NO_GAIN_PERCENT = 0.5

/** Variance by which the speed of a run may change over time while that of its worker does not. */
const DRIFT_VARIANCE = 0.03

/** Variance of the speed of a worker about its usual speed, or about the mean of all workers while that is not known. */
const PRIOR_VARIANCE = 0.25

/** Distance from the rest of the evidence at which an observation counts half; the tasks that take 7 times as long are far beyond. */
const OUTLIER_DISTANCE = 0.7

/** Time after which the evidence of an ended run counts half, in milliseconds. */
const END_HALF_LIFE_MS = 6_000

/** Time after which the end of a run says nothing any more, in milliseconds. */
const END_RETENTION_MS = 5 * END_HALF_LIFE_MS

/** Largest number of stages of which the ends on one worker are kept. */
const ENDED_STAGE_LIMIT = 24

/** Number of stages with slow runs from which a worker can be slow. */
const MIN_SLOW_STAGES = 2

/** Time over which the usual speed of a worker is averaged, in milliseconds; much longer than a worker is slow in passing. */
const USUAL_SPEED_MS = 60_000

/** Time for which mean speed counts in the usual speed of a new worker, in milliseconds; with less, one that turns slow early would have no past to compare with. */
const USUAL_PRIOR_MS = 15_000

/** Greatest variance of an estimate from which the usual speed is learnt. */
const USUAL_VARIANCE_LIMIT = 0.12

export interface SpeedEstimate {
  log: number
  variance: number
  /** Number of stages whose runs the estimate is from. */
  samples: number
}

interface Observation {
  log: number
  variance: number
  /** It compares a run with its own past, so the length of the task does not matter. */
  isByPast?: boolean
}

/** The ended runs of one stage: the mean of their observations, and the time of the last one. */
interface EndedStage extends Observation { count: number, at: number }

/** The progress of one run. */
interface RunTrace {
  run: number
  stage: string
  windowAt: number
  windowPercent: number
  /** Speed of the run in its first window and that of the worker then, by the other evidence. */
  base: { rate: number, log: number, variance: number } | undefined
  observation: Observation | undefined
}

export class SpeedRecord {
  /** Usual speed relative to the mean of all workers; undefined before it is known. */
  usual: number | undefined
  estimate: SpeedEstimate
  private readonly traces = new Map<string, RunTrace>()
  /** By stage; the one that was updated last is the last entry. */
  private readonly ends = new Map<string, EndedStage>()
  /** True if there is an observation that the estimate does not contain. */
  private isChanged = false
  private updatedAt = 0
  private usualSince = 0
  private usualAt = 0

  private constructor (centre: number) {
    this.estimate = { log: centre, variance: PRIOR_VARIANCE, samples: 0 }
  }

  static create (centre: number): SpeedRecord {
    return new SpeedRecord(centre)
  }

  recordProgress (run: Run, { expectedMs, deviation }: ExpectedWork, centre: number, now: number): void {
    const trace = this.traces.get(run.task)
    if (trace === undefined || trace.run !== run.run || run.percent < trace.windowPercent) {
      this.traces.set(run.task, { run: run.run, stage: stageKey(run.ref), windowAt: now, windowPercent: run.percent, base: undefined, observation: undefined })
      return
    }
    const spanMs = now - trace.windowAt
    if (spanMs < WINDOW_MS || expectedMs <= 0) return
    const gained = run.percent - trace.windowPercent
    // A long task may need longer for one percent; without any progress a window is open until a usual task would have some.
    if (gained === 0 && spanMs < Math.max(2 * WINDOW_MS, expectedMs / 10)) return
    const gain = Math.max(NO_GAIN_PERCENT, gained)
    const rate = gain / spanMs
    const rounding = (ROUNDING_PERCENT / gain) ** 2
    const byWork = { log: Math.log(rate * expectedMs / 100), variance: deviation ** 2 + rounding }
    const { base } = trace
    const byPast = base === undefined ? undefined : { isByPast: true, log: Math.log(rate / base.rate) + base.log, variance: base.variance + DRIFT_VARIANCE + rounding }
    const isByPast = byPast !== undefined && (byPast.variance < byWork.variance || run.progress?.isWhole !== true)
    trace.observation = isByPast ? byPast : run.progress?.isWhole === true && deviation < Infinity ? byWork : undefined
    if (base === undefined) {
      const { log, variance } = this.estimateWithout(run, centre, now)
      trace.base = { rate, log, variance: variance + rounding }
    }
    this.isChanged = true
    trace.windowAt = now
    trace.windowPercent = run.percent
  }

  recordEnd (run: Run, elapsedMs: number, { expectedMs, deviation }: ExpectedWork, now: number): void {
    this.traces.delete(run.task)
    if (expectedMs <= 0 || elapsedMs <= 0 || deviation === Infinity) return
    const stage = stageKey(run.ref)
    const { count, log } = this.ends.get(stage) ?? { count: 0, log: 0 }
    this.ends.delete(stage)
    this.ends.set(stage, { log: (count * log + Math.log(expectedMs / elapsedMs)) / (count + 1), variance: deviation ** 2, count: count + 1, at: now })
    for (const [oldest, { at }] of this.ends) {
      if (this.ends.size <= ENDED_STAGE_LIMIT && now - at < END_RETENTION_MS) break
      this.ends.delete(oldest)
    }
    this.isChanged = true
  }

  forgetRun (task: string): void {
    this.traces.delete(task)
  }

  keepRuns (runs: ReadonlyMap<string, Run>): void {
    for (const task of this.traces.keys()) {
      if (!runs.has(task)) this.traces.delete(task)
    }
  }

  /** Computes the estimate again if there is something new, or if the last time was long ago, since ends count less with age. */
  update (centre: number, now: number): SpeedEstimate {
    if (!this.isChanged && now - this.updatedAt < END_HALF_LIFE_MS / 4) return this.estimate
    this.isChanged = false
    this.updatedAt = now
    this.estimate = this.estimateWithout(undefined, centre, now)
    if (this.estimate.samples > 0 && this.estimate.variance < USUAL_VARIANCE_LIMIT) this.learnUsual(this.estimate.log - centre, now)
    return this.estimate
  }

  /** The estimate from all evidence but that of a run and the other runs of its stage. */
  estimateWithout (run: Run | undefined, centre: number, now: number, priorVariance = PRIOR_VARIANCE): SpeedEstimate {
    const prior = { log: centre + (this.usual ?? 0), variance: priorVariance }
    const observations = this.listObservations(run === undefined ? undefined : stageKey(run.ref), now)
    const middle = findMiddle([prior, ...observations])
    let sum = prior.log / prior.variance
    let weight = 1 / prior.variance
    for (const observation of observations) {
      const share = countWeight(observation, middle)
      sum += share * observation.log
      weight += share
    }
    return { log: sum / weight, variance: 1 / weight, samples: observations.length }
  }

  /** True when enough other stages than that of a run have run at a speed below a limit: one in 30 does so because its tasks are long. */
  isBelow (limit: number, run: Run, now: number): boolean {
    const slow = this.listObservations(stageKey(run.ref), now).filter(({ log }) => log < limit)
    return slow.length >= MIN_SLOW_STAGES || slow.some(({ isByPast }) => isByPast === true)
  }

  /** One observation for each stage: from its runs in progress if there are any, otherwise from those that ended. */
  private listObservations (without: string | undefined, now: number): Observation[] {
    const byStage = new Map<string, Observation>()
    for (const [stage, { log, variance, at }] of this.ends) {
      const age = now - at
      if (stage !== without && age < END_RETENTION_MS) byStage.set(stage, { log, variance: variance * 2 ** (age / END_HALF_LIFE_MS) })
    }
    const counts = new Map<string, number>()
    for (const { stage, observation } of this.traces.values()) {
      if (stage === without || observation === undefined) continue
      const count = counts.get(stage) ?? 0
      const known = count === 0 ? undefined : byStage.get(stage)
      counts.set(stage, count + 1)
      byStage.set(stage, known === undefined ? observation : { log: (count * known.log + observation.log) / (count + 1), variance: Math.min(known.variance, observation.variance), isByPast: known.isByPast === true || observation.isByPast === true })
    }
    return [...byStage.values()]
  }

  /** The usual speed is a plain mean at first, and then follows slowly. */
  private learnUsual (log: number, now: number): void {
    if (this.usual === undefined) {
      this.usual = 0
      this.usualSince = now - USUAL_PRIOR_MS
    } else {
      // After a pause in the evidence one estimate replaces the usual speed at most; a share above 1 would make it diverge.
      const share = Math.min(1, (now - this.usualAt) / Math.min(USUAL_SPEED_MS, now - this.usualSince))
      this.usual += share * (log - this.usual)
    }
    this.usualAt = now
  }
}

/** Weight of an observation: less the further it is from the middle of the evidence. */
function countWeight ({ log, variance }: Observation, middle: number): number {
  return 1 / (variance * (1 + ((log - middle) / OUTLIER_DISTANCE) ** 4))
}

/** Weighted median. */
function findMiddle (observations: readonly Observation[]): number {
  const sorted = [...observations].sort((one, other) => one.log - other.log)
  let left = sorted.reduce((sum, { variance }) => sum + 1 / variance, 0) / 2
  for (const { log, variance } of sorted) {
    left -= 1 / variance
    if (left <= 0) return log
  }
  return sorted[sorted.length - 1].log
}
