/**
 * A retry budget: each successful request earns a fraction of a retry, so that
 * retries stay a fixed share of the successful requests, and a service that fails
 * every request does not get a multiple of its load.
 */

/** Retries earned by one successful request. */
const RETRIES_PER_SUCCESS = 0.1
/** Maximum number of accumulated retries; also the burst available to an idle service. */
const MAX_RETRIES = 10

export class RetryBudget {
  private retries = MAX_RETRIES

  static create (): RetryBudget {
    return new RetryBudget()
  }

  private constructor () {}

  recordSuccess (): void {
    this.retries = Math.min(MAX_RETRIES, this.retries + RETRIES_PER_SUCCESS)
  }

  /** Spends one retry; returns false when less than one is left. */
  trySpend (): boolean {
    if (this.retries < 1) return false
    this.retries -= 1
    return true
  }
}
