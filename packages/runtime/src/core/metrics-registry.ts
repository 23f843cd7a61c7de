/**
 * Counters, gauges and latency histograms of a process, rendered in the text
 * exposition format that metric collectors read. The histogram buckets are fixed,
 * so that they take a few kilobytes regardless of the load.
 */

import type { MessageDrop } from '@flamingorouter/controllers'
import { isClosedInTime, type ClusterState, type Decision, type Effect } from '@flamingorouter/scheduler'
import { EstimateErrors } from './estimate-errors.js'
import { MetricsRecorder } from './metrics-recorder.js'

/** Upper bounds of the histogram buckets in milliseconds. */
const BUCKET_BOUNDS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000]

/** Number of values in each bucket, without those above the last bound, and the sum (in milliseconds) and number of all values. */
interface Histogram { counts: number[], sum: number, count: number }

export class MetricsRegistry extends MetricsRecorder {
  private readonly counters = new Map<string, number>()
  private readonly histograms = new Map<string, Histogram>()
  private readonly estimateErrors = EstimateErrors.create()
  private readonly gauges = new Map<string, () => number>()
  private readonly gaugeGroups: Array<{ name: string, label: string, read: () => ReadonlyMap<string, number> }> = []

  static create (): MetricsRegistry {
    return new MetricsRegistry()
  }

  /** Increments a counter; `labels` are in the exposition format, without braces. */
  incrementCounter (name: string, labels = ''): void {
    const key = `${name}{${labels}}`
    this.counters.set(key, (this.counters.get(key) ?? 0) + 1)
  }

  /** Adds a duration in milliseconds to a histogram; `labels` are in the exposition format, without braces. */
  recordDuration (name: string, labels: string, valueMs: number): void {
    const key = `${name}|${labels}`
    let histogram = this.histograms.get(key)
    if (histogram === undefined) {
      histogram = { counts: BUCKET_BOUNDS_MS.map(() => 0), sum: 0, count: 0 }
      this.histograms.set(key, histogram)
    }
    histogram.count += 1
    histogram.sum += valueMs
    const bucket = BUCKET_BOUNDS_MS.findIndex(bound => valueMs <= bound)
    if (bucket >= 0) histogram.counts[bucket] += 1
  }

  /** Registers a gauge, which is read at each scrape. */
  registerGauge (name: string, read: () => number): void {
    this.gauges.set(name, read)
  }

  /** Registers a gauge with one series for each value of a label, which are read at each scrape. */
  registerGauges (name: string, label: string, read: () => ReadonlyMap<string, number>): void {
    this.gaugeGroups.push({ name, label, read })
  }

  override recordStep (event: string, durationMs: number): void {
    this.recordDuration('step_ms', `event="${event}"`, durationMs)
  }

  override recordCommit (durationMs: number): void {
    this.recordDuration('commit_ms', '', durationMs)
  }

  override recordLoopDelay (durationMs: number): void {
    this.recordDuration('loop_delay_ms', '', durationMs)
  }

  override recordDecisions (decisions: readonly Decision[], state: ClusterState, now: number): void {
    for (const decision of decisions) {
      this.incrementCounter('decisions_total', `kind="${decision.kind}"`)
      if (decision.kind === 'runEnded') this.estimateErrors.record(decision, state)
      if (decision.kind === 'jobClosed') this.recordClosing(decision.id, state, now)
      if (decision.kind === 'runPlaced' && isFirstRun(decision)) this.recordFirstPlacement(decision.ref.job, state, now)
    }
  }

  override recordEffects (effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'noteRunAnomaly') this.incrementCounter('run_anomalies_total', `anomaly="${effect.anomaly}"`)
      if (effect.kind === 'noteWorkerLost') this.incrementCounter('workers_lost_total', `loss="${effect.loss}"`)
    }
  }

  override recordMessageDrop ({ kind, reason }: MessageDrop): void {
    this.incrementCounter('message_drops_total', `kind="${kind}",reason="${reason}"`)
  }

  private recordClosing (id: string, state: ClusterState, now: number): void {
    const job = state.jobs.get(id)
    if (job === undefined) return
    this.recordDuration('job_ms', `queue="${job.queue}",phase="${job.phase}"`, now - job.acceptedAt)
    this.incrementCounter('jobs_closed_total', `queue="${job.queue}",phase="${job.phase}",in_time="${isClosedInTime(job, state.cell)}"`)
  }

  private recordFirstPlacement (id: string, state: ClusterState, now: number): void {
    const job = state.jobs.get(id)
    if (job !== undefined && job.spec.recurrence === undefined) this.recordDuration('placement_wait_ms', `queue="${job.queue}"`, now - job.acceptedAt)
  }

  override recordRequestWait (): void {}
  override recordRequest (): void {}

  /** Renders all metrics as text. */
  render (): string {
    const lines: string[] = []
    for (const [key, value] of this.counters) lines.push(`flamingorouter_${key} ${value}`)
    for (const [name, read] of this.gauges) lines.push(`flamingorouter_${name} ${read()}`)
    for (const { name, label, read } of this.gaugeGroups) {
      for (const [labelValue, value] of read()) lines.push(`flamingorouter_${name}{${label}="${escapeLabelValue(labelValue)}"} ${value}`)
    }
    for (const { queue, p50, p90 } of this.estimateErrors.list()) {
      lines.push(`flamingorouter_run_time_error_ratio{queue="${queue}",quantile="0.5"} ${p50.toFixed(2)}`)
      lines.push(`flamingorouter_run_time_error_ratio{queue="${queue}",quantile="0.9"} ${p90.toFixed(2)}`)
    }
    for (const [key, histogram] of this.histograms) lines.push(...renderHistogram(key, histogram))
    return `${lines.join('\n')}\n`
  }
}

/** True for the first run of the first task of a job. */
function isFirstRun ({ ref, run }: Extract<Decision, { kind: 'runPlaced' }>): boolean {
  return run === 1 && ref.occurrence === 0 && ref.stage === 0 && ref.index === 0
}

/** Escapes a label value as the exposition format requires. */
function escapeLabelValue (value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')
}

function renderHistogram (key: string, { counts, sum, count }: Histogram): string[] {
  const separator = key.indexOf('|')
  const name = `flamingorouter_${key.slice(0, separator)}`
  const labels = key.slice(separator + 1)
  const prefix = labels === '' ? '' : `${labels},`
  let cumulative = 0
  const buckets = counts.map((inBucket, index) => {
    cumulative += inBucket
    return `${name}_bucket{${prefix}le="${BUCKET_BOUNDS_MS[index]}"} ${cumulative}`
  })
  return [...buckets, `${name}_bucket{${prefix}le="+Inf"} ${count}`, `${name}_sum{${labels}} ${Math.round(sum)}`, `${name}_count{${labels}} ${count}`]
}
