/**
 * Index of the tasks that workers hold, by task and by worker. Volatile; rebuilt
 * from the state by a new leader.
 */

import type { ClusterState } from '../../types/state.js'
import { isHeld, taskKey } from '../../types/workloads.js'

export interface HeldTask {
  /** `workload id/index` */
  key: string
  id: string
  index: number
  attempt: number
  target: string
  session: string
  /** When its worker last showed that it knows the attempt, in milliseconds. */
  seenAt: number
}

const NONE: ReadonlyMap<string, HeldTask> = new Map()

export class HeldTasks {
  private readonly byKey = new Map<string, HeldTask>()
  private readonly byTarget = new Map<string, Map<string, HeldTask>>()

  private constructor () {}

  static create (): HeldTasks {
    return new HeldTasks()
  }

  /** Reads the held tasks anew from the state. */
  rebuild (state: ClusterState, now: number): void {
    this.byKey.clear()
    this.byTarget.clear()
    for (const workload of state.workloads.values()) {
      for (const task of workload.tasks) {
        if (!isHeld(task)) continue
        const { index, attempt, target, session } = task
        this.add({ key: taskKey(workload.id, index), id: workload.id, index, attempt, target, session, seenAt: now })
      }
    }
  }

  add (held: HeldTask): void {
    this.byKey.set(held.key, held)
    const onTarget = this.byTarget.get(held.target)
    if (onTarget === undefined) this.byTarget.set(held.target, new Map([[held.key, held]]))
    else onTarget.set(held.key, held)
  }

  remove (key: string): void {
    const held = this.byKey.get(key)
    if (held === undefined) return
    this.byKey.delete(key)
    const onTarget = this.byTarget.get(held.target)
    onTarget?.delete(key)
    if (onTarget?.size === 0) this.byTarget.delete(held.target)
  }

  get (key: string): HeldTask | undefined {
    return this.byKey.get(key)
  }

  /** The held attempt that a worker speaks of; undefined when it should not hold it. */
  find (target: string, key: string, attempt: number): HeldTask | undefined {
    const held = this.byKey.get(key)
    return held?.target === target && held.attempt === attempt ? held : undefined
  }

  on (target: string): ReadonlyMap<string, HeldTask> {
    return this.byTarget.get(target) ?? NONE
  }

  targets (): IterableIterator<string> {
    return this.byTarget.keys()
  }
}
