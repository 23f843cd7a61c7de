/**
 * A worker as one placement pass sees it: its capacity less what the pass has placed
 * and reserved on it.
 */

import type { Resources } from '../../../types/resources.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'
import { RunStatus, type Run, type WorkerView } from '../workers/worker-view.js'

/** Amounts of resources that are changed in place; reservations may make them negative. */
export interface Amounts { millicores: number, memoryMib: number, accelerators: number }

/** A worker that can take work, with its capacity less what this pass has placed and reserved on it. */
export interface Candidate {
  view: WorkerView
  free: Amounts
  /** Capacity that runs being stopped will release, less what is reserved of it; computed on first use. */
  releasing: Amounts | undefined
  /** True when units reserved capacity there in the previous pass. */
  isReserved: boolean
  /** Key of the unit whose suspected tasks have the worker for themselves in this pass; undefined if there is none. */
  suspectUnit: string | undefined
  /** True once a task is to be started there in this pass. */
  isChosen: boolean
  /** Runs that may be stopped without loss of progress, largest processor demand first; computed on first use. */
  preemptible: Run[] | undefined
}

/**
 * Capacity that the runs being stopped on a worker will release, less what is reserved of it, and less what the worker runs
 * beyond a capacity that has shrunk.
 */
export function getReleasing (candidate: Candidate): Amounts {
  if (candidate.releasing !== undefined) return candidate.releasing
  const { freeMillicores, freeMemoryMib, freeAccelerators } = candidate.view
  const releasing = { millicores: Math.min(0, freeMillicores), memoryMib: Math.min(0, freeMemoryMib), accelerators: Math.min(0, freeAccelerators) }
  for (const run of candidate.view.runs.values()) {
    if (run.status === RunStatus.stopping && !run.fills) add(releasing, run.resources, 1)
  }
  candidate.releasing = releasing
  return releasing
}

export function add (amounts: Amounts, { millicores, memoryMib, accelerators }: Resources, sign: number): void {
  amounts.millicores += sign * millicores
  amounts.memoryMib += sign * memoryMib
  amounts.accelerators += sign * accelerators
}

/** Free capacity, counted as 0 where reservations exceed it, plus releasing capacity. */
export function sumAvailable (candidate: Candidate): Amounts {
  const { free } = candidate
  const releasing = getReleasing(candidate)
  return {
    millicores: Math.max(0, free.millicores) + releasing.millicores,
    memoryMib: Math.max(0, free.memoryMib) + releasing.memoryMib,
    accelerators: Math.max(0, free.accelerators) + releasing.accelerators
  }
}

/** Deducts the demand of one task from the free capacity first, then from the releasing capacity. */
export function reserveTask (candidate: Candidate, { spec }: SchedulingUnit): void {
  const releasing = getReleasing(candidate)
  for (const dimension of ['millicores', 'memoryMib', 'accelerators'] as const) {
    const wanted = spec.fills && dimension === 'millicores' ? 0 : spec.resources[dimension]
    const fromFree = Math.min(wanted, Math.max(0, candidate.free[dimension]))
    candidate.free[dimension] -= fromFree
    releasing[dimension] -= wanted - fromFree
  }
}

/** True when the worker may run another task of the stage. `taskCounts` are the tasks of the stage on each worker, by worker id. */
export function isBelowLimit (candidate: Candidate, { spec }: SchedulingUnit, taskCounts: ReadonlyMap<string, number>): boolean {
  return spec.perWorkerLimit === 0 || (taskCounts.get(candidate.view.id) ?? 0) < spec.perWorkerLimit
}

export function isEligible (view: WorkerView, { queue, spec }: SchedulingUnit): boolean {
  return view.worker.service === queue.service &&
    (spec.requiredLabel === '' || view.worker.labels.includes(spec.requiredLabel))
}

/** True when the available amounts cover a demand. Best-effort tasks (`fills`) need no processor capacity. */
export function fits (available: Amounts, { millicores, memoryMib, accelerators }: Resources, fills: boolean): boolean {
  return (fills || available.millicores >= millicores) && available.memoryMib >= memoryMib && available.accelerators >= accelerators
}

/** Deducts (sign -1) or returns (sign 1) the demand of one task. */
export function applyDemand (amounts: Amounts, { spec }: SchedulingUnit, sign: number): void {
  add(amounts, spec.fills ? { ...spec.resources, millicores: 0 } : spec.resources, sign)
}
