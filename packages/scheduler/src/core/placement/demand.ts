/**
 * Demands: what the placement knows of each workload beyond the durable state:
 * which tasks wait, which hold room on a worker, and how they are spread.
 */

import type { Resources } from '../../types/resources.js'
import { startableAt, TaskPhase, type TaskState, type WorkloadState } from '../../types/workloads.js'
import { isZoneAllowed } from './feasibility.js'
import type { Worker } from './fleet.js'
import type { EffectivePolicy } from './policy.js'

/** Room that one attempt of a task holds on a worker until its end is decided. */
export interface Holding {
  readonly demand: Demand
  readonly index: number
  readonly worker: Worker
  /** Room reserved, at least what was declared. */
  size: Resources
  /** When it was placed, in milliseconds of cluster time. */
  readonly since: number
}

export class Demand {
  readonly holdings = new Map<number, Holding>()
  /** Order of arrival. */
  readonly order: number
  workload: WorkloadState
  policy: EffectivePolicy
  private queue: number[] = []
  private head = 0
  private readonly waitingTasks = new Set<number>()
  private readonly perVm = new Map<string, number>()
  private readonly perRack = new Map<string, number>()
  private readonly perZone = new Map<string, number>()

  private constructor (workload: WorkloadState, policy: EffectivePolicy, order: number) {
    this.workload = workload
    this.policy = policy
    this.order = order
  }

  static create (workload: WorkloadState, policy: EffectivePolicy, order: number): Demand {
    return new Demand(workload, policy, order)
  }

  get id (): string {
    return this.workload.id
  }

  get need (): Resources {
    return this.workload.spec.resources
  }

  get waitingCount (): number {
    return this.workload.ended ? 0 : this.waitingTasks.size
  }

  /** Notes that a task waits; telling twice is once. */
  addWaiting (index: number): void {
    if (this.waitingTasks.has(index)) return
    this.waitingTasks.add(index)
    this.queue.push(index)
  }

  removeWaiting (index: number): void {
    this.waitingTasks.delete(index)
  }

  /** The first task that waits and whose back-off is over, or undefined. */
  nextWaiting (now: number): TaskState | undefined {
    this.dropStale()
    for (let at = this.head; at < this.queue.length; at += 1) {
      const index = this.queue[at]
      if (!this.waitingTasks.has(index)) continue
      const task = this.workload.tasks[index]
      if (task.phase === TaskPhase.waiting && isDue(this.workload, task, now)) return task
    }
    return undefined
  }

  /** All tasks that wait, due or not. */
  listWaiting (): TaskState[] {
    return Array.from(this.waitingTasks, index => this.workload.tasks[index])
  }

  /** Notes that a task took room on a worker. */
  addHolding (holding: Holding): void {
    const { vm, rack, availabilityZone } = holding.worker.target
    this.holdings.set(holding.index, holding)
    count(this.perVm, vm, 1)
    count(this.perRack, rack, 1)
    count(this.perZone, availabilityZone, 1)
  }

  /** Notes that the room of a task is free again. */
  removeHolding (holding: Holding): void {
    const { vm, rack, availabilityZone } = holding.worker.target
    this.holdings.delete(holding.index)
    count(this.perVm, vm, -1)
    count(this.perRack, rack, -1)
    count(this.perZone, availabilityZone, -1)
  }

  countOnVm (vm: string): number {
    return this.perVm.get(vm) ?? 0
  }

  countInRack (rack: string): number {
    return this.perRack.get(rack) ?? 0
  }

  countInZone (availabilityZone: string): number {
    return this.perZone.get(availabilityZone) ?? 0
  }

  /** True when zones and the limits of the policy let one more task onto the worker. */
  isAllowed (worker: Worker): boolean {
    const { vm, rack, availabilityZone } = worker.target
    if (!isZoneAllowed(this.workload.spec, availabilityZone)) return false
    if (this.policy.maxPerVm > 0 && this.countOnVm(vm) >= this.policy.maxPerVm) return false
    return this.policy.maxPerRack === 0 || this.countInRack(rack) < this.policy.maxPerRack
  }

  private dropStale (): void {
    while (this.head < this.queue.length && !this.waitingTasks.has(this.queue[this.head])) this.head += 1
    if (this.head < 1_000 || this.head * 2 < this.queue.length) return
    this.queue = this.queue.slice(this.head)
    this.head = 0
  }
}

/** True when the back-off of a waiting task is over. */
export function isDue (workload: WorkloadState, task: TaskState, now: number): boolean {
  return startableAt(workload, task) <= now
}

function count (counts: Map<string, number>, key: string, by: number): void {
  const next = (counts.get(key) ?? 0) + by
  if (next > 0) counts.set(key, next)
  else counts.delete(key)
}
