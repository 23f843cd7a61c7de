/**
 * Summarizes the load of the cell from the replicated state: capacity, placed
 * tasks and waiting tasks. The summary is logged, so that an operator can tell
 * whether there was free capacity when a request was refused or a task waited.
 */

import { isLiveJob, StageTaskPhase } from '../../../types/jobs.js'
import type { ClusterState } from '../../../types/state.js'
import { isStageReady } from './scheduling-units.js'

export interface CellLoad {
  /** Workers that are not draining and have not left; only they count as capacity. */
  workers: number
  capacityMillicores: number
  /** Declared demand of the placed tasks, without that of best-effort tasks. */
  placedMillicores: number
  capacityMemoryMib: number
  placedMemoryMib: number
  /** Number of placed tasks by queue name. */
  placed: Record<string, number>
  /** Number of waiting tasks that could be placed now, given capacity, by queue name; see `isStageReady`. */
  waiting: Record<string, number>
}

export function summarizeCellLoad (state: ClusterState): CellLoad {
  const load: CellLoad = { workers: 0, capacityMillicores: 0, placedMillicores: 0, capacityMemoryMib: 0, placedMemoryMib: 0, placed: {}, waiting: {} }
  for (const { isDraining, hasLeft, capacity } of state.calledWorkers.values()) {
    if (isDraining || hasLeft) continue
    load.workers += 1
    load.capacityMillicores += capacity.millicores
    load.capacityMemoryMib += capacity.memoryMib
  }
  for (const job of state.jobs.values()) {
    if (!isLiveJob(job)) continue
    for (const occurrence of job.occurrences.values()) {
      for (const [stage, tasks] of occurrence.entries()) {
        const { resources, fills } = job.spec.stages[stage]
        const placed = tasks.filter(({ phase }) => phase === StageTaskPhase.placed).length
        load.placed[job.queue] = (load.placed[job.queue] ?? 0) + placed
        load.placedMillicores += fills ? 0 : placed * resources.millicores
        load.placedMemoryMib += placed * resources.memoryMib
        if (!isStageReady(job, occurrence, stage)) continue
        const waiting = tasks.filter(({ phase }) => phase === StageTaskPhase.waiting).length
        load.waiting[job.queue] = (load.waiting[job.queue] ?? 0) + waiting
      }
    }
  }
  return load
}
