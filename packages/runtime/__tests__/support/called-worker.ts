/**
 * A stand-in for a worker that is called: it keeps the highest fence, a lease on
 * its own slow clock, numbers its ends, guards nothing, and writes a journal that
 * the checks read.
 */

import type { ListAnswer, ListOrder, OrderAnswer, StartOrder } from '@flamingorouter/runtime'
import { OrderOutcome, parseTaskRef, RunEnd, type CalledWorker, type EndedRow, type Resources, type RunningRow } from '@flamingorouter/scheduler'
import type { VirtualTime } from './virtual-time.js'

export interface Interval { task: string, run: number, worker: string, from: number, to: number, how: string, resources: Resources }

interface Active { task: string, run: number, interval: Interval, gang: string, durationMs: number, fills: boolean, targetMs: number, pace: number }

/** What a task does once it runs. */
export interface Behaviour { resources: Resources, durationMs: number, fails: boolean, gang: string, gangSize: number, fills: boolean, targetMs: number }

const LONGEST_LEASE_MS = 6_000
const GANG_WAIT_MS = 3_000

/** After how long a long-running task is at work. */
const STARTUP_MS = 500

export class CalledWorkerModel {
  isCut = false
  /** It answers, and nothing that it runs makes progress. */
  isHung = false
  private fence = 0
  private leaseUntil = 0
  private number = 0
  private readonly active = new Map<string, Active>()
  private readonly floor = new Map<string, number>()
  private ended: EndedRow[] = []

  private constructor (
    readonly facts: CalledWorker,
    private readonly time: VirtualTime,
    private readonly journal: Interval[],
    private readonly behave: (task: string, run: number) => Behaviour,
    private readonly peers: () => CalledWorkerModel[],
    private readonly startedAt: number,
    private readonly speed: number
  ) {}

  static create (
    facts: CalledWorker, time: VirtualTime, journal: Interval[], behave: (task: string, run: number) => Behaviour,
    peers: () => CalledWorkerModel[], speed: number
  ): CalledWorkerModel {
    return new CalledWorkerModel(facts, time, journal, behave, peers, time.now, speed)
  }

  get clockMs (): number {
    return Math.floor(1_000 + (this.time.now - this.startedAt) * this.speed)
  }

  start (order: StartOrder): OrderAnswer {
    this.expire()
    const { task, run, fence, untilMs } = order
    if (fence < this.fence) return { outcome: OrderOutcome.fenced, clockMs: this.clockMs }
    this.fence = fence
    const active = this.active.get(task)
    if (active?.run === run) return { outcome: OrderOutcome.done, clockMs: this.clockMs }
    if (run <= (this.floor.get(task) ?? 0) || active !== undefined) return { outcome: OrderOutcome.superseded, clockMs: this.clockMs }
    if (untilMs <= this.clockMs) return { outcome: OrderOutcome.late, clockMs: this.clockMs }
    this.extend(untilMs)
    this.begin(task, run)
    return { outcome: OrderOutcome.done, clockMs: this.clockMs }
  }

  stop (task: string, run: number, fence: number): OrderAnswer {
    this.expire()
    if (fence < this.fence) return { outcome: OrderOutcome.fenced, clockMs: this.clockMs }
    this.fence = fence
    this.floor.set(task, Math.max(run, this.floor.get(task) ?? 0))
    const active = this.active.get(task)
    if (active !== undefined && active.run <= run) this.time.after(100, () => { this.end(active, RunEnd.stopped) })
    return { outcome: OrderOutcome.done, clockMs: this.clockMs }
  }

  list (order: ListOrder): ListAnswer {
    this.expire()
    if (order.fence < this.fence) return { outcome: OrderOutcome.fenced, clockMs: this.clockMs, running: [], ended: [] }
    this.fence = order.fence
    this.ended = this.ended.filter(row => row.number > order.cursor)
    if (order.untilMs !== undefined) this.extend(order.untilMs)
    const running = [...this.active.values()].map(active => this.describe(active))
    return { outcome: OrderOutcome.done, clockMs: this.clockMs, running, ended: [...this.ended] }
  }

  pace (task: string, percent: number): OrderAnswer {
    const active = this.active.get(task)
    if (active !== undefined) active.pace = percent
    return { outcome: OrderOutcome.done, clockMs: this.clockMs }
  }

  /** Tail latency of a serving task here, as a share of its target; each task that fills adds a third. */
  get tailShare (): number {
    return [...this.active.values()].reduce((sum, { fills, pace }) => sum + (fills ? pace / 300 : 0), 0.5)
  }

  private describe ({ task, run, interval, durationMs, targetMs }: Active): RunningRow {
    const load = Math.round(targetMs * this.tailShare)
    if (durationMs === Infinity) return { task, run, checkpoint: '', percent: this.time.now - interval.from > STARTUP_MS ? 100 : 0, load }
    const percent = this.isHung ? 0 : Math.min(99, Math.floor((this.time.now - interval.from) * 100 / durationMs))
    return { task, run, checkpoint: '', percent, load }
  }

  /** The process of the worker ends. */
  crash (): void {
    for (const active of [...this.active.values()]) this.end(active, 'crashed')
  }

  isRunning (gang: string): Active | undefined {
    return [...this.active.values()].find(active => active.gang === gang)
  }

  hasMember (gang: string, run: number): number {
    return [...this.active.values()].filter(active => active.gang === gang && active.run === run).length
  }

  endMembers (gang: string, run: number, how: RunEnd): void {
    for (const active of [...this.active.values()]) {
      if (active.gang === gang && active.run === run) this.end(active, how)
    }
  }

  private begin (task: string, run: number): void {
    const { resources, durationMs, fails, gang, gangSize, fills, targetMs } = this.behave(task, run)
    const interval: Interval = { task, run, worker: `${this.facts.id}#${this.facts.incarnation}`, from: this.time.now, to: Infinity, how: '', resources }
    const active: Active = { task, run, interval, gang, durationMs, fills, targetMs, pace: 100 }
    this.active.set(task, active)
    this.journal.push(interval)
    if (durationMs === Infinity) return
    if (gang === '') {
      this.time.after(durationMs, () => { if (!this.isHung) this.end(active, fails ? RunEnd.failed : RunEnd.done) })
      return
    }
    const isWhole = (): boolean => this.peers().reduce((sum, peer) => sum + peer.hasMember(gang, run), 0) === gangSize
    if (isWhole()) {
      this.time.after(durationMs, () => {
        if (!isWhole()) return
        for (const peer of this.peers()) peer.endMembers(gang, run, RunEnd.done)
      })
    }
    this.time.after(GANG_WAIT_MS, () => { if (this.active.get(task) === active && !isWhole()) this.end(active, RunEnd.alone) })
  }

  private end (active: Active, how: string): void {
    if (this.active.get(active.task) !== active) return
    this.active.delete(active.task)
    this.floor.set(active.task, Math.max(active.run, this.floor.get(active.task) ?? 0))
    active.interval.to = this.time.now
    active.interval.how = how
    if (how === 'crashed') return
    this.number += 1
    this.ended.push({ number: this.number, task: active.task, run: active.run, cause: how as RunEnd, checkpoint: '' })
  }

  private extend (untilMs: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clockMs + LONGEST_LEASE_MS))
    this.time.after((this.leaseUntil - this.clockMs) / this.speed + 1, () => { this.expire() })
  }

  private expire (): void {
    if (this.clockMs < this.leaseUntil) return
    for (const active of [...this.active.values()]) this.end(active, RunEnd.lapsed)
  }
}

/** The step of a task, which no two occurrences share. */
export function stepOf (task: string): string {
  const ref = parseTaskRef(task)
  return ref === undefined ? '' : `${ref.job}/${ref.occurrence}/${ref.stage}`
}
