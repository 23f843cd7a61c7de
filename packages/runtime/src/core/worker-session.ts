/**
 * The leader's side of one worker that is called: extends the lease of what runs
 * there, brings its lists to the scheduler, and finds out when nothing of it can
 * run any more. The lease is a time on the worker's clock, which may be slow, and
 * is never counted on ours.
 */

import { OrderOutcome, type CalledWorker, type EndedRow, type Event, type RunningRow } from '@flamingorouter/scheduler'

export interface LeaseLimits {
  /** Longest lease that a worker grants, in milliseconds of its clock. */
  longestLeaseMs: number
  /** The lease that is asked for, in milliseconds. */
  leaseMs: number
  /** How much slower than ours the clock of a worker may be, as a share. */
  clockDrift: number
  /** How long a worker may hold back the answer to a question for its lists, in milliseconds. */
  waitMs: number
  /** How long an answer may take beyond that, in milliseconds. */
  answerMs: number
}

export interface OrderAnswer {
  outcome: OrderOutcome
  /** The clock of the worker in milliseconds; undefined without an answer. */
  clockMs?: number
  /** Nothing listens at its address. */
  isRefused?: boolean
}

export interface ListAnswer extends OrderAnswer {
  running: RunningRow[]
  ended: EndedRow[]
}

export interface StartOrder {
  task: string
  run: number
  payload: string
  checkpoint: string
  ticket: string
  fence: number
  /** On the clock of the worker. */
  untilMs: number
}

export interface ListOrder {
  fence: number
  /** Ends up to this number may be forgotten. */
  cursor: number
  /** On the clock of the worker; undefined while it is not known. */
  untilMs: number | undefined
  waitMs: number
}

/** Calls workers; one for a process. Its methods don't throw: an error is an unknown outcome. */
export abstract class WorkerCaller {
  abstract start (worker: CalledWorker, order: StartOrder, timeoutMs: number): Promise<OrderAnswer>
  abstract stop (worker: CalledWorker, task: string, run: number, fence: number, timeoutMs: number): Promise<OrderAnswer>
  abstract list (worker: CalledWorker, order: ListOrder, timeoutMs: number): Promise<ListAnswer>
  abstract pace (worker: CalledWorker, task: string, run: number, percent: number, fence: number, timeoutMs: number): Promise<OrderAnswer>
  /** The worker is not called any more. */
  abstract close (worker: CalledWorker): void
}

export interface SessionOwner {
  feed: (event: Event) => void
  /** Cluster time in milliseconds. */
  clusterNow: () => number
  monotonicNow: () => number
  pause: (ms: number) => Promise<void>
}

/** Added to the end of a lease before it counts as over, for the rounding of two clocks, in milliseconds. */
const LEASE_MARGIN_MS = 100

/** Unanswered questions after which a worker counts as silent: one, since its answer is late by then already. */
const SILENT_AFTER = 1

const FIRST_RETRY_MS = 50
const LAST_RETRY_MS = 500

/** How long the lists are not asked for again while their ends are on their way into the log, in milliseconds. */
const ACK_WAIT_MS = 500

/** Starts that got no answer are sent again so many times. */
const START_REPEATS = 3

export class WorkerSession {
  /** The worker's clock, as of a moment of ours. */
  private clock: { workerMs: number, atMs: number } | undefined
  /** The latest end of a lease that the worker may have taken, on its clock. */
  private leaseUntil = 0
  private cursor = 0
  private acked: (() => void) | undefined
  private failures = 0
  private isStopped = false

  private constructor (
    public worker: CalledWorker,
    private readonly fence: number,
    private readonly caller: WorkerCaller,
    private readonly limits: LeaseLimits,
    private readonly owner: SessionOwner
  ) {}

  static create (worker: CalledWorker, fence: number, caller: WorkerCaller, limits: LeaseLimits, owner: SessionOwner): WorkerSession {
    return new WorkerSession(worker, fence, caller, limits, owner)
  }

  /** Asks for the lists until the session is stopped. */
  async run (): Promise<void> {
    while (!this.isStopped) await this.ask()
  }

  stop (): void {
    this.isStopped = true
    this.acked?.()
  }

  ack (cursor: number): void {
    this.cursor = Math.max(this.cursor, cursor)
    this.acked?.()
  }

  /** Orders a start, and again while there is no answer: the worker takes repeats as one. */
  async start (order: Omit<StartOrder, 'fence' | 'untilMs'>): Promise<void> {
    const sentAt = this.owner.clusterNow()
    let answer: OrderAnswer = { outcome: OrderOutcome.unknown }
    for (let sent = 0; sent < START_REPEATS && answer.outcome === OrderOutcome.unknown && !this.isStopped; sent++) {
      const untilMs = this.extendLease()
      answer = await this.caller.start(this.worker, { ...order, fence: this.fence, untilMs }, this.limits.answerMs)
      this.noteClock(answer)
    }
    this.tell('start', order.task, order.run, answer, sentAt)
  }

  async orderStop (task: string, run: number): Promise<void> {
    const sentAt = this.owner.clusterNow()
    const answer = await this.caller.stop(this.worker, task, run, this.fence, this.limits.answerMs)
    this.noteClock(answer)
    this.tell('stop', task, run, answer, sentAt)
  }

  async pace (task: string, run: number, percent: number): Promise<void> {
    await this.caller.pace(this.worker, task, run, percent, this.fence, this.limits.answerMs)
  }

  private tell (order: 'start' | 'stop', task: string, run: number, answer: OrderAnswer, sentAt: number): void {
    if (this.isStopped) return
    const { id, incarnation } = this.worker
    this.owner.feed({ kind: 'runOrdered', id, incarnation, order, task, run, outcome: answer.outcome, sentAt })
  }

  private async ask (): Promise<void> {
    const sentAt = this.owner.clusterNow()
    const isFirst = this.clock === undefined
    const waitMs = isFirst || this.failures > 0 ? 0 : this.limits.waitMs
    // A worker that does not answer gets no longer lease: what it runs has to lapse.
    const untilMs = isFirst || this.failures > 0 ? undefined : this.extendLease()
    const order = { fence: this.fence, cursor: this.cursor, untilMs, waitMs }
    const answer = await this.caller.list(this.worker, order, waitMs + this.limits.answerMs)
    if (this.isStopped) return
    this.noteClock(answer)
    const { id, incarnation } = this.worker
    if (answer.outcome === OrderOutcome.replaced) {
      this.stop()
      return this.owner.feed({ kind: 'workerLapsed', id, incarnation, reason: 'another worker answers at its address' })
    }
    if (answer.outcome !== OrderOutcome.done) return await this.retry(answer)
    this.failures = 0
    this.owner.feed({ kind: 'workerListed', id, incarnation, sentAt, running: answer.running, ended: answer.ended })
    if (answer.ended.length > 0) await this.waitForAck()
  }

  private async retry (answer: ListAnswer): Promise<void> {
    const { id, incarnation } = this.worker
    this.failures += 1
    if (this.failures === SILENT_AFTER) this.owner.feed({ kind: 'workerSilent', id, incarnation })
    const reason = this.overReason(answer)
    if (reason !== '') {
      this.stop()
      return this.owner.feed({ kind: 'workerLapsed', id, incarnation, reason })
    }
    await this.owner.pause(Math.min(LAST_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.failures - 1)))
  }

  /** Why nothing of the worker can run any more; empty while something may. */
  private overReason (answer: ListAnswer): string {
    if (this.worker.hasLeft && answer.isRefused === true) return 'it left, and nothing listens at its address'
    if (this.clock === undefined) return ''
    const passedMs = (this.owner.monotonicNow() - this.clock.atMs) * (1 - this.limits.clockDrift)
    return this.clock.workerMs + passedMs > this.leaseUntil + LEASE_MARGIN_MS ? 'its lease lapsed on its own clock' : ''
  }

  /** The end of a lease that an order sent now carries, on the worker's clock. */
  private extendLease (): number {
    if (this.clock === undefined) return 0
    const workerNow = this.clock.workerMs + (this.owner.monotonicNow() - this.clock.atMs)
    const until = Math.floor(workerNow + this.limits.leaseMs)
    this.leaseUntil = Math.max(this.leaseUntil, until)
    return until
  }

  private noteClock (answer: OrderAnswer): void {
    if (answer.clockMs === undefined) return
    // A former leader may have extended the lease up to the moment at which this fence arrived.
    if (this.clock === undefined) this.leaseUntil = answer.clockMs + this.limits.longestLeaseMs
    if (this.clock !== undefined && answer.clockMs < this.clock.workerMs) return
    this.clock = { workerMs: answer.clockMs, atMs: this.owner.monotonicNow() }
  }

  private async waitForAck (): Promise<void> {
    const acked = new Promise<void>(resolve => { this.acked = resolve })
    await Promise.race([acked, this.owner.pause(ACK_WAIT_MS)])
    this.acked = undefined
  }
}
