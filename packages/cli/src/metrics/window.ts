/**
 * Durations of the last one to two minutes in HDR histograms, beside their count
 * and sum since the start.
 *
 * Histogram: Gil Tene, HdrHistogram.
 */

import loaded from 'hdr-histogram-js/dist/Int32Histogram.js'

// Node.js hands over the whole CommonJS module in place of its default export.
const Histogram = (loaded as unknown as { default?: typeof loaded }).default ?? loaded
type Histogram = InstanceType<typeof loaded>

const WINDOW_MS = 60_000
const MICROSECONDS = 1_000
const SIGNIFICANT_DIGITS = 2
/** Recorded at most, in microseconds: one hour. */
const HIGHEST = 3_600_000_000
const FIRST_HIGHEST = 1_000_000

export class DurationWindow {
  /** Since the start of the process. */
  count = 0
  /** Milliseconds since the start of the process. */
  sumMs = 0
  private current = createHistogram()
  private previous = createHistogram()
  private turnedAt: number

  private constructor (now: number) {
    this.turnedAt = now
  }

  static create (now: number): DurationWindow {
    return new DurationWindow(now)
  }

  record (durationMs: number, now: number): void {
    this.turn(now)
    const bounded = Math.max(0, Math.min(Math.round(durationMs * MICROSECONDS), HIGHEST))
    this.current.recordValue(bounded)
    this.count += 1
    this.sumMs += durationMs
  }

  /** Quantiles in milliseconds, for fractions from 0 to 1; 0 when nothing was recorded lately. */
  quantiles (fractions: readonly number[], now: number): number[] {
    this.turn(now)
    const merged = createHistogram()
    merged.add(this.previous)
    merged.add(this.current)
    if (merged.totalCount === 0) return fractions.map(() => 0)
    return fractions.map(fraction => merged.getValueAtPercentile(fraction * 100) / MICROSECONDS)
  }

  private turn (now: number): void {
    if (now - this.turnedAt < WINDOW_MS) return
    const skipped = now - this.turnedAt >= 2 * WINDOW_MS
    const emptied = this.previous
    this.previous = this.current
    this.current = emptied
    this.current.reset()
    if (skipped) this.previous.reset()
    this.turnedAt = now
  }
}

function createHistogram (): Histogram {
  const histogram = new Histogram(1, FIRST_HIGHEST, SIGNIFICANT_DIGITS)
  histogram.autoResize = true
  return histogram
}
