/**
 * Evidence that a worker is faulty: a cumulative sum of log-likelihood ratios
 * (Page, "Continuous inspection schemes", 1954). Each task end on a worker
 * contributes the logarithm of how much more likely it is on a worker that fails
 * nearly all tasks than on one that fails this work as often as the others do.
 */

import { failureRateElsewhere, startsElsewhere, type WorkRecord } from './work-records.js'

/** Failure rate that is assumed for a faulty worker. */
const BAD_WORKER_FAILURE_RATE = 0.95
/** A worker is suspect at a likelihood ratio of a thousand to one. */
const SUSPECT_THRESHOLD = Math.log(1_000)
/** Starts on other workers below which one kind of work is not sufficient evidence. */
const STARTS_ELSEWHERE_MIN = 3
/** Largest share of the threshold that one kind of work may contribute with so few starts on other workers. */
const UNCONFIRMED_SHARE_MAX = 0.5

export class Evidence {
  private sum = 0
  /** Contributions of work that has too few starts on other workers. */
  private readonly unconfirmed = new Map<WorkRecord, number>()

  private constructor () {}

  static create (): Evidence {
    return new Evidence()
  }

  get isSufficient (): boolean {
    return this.sum >= SUSPECT_THRESHOLD
  }

  /** Adds the end of one task on the worker; the sum never falls below zero. */
  addEnd (record: WorkRecord, worker: string, isFailure: boolean): void {
    const rate = Math.min(failureRateElsewhere(record, worker), BAD_WORKER_FAILURE_RATE)
    let weight = Math.log(isFailure ? BAD_WORKER_FAILURE_RATE / rate : (1 - BAD_WORKER_FAILURE_RATE) / (1 - rate))
    if (isFailure && startsElsewhere(record, worker) < STARTS_ELSEWHERE_MIN) {
      const before = this.unconfirmed.get(record) ?? 0
      weight = Math.min(weight, SUSPECT_THRESHOLD * UNCONFIRMED_SHARE_MAX - before)
      this.unconfirmed.set(record, before + weight)
    }
    this.sum = Math.max(0, this.sum + weight)
    if (this.sum === 0) this.unconfirmed.clear()
  }
}
