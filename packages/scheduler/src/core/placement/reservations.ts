/**
 * Reservations for work that has waited long. Resources are held for it on the
 * workers where it can start soonest, including resources that are still in
 * use. This is the reservation of EASY backfilling (Lifka 1995), except that
 * other work may only use resources that are not held. Work that starts later
 * therefore cannot delay the reserved start, even if its run time was estimated
 * wrongly.
 */

import type { RunTimeEstimates } from '../health/run-time-estimates.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { ResourceHolds } from './resource-holds.js'
import type { QuotaAccounts } from './quota-accounts.js'
import { StartForecast } from './start-forecast.js'
import type { ClassQueue } from './class-queue.js'

/** How long work waits without a placement before resources are reserved for it, in milliseconds. */
export interface ReservationOptions {
  /** For a gang. */
  gangAfterMs: number
  /** For all other work. */
  otherAfterMs: number
}

export const DEFAULT_RESERVATION_OPTIONS: Readonly<ReservationOptions> = Object.freeze({
  gangAfterMs: 5_000,
  otherAfterMs: 30_000
})

/**
 * One reservation for work other than gangs is allowed for this many workers; gangs have
 * one reservation at a time.
 */
const WORKERS_PER_RESERVATION = 30
/** Limit of demands for which a reservation is attempted in one round. */
const ATTEMPTS_PER_ROUND = 8
/** Minimum time between two rounds of reservations for work other than gangs. */
const OTHERS_INTERVAL_MS = 1_000
/** Delay before a reservation that did not succeed is attempted again. */
const RETRY_DELAY_MS = 5_000

export interface Reservation {
  readonly demand: Demand
  /** Expected start in milliseconds of cluster time. */
  readonly expectedAt: number
}

/** Number of reservations that may still be made. */
interface ReservationSlots { gangs: number, others: number }
/** A demand without a placement since a cluster time in milliseconds. */
interface StarvedDemand { readonly demand: Demand, readonly since: number }

export class Reservations {
  /** Reservations in force, by demand. */
  readonly active = new Map<Demand, Reservation>()
  /** Cluster time in milliseconds before which resources are reserved for gangs only. */
  private nextOthersRoundAt = 0
  /** Cluster time in milliseconds before which a failed reservation is not attempted again. */
  private readonly retryAt = new WeakMap<Demand, number>()

  private constructor (
    private readonly fleet: Fleet,
    private readonly holds: ResourceHolds,
    private readonly quotaAccounts: QuotaAccounts,
    private readonly startForecast: StartForecast,
    private readonly options: ReservationOptions
  ) {}

  static create (
    fleet: Fleet,
    holds: ResourceHolds,
    quotaAccounts: QuotaAccounts,
    estimates: RunTimeEstimates,
    options: ReservationOptions
  ): Reservations {
    return new Reservations(fleet, holds, quotaAccounts, StartForecast.create(fleet, estimates), options)
  }

  /** Cancels a reservation, if there is one, and releases the resources held for it. */
  cancel (demand: Demand): void {
    if (this.active.delete(demand)) this.holds.releaseAll(demand)
  }

  /**
   * Cancels the reservations that are fulfilled or obsolete, and makes new ones for the
   * demands that have starved longest.
   */
  update (classQueues: Iterable<ClassQueue>, now: number): void {
    for (const demand of Array.from(this.active.keys())) {
      if (demand.heldTaskCount === 0 || demand.waitingCount === 0) this.cancel(demand)
    }
    let gangs = 0
    for (const demand of this.active.keys()) gangs += demand.isGang ? 1 : 0
    const isOthersRound = now >= this.nextOthersRoundAt
    if (isOthersRound) this.nextOthersRoundAt = now + OTHERS_INTERVAL_MS
    const others = Math.ceil(this.fleet.workers.size / WORKERS_PER_RESERVATION) - (this.active.size - gangs)
    const slots: ReservationSlots = { gangs: 1 - gangs, others: isOthersRound ? others : 0 }
    if (slots.gangs <= 0 && slots.others <= 0) return
    for (const { demand } of this.listStarved(classQueues, slots, now)) {
      const slot = demand.isGang ? 'gangs' : 'others'
      if (slots[slot] <= 0) continue
      if (this.reserve(demand, now)) {
        slots[slot] -= 1
      } else if (this.isPlaceableWithoutHolds(demand, now)) {
        // A demand that arrived later must not reserve first; otherwise this one could wait forever.
        return
      } else {
        this.retryAt.set(demand, now + RETRY_DELAY_MS)
      }
    }
  }

  /** The demands that have starved longest, longest first, at most `ATTEMPTS_PER_ROUND`. */
  private listStarved (classQueues: Iterable<ClassQueue>, slots: ReservationSlots, now: number): StarvedDemand[] {
    const starved: StarvedDemand[] = []
    for (const classQueue of classQueues) {
      const slotsLeft = classQueue.schedulingClass.gang === undefined ? slots.others : slots.gangs
      const demand = slotsLeft > 0 ? classQueue.peek() : undefined
      if (demand === undefined) continue
      const candidate = { demand, since: classQueue.starvedSince }
      const lastKept = starved[ATTEMPTS_PER_ROUND - 1]
      if (lastKept !== undefined && compareStarved(candidate, lastKept) >= 0) continue
      if (!this.isStarved(candidate, now)) continue
      starved.push(candidate)
      starved.sort(compareStarved)
      starved.length = Math.min(starved.length, ATTEMPTS_PER_ROUND)
    }
    return starved
  }

  private isStarved ({ demand, since }: StarvedDemand, now: number): boolean {
    const afterMs = demand.isGang ? this.options.gangAfterMs : this.options.otherAfterMs
    if (now - since < afterMs || demand.heldTaskCount > 0) return false
    return (this.retryAt.get(demand) ?? 0) <= now && this.quotaAccounts.isWithinQuota(demand)
  }

  /**
   * Holds resources for one task, or for all waiting tasks of a gang; false, with nothing
   * held, when there are not enough.
   */
  private reserve (demand: Demand, now: number): boolean {
    const count = demand.isGang ? demand.waitingCount : 1
    let expectedAt = now
    for (const { worker, startAt } of this.startForecast.listExpectedStarts(demand, count, now)) {
      if (demand.heldTaskCount >= count) break
      if (!demand.isWorkerAllowed(worker)) continue
      this.holds.holdForTask(demand, worker)
      expectedAt = Math.max(expectedAt, startAt)
    }
    if (demand.heldTaskCount < count) {
      this.holds.releaseAll(demand)
      return false
    }
    this.retryAt.delete(demand)
    this.active.set(demand, { demand, expectedAt })
    return true
  }

  /** True when a reservation for the demand could succeed if no resources were held. */
  private isPlaceableWithoutHolds (demand: Demand, now: number): boolean {
    const count = demand.isGang ? demand.waitingCount : 1
    return this.startForecast.listExpectedStarts(demand, count, now, true).length >= count
  }
}

function compareStarved (one: StarvedDemand, other: StarvedDemand): number {
  return one.since - other.since || one.demand.arrivalOrder - other.demand.arrivalOrder
}
