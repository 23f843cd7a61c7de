/**
 * Arrival rates of requests by urgency: exponentially weighted averages, in which
 * the weight of an arrival decays with its age.
 */

import { Urgency } from '../../types/workloads.js'

/** Time constant of the decay: the weight of an arrival falls to 1/e within this time. */
const DECAY_TIME_MS = 2_000

/** Arrivals per millisecond as of `updatedAt`, a cluster time in milliseconds. */
interface Rate { perMs: number, updatedAt: number }

export class ArrivalRates {
  private readonly rates: Record<Urgency, Rate> = {
    [Urgency.bulk]: { perMs: 0, updatedAt: 0 },
    [Urgency.normal]: { perMs: 0, updatedAt: 0 },
    [Urgency.urgent]: { perMs: 0, updatedAt: 0 }
  }

  static create (): ArrivalRates {
    return new ArrivalRates()
  }

  private constructor () {}

  recordArrival (urgency: Urgency, now: number): void {
    const rate = this.rates[urgency]
    rate.perMs = computeDecayedRate(rate, now) + 1 / DECAY_TIME_MS
    rate.updatedAt = now
  }

  /** Arrivals per millisecond of all requests that are more urgent than `urgency`. */
  rateAbove (urgency: Urgency, now: number): number {
    let total = 0
    for (const other of Object.values(Urgency)) {
      if (other > urgency) total += computeDecayedRate(this.rates[other], now)
    }
    return total
  }
}

function computeDecayedRate ({ perMs, updatedAt }: Rate, now: number): number {
  return perMs * Math.exp((updatedAt - now) / DECAY_TIME_MS)
}
