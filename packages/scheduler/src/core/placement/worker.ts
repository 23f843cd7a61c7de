/**
 * The view that the placement has of a worker: the resources that are used, held and free
 * on it, and the allocations of the tasks that use them.
 */

import type { Resources } from '../../types/resources.js'
import type { TargetState } from '../../types/targets.js'
import type { Urgency } from '../../types/workloads.js'
import type { Demand } from './demand.js'
import { addResources, countFitting, createZeroResources, RESOURCE_DIMENSIONS, isWithin } from './resource-arithmetic.js'

/** Resources that one attempt of a task occupies on a worker until its end is decided. */
export interface Allocation {
  readonly demand: Demand
  /** Index of the task in its workload. */
  readonly index: number
  readonly worker: Worker
  /** The team whose quota account is charged. */
  readonly team: string
  /** Declared resources of the task when it was placed. */
  readonly declaredResources: Resources
  /** Resources that the allocation covers: the declared ones, or the measured ones where these are larger. */
  size: Resources
  /** When the task was placed, in milliseconds of cluster time. A new leader counts from its own start. */
  readonly placedAt: number
  /** Urgency of a preemptible task; 0 for any other. */
  readonly preemptibleUrgency: number
  /** True when a stop was decided, so that the resources become free soon. */
  isStopping: boolean
}

/** Resources on a worker that are set aside for tasks of one demand; no other demand may use them. */
export interface ResourceHold {
  readonly owner: Demand
  readonly worker: Worker
  /** Resources of one task. */
  readonly need: Resources
  /** Number of tasks that the resources are held for. */
  count: number
}

export class Worker {
  /** Resources of tasks that are placed, running or stopping. */
  readonly used: Resources = createZeroResources()
  /** Resources of the holds, and headroom retained for work that may preempt. */
  readonly held: Resources = createZeroResources()
  /**
   * Resources that any demand may use: the capacity less `used` and `held`. Negative while
   * held resources are still in use; -1 in all dimensions while the worker is not usable.
   */
  readonly free: Resources = createZeroResources()
  /** Resources of tasks that are stopping. */
  readonly stoppingResources: Resources = createZeroResources()
  readonly allocations = new Set<Allocation>()
  /** In order of creation; earlier holds are served first. */
  readonly holds: ResourceHold[] = []
  /**
   * Resources of preemptible tasks by urgency, without those that are stopping; index 0 has
   * the resources of all tasks that are not preemptible.
   */
  readonly preemptibleByUrgency: readonly Resources[] = [createZeroResources(), createZeroResources(), createZeroResources(), createZeroResources()]
  /** True when new tasks may be placed on the worker. */
  isUsable = false
  /** False once the target is removed; the worker is kept until its last allocation is removed. */
  isPresent = true
  /** Set to false when the worker is removed, so that it is not indexed again. */
  isInFleet = true
  /** Number of the bucket in each bucket index, by dimension; -1 when it is in none. */
  readonly bucketNumbers = [-1, -1, -1]
  /** Position within that bucket, by dimension. */
  readonly bucketPositions = [0, 0, 0]

  private constructor (
    public target: TargetState,
    /** Order of arrival and position in the tournament tree; reused after the worker was removed. */
    readonly order: number
  ) {}

  static create (target: TargetState, order: number): Worker {
    return new Worker(target, order)
  }

  get name (): string {
    return this.target.name
  }

  /** True when the free resources suffice for one task with this need. */
  hasFreeResources (need: Resources): boolean {
    return isWithin(need, this.free)
  }

  updateFree (): void {
    const { capacity } = this.target
    for (const dimension of RESOURCE_DIMENSIONS) {
      this.free[dimension] = this.isUsable ? capacity[dimension] - this.used[dimension] - this.held[dimension] : -1
    }
  }

  /** Number of tasks of a hold that can start now, after all earlier holds are served. */
  countStartable (hold: ResourceHold): number {
    if (!this.isUsable) return 0
    const available = createZeroResources()
    addResources(available, this.target.capacity)
    addResources(available, this.used, -1)
    for (const earlier of this.holds) {
      if (earlier === hold) break
      addResources(available, earlier.need, -earlier.count)
    }
    return Math.min(hold.count, countFitting(hold.need, available))
  }

  /**
   * Upper bound of the resources that preemption can make available to work of an urgency.
   * The bound ignores the priority of the tasks and how often they were preempted.
   */
  sumReclaimable (urgency: Urgency): Resources {
    const reclaimable = createZeroResources()
    addResources(reclaimable, this.free)
    addResources(reclaimable, this.stoppingResources)
    for (let level = 1; level <= urgency; level += 1) addResources(reclaimable, this.preemptibleByUrgency[level])
    return reclaimable
  }
}
