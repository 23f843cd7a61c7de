/**
 * Headroom: while urgent work has to preempt, the room that it leaves is kept for
 * the next of it for a short time, so that a stream of short urgent tasks does
 * not stop another task for each.
 */

import type { Resources } from '../../types/resources.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import { isWithin, sumOf } from './sizes.js'
import { Timers } from './timers.js'
import type { Holding, Worker } from './worker.js'

/** How long room is kept, in milliseconds. */
const KEEP_MS = 3_000
/** Room is kept only if work was preempted within this time, in milliseconds. */
const CONTENDED_MS = 60_000

interface Keep { readonly worker: Worker, readonly size: Resources }

export class Headroom {
  private readonly keeps = new Set<Keep>()
  private readonly ends = Timers.create<Keep>()
  private preemptedAt = -Infinity

  private constructor (private readonly fleet: Fleet) {}

  static create (fleet: Fleet): Headroom {
    return new Headroom(fleet)
  }

  /** Notes that work was preempted. */
  notePreemption (now: number): void {
    this.preemptedAt = now
  }

  /** Keeps the room that a task of preempting work is about to leave. */
  keep (holding: Holding, now: number): void {
    const { demand, worker, size } = holding
    if (!demand.policy.preempts || demand.isGang || !worker.usable) return
    if (now - this.preemptedAt > CONTENDED_MS) return
    const keep = { worker, size }
    this.keeps.add(keep)
    this.ends.add(now + KEEP_MS, keep)
    this.fleet.keep(worker, size, 1)
  }

  /** Gives up kept room that was not used in time. */
  expire (now: number): void {
    for (let keep = this.ends.take(now); keep !== undefined; keep = this.ends.take(now)) this.release(keep)
  }

  /** A worker with kept room for one task, which is given up for it. */
  take (demand: Demand): Worker | undefined {
    for (const keep of this.keeps) {
      const { worker, size } = keep
      if (!worker.usable || !isWithin(demand.need, sumOf(worker.free, size)) || !demand.isAllowed(worker)) continue
      this.release(keep)
      return worker
    }
    return undefined
  }

  private release (keep: Keep): void {
    if (this.keeps.delete(keep)) this.fleet.keep(keep.worker, keep.size, -1)
  }
}
