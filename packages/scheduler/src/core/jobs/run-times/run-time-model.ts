/**
 * Estimates how long tasks run where no source says so reliably: callers declare times
 * that are off by several times, and a few tasks take many times as long as their like.
 * An estimate goes from coarse to fine, and trusts each step by the number and the
 * spread of its samples.
 */

import type { StageSpec } from '../../../types/jobs.js'
import type { RunTimeEstimate, RunTimeState } from '../../../types/run-times.js'
import type { ClusterState } from '../../../types/state.js'
import { summarize, type LogSummary } from './log-histogram.js'
import { keyOfDeclared, keyOfImage, keyOfQueue } from './run-time-records.js'

/** Number of samples of a kind at which it counts as much as the coarser estimate. */
const EQUAL_WEIGHT_SAMPLES = 8

/** Least standard deviation of a logarithm that is assumed; a few samples may be equal by chance. */
const MIN_DEVIATION = 0.1

/** Standard deviation of the logarithm of the ratio of real to declared time that is assumed before any run has ended. */
const DECLARED_DEVIATION = 0.6

/** Normal deviate that nine tenths of all values do not exceed. */
const UPPER_DEVIATE = 1.28

/** The part of a stage that an estimate depends on. */
export type EstimatedStage = Pick<StageSpec, 'image' | 'estimateMs'>

/** An estimate as natural logarithms. */
interface LogEstimate { mean: number, upper: number, samples: number }

export class RunTimeModel {
  private constructor (private state: RunTimeState | undefined) {}

  /** `state` is the learnt part of the replicated state; undefined before the first committed end. */
  static create (state?: RunTimeState): RunTimeModel {
    return new RunTimeModel(state)
  }

  /** Uses the learnt part of a replicated state, which may have begun to exist since. */
  attach (state: ClusterState): void {
    this.state = state.runTimes
  }

  estimate (queue: string, stage: EstimatedStage): RunTimeEstimate {
    const coarse = this.estimateByQueue(queue, stage)
    const fine = this.findFineSummary(queue, stage)
    const result = refine(coarse, fine)
    if (result === undefined) return { expectedMs: 0, upperMs: 0, samples: 0 }
    return { expectedMs: Math.exp(result.mean), upperMs: Math.exp(result.upper), samples: result.samples }
  }

  /**
   * Standard deviation of the logarithm of real over estimated run time that is to be expected for a stage; Infinity while
   * the estimate is hardly more than what its caller declared.
   */
  deviationOf (queue: string, stage: EstimatedStage): number {
    const overall = summarize(this.state?.work.get(keyOfQueue(queue)))
    if (overall === undefined || overall.weight < EQUAL_WEIGHT_SAMPLES) return Infinity
    return Math.max(MIN_DEVIATION, (this.findFineSummary(queue, stage) ?? overall).deviation)
  }

  /**
   * Combines the distribution of the queue with the declared time, corrected by the usual ratio of real to declared time. The
   * one with the smaller spread counts more, so a declared time that is far off moves an estimate by its weight only.
   */
  private estimateByQueue (queue: string, { estimateMs }: EstimatedStage): LogEstimate | undefined {
    const overall = summarize(this.state?.work.get(keyOfQueue(queue)))
    const rating = summarize(this.state?.declaredRatios.get(keyOfQueue(queue)))
    if (overall === undefined) {
      return estimateMs > 0 ? { mean: Math.log(estimateMs), upper: Math.log(estimateMs) + UPPER_DEVIATE * DECLARED_DEVIATION, samples: 0 } : undefined
    }
    if (estimateMs <= 0) return toEstimate(overall)
    const ratingWeight = rating === undefined ? 0 : rating.weight / (rating.weight + EQUAL_WEIGHT_SAMPLES)
    const ratingDeviation = ratingWeight * Math.max(MIN_DEVIATION, rating?.deviation ?? 0) + (1 - ratingWeight) * DECLARED_DEVIATION
    const declared = Math.log(estimateMs) + ratingWeight * (rating?.median ?? 0)
    // Few samples say little about the middle of the queue, whatever their spread.
    const overallVariance = Math.max(MIN_DEVIATION, overall.deviation) ** 2 + DECLARED_DEVIATION ** 2 / overall.weight
    const declaredShare = overallVariance / (overallVariance + ratingDeviation ** 2)
    const mean = declaredShare * declared + (1 - declaredShare) * overall.median
    const deviation = Math.sqrt(overallVariance * ratingDeviation ** 2 / (overallVariance + ratingDeviation ** 2))
    return { mean, upper: mean + UPPER_DEVIATE * deviation, samples: overall.weight }
  }

  /** Of the kinds by image and by declared time, the one with the smaller spread if both have enough samples, otherwise the one with more. */
  private findFineSummary (queue: string, stage: EstimatedStage): LogSummary | undefined {
    const image = this.findWork(keyOfImage(queue, stage))
    const declared = this.findWork(keyOfDeclared(queue, stage))
    if (image === undefined || declared === undefined) return image ?? declared
    const areKnown = image.weight >= EQUAL_WEIGHT_SAMPLES && declared.weight >= EQUAL_WEIGHT_SAMPLES
    const isImageBetter = areKnown ? image.deviation < declared.deviation : image.weight > declared.weight
    return isImageBetter ? image : declared
  }

  private findWork (key: string | undefined): LogSummary | undefined {
    return key === undefined ? undefined : summarize(this.state?.work.get(key))
  }
}

/**
 * Run time in milliseconds that a run in progress will have had at its end. It is at least its age, and its percentage tells
 * it the better the more has been done. `ageMs` is the time for which it has gained `percent`, on a worker of speed 1.
 */
export function estimateWhole (expectedMs: number, ageMs: number, percent: number): number {
  if (percent <= 0) return Math.max(expectedMs, ageMs)
  // The percentage is rounded down, so the first few percent tell little.
  const trust = percent / (percent + EARLY_PERCENT)
  const seenMs = ageMs * 100 / percent
  return Math.max(ageMs, expectedMs <= 0 ? seenMs : Math.exp(trust * Math.log(Math.max(1, seenMs)) + (1 - trust) * Math.log(expectedMs)))
}

/** Percentage at which the progress of a run and what is known of its kind count equally. */
const EARLY_PERCENT = 3

function toEstimate ({ median, upper, weight }: LogSummary): LogEstimate {
  return { mean: median, upper, samples: weight }
}

/** Moves a coarse estimate towards a finer one by the number of samples of the latter. */
function refine (coarse: LogEstimate | undefined, fine: LogSummary | undefined): LogEstimate | undefined {
  if (fine === undefined || coarse === undefined) return coarse ?? (fine === undefined ? undefined : toEstimate(fine))
  const share = fine.weight / (fine.weight + EQUAL_WEIGHT_SAMPLES)
  return {
    mean: share * fine.median + (1 - share) * coarse.mean,
    upper: share * fine.upper + (1 - share) * coarse.upper,
    samples: Math.max(fine.weight, coarse.samples)
  }
}
