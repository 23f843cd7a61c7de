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
  /** Where the pass over the fleet stands. */
  private pass: Iterator<Worker>

  private constructor (private readonly fleet: Fleet, private readonly usage: UsageTable) {
    this.pass = fleet.workers.values()
  }

  static create (fleet: Fleet, usage: UsageTable): UsageWatch {
    return new UsageWatch(fleet, usage)
  }

  tick (): void {
    const count = Math.ceil(this.fleet.workers.size / TICKS_PER_PASS)
    for (let at = 0; at < count; at += 1) {
      const next = this.pass.next()
      if (next.done === true) {
        this.pass = this.fleet.workers.values()
        return
      }
      this.refresh(next.value)
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
