/**
 * A demand is the volatile placement data of one workload: the tasks that wait,
 * the tasks with an allocation on a worker, the resources held for it, and the
 * distribution of its tasks over VMs, racks and availability zones.
 */

import type { Resources } from '../../types/resources.js'
import { TaskPhase, Urgency, WorkloadKind, type TaskState, type WorkloadState } from '../../types/workloads.js'
import { isZoneAllowed } from './feasibility.js'
import type { EffectivePolicy } from './policy.js'
import type { ClassQueue } from './class-queue.js'
import type { ResourceHold, Allocation, Worker } from './worker.js'

export class Demand {
  /** Allocations by index of the task. */
  readonly allocations = new Map<number, Allocation>()
  /** Resources held for waiting tasks. */
  readonly holds = new Map<Worker, ResourceHold>()
  /** Number of tasks for which resources are held. */
  heldTaskCount = 0
  /** Class queue that contains the demand; undefined while it is not queued. */
  classQueue: ClassQueue | undefined
  /** Number of preemptions by index of the task. A preempted task does not preempt others. */
  readonly preemptionCounts = new Map<number, number>()
  /** Task indexes in the order in which they began to wait; includes some that no longer wait. */
  private waitingOrder: number[] = []
  /** Index in `waitingOrder` before which no task can be placed. */
  private head = 0
  /** Indexes of the tasks that wait and may be placed now. */
  private readonly waiting = new Set<number>()
  /** Indexes of the waiting tasks whose retry backoff has not expired. */
  private readonly delayed = new Set<number>()
  private readonly taskCountByVm = new Map<string, number>()
  private readonly taskCountByRack = new Map<string, number>()
  private readonly taskCountByZone = new Map<string, number>()

  private constructor (
    public workload: WorkloadState,
    public policy: EffectivePolicy,
    /** Sequence number of the arrival. */
    readonly arrivalOrder: number
  ) {}

  static create (workload: WorkloadState, policy: EffectivePolicy, order: number): Demand {
    return new Demand(workload, policy, order)
  }

  get id (): string {
    return this.workload.id
  }

  /** Declared resources of one task. */
  get need (): Resources {
    return this.workload.spec.resources
  }

  get isGang (): boolean {
    return this.workload.spec.kind === WorkloadKind.gang
  }

  /** Number of tasks that wait and may be placed now. */
  get waitingCount (): number {
    return this.isClosed ? 0 : this.waiting.size
  }

  get delayedCount (): number {
    return this.delayed.size
  }

  /** True once no further task of the workload may start. */
  get isClosed (): boolean {
    return this.workload.ended || this.workload.stopping !== ''
  }

  /** Cluster time in milliseconds at which the next task to place began to wait; Infinity when none waits. */
  get waitingSince (): number {
    return this.findFirstWaiting()?.waitingSince ?? Infinity
  }

  /** Number of waiting tasks that were never preempted; other work may be preempted only for these. */
  get preemptingTaskCount (): number {
    let preemptedWaiting = 0
    for (const index of this.preemptionCounts.keys()) {
      if (this.waiting.has(index)) preemptedWaiting += 1
    }
    return Math.max(0, this.waitingCount - preemptedWaiting)
  }

  /** True when all tasks of a gang wait, so that it can be placed as a whole. */
  get isWholeGangWaiting (): boolean {
    return this.waiting.size === this.workload.spec.taskCount
  }

  /** Records that a task waits and may be placed; has no effect when that is recorded already. */
  addWaiting (index: number): void {
    this.delayed.delete(index)
    if (this.waiting.has(index)) return
    this.waiting.add(index)
    this.waitingOrder.push(index)
  }

  /** Records that a task waits for the end of its retry backoff. */
  addDelayed (index: number): void {
    this.waiting.delete(index)
    this.delayed.add(index)
  }

  isDelayed (index: number): boolean {
    return this.delayed.has(index)
  }

  removeWaiting (index: number): void {
    this.waiting.delete(index)
    this.delayed.delete(index)
  }

  /** The first task that may be placed, in the order in which they began to wait; undefined when there is none. */
  findFirstWaiting (): TaskState | undefined {
    while (this.head < this.waitingOrder.length) {
      const index = this.waitingOrder[this.head]
      const task = this.workload.tasks[index]
      if (this.waiting.has(index) && task?.phase === TaskPhase.waiting) return task
      this.head += 1
    }
    this.waitingOrder = []
    this.head = 0
    return undefined
  }

  listWaiting (): TaskState[] {
    return Array.from(this.waiting, index => this.workload.tasks[index])
  }

  addAllocation (allocation: Allocation): void {
    this.allocations.set(allocation.index, allocation)
    this.adjustTaskCounts(allocation.worker, 1)
  }

  removeAllocation (allocation: Allocation): void {
    this.allocations.delete(allocation.index)
    this.adjustTaskCounts(allocation.worker, -1)
  }

  /**
   * Changes the number of tasks on the VM, in the rack and in the availability zone of a
   * worker. The policy limits and the spread strategy use these counts. They include the tasks
   * for which resources are held and those that are placed tentatively.
   */
  adjustTaskCounts (worker: Worker, change: number): void {
    const { vm, rack, availabilityZone } = worker.target
    adjustCount(this.taskCountByVm, vm, change)
    adjustCount(this.taskCountByRack, rack, change)
    adjustCount(this.taskCountByZone, availabilityZone, change)
  }

  countOnVm (vm: string): number {
    return this.taskCountByVm.get(vm) ?? 0
  }

  countInRack (rack: string): number {
    return this.taskCountByRack.get(rack) ?? 0
  }

  countInZone (availabilityZone: string): number {
    return this.taskCountByZone.get(availabilityZone) ?? 0
  }

  /**
   * True when the allowed availability zones, the phase of the worker and the limits of the
   * policy permit one more task on it. Free resources are not checked.
   */
  isWorkerAllowed (worker: Worker): boolean {
    const { vm, rack, availabilityZone, phase } = worker.target
    if (!isZoneAllowed(this.workload.spec, availabilityZone)) return false
    if (phase !== 'ready' && !this.canBeProbe) return false
    if (this.policy.maxPerVm > 0 && this.countOnVm(vm) >= this.policy.maxPerVm) return false
    return this.policy.maxPerRack === 0 || this.countInRack(rack) < this.policy.maxPerRack
  }

  /** True when its tasks may run on a suspect worker as a probe, that is, on one in the phase `probing`. */
  get canBeProbe (): boolean {
    return this.workload.spec.kind === WorkloadKind.batch && this.workload.spec.urgency !== Urgency.urgent
  }
}

function adjustCount (counts: Map<string, number>, key: string, change: number): void {
  const next = (counts.get(key) ?? 0) + change
  if (next > 0) counts.set(key, next)
  else counts.delete(key)
}
