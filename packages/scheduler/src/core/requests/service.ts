/**
 * One service: its queue, its runners, and estimates of how long its requests take.
 */

import { OutcomeKind, type Outcome } from '../../types/requests.js'
import { TargetPhase } from '../../types/targets.js'
import type { Urgency } from '../../types/workloads.js'
import { ArrivalRates } from './arrival-rates.js'
import { RetryBudget } from './retry-budget.js'
import { createOutcome, type LiveRequest } from './live-request.js'
import { RequestQueue } from './request-queue.js'
import { RunnerPool, type Runner } from './runner-pool.js'

/** Answers after which the latency estimate is used. */
const SAMPLES_MIN = 20
/** A request is never considered too late while it has at least this share of its time left. */
const NEEDED_SHARE_MAX = 0.5
/** Safety factor on the expected queueing delay. */
const QUEUE_DELAY_MARGIN = 1.2
/** Lower bound of the retry delay, which is the time that the queue is expected to take. */
const RETRY_AFTER_MIN_MS = 100
/** Upper bound of the retry delay. */
const RETRY_AFTER_MAX_MS = 60_000
/** Retry delay while no runner takes requests, so that the time for the queue is not known. */
const NO_RUNNER_RETRY_AFTER_MS = 1_000

export class Service {
  readonly queue = RequestQueue.create()
  readonly budget = RetryBudget.create()
  readonly runners: RunnerPool
  private readonly arrivals = ArrivalRates.create()

  static create (entryLimit: number): Service {
    return new Service(entryLimit)
  }

  private constructor (entryLimit: number) {
    this.runners = RunnerPool.create(entryLimit)
  }

  /** Returns the outcome, with a retry delay, of a request that is shed instead of queued; undefined when it may be queued. */
  findShedOutcome (request: LiveRequest, now: number, queueLimit: number): Outcome | undefined {
    if (this.queue.size >= queueLimit) return this.createShedOutcome('the queue of the service is full')
    const ahead = this.queue.countAhead(request.order)
    if (ahead === 0 || !this.hasEnoughSamples) return undefined
    const latestStartMs = request.deadlineAt - now - this.neededMs(request)
    if (this.queueDelayMs(ahead, request.facts.urgency, now) * QUEUE_DELAY_MARGIN <= latestStartMs) return undefined
    return this.createShedOutcome('its turn would come after its deadline')
  }

  /** Outcome of a request that is shed before it is sent; states that it did not run. */
  createShedOutcome (reason: string): Outcome {
    return createOutcome(OutcomeKind.notRun, reason, this.retryAfterMs())
  }

  /** True when a waiting request can no longer be answered before its deadline. */
  isTooLate (request: LiveRequest, now: number): boolean {
    const leftMs = request.deadlineAt - now
    if (leftMs <= 0) return true
    return this.hasEnoughSamples && leftMs < this.neededMs(request)
  }

  /** Queues a request, for the first time or for a retry. */
  enqueue (request: LiveRequest, now: number): void {
    this.arrivals.recordArrival(request.facts.urgency, now)
    this.queue.add(request)
  }

  recordAnswer (runner: Runner, latencyMs: number): void {
    runner.limiter.recordAnswer(latencyMs, this.hasEnoughSamples ? this.runners.latency.meanMs : 0)
    this.runners.latency.add(latencyMs)
    this.budget.recordSuccess()
  }

  recordFailure (runner: Runner): void {
    runner.limiter.recordFailure()
  }

  /** True for a ready runner when most of the others answer; otherwise the failures are those of the service, not of the runner. */
  canSuspect (runner: Runner): boolean {
    if (runner.target?.phase !== TargetPhase.ready) return false
    let healthy = 0
    let total = 0
    for (const other of this.runners.all) {
      if (other === runner || other.target === undefined) continue
      total += 1
      if (other.target.phase === TargetPhase.ready && other.limiter.isAnswering) healthy += 1
    }
    return healthy * 2 > total
  }

  /** True when there is a ready runner that has not failed this request. */
  hasUntriedRunner (request: LiveRequest): boolean {
    for (const runner of this.runners.all) {
      if (runner.target?.phase === TargetPhase.ready && !request.triedRunners.includes(runner.name)) return true
    }
    return false
  }

  private get hasEnoughSamples (): boolean {
    return this.runners.latency.count >= SAMPLES_MIN
  }

  /** Remaining milliseconds below which a request will most likely miss its deadline. */
  private neededMs (request: LiveRequest): number {
    return Math.min(this.runners.latency.upperBoundMs, request.facts.deadlineMs * NEEDED_SHARE_MAX)
  }

  /** Expected queueing delay in milliseconds, including the requests that will overtake this one. */
  private queueDelayMs (ahead: number, urgency: Urgency, now: number): number {
    const { meanMs } = this.runners.latency
    // Share of the capacity that more urgent requests take as they arrive.
    const overtakingShare = this.arrivals.rateAbove(urgency, now) * meanMs / this.runners.sumConcurrencyLimits()
    return overtakingShare < 1 ? this.drainMs(ahead) / (1 - overtakingShare) : Infinity
  }

  /** Expected milliseconds until this many requests have been started. */
  private drainMs (requests: number): number {
    const capacity = this.runners.sumConcurrencyLimits()
    if (capacity === 0) return Infinity
    return requests * this.runners.latency.meanMs / capacity
  }

  private retryAfterMs (): number {
    const drainMs = this.drainMs(this.queue.size)
    if (!Number.isFinite(drainMs)) return NO_RUNNER_RETRY_AFTER_MS
    return Math.round(Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, drainMs)))
  }
}
