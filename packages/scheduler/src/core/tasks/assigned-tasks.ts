/**
 * Index of the task attempts that are assigned to workers, by task and by worker.
 * It is volatile; a new leader rebuilds it from the replicated state.
 */

import type { ClusterState } from '../../types/state.js'
import { isAssigned, createTaskKey } from '../../types/workloads.js'

export interface AssignedTask {
  /** `workload id/index`. */
  key: string
  /** Id of the workload. */
  id: string
  index: number
  attempt: number
  /** Name of the worker. */
  target: string
  /** Session of the worker at the time of the assignment. */
  session: string
  /** Cluster time at which the worker last confirmed the attempt, in milliseconds. */
  confirmedAt: number
}

const NO_TASKS: ReadonlyMap<string, AssignedTask> = new Map()

export class AssignedTasks {
  private readonly byKey = new Map<string, AssignedTask>()
  private readonly byTarget = new Map<string, Map<string, AssignedTask>>()

  private constructor () {}

  static create (): AssignedTasks {
    return new AssignedTasks()
  }

  /** Rebuilds the index from a state; all of its assigned tasks count as confirmed now. */
  rebuild (state: ClusterState, now: number): void {
    this.byKey.clear()
    this.byTarget.clear()
    for (const workload of state.workloads.values()) {
      for (const task of workload.tasks) {
        if (!isAssigned(task)) continue
        const { index, attempt, target, session } = task
        this.add({ key: createTaskKey(workload.id, index), id: workload.id, index, attempt, target, session, confirmedAt: now })
      }
    }
  }

  add (assigned: AssignedTask): void {
    this.byKey.set(assigned.key, assigned)
    const onTarget = this.byTarget.get(assigned.target)
    if (onTarget === undefined) this.byTarget.set(assigned.target, new Map([[assigned.key, assigned]]))
    else onTarget.set(assigned.key, assigned)
  }

  remove (key: string): void {
    const assigned = this.byKey.get(key)
    if (assigned === undefined) return
    this.byKey.delete(key)
    const onTarget = this.byTarget.get(assigned.target)
    onTarget?.delete(key)
    if (onTarget?.size === 0) this.byTarget.delete(assigned.target)
  }

  get (key: string): AssignedTask | undefined {
    return this.byKey.get(key)
  }

  /** The attempt that a worker reports; undefined when it is not assigned to that worker. */
  findAttempt (target: string, key: string, attempt: number): AssignedTask | undefined {
    const assigned = this.byKey.get(key)
    return assigned?.target === target && assigned.attempt === attempt ? assigned : undefined
  }

  /** Tasks assigned to a worker, by key; empty when there are none. */
  getByTarget (target: string): ReadonlyMap<string, AssignedTask> {
    return this.byTarget.get(target) ?? NO_TASKS
  }

  listTargets (): IterableIterator<string> {
    return this.byTarget.keys()
  }
}
