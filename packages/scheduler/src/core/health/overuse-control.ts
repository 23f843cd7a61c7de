/**
 * Actions against overuse, where the tasks of a worker use more than its
 * capacity. For processors, tasks that use more than they declared are throttled
 * to what they declared. For memory, or when throttling did not suffice, the least
 * important task is checkpointed or stopped, one task at a time.
 */

import type { Limits } from '../../types/limits.js'
import { NO_RESOURCES, type Resources } from '../../types/resources.js'
import type { TargetState } from '../../types/targets.js'
import { type WorkloadState, WorkloadKind } from '../../types/workloads.js'
import type { AssignedTask } from '../tasks/assigned-tasks.js'
import type { UsageTable } from './usage-table.js'

/** How long a throttle is repeated, in milliseconds. */
const THROTTLE_DURATION_MS = 60_000
/** Renewals between two actions on one worker, so that its reports can show the effect of the first. */
const RENEWALS_BETWEEN_ACTIONS = 5

/** A task on a worker with its workload and its smoothed usage. */
interface TaskLoad {
  task: AssignedTask
  workload: WorkloadState
  usage: Readonly<Resources>
}

export type OveruseAction =
  | { kind: 'throttle', task: AssignedTask, millicores: number }
  | { kind: 'preempt', task: AssignedTask }

/** `until` is a cluster time in milliseconds. */
interface Throttle { millicores: number, until: number }

export class OveruseControl {
  private readonly throttles = new Map<string, Throttle>()
  /** Cluster time in milliseconds of the last action, by name of the worker. */
  private readonly lastActionAt = new Map<string, number>()

  private constructor (private readonly limits: Limits, private readonly usage: UsageTable) {}

  static create (limits: Limits, usage: UsageTable): OveruseControl {
    return new OveruseControl(limits, usage)
  }

  clear (): void {
    this.throttles.clear()
    this.lastActionAt.clear()
  }

  /** Returns the actions for a worker after one of its reports: repeated throttles, and new actions against overuse. */
  planActions (target: TargetState, tasks: Iterable<AssignedTask>, workloads: Map<string, WorkloadState>, now: number): OveruseAction[] {
    const loads = this.listLoads(tasks, workloads)
    const total = sumUsage(loads)
    const actions = this.repeatThrottles(loads, now)
    const isOverProcessors = total.millicores > target.capacity.millicores
    const isOverMemory = total.memoryMib > target.capacity.memoryMib
    if (!isOverProcessors && !isOverMemory) return actions
    const pauseMs = RENEWALS_BETWEEN_ACTIONS * this.limits.renewEveryMs
    if (now - (this.lastActionAt.get(target.name) ?? -Infinity) < pauseMs) return actions
    this.lastActionAt.set(target.name, now)
    const throttles = isOverMemory ? [] : this.startThrottles(loads, now)
    if (throttles.length > 0) return [...actions, ...throttles]
    const victim = findLeastImportant(loads)
    return victim === undefined ? actions : [...actions, { kind: 'preempt', task: victim.task }]
  }

  forgetTask (key: string): void {
    this.throttles.delete(key)
  }

  private listLoads (tasks: Iterable<AssignedTask>, workloads: Map<string, WorkloadState>): TaskLoad[] {
    const loads: TaskLoad[] = []
    for (const task of tasks) {
      const workload = workloads.get(task.id)
      const usage = this.usage.getUsage(task.key)
      if (workload !== undefined && usage !== undefined) loads.push({ task, workload, usage })
    }
    return loads
  }

  /** Throttles expire on the worker unless they are repeated. */
  private repeatThrottles (loads: readonly TaskLoad[], now: number): OveruseAction[] {
    const actions: OveruseAction[] = []
    for (const { task } of loads) {
      const throttle = this.throttles.get(task.key)
      if (throttle === undefined) continue
      if (now >= throttle.until) this.throttles.delete(task.key)
      else actions.push({ kind: 'throttle', task, millicores: throttle.millicores })
    }
    return actions
  }

  private startThrottles (loads: readonly TaskLoad[], now: number): OveruseAction[] {
    const actions: OveruseAction[] = []
    for (const { task, workload, usage } of loads) {
      const declared = workload.spec.resources.millicores
      if (declared === 0 || usage.millicores <= declared || this.throttles.has(task.key)) continue
      this.throttles.set(task.key, { millicores: declared, until: now + THROTTLE_DURATION_MS })
      actions.push({ kind: 'throttle', task, millicores: declared })
    }
    return actions
  }
}

function sumUsage (loads: readonly TaskLoad[]): Resources {
  const total = { ...NO_RESOURCES }
  for (const { usage } of loads) {
    total.millicores += usage.millicores
    total.memoryMib += usage.memoryMib
  }
  return total
}

/**
 * The task to stop first: one that can run again, then the lowest urgency, the lowest priority, the largest memory
 * use beyond the declaration. Undefined when there is no task, or when a stop of one is already in progress.
 */
function findLeastImportant (loads: readonly TaskLoad[]): TaskLoad | undefined {
  let victim: TaskLoad | undefined
  for (const load of loads) {
    if (load.workload.tasks[load.task.index]?.stopping !== '') return undefined
    if (victim === undefined || compareLoads(load, victim) < 0) victim = load
  }
  return victim
}

function compareLoads (one: TaskLoad, other: TaskLoad): number {
  const [left, right] = [one.workload.spec, other.workload.spec]
  return stopPenalty(one.workload) - stopPenalty(other.workload) ||
    left.urgency - right.urgency ||
    left.priority - right.priority ||
    excessMemoryMib(other) - excessMemoryMib(one)
}

/** 1 for a task that cannot run again, so that it is stopped last; otherwise 0. */
function stopPenalty (workload: WorkloadState): number {
  return workload.spec.idempotent || workload.spec.kind === WorkloadKind.service ? 0 : 1
}

function excessMemoryMib (load: TaskLoad): number {
  return load.usage.memoryMib - load.workload.spec.resources.memoryMib
}
