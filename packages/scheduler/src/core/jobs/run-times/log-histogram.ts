/**
 * Histograms of run times for a load in which a few tasks take many times as long as
 * the rest and the work changes while it runs. The logarithm keeps a long tail within
 * few buckets. Estimates are quantiles, so that one absurd value moves them by no more
 * than its share of the samples, and a half-life lets them follow changes.
 */

import type { LogHistogram } from '../../../types/run-times.js'

/** Buckets for each doubling. Interpolation within a bucket keeps the error of a quantile below the spread of one kind of task. */
const BUCKETS_PER_OCTAVE = 2

/** Lowest value that is told from smaller ones, as a power of 2: 1/1024, so that ratios fit as well as times in milliseconds. */
const MIN_OCTAVE = -10

/** Highest value that is told from larger ones, as a power of 2: 2^26 ms are 18 hours. */
const MAX_OCTAVE = 26

const BUCKET_COUNT = (MAX_OCTAVE - MIN_OCTAVE) * BUCKETS_PER_OCTAVE

/** Number of newer samples after which a sample counts half. */
const HALF_LIFE_SAMPLES = 200

const DECAY = 0.5 ** (1 / HALF_LIFE_SAMPLES)

/** Weights are rounded down to a multiple of one over this number, so that a long tail of tiny ones reaches zero. */
const WEIGHT_RESOLUTION = 4_096

/** Quantiles of a histogram, as natural logarithms. */
export interface LogSummary {
  median: number
  /** Nine tenths of the samples are at or below it. */
  upper: number
  /** Half the range of the middle two thirds; the standard deviation of a normal distribution. */
  deviation: number
  /** Sum of the weights. */
  weight: number
}

const summaries = new WeakMap<LogHistogram, { samples: number, summary: LogSummary }>()

export function createHistogram (): LogHistogram {
  return { weights: [], samples: 0 }
}

/** Adds a positive value; one outside the range counts in the outermost bucket. */
export function addSample (histogram: LogHistogram, value: number): void {
  const { weights } = histogram
  const bucket = Math.min(BUCKET_COUNT - 1, Math.max(0, Math.floor((Math.log2(value) - MIN_OCTAVE) * BUCKETS_PER_OCTAVE)))
  while (weights.length <= bucket) weights.push(0)
  // Rounded down, since rounding to the nearest would keep small weights for ever.
  for (let index = 0; index < weights.length; index++) weights[index] = Math.floor(weights[index] * DECAY * WEIGHT_RESOLUTION) / WEIGHT_RESOLUTION
  weights[bucket] += 1
  histogram.samples += 1
}

/** The quantiles of a histogram; undefined when it is empty. Kept until the next sample, since every estimate needs them. */
export function summarize (histogram: LogHistogram | undefined): LogSummary | undefined {
  if (histogram === undefined || histogram.samples === 0) return undefined
  const known = summaries.get(histogram)
  if (known?.samples === histogram.samples) return known.summary
  const weight = histogram.weights.reduce((sum, bucketWeight) => sum + bucketWeight, 0)
  const quantile = (share: number): number => findQuantile(histogram, share * weight)
  const summary = { median: quantile(0.5), upper: quantile(0.9), deviation: (quantile(5 / 6) - quantile(1 / 6)) / 2, weight }
  summaries.set(histogram, { samples: histogram.samples, summary })
  return summary
}

/** Natural logarithm of the value below which `rank` of the weight lies. */
function findQuantile ({ weights }: LogHistogram, rank: number): number {
  let sum = 0
  for (const [bucket, weight] of weights.entries()) {
    if (weight > 0 && sum + weight >= rank) return Math.LN2 * (MIN_OCTAVE + (bucket + (rank - sum) / weight) / BUCKETS_PER_OCTAVE)
    sum += weight
  }
  return Math.LN2 * (MIN_OCTAVE + weights.length / BUCKETS_PER_OCTAVE)
}
