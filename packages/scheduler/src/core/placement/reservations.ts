/**
 * Reservations for work that waited long: the workers where it fits soonest are
 * held for it, so that what ends there is kept for it and nothing that starts
 * later can delay it (the reservation of EASY backfilling, Lifka 1995; here the
 * others may only take room beyond the held, so that a wrong estimate delays
 * nobody).
 */

import type { Estimates } from '../health/estimates.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { Holds } from './holds.js'
import type { Ledger } from './ledger.js'
import { Openings } from './openings.js'
import type { ShapeLine } from './lines.js'

/** How long a gang, and any other work, waits before room is reserved, in milliseconds. */
export interface ReservationOptions {
  gangAfterMs: number
  otherAfterMs: number
}

export const DEFAULT_RESERVATION: Readonly<ReservationOptions> = Object.freeze({
  gangAfterMs: 5_000,
  otherAfterMs: 30_000
})

/** Workers for each reservation at one time of work other than gangs; gangs have one at a time. */
const WORKERS_PER_RESERVATION = 30
/** Lines for which a reservation is tried in one round. */
const MOST_TRIES = 8
/** Time between rounds of reservations for work other than gangs, in milliseconds. */
const OTHERS_EVERY_MS = 1_000
/** Delay before a reservation that found no room is planned again, in milliseconds. */
const RETRY_MS = 5_000

export interface Reservation {
  readonly demand: Demand
  /** Expected start in milliseconds of cluster time. */
  readonly expectedAt: number
}

/** Reservations that may still be made. */
interface Slots { gangs: number, others: number }
interface Starved { readonly demand: Demand, readonly since: number }

export class Reservations {
  readonly made = new Map<Demand, Reservation>()
  private nextOthersAt = 0
  private readonly retryAt = new WeakMap<Demand, number>()

  private constructor (
    private readonly fleet: Fleet,
    private readonly holds: Holds,
    private readonly ledger: Ledger,
    private readonly openings: Openings,
    private readonly options: ReservationOptions
  ) {}

  static create (
    fleet: Fleet,
    holds: Holds,
    ledger: Ledger,
    estimates: Estimates,
    options: ReservationOptions
  ): Reservations {
    return new Reservations(fleet, holds, ledger, Openings.create(fleet, estimates), options)
  }

  /** Drops a reservation and the room that it holds. */
  cancel (demand: Demand): void {
    if (this.made.delete(demand)) this.holds.releaseAll(demand)
  }

  /** Ends the reservations that are fulfilled or void, and makes new ones for the oldest. */
  update (lines: Iterable<ShapeLine>, now: number): void {
    for (const demand of Array.from(this.made.keys())) {
      if (demand.heldCount === 0 || demand.waitingCount === 0) this.cancel(demand)
    }
    let gangs = 0
    for (const demand of this.made.keys()) gangs += demand.isGang ? 1 : 0
    const isOthersTurn = now >= this.nextOthersAt
    if (isOthersTurn) this.nextOthersAt = now + OTHERS_EVERY_MS
    const others = Math.ceil(this.fleet.workers.size / WORKERS_PER_RESERVATION) - (this.made.size - gangs)
    const free: Slots = { gangs: 1 - gangs, others: isOthersTurn ? others : 0 }
    if (free.gangs <= 0 && free.others <= 0) return
    for (const { demand } of this.listStarved(lines, free, now)) {
      const left = demand.isGang ? 'gangs' : 'others'
      if (free[left] <= 0) continue
      if (this.reserve(demand, now)) {
        free[left] -= 1
      } else if (this.fitsWithoutHolds(demand, now)) {
        // Nobody younger may reserve before it, or it could wait for ever.
        return
      } else {
        this.retryAt.set(demand, now + RETRY_MS)
      }
    }
  }

  /** The few demands whose lines got nothing for longest, first. */
  private listStarved (lines: Iterable<ShapeLine>, free: Slots, now: number): Starved[] {
    const starved: Starved[] = []
    for (const line of lines) {
      const slots = line.shape.gang === undefined ? free.others : free.gangs
      const demand = slots > 0 ? line.peek() : undefined
      if (demand === undefined) continue
      const candidate = { demand, since: line.starvedSince }
      const last = starved[MOST_TRIES - 1]
      if (last !== undefined && compareStarved(candidate, last) >= 0) continue
      if (!this.isStarved(candidate, now)) continue
      starved.push(candidate)
      starved.sort(compareStarved)
      starved.length = Math.min(starved.length, MOST_TRIES)
    }
    return starved
  }

  private isStarved ({ demand, since }: Starved, now: number): boolean {
    const afterMs = demand.isGang ? this.options.gangAfterMs : this.options.otherAfterMs
    if (now - since < afterMs || demand.heldCount > 0) return false
    return (this.retryAt.get(demand) ?? 0) <= now && this.ledger.isAllowed(demand)
  }

  private reserve (demand: Demand, now: number): boolean {
    const count = demand.isGang ? demand.waitingCount : 1
    let expectedAt = now
    for (const { worker, at } of this.openings.list(demand, count, now)) {
      if (demand.heldCount >= count) break
      if (!demand.isAllowed(worker)) continue
      this.holds.keep(demand, worker)
      expectedAt = Math.max(expectedAt, at)
    }
    if (demand.heldCount < count) {
      this.holds.releaseAll(demand)
      return false
    }
    this.retryAt.delete(demand)
    this.made.set(demand, { demand, expectedAt })
    return true
  }

  /** True when only what is held for others keeps the demand from a reservation. */
  private fitsWithoutHolds (demand: Demand, now: number): boolean {
    const count = demand.isGang ? demand.waitingCount : 1
    return this.openings.list(demand, count, now, true).length >= count
  }
}

function compareStarved (one: Starved, other: Starved): number {
  return one.since - other.since || one.demand.order - other.demand.order
}
