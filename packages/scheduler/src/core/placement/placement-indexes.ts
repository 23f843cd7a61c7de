/**
 * The volatile indexes of the placement: the fleet, the demands, the queue and
 * the held resources. They are built from the replicated state and updated with
 * the decisions of all components.
 */

import type { Decision, DecisionOf } from '../../types/decisions.js'
import type { ClusterState } from '../../types/state.js'
import { computeEarliestStartAt, TaskPhase, type TaskState, type WorkloadState } from '../../types/workloads.js'
import { Demand } from './demand.js'
import { Fleet } from './fleet.js'
import { Headroom } from './headroom.js'
import { ResourceHolds } from './resource-holds.js'
import { QuotaAccounts } from './quota-accounts.js'
import { resolvePolicy } from './policy.js'
import { DemandQueue } from './demand-queue.js'
import type { RunTimeEstimates } from '../health/run-time-estimates.js'
import { type ReservationOptions, Reservations } from './reservations.js'
import { SchedulingClassTable } from './scheduling-classes.js'
import { TimerHeap } from './timer-heap.js'
import type { Allocation, Worker } from './worker.js'

/** A task whose retry backoff has not expired yet. */
interface Backoff { readonly demand: Demand, readonly index: number }

export class PlacementIndexes {
  readonly demands = new Map<string, Demand>()
  readonly fleet: Fleet
  readonly holds: ResourceHolds
  readonly headroom: Headroom
  readonly quotaAccounts: QuotaAccounts
  readonly schedulingClasses = SchedulingClassTable.create()
  readonly queue: DemandQueue
  readonly reservations: Reservations
  private readonly backoffs = TimerHeap.create<Backoff>()
  private nextArrivalOrder = 0

  private constructor (private readonly state: ClusterState, estimates: RunTimeEstimates, options: ReservationOptions) {
    this.fleet = Fleet.create(worker => this.handleFreeIncrease(worker))
    this.holds = ResourceHolds.create(this.fleet)
    this.headroom = Headroom.create(this.fleet)
    this.quotaAccounts = QuotaAccounts.create(this.fleet, state)
    this.queue = DemandQueue.create(this.quotaAccounts, this.schedulingClasses)
    this.reservations = Reservations.create(this.fleet, this.holds, this.quotaAccounts, estimates, options)
  }

  /** Builds the indexes from the replicated state. */
  static create (state: ClusterState, now: number, estimates: RunTimeEstimates, options: ReservationOptions): PlacementIndexes {
    const indexes = new PlacementIndexes(state, estimates, options)
    for (const target of state.targets.values()) indexes.fleet.putTarget(target, state)
    for (const workload of listByWaitingTime(state)) indexes.indexWorkload(workload, now)
    indexes.quotaAccounts.updateShares()
    return indexes
  }

  /** Updates the indexes after a decision was applied to the replicated state. */
  observe (decision: Decision, now: number): void {
    switch (decision.kind) {
      case 'workloadApplied': return this.handleWorkloadApplied(decision.id, now)
      case 'workloadStopping':
      case 'workloadEnded': return this.handleWorkloadClosed(decision.id)
      case 'workloadForgotten':
        this.handleWorkloadClosed(decision.id)
        this.demands.delete(decision.id)
        return
      case 'workloadDelayed': return this.handleWorkloadDelayed(decision.id, now)
      case 'taskPlaced': return this.handleTaskPlaced(decision, now)
      case 'taskStopping': return this.handleTaskStopping(decision)
      case 'taskEnded':
      case 'taskRequeued': return this.handleTaskReleased(decision, now)
      case 'targetAnnounced': return this.handleTargetChanged(decision.target.name)
      case 'targetPhaseSet': return this.handleTargetChanged(decision.name)
      case 'targetRemoved': return this.handleTargetChanged(decision.name)
      case 'targetDrained':
      case 'targetReadmitted': return this.handleTargetChanged(decision.name)
      case 'vmDrained':
      case 'vmReadmitted': return this.handleVmChanged(decision.vm)
      case 'teamPut': return this.queue.retryOverQuota(this.quotaAccounts.configure(decision.team))
      case 'policyPut': return this.handlePoliciesChanged()
    }
  }

  /** Releases expired headroom and enqueues the tasks whose retry backoff has expired. */
  processTimers (now: number): void {
    this.headroom.releaseExpired(now)
    for (;;) {
      const backoff = this.backoffs.popDue(now)
      if (backoff === undefined) return
      const { demand, index } = backoff
      const task = demand.workload.tasks[index]
      if (!demand.isDelayed(index) || task?.phase !== TaskPhase.waiting) continue
      this.indexWaitingTask(demand, task, now)
      this.updateQueue(demand)
    }
  }

  private handleFreeIncrease (worker: Worker): void {
    this.schedulingClasses.addCandidateWorker(worker)
    this.holds.addStartCandidates(worker)
  }

  private handleWorkloadApplied (id: string, now: number): void {
    const workload = this.state.workloads.get(id)
    if (workload === undefined) return
    this.handleWorkloadClosed(id)
    this.indexWorkload(workload, now)
  }

  private indexWorkload (workload: WorkloadState, now: number): void {
    const policy = resolvePolicy(this.state, workload.spec)
    const demand = this.demands.get(workload.id) ?? Demand.create(workload, policy, this.nextArrivalOrder++)
    this.demands.set(workload.id, demand)
    demand.workload = workload
    demand.policy = policy
    for (const task of workload.tasks) {
      if (task.phase === TaskPhase.waiting) this.indexWaitingTask(demand, task, now)
      else demand.removeWaiting(task.index)
      if (task.target !== '' && !demand.allocations.has(task.index)) this.addAllocation(demand, task, now)
    }
    this.updateQueue(demand)
  }

  private indexWaitingTask (demand: Demand, task: TaskState, now: number): void {
    const startAt = computeEarliestStartAt(demand.workload, task)
    if (startAt <= now) return demand.addWaiting(task.index)
    demand.addDelayed(task.index)
    this.backoffs.add(startAt, { demand, index: task.index })
  }

  /**
   * Adds a demand to the queue when a task of it, or the whole gang, may be placed now;
   * otherwise removes it. Releases holds that it no longer needs.
   */
  private updateQueue (demand: Demand): void {
    const isPlaceable = demand.waitingCount > 0 && (!demand.isGang || demand.isWholeGangWaiting)
    if (isPlaceable) this.queue.add(demand)
    else this.queue.remove(demand)
    if (demand.heldTaskCount > demand.waitingCount) this.holds.releaseExcess(demand)
  }

  private handleWorkloadClosed (id: string): void {
    const demand = this.demands.get(id)
    if (demand === undefined) return
    this.queue.remove(demand)
    this.reservations.cancel(demand)
    this.holds.releaseAll(demand)
  }

  private handleWorkloadDelayed (id: string, now: number): void {
    const demand = this.demands.get(id)
    if (demand === undefined) return
    for (const task of demand.listWaiting()) this.indexWaitingTask(demand, task, now)
    this.updateQueue(demand)
  }

  private handleTaskPlaced (decision: DecisionOf<'taskPlaced'>, now: number): void {
    const demand = this.demands.get(decision.id)
    const task = demand?.workload.tasks[decision.index]
    if (demand === undefined || task === undefined) return
    if (demand.classQueue !== undefined) demand.classQueue.lastPlacedAt = now
    demand.removeWaiting(task.index)
    this.addAllocation(demand, task, now)
    this.updateQueue(demand)
  }

  private handleTaskStopping (decision: DecisionOf<'taskStopping'>): void {
    const allocation = this.demands.get(decision.id)?.allocations.get(decision.index)
    if (allocation !== undefined) this.fleet.setStopping(allocation, true)
  }

  private handleTaskReleased (decision: DecisionOf<'taskEnded' | 'taskRequeued'>, now: number): void {
    const demand = this.demands.get(decision.id)
    if (demand === undefined) return
    const allocation = demand.allocations.get(decision.index)
    const task = demand.workload.tasks[decision.index]
    if (allocation !== undefined) {
      this.headroom.retain(allocation, now)
      this.removeAllocation(allocation)
    }
    if (task?.phase === TaskPhase.waiting) this.indexWaitingTask(demand, task, now)
    else demand.removeWaiting(decision.index)
    this.updateQueue(demand)
  }

  private addAllocation (demand: Demand, task: TaskState, now: number): void {
    const { spec } = demand.workload
    const allocation: Allocation = {
      demand,
      index: task.index,
      worker: this.fleet.get(task.target) ?? this.fleet.addGoneWorker(task.target),
      team: spec.team,
      declaredResources: spec.resources,
      size: spec.resources,
      placedAt: now,
      preemptibleUrgency: spec.preemptible ? spec.urgency : 0,
      isStopping: task.stopping !== ''
    }
    demand.addAllocation(allocation)
    this.fleet.addAllocation(allocation)
    this.quotaAccounts.charge(spec.team, allocation.declaredResources, 1)
    // A worker in the phase `probing` gets only one task, the probe.
    if (allocation.worker.target.phase === 'probing') this.fleet.setUsable(allocation.worker, false)
  }

  private removeAllocation (allocation: Allocation): void {
    const { demand } = allocation
    demand.removeAllocation(allocation)
    this.fleet.removeAllocation(allocation)
    this.queue.retryOverQuota(this.quotaAccounts.charge(allocation.team, allocation.declaredResources, -1))
    this.schedulingClasses.reopenLimited(demand)
  }

  private handleTargetChanged (name: string): void {
    const target = this.state.targets.get(name)
    const existing = this.fleet.get(name)
    if (target === undefined) this.fleet.remove(name)
    const worker = target === undefined ? existing : this.fleet.putTarget(target, this.state)
    if (worker !== undefined) this.releaseHoldsIfUnusable(worker)
    this.quotaAccounts.updateShares()
  }

  private handleVmChanged (vm: string): void {
    for (const worker of this.fleet.updateVm(vm, this.state)) this.releaseHoldsIfUnusable(worker)
  }

  private releaseHoldsIfUnusable (worker: Worker): void {
    if (worker.isUsable) return
    for (const owner of this.holds.releaseWorker(worker)) this.reservations.cancel(owner)
  }

  /** Queues all demands again, because the scheduling class of a demand depends on its policy. */
  private handlePoliciesChanged (): void {
    for (const demand of this.demands.values()) {
      this.queue.remove(demand)
      demand.policy = resolvePolicy(this.state, demand.workload.spec)
    }
    for (const demand of this.demands.values()) this.updateQueue(demand)
  }
}

/** Workloads sorted by the time since which their tasks wait, the longest wait first. */
function listByWaitingTime (state: ClusterState): WorkloadState[] {
  const getWaitingSince = (workload: WorkloadState): number => workload.tasks.reduce((earliest, task) => Math.min(earliest, task.waitingSince), Infinity)
  return Array.from(state.workloads.values())
    .map(workload => ({ workload, waitingSince: getWaitingSince(workload) }))
    .sort((one, other) => one.waitingSince - other.waitingSince)
    .map(({ workload }) => workload)
}
