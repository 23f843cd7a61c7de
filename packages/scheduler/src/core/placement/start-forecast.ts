/**
 * Forecasts on which workers and when single tasks can start, from the expected
 * ends of the tasks that run there.
 */

import type { Resources } from '../../types/resources.js'
import { WorkloadKind } from '../../types/workloads.js'
import type { RunTimeEstimates } from '../health/run-time-estimates.js'
import type { Demand } from './demand.js'
import { isZoneAllowed } from './feasibility.js'
import type { Fleet } from './fleet.js'
import { addResources, copyResources, countFitting } from './resource-arithmetic.js'
import type { Allocation, Worker } from './worker.js'

/** Minimum number of expected starts that are compared. */
const MIN_SAMPLE_SIZE = 64
/** Expected starts that are compared for each task to place. */
const STARTS_PER_TASK = 4
/** Minimum expected remaining time of a task whose run time is not known. */
const DEFAULT_REMAINING_MS = 60_000

/** One task can start on the worker at a cluster time in milliseconds. */
export interface ExpectedStart { readonly worker: Worker, readonly startAt: number }
/** An allocation that is expected to end at a cluster time in milliseconds. */
interface ExpectedEnd { readonly allocation: Allocation, readonly endAt: number }

export class StartForecast {
  private constructor (private readonly fleet: Fleet, private readonly estimates: RunTimeEstimates) {}

  static create (fleet: Fleet, estimates: RunTimeEstimates): StartForecast {
    return new StartForecast(fleet, estimates)
  }

  /**
   * Workers and times at which one task each can start, soonest first; up to `limit` for
   * each worker. Once there are enough of them, the remaining workers of the fleet are not
   * examined. With `ignoresHolds` all held resources count as free.
   */
  listExpectedStarts (demand: Demand, limit: number, now: number, ignoresHolds = false): ExpectedStart[] {
    const expectedStarts: ExpectedStart[] = []
    const sampleSize = Math.max(MIN_SAMPLE_SIZE, limit * STARTS_PER_TASK)
    for (const worker of this.fleet.workers.values()) {
      if (expectedStarts.length >= sampleSize) break
      if (!worker.isUsable || !isZoneAllowed(demand.workload.spec, worker.target.availabilityZone)) continue
      const available = copyResources(worker.free)
      if (ignoresHolds) addResources(available, worker.held)
      this.addExpectedStarts(expectedStarts, worker, available, demand, limit, now)
    }
    return expectedStarts.sort((one, other) => one.startAt - other.startAt)
  }

  private addExpectedStarts (
    expectedStarts: ExpectedStart[],
    worker: Worker,
    available: Resources,
    demand: Demand,
    limit: number,
    now: number
  ): void {
    let count = Math.min(limit, countFitting(demand.need, available))
    for (let added = 0; added < count; added += 1) expectedStarts.push({ worker, startAt: now })
    for (const { allocation, endAt } of this.listExpectedEnds(worker, now)) {
      if (count >= limit) return
      addResources(available, allocation.size)
      const startableCount = Math.min(limit, countFitting(demand.need, available))
      for (; count < startableCount; count += 1) expectedStarts.push({ worker, startAt: endAt })
    }
  }

  /**
   * The allocations of a worker in the order of their expected ends; running service tasks
   * are left out because they do not end.
   */
  private listExpectedEnds (worker: Worker, now: number): ExpectedEnd[] {
    const ends: ExpectedEnd[] = []
    for (const allocation of worker.allocations) {
      const isEndless = allocation.demand.workload.spec.kind === WorkloadKind.service && !allocation.isStopping
      if (!isEndless) ends.push({ allocation, endAt: this.estimateEnd(allocation, now) })
    }
    return ends.sort((one, other) => one.endAt - other.endAt)
  }

  /** Expected end in cluster time. A task that exceeded its estimate is expected to run as long again. */
  private estimateEnd (allocation: Allocation, now: number): number {
    if (allocation.isStopping) return now
    const elapsed = now - allocation.placedAt
    const expected = this.estimates.estimateRunMs(allocation.demand.workload.spec)
    if (expected === 0) return now + Math.max(DEFAULT_REMAINING_MS, elapsed)
    return elapsed < expected ? allocation.placedAt + expected : now + elapsed
  }
}
