/**
 * Records the durations of the last one to two minutes in HDR histograms, and the
 * count and sum of all durations since the start.
 *
 * Histogram: Gil Tene, HdrHistogram.
 */

import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'

// Node.js imports the CommonJS module object itself in place of its default export.
const Histogram = (histogramModule as unknown as { default?: typeof histogramModule }).default ?? histogramModule
type Histogram = InstanceType<typeof histogramModule>

const WINDOW_MS = 60_000
const MICROSECONDS_PER_MS = 1_000
const SIGNIFICANT_DIGITS = 2
/** One hour; longer durations are recorded as this value. */
const MAX_RECORDED_MICROSECONDS = 3_600_000_000
/** Largest value that a new histogram holds; it is resized for larger ones. */
const INITIAL_MAX_MICROSECONDS = 1_000_000

/** `now` is the monotonic time in milliseconds in every method. */
export class DurationWindow {
  /** Number of durations since the start of the process. */
  count = 0
  /** Sum of the durations since the start of the process, in milliseconds. */
  sumMs = 0
  private current = createHistogram()
  private previous = createHistogram()
  private rotatedAt: number

  private constructor (now: number) {
    this.rotatedAt = now
  }

  static create (now: number): DurationWindow {
    return new DurationWindow(now)
  }

  record (durationMs: number, now: number): void {
    this.rotate(now)
    const microseconds = Math.max(0, Math.min(Math.round(durationMs * MICROSECONDS_PER_MS), MAX_RECORDED_MICROSECONDS))
    this.current.recordValue(microseconds)
    this.count += 1
    this.sumMs += durationMs
  }

  /** Returns quantiles in milliseconds for fractions from 0 to 1; 0 if nothing was recorded in the window. */
  computeQuantiles (fractions: readonly number[], now: number): number[] {
    this.rotate(now)
    const merged = createHistogram()
    merged.add(this.previous)
    merged.add(this.current)
    if (merged.totalCount === 0) return fractions.map(() => 0)
    return fractions.map(fraction => merged.getValueAtPercentile(fraction * 100) / MICROSECONDS_PER_MS)
  }

  private rotate (now: number): void {
    if (now - this.rotatedAt < WINDOW_MS) return
    const isPreviousExpired = now - this.rotatedAt >= 2 * WINDOW_MS
    const reused = this.previous
    this.previous = this.current
    this.current = reused
    this.current.reset()
    if (isPreviousExpired) this.previous.reset()
    this.rotatedAt = now
  }
}

function createHistogram (): Histogram {
  const histogram = new Histogram(1, INITIAL_MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
  histogram.autoResize = true
  return histogram
}
