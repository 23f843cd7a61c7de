/**
 * A worker as the placement sees it: the room that is used, held for someone and
 * free on it, and the tasks that hold it.
 */

import type { Resources } from '../../types/resources.js'
import type { TargetState } from '../../types/targets.js'
import type { Urgency } from '../../types/workloads.js'
import type { Demand } from './demand.js'
import { addSize, countWithin, createSize, DIMENSIONS, isWithin } from './sizes.js'

/** Room that one attempt of a task holds on a worker until its end is decided. */
export interface Holding {
  readonly demand: Demand
  readonly index: number
  readonly worker: Worker
  /** The team that it is charged to. */
  readonly team: string
  /** What the task was declared to need when it was placed. */
  readonly declared: Resources
  /** Room reserved: what was declared, or what it uses when that is more. */
  size: Resources
  /** When it was placed, in milliseconds of cluster time. */
  readonly since: number
  /** Urgency of a task that may be preempted; 0 for any other. */
  readonly rank: number
  /** A stop was decided, so the room is free soon. */
  stopping: boolean
}

/** Room kept on a worker for tasks of one demand; nobody else may take it. */
export interface Hold {
  readonly owner: Demand
  readonly worker: Worker
  readonly need: Resources
  /** Tasks that the room is for. */
  count: number
}

export class Worker {
  /** Room of tasks that are placed, running or stopping. */
  readonly used: Resources = createSize()
  /** Room of the holds, and room kept for urgent work. */
  readonly held: Resources = createSize()
  /**
   * What anyone may take: capacity less what is used and held. Below zero while
   * held room is still in use; -1 in all dimensions on a worker out of use.
   */
  readonly free: Resources = createSize()
  /** Room of tasks that are stopping. */
  readonly stopping: Resources = createSize()
  readonly holdings = new Set<Holding>()
  /** In the order in which they were made. */
  readonly holds: Hold[] = []
  /** Room of tasks that may be preempted, by the rank of their urgency; at 0 that of all others. */
  readonly preemptible: readonly Resources[] = [createSize(), createSize(), createSize(), createSize()]
  /** True when new work may be placed here. */
  usable = false
  /** False once the target is gone; its room is known until its last task ends. */
  present = true
  /** False once the fleet has forgotten it. */
  listed = true
  /** Position in each bucket index, by dimension. */
  readonly bucket = [-1, -1, -1]
  readonly bucketAt = [0, 0, 0]

  private constructor (
    public target: TargetState,
    /** Order of arrival, which is its position in the tournament tree. */
    readonly order: number
  ) {}

  static create (target: TargetState, order: number): Worker {
    return new Worker(target, order)
  }

  get name (): string {
    return this.target.name
  }

  hasRoom (need: Resources): boolean {
    return isWithin(need, this.free)
  }

  /** Counts what is free anew. */
  updateFree (): void {
    const { capacity } = this.target
    for (const dimension of DIMENSIONS) {
      this.free[dimension] = this.usable ? capacity[dimension] - this.used[dimension] - this.held[dimension] : -1
    }
  }

  /** How many tasks of a hold may start now, with earlier holds served first. */
  countReady (hold: Hold): number {
    if (!this.usable) return 0
    const room = createSize()
    addSize(room, this.target.capacity)
    addSize(room, this.used, -1)
    for (const earlier of this.holds) {
      if (earlier === hold) break
      addSize(room, earlier.need, -earlier.count)
    }
    return Math.min(hold.count, countWithin(hold.need, room))
  }

  /** The most room that preempting all tasks up to an urgency could bring here. */
  countReclaimable (urgency: Urgency): Resources {
    const room = createSize()
    addSize(room, this.free)
    addSize(room, this.stopping)
    for (let rank = 1; rank <= urgency; rank += 1) addSize(room, this.preemptible[rank])
    return room
  }
}
