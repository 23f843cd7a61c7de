/**
 * Openings: where and when room for one task each becomes free, by what is
 * expected of the tasks that run.
 */

import type { Resources } from '../../types/resources.js'
import { WorkloadKind } from '../../types/workloads.js'
import type { Estimates } from '../health/estimates.js'
import type { Demand } from './demand.js'
import { isZoneAllowed } from './feasibility.js'
import type { Fleet } from './fleet.js'
import { addSize, copySize, countWithin } from './sizes.js'
import type { Holding, Worker } from './worker.js'

/** Openings that are compared, at least, and for each task. */
const SAMPLE = 64
const OPENINGS_PER_TASK = 4
/** Expected time left for a task of which nothing is known, in milliseconds. */
const UNKNOWN_MS = 60_000

export interface Opening { readonly worker: Worker, readonly at: number }
interface End { readonly holding: Holding, readonly at: number }

export class Openings {
  private constructor (private readonly fleet: Fleet, private readonly estimates: Estimates) {}

  static create (fleet: Fleet, estimates: Estimates): Openings {
    return new Openings(fleet, estimates)
  }

  /** Where and when room for one task each opens, soonest first. */
  list (demand: Demand, most: number, now: number, ignoresHolds = false): Opening[] {
    const openings: Opening[] = []
    const enough = Math.max(SAMPLE, most * OPENINGS_PER_TASK)
    for (const worker of this.fleet.workers.values()) {
      if (openings.length >= enough) break
      if (!worker.usable || !isZoneAllowed(demand.workload.spec, worker.target.availabilityZone)) continue
      const room = copySize(worker.free)
      if (ignoresHolds) addSize(room, worker.held)
      this.addOpenings(openings, worker, room, demand, most, now)
    }
    return openings.sort((one, other) => one.at - other.at)
  }

  private addOpenings (
    openings: Opening[],
    worker: Worker,
    room: Resources,
    demand: Demand,
    most: number,
    now: number
  ): void {
    let count = Math.min(most, countWithin(demand.need, room))
    for (let added = 0; added < count; added += 1) openings.push({ worker, at: now })
    for (const { holding, at } of this.listEnds(worker, now)) {
      if (count >= most) return
      addSize(room, holding.size)
      const next = Math.min(most, countWithin(demand.need, room))
      for (; count < next; count += 1) openings.push({ worker, at })
    }
  }

  /** The tasks of a worker that end, in the order in which they are expected to. */
  private listEnds (worker: Worker, now: number): End[] {
    const ends: End[] = []
    for (const holding of worker.holdings) {
      const isEndless = holding.demand.workload.spec.kind === WorkloadKind.service && !holding.stopping
      if (!isEndless) ends.push({ holding, at: this.expectEnd(holding, now) })
    }
    return ends.sort((one, other) => one.at - other.at)
  }

  /** A task that overran its estimate is expected to run as long again. */
  private expectEnd (holding: Holding, now: number): number {
    if (holding.stopping) return now
    const elapsed = now - holding.since
    const expected = this.estimates.expectedMs(holding.demand.workload.spec)
    if (expected === 0) return now + Math.max(UNKNOWN_MS, elapsed)
    return elapsed < expected ? holding.since + expected : now + elapsed
  }
}
