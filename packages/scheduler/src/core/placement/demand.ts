/**
 * Demands: what the placement knows of each workload beyond the durable state:
 * which tasks wait, which hold room on a worker, and how they are spread.
 */

import type { Resources } from '../../types/resources.js'
import { TaskPhase, Urgency, WorkloadKind, type TaskState, type WorkloadState } from '../../types/workloads.js'
import { isZoneAllowed } from './feasibility.js'
import type { EffectivePolicy } from './policy.js'
import type { ShapeLine } from './lines.js'
import type { Hold, Holding, Worker } from './worker.js'

export class Demand {
  readonly holdings = new Map<number, Holding>()
  /** Room kept for waiting tasks. */
  readonly holds = new Map<Worker, Hold>()
  heldCount = 0
  /** Where it stands in the queue; undefined while nothing of it waits there. */
  line: ShapeLine | undefined
  /** Tasks that were preempted, with how often; they preempt nobody themselves. */
  readonly preempted = new Map<number, number>()
  private queue: number[] = []
  private head = 0
  private readonly waiting = new Set<number>()
  /** Tasks that wait for the end of their back-off. */
  private readonly delayed = new Set<number>()
  private readonly perVm = new Map<string, number>()
  private readonly perRack = new Map<string, number>()
  private readonly perZone = new Map<string, number>()

  private constructor (
    public workload: WorkloadState,
    public policy: EffectivePolicy,
    /** Order of arrival. */
    readonly order: number
  ) {}

  static create (workload: WorkloadState, policy: EffectivePolicy, order: number): Demand {
    return new Demand(workload, policy, order)
  }

  get id (): string {
    return this.workload.id
  }

  get need (): Resources {
    return this.workload.spec.resources
  }

  get isGang (): boolean {
    return this.workload.spec.kind === WorkloadKind.gang
  }

  /** Tasks that wait and may be placed now. */
  get waitingCount (): number {
    return this.isClosed ? 0 : this.waiting.size
  }

  get delayedCount (): number {
    return this.delayed.size
  }

  /** True once no task of it may start any more. */
  get isClosed (): boolean {
    return this.workload.ended || this.workload.stopping !== ''
  }

  /** When the task that goes next began to wait; Infinity when none waits. */
  get waitingSince (): number {
    return this.nextWaiting()?.waitingSince ?? Infinity
  }

  /** Tasks that wait and were not preempted: only for them may others be preempted. */
  get preemptorCount (): number {
    let displaced = 0
    for (const index of this.preempted.keys()) {
      if (this.waiting.has(index)) displaced += 1
    }
    return Math.max(0, this.waitingCount - displaced)
  }

  /** True when all of a gang waits, so that it may be placed as a whole. */
  get isWholeGang (): boolean {
    return this.waiting.size === this.workload.spec.taskCount
  }

  /** Notes that a task waits; telling twice is once. */
  addWaiting (index: number): void {
    this.delayed.delete(index)
    if (this.waiting.has(index)) return
    this.waiting.add(index)
    this.queue.push(index)
  }

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

  /** The first task that waits. */
  nextWaiting (): TaskState | undefined {
    while (this.head < this.queue.length) {
      const index = this.queue[this.head]
      const task = this.workload.tasks[index]
      if (this.waiting.has(index) && task?.phase === TaskPhase.waiting) return task
      this.head += 1
    }
    this.queue = []
    this.head = 0
    return undefined
  }

  listWaiting (): TaskState[] {
    return Array.from(this.waiting, index => this.workload.tasks[index])
  }

  addHolding (holding: Holding): void {
    this.holdings.set(holding.index, holding)
    this.countPlace(holding.worker, 1)
  }

  removeHolding (holding: Holding): void {
    this.holdings.delete(holding.index)
    this.countPlace(holding.worker, -1)
  }

  /** Counts tasks for the limits of the policy and for spreading. */
  countPlace (worker: Worker, by: number): void {
    const { vm, rack, availabilityZone } = worker.target
    count(this.perVm, vm, by)
    count(this.perRack, rack, by)
    count(this.perZone, availabilityZone, by)
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
    const { vm, rack, availabilityZone, phase } = worker.target
    if (!isZoneAllowed(this.workload.spec, availabilityZone)) return false
    if (phase !== 'ready' && !this.isProbe) return false
    if (this.policy.maxPerVm > 0 && this.countOnVm(vm) >= this.policy.maxPerVm) return false
    return this.policy.maxPerRack === 0 || this.countInRack(rack) < this.policy.maxPerRack
  }

  /** True when its tasks may try out a worker that failed others. */
  get isProbe (): boolean {
    return this.workload.spec.kind === WorkloadKind.batch && this.workload.spec.urgency !== Urgency.urgent
  }
}

function count (counts: Map<string, number>, key: string, by: number): void {
  const next = (counts.get(key) ?? 0) + by
  if (next > 0) counts.set(key, next)
  else counts.delete(key)
}
