/**
 * A summary metric in the text exposition format: for each set of label values, the
 * quantiles of the last one to two minutes, and the count and sum since the start.
 *
 * Format: https://prometheus.io/docs/instrumenting/exposition_formats/
 */

import type { Registry } from 'prom-client'
import { DurationWindow } from './duration-window.js'

const QUANTILES = Object.freeze([0.5, 0.9, 0.99, 0.999])
const MS_PER_SECOND = 1_000
const MICROSECONDS_PER_MS = 1_000

interface Series<L extends string> {
  labels: Record<L, string>
  window: DurationWindow
}

interface Sample {
  metricName?: string
  labels: Record<string, string>
  value: number
}

export class Summary<L extends string> {
  private readonly series = new Map<string, Series<L>>()

  private constructor (
    readonly name: string,
    readonly help: string,
    private readonly now: () => number
  ) {}

  /** Registers a summary; `now` returns the monotonic time in milliseconds. */
  static create<L extends string> (registry: Registry, name: string, help: string, now: () => number): Summary<L> {
    const summary = new Summary<L>(name, help, now)
    registry.registerMetric(summary as unknown as Parameters<Registry['registerMetric']>[0])
    return summary
  }

  record (labels: Record<L, string>, durationMs: number): void {
    const now = this.now()
    const key = Object.values(labels).join(' ')
    let series = this.series.get(key)
    if (series === undefined) {
      series = { labels, window: DurationWindow.create(now) }
      this.series.set(key, series)
    }
    series.window.record(durationMs, now)
  }

  /** Returns the samples in seconds. The registry calls this method and requires its name. */
  async get (): Promise<{ name: string, help: string, type: string, values: Sample[] }> {
    const values = [...this.series.values()].flatMap(series => this.createSamples(series))
    return { name: this.name, help: this.help, type: 'summary', values }
  }

  private createSamples ({ labels, window }: Series<L>): Sample[] {
    const quantiles = window.computeQuantiles(QUANTILES, this.now())
    return [
      ...QUANTILES.map((quantile, index) => ({
        labels: { ...labels, quantile: String(quantile) },
        value: toSeconds(quantiles[index])
      })),
      { metricName: `${this.name}_sum`, labels, value: toSeconds(window.sumMs) },
      { metricName: `${this.name}_count`, labels, value: window.count }
    ]
  }
}

/** Converts milliseconds to seconds, rounded to microseconds. */
function toSeconds (durationMs: number): number {
  return Math.round(durationMs * MICROSECONDS_PER_MS) / (MICROSECONDS_PER_MS * MS_PER_SECOND)
}
