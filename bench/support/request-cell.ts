/**
 * The runners of one service in fake time, under a seeded load of requests, with
 * a way to dispatch them put in. Both deployments of today have 30 runners of 8
 * slots; a message between two processes takes a millisecond.
 */

import { build as createHistogram, type Histogram } from 'hdr-histogram-js'
import { Urgency } from '../../packages/scheduler/src/index.js'
import { Agenda } from './agenda.js'
import { Random } from './random.js'

export const RUNNERS = 30
export const SLOTS = 8
export const ENTRIES = 12
export const MESSAGE_MS = 1
const MEDIAN_MS = 200
const DEVIATION = 0.5
/** Mean of a log-normal distribution with this median and deviation. */
const MEAN_MS = MEDIAN_MS * Math.exp(DEVIATION * DEVIATION / 2)
/** A refusal that comes within this time is one at once. */
const AT_ONCE_MS = 50
const MICROSECONDS = 1_000

export interface CellOptions {
  seed: number
  /** Milliseconds of load. */
  durationMs: number
  /** Offered work as a share of what the slots can do. */
  load: number
  /** How many times slower the first runner is. */
  slowBy: number
  deadlineMs: number
  /** Milliseconds at which the leader is lost; 0 for never. */
  leaderLostAt: number
  /** Whether an attempt fails, and after how many milliseconds. */
  failing?: (now: number) => number | undefined
}

export interface LoadRequest {
  id: string
  urgency: Urgency
  entry: number
  arrivedAt: number
  deadlineAt: number
  /** Milliseconds of work on a runner of common speed. */
  workMs: number
}

export interface Attempt { isDone: boolean, ms: number }

/** Decides which request goes to which runner when. */
export abstract class Dispatcher {
  /** Set by the cell. */
  cell!: RequestCell
  abstract arrive (request: LoadRequest): void
  /** Called at the end of the attempt that was sent. */
  abstract ended (request: LoadRequest, runner: number, isDone: boolean): void
  loseLeader (): void {}
}

export class RequestCell {
  readonly agenda = Agenda.create()
  readonly waits: Record<Urgency, Histogram>
  readonly all = createHistogram({ numberOfSignificantValueDigits: 3 })
  refused = 0
  /** Refused after they had waited. */
  refusedLate = 0
  arrived = 0
  inTime = 0
  attempts = 0
  /** Answered in time by second of arrival, as a share of those that arrived. */
  readonly goodBySecond: number[] = []
  readonly arrivedBySecond: number[] = []
  private readonly random: Random

  static run (dispatcher: Dispatcher, options: CellOptions): RequestCell {
    const cell = new RequestCell(dispatcher, options)
    dispatcher.cell = cell
    cell.arriveLater()
    if (options.leaderLostAt > 0) cell.agenda.after(options.leaderLostAt, () => { dispatcher.loseLeader() })
    cell.agenda.runUntil(options.durationMs + options.deadlineMs * 2)
    return cell
  }

  private constructor (private readonly dispatcher: Dispatcher, private readonly options: CellOptions) {
    this.random = Random.create(options.seed)
    const create = (): Histogram => createHistogram({ numberOfSignificantValueDigits: 3 })
    this.waits = { [Urgency.bulk]: create(), [Urgency.normal]: create(), [Urgency.urgent]: create() }
  }

  get now (): number {
    return this.agenda.now
  }

  /** Sends a request to a runner; the dispatcher hears of its end. */
  send (request: LoadRequest, runner: number): void {
    const waitedMs = this.now - request.arrivedAt
    this.waits[request.urgency].recordValue(Math.round(waitedMs * MICROSECONDS))
    this.all.recordValue(Math.round(waitedMs * MICROSECONDS))
    this.attempts += 1
    const failsAfterMs = this.options.failing?.(this.now)
    const ms = failsAfterMs ?? request.workMs * (runner === 0 ? this.options.slowBy : 1)
    this.agenda.after(ms + 2 * MESSAGE_MS, () => { this.end(request, runner, failsAfterMs === undefined) })
  }

  /** Tells the caller that its request is not run. */
  refuse (request: LoadRequest): void {
    this.refused += 1
    if (this.now > request.arrivedAt + AT_ONCE_MS) this.refusedLate += 1
  }

  private end (request: LoadRequest, runner: number, isDone: boolean): void {
    if (isDone && this.now <= request.deadlineAt) {
      this.inTime += 1
      const second = Math.floor(request.arrivedAt / 1_000)
      this.goodBySecond[second] = (this.goodBySecond[second] ?? 0) + 1
    }
    this.dispatcher.ended(request, runner, isDone)
  }

  private arriveLater (): void {
    const perMs = RUNNERS * SLOTS * this.options.load / MEAN_MS
    this.agenda.after(this.random.exponential(1 / perMs), () => {
      if (this.now > this.options.durationMs) return
      this.arrive()
      this.arriveLater()
    })
  }

  private arrive (): void {
    this.arrived += 1
    const second = Math.floor(this.now / 1_000)
    this.arrivedBySecond[second] = (this.arrivedBySecond[second] ?? 0) + 1
    const share = this.random.share()
    this.dispatcher.arrive({
      id: String(this.arrived),
      urgency: share < 0.2 ? Urgency.urgent : share < 0.8 ? Urgency.normal : Urgency.bulk,
      entry: this.random.whole(0, ENTRIES - 1),
      arrivedAt: this.now,
      deadlineAt: this.now + this.options.deadlineMs,
      workMs: this.random.logNormal(MEDIAN_MS, DEVIATION)
    })
  }
}
