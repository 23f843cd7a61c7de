/**
 * Keeps the allocation of each running task at the larger of its declared and
 * its measured resources. Each tick processes a fraction of the fleet.
 */

import { createTaskKey, TaskPhase } from '../../types/workloads.js'
import type { UsageTable } from '../health/usage-table.js'
import type { Fleet } from './fleet.js'
import type { Allocation, Worker } from './worker.js'

/**
 * Ticks that one pass over a large fleet takes; a pass over a small fleet takes fewer. Usage is
 * smoothed over a longer time, so a shorter pass would find little change.
 */
const TICKS_PER_PASS = 50

export class AllocationResizer {
  /** Workers that the current pass over the fleet has not processed yet. */
  private remainingWorkers: Iterator<Worker>

  private constructor (private readonly fleet: Fleet, private readonly usage: UsageTable) {
    this.remainingWorkers = fleet.workers.values()
  }

  static create (fleet: Fleet, usage: UsageTable): AllocationResizer {
    return new AllocationResizer(fleet, usage)
  }

  tick (): void {
    const count = Math.ceil(this.fleet.workers.size / TICKS_PER_PASS)
    for (let processed = 0; processed < count; processed += 1) {
      const next = this.remainingWorkers.next()
      if (next.done === true) {
        this.remainingWorkers = this.fleet.workers.values()
        return
      }
      this.resizeAllocations(next.value)
    }
  }

  private resizeAllocations (worker: Worker): void {
    for (const allocation of worker.allocations) this.resizeAllocation(allocation)
  }

  private resizeAllocation (allocation: Allocation): void {
    const task = allocation.demand.workload.tasks[allocation.index]
    if (task?.phase !== TaskPhase.running) return
    const size = this.usage.computeAllocationSize(createTaskKey(allocation.demand.id, allocation.index), allocation.declaredResources)
    const { millicores, memoryMib, accelerators } = allocation.size
    const isSame = size.millicores === millicores && size.memoryMib === memoryMib && size.accelerators === accelerators
    if (!isSame) this.fleet.resize(allocation, size)
  }
}
