/**
 * What the cell has and what of it is in use, by service and by client account. All
 * runs count from their placement until their end is certain, as they do for caps, so
 * that a burst of starts is not counted as room.
 */

import type { Resources } from '../../../types/resources.js'
import { addResources, createZeroResources } from '../../placement/resource-arithmetic.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'
import type { WorkerView } from '../workers/worker-view.js'

/**
 * Interval at which the runs of all workers are counted by account; starts in between are added. Counted in each pass, they
 * took more time than the rest of it at 245 workers.
 */
const COUNT_INTERVAL_MS = 200

export class CellUse {
  /** Capacity of the workers that may take work. */
  capacity: Resources = createZeroResources()
  readonly services = new Map<string, { capacity: Resources, used: Resources }>()
  /** In use by each client account on all workers, by its name. */
  readonly accounts = new Map<string, Resources>()
  private countedAt = -Infinity

  private constructor () {}

  static create (): CellUse {
    return new CellUse()
  }

  /** Forgets what was counted, as a new leader must. */
  reset (): void {
    this.countedAt = -Infinity
  }

  /** Counts the capacity of each service and, if the last count is old, the runs of each account. */
  refresh (views: Iterable<WorkerView>, now: number): void {
    const isDue = now - this.countedAt >= COUNT_INTERVAL_MS
    if (isDue) {
      this.accounts.clear()
      this.countedAt = now
    }
    this.services.clear()
    this.capacity = createZeroResources()
    for (const view of views) {
      if (isDue) this.countRuns(view)
      this.countCapacity(view)
    }
  }

  /** Adds the demand of one task that starts. */
  add ({ account, spec }: SchedulingUnit): void {
    if (account !== undefined) addResources(this.getAccount(account), spec.resources)
  }

  private countRuns (view: WorkerView): void {
    for (const { charge } of view.runs.values()) {
      if (charge !== undefined) addResources(this.getAccount(charge.account), charge.resources)
    }
  }

  private countCapacity (view: WorkerView): void {
    const { service, capacity, isDraining } = view.worker
    if (isDraining || view.isSilent || !view.hasAcceptedToken) return
    let total = this.services.get(service)
    if (total === undefined) this.services.set(service, total = { capacity: createZeroResources(), used: createZeroResources() })
    addResources(total.capacity, capacity)
    total.used.millicores += capacity.millicores - view.freeMillicores
    total.used.memoryMib += capacity.memoryMib - view.freeMemoryMib
    total.used.accelerators += capacity.accelerators - view.freeAccelerators
    addResources(this.capacity, capacity)
  }

  private getAccount (name: string): Resources {
    let used = this.accounts.get(name)
    if (used === undefined) this.accounts.set(name, used = createZeroResources())
    return used
  }
}
