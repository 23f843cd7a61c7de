/**
 * Concurrency limit of one runner. The limit grows by one for each round of as many
 * answers as the limit, and is reduced while its answers are much slower than those
 * of the service as a whole, and when requests fail (additive increase,
 * multiplicative decrease, as in TCP congestion avoidance, RFC 5681).
 */

/** Lower bound of the weight of a new sample; the first samples have the weight of a plain mean. */
const SAMPLE_WEIGHT_MIN = 0.1
/** Mean deviations from the mean to the upper bound. */
const UPPER_BOUND_DEVIATIONS = 2
/** Ratio of the runner's mean latency to that of the service above which the limit is reduced. */
const SLOW_LATENCY_RATIO = 2
/** Factor applied to the limit with each answer while the runner is too slow. */
const SLOW_LIMIT_FACTOR = 0.9
/** Factor applied to the limit with each failure. */
const FAILED_LIMIT_FACTOR = 0.7
/** Consecutive failures after which a runner is suspect. */
const SUSPECT_FAILURES = 3

export class LatencyEstimate {
  private smoothed = 0
  private deviation = 0
  private samples = 0

  static create (): LatencyEstimate {
    return new LatencyEstimate()
  }

  private constructor () {}

  /** Smoothed mean in milliseconds; 0 before the first sample. */
  get meanMs (): number {
    return this.smoothed
  }

  /** Milliseconds within which nearly all requests are answered: the mean plus twice the mean deviation (cf. RFC 6298). */
  get upperBoundMs (): number {
    return this.smoothed + UPPER_BOUND_DEVIATIONS * this.deviation
  }

  /** Number of samples. */
  get count (): number {
    return this.samples
  }

  add (ms: number): void {
    this.samples += 1
    const weight = Math.max(SAMPLE_WEIGHT_MIN, 1 / this.samples)
    this.deviation += (Math.abs(ms - this.smoothed) - this.deviation) * weight
    this.smoothed += (ms - this.smoothed) * weight
  }
}

export class ConcurrencyLimiter {
  readonly latency = LatencyEstimate.create()
  private currentLimit: number
  private failures = 0

  static create (slots: number): ConcurrencyLimiter {
    return new ConcurrencyLimiter(slots)
  }

  private constructor (private readonly slots: number) {
    this.currentLimit = slots
  }

  /** Largest number of concurrent requests; at least 1. */
  get limit (): number {
    return Math.max(1, Math.floor(this.currentLimit))
  }

  /** True when at least `SUSPECT_FAILURES` requests in a row have failed. */
  get isSuspect (): boolean {
    return this.failures >= SUSPECT_FAILURES
  }

  /** True when the last request was answered. */
  get isAnswering (): boolean {
    return this.failures === 0 && this.latency.count > 0
  }

  /** Records the latency of an answer; `serviceMs` is the mean latency of the service, 0 when it is not known. */
  recordAnswer (latencyMs: number, serviceMs: number): void {
    this.failures = 0
    this.latency.add(latencyMs)
    if (serviceMs > 0 && this.latency.meanMs > serviceMs * SLOW_LATENCY_RATIO) {
      this.currentLimit = Math.max(1, this.currentLimit * SLOW_LIMIT_FACTOR)
    } else {
      this.currentLimit = Math.min(this.slots, this.currentLimit + 1 / this.currentLimit)
    }
  }

  recordFailure (): void {
    this.failures += 1
    this.currentLimit = Math.max(1, this.currentLimit * FAILED_LIMIT_FACTOR)
  }
}
