/**
 * Evidence that a worker is bad: a cumulative sum of log-likelihood ratios (Page,
 * "Continuous inspection schemes", 1954). Each end on a worker is weighed by how
 * much likelier it is on a worker that fails nearly all than on one that fails this
 * work as often as the other workers do.
 */

import { failureRateElsewhere, startsElsewhere, type WorkRecord } from './records.js'

/** Failure rate of a worker that fails nearly all. */
const BAD_RATE = 0.95
/** A worker is suspect at a thousand to one. */
const ENOUGH = Math.log(1_000)
/** Starts elsewhere without which one kind of work is no full proof. */
const ELSEWHERE_MIN = 3
/** Share of the evidence needed that such work may bring by itself. */
const ALONE_SHARE = 0.5

export class Evidence {
  private sum = 0
  /** What came from work that is not known elsewhere. */
  private readonly alone = new Map<WorkRecord, number>()

  private constructor () {}

  static create (): Evidence {
    return new Evidence()
  }

  get isEnough (): boolean {
    return this.sum >= ENOUGH
  }

  /** Takes in one end on the worker; the sum never falls below zero. */
  weigh (record: WorkRecord, worker: string, isFailure: boolean): void {
    const rate = Math.min(failureRateElsewhere(record, worker), BAD_RATE)
    let weight = Math.log(isFailure ? BAD_RATE / rate : (1 - BAD_RATE) / (1 - rate))
    if (isFailure && startsElsewhere(record, worker) < ELSEWHERE_MIN) {
      const before = this.alone.get(record) ?? 0
      weight = Math.min(weight, ENOUGH * ALONE_SHARE - before)
      this.alone.set(record, before + weight)
    }
    this.sum = Math.max(0, this.sum + weight)
    if (this.sum === 0) this.alone.clear()
  }
}
