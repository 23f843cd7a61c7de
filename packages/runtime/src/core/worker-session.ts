/**
 * The leader's session with one called worker: extends the lease of its runs,
 * passes its lists to the scheduler, and detects when none of its runs can still
 * be active. The end of the lease is a time on the worker's clock, which may be
 * slow, so it is never compared with the clock of this process directly.
 */

import { OrderOutcome, WorkerLoss, type CalledWorker, type EndedRun, type Event, type ReportedRun, type Resources } from '@flamingorouter/scheduler'

/** Limits on the leases and the answers of called workers. */
export interface LeaseLimits {
  /** Longest lease that a worker accepts, in milliseconds of its clock. */
  longestLeaseMs: number
  /** The lease that each order requests, in milliseconds. */
  leaseMs: number
  /** Bound on how much slower the clock of a worker may run than the clock of this process, as a share. */
  clockDrift: number
  /** How long a worker may delay its answer to a list request while nothing ends (long polling), in milliseconds. */
  waitMs: number
  /** Timeout of an order, and of a list request in addition to `waitMs`, in milliseconds. */
  answerTimeoutMs: number
}

/** A worker's answer to an order, or an unknown outcome when there was none. */
export interface OrderAnswer {
  outcome: OrderOutcome
  /** The clock of the worker in milliseconds; undefined without an answer. */
  clockMs?: number
  /** True when the connection was refused: nothing listens at the worker's address. */
  isRefused?: boolean
  /** True when the connection was closed or refused before an answer, as by a process that ends. */
  isClosed?: boolean
}

/** A worker's answer to a list request: its active runs, and the ends that are not acknowledged yet, lowest number first. */
export interface ListAnswer extends OrderAnswer {
  running: ReportedRun[]
  ended: EndedRun[]
  /** True if the worker may have more ends than `ended` names. */
  isTruncated: boolean
}

export interface StartOrder {
  task: string
  /** Number of this run of the task; a later run has a higher one. */
  run: number
  payload: string
  /** Checkpoint to resume from; empty when there is none. */
  checkpoint: string
  /** Ticket of the external admission service for this start; empty in a queue without one. */
  ticket: string
  /** Fencing token of the session; see `computeSessionFence`. */
  fence: number
  /** End of the lease in milliseconds on the clock of the worker. */
  untilMs: number
}

export interface ListOrder {
  fence: number
  /** Number of the last acknowledged end; the worker may discard ends up to it. */
  cursor: number
  /** End of the lease in milliseconds on the clock of the worker; undefined when the lease is not to be extended. */
  untilMs: number | undefined
  waitMs: number
}

/** Sends orders to workers; one instance per process. Its methods do not throw: a failed call has an unknown outcome. */
export abstract class WorkerClient {
  abstract start (worker: CalledWorker, order: StartOrder, timeoutMs: number): Promise<OrderAnswer>
  abstract stop (worker: CalledWorker, task: string, run: number, fence: number, timeoutMs: number): Promise<OrderAnswer>
  abstract list (worker: CalledWorker, order: ListOrder, timeoutMs: number): Promise<ListAnswer>
  /** Limits a run to a share of its full speed, in percent. */
  abstract pace (worker: CalledWorker, task: string, run: number, percent: number, fence: number, timeoutMs: number): Promise<OrderAnswer>
  /** Closes the connections to a worker that will not be called again. */
  abstract close (worker: CalledWorker): void
}

/** The environment of a session: the recipient of its events, and its time sources. */
export interface SessionOwner {
  /** Passes an event to the scheduler. */
  feed: (event: Event) => void
  /** Cluster time in milliseconds. */
  clusterNow: () => number
  /** Monotonic time in milliseconds. */
  monotonicNow: () => number
  pause: (ms: number) => Promise<void>
}

/** Added to the end of a lease before it counts as expired, to cover the rounding of two clocks, in milliseconds. */
const LEASE_MARGIN_MS = 100

/** Failed list requests in a row after which a worker counts as silent; one is enough, since an unanswered request has waited for its whole timeout. */
const SILENT_AFTER_FAILURES = 1

/** Pause after the first failed list request, in milliseconds; doubled after each further one. */
const BACKOFF_BASE_MS = 50

/** Longest pause between two list requests to a silent worker, in milliseconds. */
const BACKOFF_MAX_MS = 500

/** How long the next list request waits for the received ends to be committed and acknowledged, in milliseconds. */
const ACK_TIMEOUT_MS = 500

/** Maximum number of attempts to send a start order that gets no answer. */
const START_ATTEMPT_LIMIT = 3

/** Number of fencing tokens in one term. */
const FENCES_PER_TERM = 10_000_000

/**
 * The fencing token of a session. It rises with each session, so that an incarnation that was listed once refuses what was
 * sent to the incarnations before it, as it refuses the orders of earlier leaders. Sessions beyond the tokens of a term
 * share the last one, since a token of the next term would take the worker from the next leader.
 */
export function computeSessionFence (term: number, session: number): number {
  return term * FENCES_PER_TERM + Math.min(session, FENCES_PER_TERM - 1)
}

export class WorkerSession {
  /** Latest reading of the worker's clock, and the monotonic time of this process when it arrived; both in milliseconds. */
  private clockReading: { workerMs: number, atMs: number } | undefined
  /** Latest end of a lease that the worker may have accepted, in milliseconds on its clock. */
  private leaseUntilMs = 0
  /** Number of the last end that is committed, and so may be acknowledged to the worker. */
  private cursor = 0
  /** Highest cursor that the worker has accepted. */
  private acceptedCursor = 0
  private resolveAck: (() => void) | undefined
  private consecutiveFailures = 0
  private isStopped = false

  private constructor (
    public worker: CalledWorker,
    private readonly fence: number,
    private readonly client: WorkerClient,
    private readonly limits: LeaseLimits,
    private readonly owner: SessionOwner
  ) {}

  static create (worker: CalledWorker, fence: number, client: WorkerClient, limits: LeaseLimits, owner: SessionOwner): WorkerSession {
    return new WorkerSession(worker, fence, client, limits, owner)
  }

  /** Sends one list request after another until the session is stopped. */
  async run (): Promise<void> {
    while (!this.isStopped) await this.requestList()
  }

  /** Ends the session; the runs on the worker are not affected. */
  stop (): void {
    this.isStopped = true
    this.resolveAck?.()
  }

  /** Acknowledges all ends up to this number, which are committed; the next list request carries it. */
  ack (cursor: number): void {
    this.cursor = Math.max(this.cursor, cursor)
    this.resolveAck?.()
  }

  /**
   * Orders a start on a capacity that the worker had when it was decided. The order is repeated while it gets no answer and the
   * worker is not silent; the worker treats repeated orders of one run as one.
   */
  async orderStart (order: Omit<StartOrder, 'fence' | 'untilMs'>, capacity: Resources): Promise<void> {
    const sentAt = this.owner.clusterNow()
    let answer: OrderAnswer = { outcome: OrderOutcome.unknown }
    let unanswered = 0
    for (let attempt = 0; attempt < START_ATTEMPT_LIMIT && answer.outcome === OrderOutcome.unknown && !this.isStopped; attempt++) {
      // The task may not fit any more.
      if (!isWithin(capacity, this.worker.capacity)) answer = { outcome: OrderOutcome.noRoom }
      // Whether the process of a silent worker is still the same is not known.
      else if (attempt > 0 && this.consecutiveFailures > 0) break
      else answer = await this.sendStart(order)
      if (answer.outcome === OrderOutcome.unknown && answer.isRefused !== true) unanswered += 1
    }
    if (answer.outcome === OrderOutcome.unknown && unanswered === 0) answer = { ...answer, outcome: OrderOutcome.unsent }
    this.reportOutcome('start', order.task, order.run, answer, unanswered, sentAt)
  }

  private async sendStart (order: Omit<StartOrder, 'fence' | 'untilMs'>): Promise<OrderAnswer> {
    const untilMs = this.extendLease()
    const answer = await this.client.start(this.worker, { ...order, fence: this.fence, untilMs }, this.limits.answerTimeoutMs)
    this.recordClock(answer)
    return answer
  }

  async orderStop (task: string, run: number): Promise<void> {
    const sentAt = this.owner.clusterNow()
    const answer = await this.client.stop(this.worker, task, run, this.fence, this.limits.answerTimeoutMs)
    this.recordClock(answer)
    this.reportOutcome('stop', task, run, answer, answer.outcome === OrderOutcome.unknown ? 1 : 0, sentAt)
  }

  async orderPace (task: string, run: number, percent: number): Promise<void> {
    await this.client.pace(this.worker, task, run, percent, this.fence, this.limits.answerTimeoutMs)
  }

  private reportOutcome (order: 'start' | 'stop', task: string, run: number, answer: OrderAnswer, unanswered: number, sentAt: number): void {
    if (this.isStopped) return
    const { id, incarnation } = this.worker
    this.owner.feed({ kind: 'runOrdered', id, incarnation, order, task, run, outcome: answer.outcome, unanswered, sentAt, clockMs: answer.clockMs })
  }

  private async requestList (): Promise<void> {
    const sentAt = this.owner.clusterNow()
    const isFirst = this.clockReading === undefined
    const waitMs = isFirst || this.consecutiveFailures > 0 ? 0 : this.limits.waitMs
    // The lease of a worker that does not answer is not extended, so that its runs lapse.
    const untilMs = isFirst || this.consecutiveFailures > 0 ? undefined : this.extendLease()
    // An acknowledgement is sent only until it is accepted: a request that arrives late may reach the next incarnation,
    // which would forget its own ends up to that number.
    const cursor = this.cursor > this.acceptedCursor ? this.cursor : 0
    const order = { fence: this.fence, cursor, untilMs, waitMs }
    const answer = await this.client.list(this.worker, order, waitMs + this.limits.answerTimeoutMs)
    if (this.isStopped) return
    this.recordClock(answer)
    const { id, incarnation } = this.worker
    if (answer.outcome === OrderOutcome.restarted) {
      this.stop()
      return this.owner.feed({ kind: 'workerRestarted', id, incarnation })
    }
    if (answer.outcome === OrderOutcome.replaced) {
      this.stop()
      return this.owner.feed({ kind: 'workerLapsed', id, incarnation, loss: WorkerLoss.replaced, reason: 'another worker answers at its address' })
    }
    if (answer.outcome !== OrderOutcome.done) return await this.handleFailedRequest(answer)
    this.consecutiveFailures = 0
    this.acceptedCursor = Math.max(this.acceptedCursor, cursor)
    this.owner.feed({ kind: 'workerListed', id, incarnation, sentAt, clockMs: answer.clockMs, running: answer.running, ended: answer.ended, isTruncated: answer.isTruncated })
    if (answer.ended.length > 0) await this.waitForAck()
  }

  private async handleFailedRequest (answer: ListAnswer): Promise<void> {
    const { id, incarnation } = this.worker
    this.consecutiveFailures += 1
    if (this.consecutiveFailures === SILENT_AFTER_FAILURES) this.owner.feed({ kind: 'workerSilent', id, incarnation, isClosed: answer.isClosed === true || answer.isRefused === true })
    const lapse = this.findLapse(answer)
    if (lapse !== undefined) {
      this.stop()
      return this.owner.feed({ kind: 'workerLapsed', id, incarnation, ...lapse })
    }
    await this.owner.pause(Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** (this.consecutiveFailures - 1)))
  }

  /** Why no run of the worker can still be active; undefined while one may be. */
  private findLapse (answer: ListAnswer): { loss: WorkerLoss, reason: string } | undefined {
    if (this.worker.hasLeft && answer.isRefused === true) return { loss: WorkerLoss.left, reason: 'it left, and nothing listens at its address' }
    if (this.clockReading === undefined) return undefined
    const elapsedMs = (this.owner.monotonicNow() - this.clockReading.atMs) * (1 - this.limits.clockDrift)
    const workerNow = Math.floor(this.clockReading.workerMs + elapsedMs)
    if (workerNow <= this.leaseUntilMs + LEASE_MARGIN_MS) return undefined
    return { loss: WorkerLoss.leaseExpired, reason: `its lease until ${this.leaseUntilMs} lapsed on its own clock, which shows ${workerNow} or more` }
  }

  /**
   * Computes the end of the lease for an order that is sent now, in milliseconds on
   * the worker's clock, and records it; 0 while that clock is unknown.
   */
  private extendLease (): number {
    if (this.clockReading === undefined) return 0
    const workerNow = this.clockReading.workerMs + (this.owner.monotonicNow() - this.clockReading.atMs)
    const until = Math.floor(workerNow + this.limits.leaseMs)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, until)
    return until
  }

  private recordClock (answer: OrderAnswer): void {
    if (answer.clockMs === undefined) return
    // A previous leader may have extended the lease until the first order with this fencing token arrived.
    if (this.clockReading === undefined) this.leaseUntilMs = answer.clockMs + this.limits.longestLeaseMs
    if (this.clockReading !== undefined && answer.clockMs < this.clockReading.workerMs) return
    this.clockReading = { workerMs: answer.clockMs, atMs: this.owner.monotonicNow() }
  }

  private async waitForAck (): Promise<void> {
    const acked = new Promise<void>(resolve => { this.resolveAck = resolve })
    await Promise.race([acked, this.owner.pause(ACK_TIMEOUT_MS)])
    this.resolveAck = undefined
  }
}

/** True unless a capacity exceeds another one in any dimension. */
function isWithin (capacity: Resources, other: Resources): boolean {
  return capacity.millicores <= other.millicores && capacity.memoryMib <= other.memoryMib && capacity.accelerators <= other.accelerators
}
