/**
 * The metrics of a process. Counters and durations are recorded when an event occurs;
 * gauges, traffic and processor time are read at each scrape. The names of durations and
 * byte counts contain the unit.
 */

import Counter from 'prom-client/lib/counter.js'
import Gauge from 'prom-client/lib/gauge.js'
import Registry from 'prom-client/lib/registry.js'
import type { MessageDrop } from '@flamingorouter/controllers'
import { MetricsRecorder } from '@flamingorouter/runtime'
import { getUrgencyName, type CallRecord, type PlainResponse } from '@flamingorouter/rpc'
import type { ClusterState, Decision, Effect, OutcomeKind, Resources, Urgency } from '@flamingorouter/scheduler'
import { readProcessUsage } from './process-usage.js'
import { Summary } from './summary.js'

const PREFIX = 'flamingorouter_'
const SUCCESS_KIND = 'ok'

/** Bytes received and sent over the network since the start of the process. */
export interface Traffic { received: number, sent: number }

/** Load of the cell, as the leader reports it. */
export interface CellLoad {
  capacity: Resources
  reserved: Resources
  tasksWaiting: number
  tasksRunning: number
  workers: number
  runners: number
}

/** State of the replica of a controller. */
export interface ReplicaMetrics {
  isLeader: boolean
  term: number
  commitIndex: number
  lastIndex: number
  configurationVersion: number
}

const DIMENSIONS = ['millicores', 'memoryMib', 'accelerators'] as const

export class Metrics extends MetricsRecorder {
  private readonly registry = new Registry()
  private readonly calls = this.createCounter('calls_total', 'Calls answered over HTTP.', ['method', 'kind'])
  private readonly decisions = this.createCounter('decisions_total', 'Decisions by kind.', ['kind'])
  private readonly workersLost = this.createCounter('workers_lost_total', 'Called workers whose runs were lost, by how that is known.', ['loss'])
  private readonly runAnomalies = this.createCounter('run_anomalies_total', 'Runs on called workers that contradict the state of the leader.', ['anomaly'])
  private readonly messageDrops = this.createCounter('message_drops_total', 'Messages between controllers that were dropped.', ['kind', 'reason'])
  private readonly outcomes = this.createCounter('request_outcomes_total', 'Requests by outcome and urgency.', ['outcome', 'urgency'])
  private readonly callSeconds: Summary<'method'>
  private readonly taskWait: Summary<'kind' | 'urgency'>
  private readonly requestWait: Summary<'urgency'>
  private readonly requestSeconds: Summary<'urgency'>
  private readonly stepSeconds: Summary<'event'>
  private readonly commitSeconds: Summary<never>
  private readonly loopDelaySeconds: Summary<never>

  private readonly trafficReaders = new Map<string, () => Traffic>()
  private readCellLoad: (() => CellLoad | undefined) | undefined
  /** Load of the cell read for the current scrape. */
  private load: CellLoad | undefined

  private constructor (process: string, private readonly now: () => number) {
    super()
    this.registry.setDefaultLabels({ process })
    this.callSeconds = this.createSummary('call_seconds', 'From the head of a call to its answer.')
    this.taskWait = this.createSummary('task_wait_seconds', 'How long tasks waited before they started.')
    this.requestWait = this.createSummary('request_wait_seconds', 'How long requests waited for a runner.')
    this.requestSeconds = this.createSummary('request_seconds', 'From the arrival of a request to its outcome.')
    this.stepSeconds = this.createSummary('step_seconds', 'Time of the scheduler for one event.')
    this.commitSeconds = this.createSummary('commit_seconds', 'From a decision to its commit.')
    this.loopDelaySeconds = this.createSummary('loop_delay_seconds', 'How late the event loop ran a timer.')
    this.registerProcessMetrics()
  }

  /** `now` returns the monotonic time in milliseconds. */
  static create (process: string, now: () => number = () => performance.now()): Metrics {
    return new Metrics(process, now)
  }

  recordCall (record: CallRecord): void {
    const { name: method, failure, durationMs } = record
    this.calls.inc({ method, kind: failure?.kind ?? SUCCESS_KIND })
    this.callSeconds.record({ method }, durationMs)
  }

  /** Records the processing time of one event in the scheduler. */
  override recordStep (event: string, durationMs: number): void {
    this.stepSeconds.record({ event }, durationMs)
  }

  override recordCommit (durationMs: number): void {
    this.commitSeconds.record({}, durationMs)
  }

  override recordLoopDelay (durationMs: number): void {
    this.loopDelaySeconds.record({}, durationMs)
  }

  /** Records decisions of the leader that were just applied to `state`; `now` is the cluster time in milliseconds. */
  override recordDecisions (decisions: readonly Decision[], state: ClusterState, now: number): void {
    for (const decision of decisions) {
      this.decisions.inc({ kind: decision.kind })
      if (decision.kind !== 'taskStarted') continue
      const workload = state.workloads.get(decision.id)
      const task = workload?.tasks[decision.index]
      if (workload === undefined || task === undefined) continue
      const { kind, urgency } = workload.spec
      this.taskWait.record({ kind, urgency: getUrgencyName(urgency) }, now - task.waitingSince)
    }
  }

  override recordEffects (effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'noteWorkerLost') this.workersLost.inc({ loss: effect.loss })
      if (effect.kind === 'noteRunAnomaly') this.runAnomalies.inc({ anomaly: effect.anomaly })
    }
  }

  override recordMessageDrop ({ kind, reason }: MessageDrop): void {
    this.messageDrops.inc({ kind, reason })
  }

  /** Records the waiting time of a request that was assigned to a runner. */
  override recordRequestWait (urgency: Urgency, durationMs: number): void {
    this.requestWait.record({ urgency: getUrgencyName(urgency) }, durationMs)
  }

  /** Records the outcome of a request, and the time since its arrival. */
  override recordRequest (urgency: Urgency, outcome: OutcomeKind, durationMs: number): void {
    this.outcomes.inc({ outcome, urgency: getUrgencyName(urgency) })
    this.requestSeconds.record({ urgency: getUrgencyName(urgency) }, durationMs)
  }

  /** Registers the gauges of the cell. `read` is called once per scrape and returns undefined unless this process is the leader. */
  observeCell (read: () => CellLoad | undefined): void {
    this.readCellLoad = read
    this.registerGauge('tasks', 'Live tasks by phase.', ['phase'], gauge => {
      const { load } = this
      if (load === undefined) return
      gauge.set({ phase: 'waiting' }, load.tasksWaiting)
      gauge.set({ phase: 'running' }, load.tasksRunning)
    })
    this.registerGauge('targets', 'Targets by kind.', ['kind'], gauge => {
      const { load } = this
      if (load === undefined) return
      gauge.set({ kind: 'worker' }, load.workers)
      gauge.set({ kind: 'runner' }, load.runners)
    })
    this.registerGauge('capacity', 'Capacity of all workers by dimension, in its own unit.', ['dimension'], gauge => {
      setByDimension(gauge, this.load?.capacity)
    })
    this.registerGauge('reserved', 'What tasks hold of the capacity by dimension.', ['dimension'], gauge => {
      setByDimension(gauge, this.load?.reserved)
    })
    this.registerGauge('packing_ratio', 'Share of the capacity that tasks hold by dimension, 0 to 1.', ['dimension'], gauge => {
      const { load } = this
      if (load === undefined) return
      for (const dimension of DIMENSIONS) {
        if (load.capacity[dimension] > 0) gauge.set({ dimension }, load.reserved[dimension] / load.capacity[dimension])
      }
    })
  }

  /** Registers the gauges of the replica; `read` is called at each scrape. */
  observeReplica (read: () => ReplicaMetrics): void {
    this.registerGauge('leader', '1 while this controller leads.', [], gauge => { gauge.set(read().isLeader ? 1 : 0) })
    this.registerGauge('term', 'Term of the replicated log.', [], gauge => { gauge.set(read().term) })
    this.registerGauge('commit_index', 'Index of the last committed entry.', [], gauge => { gauge.set(read().commitIndex) })
    this.registerGauge('last_index', 'Index of the last entry.', [], gauge => { gauge.set(read().lastIndex) })
    this.registerGauge('configuration_version', 'Version of the configuration in force.', [], gauge => {
      gauge.set(read().configurationVersion)
    })
  }

  /** Registers byte counters that are read at each scrape; `link` names the kind of connections, such as `http`. */
  observeTraffic (link: string, read: () => Traffic): void {
    this.trafficReaders.set(link, read)
  }

  /** Renders the page that a scraper reads. */
  async render (): Promise<PlainResponse> {
    this.load = this.readCellLoad?.()
    return { status: 200, type: this.registry.contentType, body: await this.registry.metrics() }
  }

  private registerProcessMetrics (): void {
    this.registerCollectedCounter('cpu_seconds_total', 'Processor time of this process.', [], counter => {
      counter.inc(readProcessUsage().cpuSeconds)
    })
    this.registerCollectedCounter('network_bytes_total', 'Bytes over the network by link and direction.', ['link', 'direction'], counter => {
      for (const [link, read] of this.trafficReaders) {
        const { received, sent } = read()
        counter.inc({ link, direction: 'received' }, received)
        counter.inc({ link, direction: 'sent' }, sent)
      }
    })
    this.registerGauge('memory_bytes', 'Memory of this process by kind.', ['kind'], gauge => {
      const { residentBytes, anonymousBytes, heapBytes } = readProcessUsage()
      gauge.set({ kind: 'resident' }, residentBytes)
      gauge.set({ kind: 'anonymous' }, anonymousBytes)
      gauge.set({ kind: 'heap' }, heapBytes)
    })
  }

  private createCounter<L extends string> (name: string, help: string, labelNames: readonly L[]): InstanceType<typeof Counter<L>> {
    return new Counter<L>({ name: PREFIX + name, help, labelNames, registers: [this.registry] })
  }

  /** Registers a counter whose total is read anew at each scrape. */
  private registerCollectedCounter<L extends string> (
    name: string,
    help: string,
    labelNames: readonly L[],
    read: (counter: InstanceType<typeof Counter<L>>) => void
  ): void {
    const collect = function (this: InstanceType<typeof Counter<L>>): void {
      this.reset()
      read(this)
    }
    new Counter<L>({ name: PREFIX + name, help, labelNames, registers: [this.registry], collect }).reset()
  }

  private registerGauge<L extends string> (
    name: string,
    help: string,
    labelNames: readonly L[],
    read: (gauge: InstanceType<typeof Gauge<L>>) => void
  ): void {
    const collect = function (this: InstanceType<typeof Gauge<L>>): void {
      this.reset()
      read(this)
    }
    new Gauge<L>({ name: PREFIX + name, help, labelNames, registers: [this.registry], collect }).reset()
  }

  private createSummary<L extends string> (name: string, help: string): Summary<L> {
    return Summary.create<L>(this.registry, PREFIX + name, help, this.now)
  }
}

function setByDimension (gauge: InstanceType<typeof Gauge<'dimension'>>, amounts: Resources | undefined): void {
  if (amounts === undefined) return
  for (const dimension of DIMENSIONS) gauge.set({ dimension }, amounts[dimension])
}
