/**
 * Keeps the room reserved for each task at the larger of what was declared and
 * what it uses, a part of the fleet at each tick.
 */

import { taskKey, TaskPhase } from '../../types/workloads.js'
import type { UsageTable } from '../health/usage.js'
import type { Fleet } from './fleet.js'
import type { Holding, Worker } from './worker.js'

/** Ticks in which the whole fleet is looked at once; usage is smoothed over longer. */
const TICKS_PER_PASS = 50

export class UsageWatch {
  private turn = 0

  private constructor (private readonly fleet: Fleet, private readonly usage: UsageTable) {}

  static create (fleet: Fleet, usage: UsageTable): UsageWatch {
    return new UsageWatch(fleet, usage)
  }

  tick (): void {
    this.turn = (this.turn + 1) % TICKS_PER_PASS
    for (const worker of this.fleet.workers.values()) {
      if (worker.order % TICKS_PER_PASS === this.turn) this.refresh(worker)
    }
  }

  private refresh (worker: Worker): void {
    for (const holding of worker.holdings) this.refreshOne(holding)
  }

  private refreshOne (holding: Holding): void {
    const task = holding.demand.workload.tasks[holding.index]
    if (task?.phase !== TaskPhase.running) return
    const size = this.usage.reservation(taskKey(holding.demand.id, holding.index), holding.declared)
    const { millicores, memoryMib, accelerators } = holding.size
    const isSame = size.millicores === millicores && size.memoryMib === memoryMib && size.accelerators === accelerators
    if (!isSame) this.fleet.resize(holding, size)
  }
}
