/**
 * Headroom: for a time after an attempt at preemption, the resources of an ended
 * task that may preempt others are retained briefly for the next such task, so
 * that a stream of short urgent tasks does not need a preemption for each of them.
 */

import type { Resources } from '../../types/resources.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import { isWithin, sumResources } from './resource-arithmetic.js'
import { TimerHeap } from './timer-heap.js'
import type { Allocation, Worker } from './worker.js'

/** How long resources are retained. */
const RETENTION_MS = 3_000
/** Resources are retained only when preemption was attempted within this time. */
const CONTENTION_WINDOW_MS = 60_000

interface RetainedResources { readonly worker: Worker, readonly size: Resources }

export class Headroom {
  private readonly retained = new Set<RetainedResources>()
  private readonly expiries = TimerHeap.create<RetainedResources>()
  private lastPreemptionAttemptAt = -Infinity

  private constructor (private readonly fleet: Fleet) {}

  static create (fleet: Fleet): Headroom {
    return new Headroom(fleet)
  }

  /** Records that preemption is attempted at a cluster time in milliseconds. */
  recordPreemptionAttempt (now: number): void {
    this.lastPreemptionAttemptAt = now
  }

  /**
   * Retains the resources of a task that ended or was requeued, if its policy allows
   * preemption; has no effect for gangs, for a worker that is not usable, or without a
   * recent preemption attempt.
   */
  retain (allocation: Allocation, now: number): void {
    const { demand, worker, size } = allocation
    if (!demand.policy.preempts || demand.isGang || !worker.isUsable) return
    if (now - this.lastPreemptionAttemptAt > CONTENTION_WINDOW_MS) return
    const retainedResources = { worker, size }
    this.retained.add(retainedResources)
    this.expiries.add(now + RETENTION_MS, retainedResources)
    this.fleet.adjustHeldResources(worker, size, 1)
  }

  /** Releases retained resources that were not used in time. */
  releaseExpired (now: number): void {
    for (let expired = this.expiries.popDue(now); expired !== undefined; expired = this.expiries.popDue(now)) this.release(expired)
  }

  /**
   * Finds a worker whose retained resources suffice for one task and releases them for it;
   * undefined when there is none.
   */
  claim (demand: Demand): Worker | undefined {
    for (const candidate of this.retained) {
      const { worker, size } = candidate
      if (!worker.isUsable || !isWithin(demand.need, sumResources(worker.free, size)) || !demand.isWorkerAllowed(worker)) continue
      this.release(candidate)
      return worker
    }
    return undefined
  }

  private release (retainedResources: RetainedResources): void {
    if (this.retained.delete(retainedResources)) this.fleet.adjustHeldResources(retainedResources.worker, retainedResources.size, -1)
  }
}
