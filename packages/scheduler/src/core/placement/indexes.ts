/**
 * The volatile indexes of the placement: the fleet, the demands, the queue and
 * the room that is held. They are built from the durable state and kept by the
 * decisions of all parts.
 */

import type { Decision, DecisionOf } from '../../types/decisions.js'
import type { ClusterState } from '../../types/state.js'
import { startableAt, TaskPhase, type TaskState, type WorkloadState } from '../../types/workloads.js'
import { Demand } from './demand.js'
import { Fleet } from './fleet.js'
import { Headroom } from './headroom.js'
import { Holds } from './holds.js'
import { Ledger } from './ledger.js'
import { resolvePolicy } from './policy.js'
import { Queue } from './queue.js'
import type { Estimates } from '../health/estimates.js'
import { type ReservationOptions, Reservations } from './reservations.js'
import { ShapeBook } from './shapes.js'
import { Timers } from './timers.js'
import type { Holding, Worker } from './worker.js'

interface Backoff { readonly demand: Demand, readonly index: number }

export class Indexes {
  readonly demands = new Map<string, Demand>()
  readonly fleet: Fleet
  readonly holds: Holds
  readonly headroom: Headroom
  readonly ledger: Ledger
  readonly shapes = ShapeBook.create()
  readonly queue: Queue
  readonly reservations: Reservations
  private readonly backoffs = Timers.create<Backoff>()
  private arrivals = 0

  private constructor (private readonly state: ClusterState, estimates: Estimates, options: ReservationOptions) {
    this.fleet = Fleet.create(worker => this.takeRoom(worker))
    this.holds = Holds.create(this.fleet)
    this.headroom = Headroom.create(this.fleet)
    this.ledger = Ledger.create(this.fleet, state)
    this.queue = Queue.create(this.ledger, this.shapes)
    this.reservations = Reservations.create(this.fleet, this.holds, this.ledger, estimates, options)
  }

  /** Builds the indexes from the durable state. */
  static create (state: ClusterState, now: number, estimates: Estimates, options: ReservationOptions): Indexes {
    const indexes = new Indexes(state, estimates, options)
    for (const target of state.targets.values()) indexes.fleet.put(target, state)
    for (const workload of listByAge(state)) indexes.takeWorkload(workload, now)
    indexes.ledger.updateShares()
    return indexes
  }

  observe (decision: Decision, now: number): void {
    switch (decision.kind) {
      case 'workloadApplied': return this.applied(decision.id, now)
      case 'workloadStopping':
      case 'workloadEnded': return this.closed(decision.id)
      case 'workloadForgotten':
        this.closed(decision.id)
        this.demands.delete(decision.id)
        return
      case 'workloadDelayed': return this.delayed(decision.id, now)
      case 'taskPlaced': return this.placed(decision, now)
      case 'taskStopping': return this.stopping(decision)
      case 'taskEnded':
      case 'taskRequeued': return this.over(decision, now)
      case 'targetAnnounced': return this.changedTarget(decision.target.name)
      case 'targetPhaseSet': return this.changedTarget(decision.name)
      case 'targetRemoved': return this.changedTarget(decision.name)
      case 'targetDrained':
      case 'targetReadmitted': return this.changedTarget(decision.name)
      case 'vmDrained':
      case 'vmReadmitted': return this.changedVm(decision.vm)
      case 'teamPut': return this.queue.reopenQuota(this.ledger.configure(decision.team))
      case 'policyPut': return this.changedPolicies()
    }
  }

  /** Puts tasks whose back-off is over back in line. */
  wake (now: number): void {
    this.headroom.expire(now)
    for (;;) {
      const backoff = this.backoffs.take(now)
      if (backoff === undefined) return
      const { demand, index } = backoff
      const task = demand.workload.tasks[index]
      if (!demand.isDelayed(index) || task?.phase !== TaskPhase.waiting) continue
      this.takeWaiting(demand, task, now)
      this.enqueue(demand)
    }
  }

  private takeRoom (worker: Worker): void {
    this.shapes.addRoom(worker)
    this.holds.addRoom(worker)
  }

  private applied (id: string, now: number): void {
    const workload = this.state.workloads.get(id)
    if (workload === undefined) return
    this.closed(id)
    this.takeWorkload(workload, now)
  }

  private takeWorkload (workload: WorkloadState, now: number): void {
    const policy = resolvePolicy(this.state, workload.spec)
    const demand = this.demands.get(workload.id) ?? Demand.create(workload, policy, this.arrivals++)
    this.demands.set(workload.id, demand)
    demand.workload = workload
    demand.policy = policy
    for (const task of workload.tasks) {
      if (task.phase === TaskPhase.waiting) this.takeWaiting(demand, task, now)
      else demand.removeWaiting(task.index)
      if (task.target !== '' && !demand.holdings.has(task.index)) this.hold(demand, task, now)
    }
    this.enqueue(demand)
  }

  private takeWaiting (demand: Demand, task: TaskState, now: number): void {
    const at = startableAt(demand.workload, task)
    if (at <= now) return demand.addWaiting(task.index)
    demand.addDelayed(task.index)
    this.backoffs.add(at, { demand, index: task.index })
  }

  /** Lets a demand stand in line exactly while something of it can be placed. */
  private enqueue (demand: Demand): void {
    const isPlaceable = demand.waitingCount > 0 && (!demand.isGang || demand.isWholeGang)
    if (isPlaceable) this.queue.add(demand)
    else this.queue.remove(demand)
    if (demand.heldCount > demand.waitingCount) this.holds.trim(demand)
  }

  private closed (id: string): void {
    const demand = this.demands.get(id)
    if (demand === undefined) return
    this.queue.remove(demand)
    this.reservations.cancel(demand)
    this.holds.releaseAll(demand)
  }

  private delayed (id: string, now: number): void {
    const demand = this.demands.get(id)
    if (demand === undefined) return
    for (const task of demand.listWaiting()) this.takeWaiting(demand, task, now)
    this.enqueue(demand)
  }

  private placed (decision: DecisionOf<'taskPlaced'>, now: number): void {
    const demand = this.demands.get(decision.id)
    const task = demand?.workload.tasks[decision.index]
    if (demand === undefined || task === undefined) return
    if (demand.line !== undefined) demand.line.lastPlacedAt = now
    demand.removeWaiting(task.index)
    this.hold(demand, task, now)
    this.enqueue(demand)
  }

  private stopping (decision: DecisionOf<'taskStopping'>): void {
    const holding = this.demands.get(decision.id)?.holdings.get(decision.index)
    if (holding !== undefined) this.fleet.setStopping(holding, true)
  }

  private over (decision: DecisionOf<'taskEnded' | 'taskRequeued'>, now: number): void {
    const demand = this.demands.get(decision.id)
    if (demand === undefined) return
    const holding = demand.holdings.get(decision.index)
    const task = demand.workload.tasks[decision.index]
    if (holding !== undefined) {
      this.headroom.keep(holding, now)
      this.drop(holding)
    }
    if (task?.phase === TaskPhase.waiting) this.takeWaiting(demand, task, now)
    else demand.removeWaiting(decision.index)
    this.enqueue(demand)
  }

  private hold (demand: Demand, task: TaskState, now: number): void {
    const { spec } = demand.workload
    const holding: Holding = {
      demand,
      index: task.index,
      worker: this.fleet.get(task.target) ?? this.fleet.putGone(task.target),
      team: spec.team,
      declared: spec.resources,
      size: spec.resources,
      since: now,
      rank: spec.preemptible ? spec.urgency : 0,
      stopping: task.stopping !== ''
    }
    demand.addHolding(holding)
    this.fleet.reserve(holding)
    this.ledger.charge(spec.team, holding.declared, 1)
    // A worker on probation takes one task only.
    if (holding.worker.target.phase === 'probing') this.fleet.setUsable(holding.worker, false)
  }

  private drop (holding: Holding): void {
    const { demand } = holding
    demand.removeHolding(holding)
    this.fleet.release(holding)
    this.queue.reopenQuota(this.ledger.charge(holding.team, holding.declared, -1))
    this.shapes.openLimited(demand)
  }

  private changedTarget (name: string): void {
    const target = this.state.targets.get(name)
    const known = this.fleet.get(name)
    if (target === undefined) this.fleet.remove(name)
    const worker = target === undefined ? known : this.fleet.put(target, this.state)
    if (worker !== undefined) this.changedUse(worker)
    this.ledger.updateShares()
  }

  private changedVm (vm: string): void {
    for (const worker of this.fleet.refreshVm(vm, this.state)) this.changedUse(worker)
  }

  private changedUse (worker: Worker): void {
    if (worker.usable) return
    for (const owner of this.holds.releaseWorker(worker)) this.reservations.cancel(owner)
  }

  private changedPolicies (): void {
    for (const demand of this.demands.values()) {
      this.queue.remove(demand)
      demand.policy = resolvePolicy(this.state, demand.workload.spec)
    }
    for (const demand of this.demands.values()) this.enqueue(demand)
  }
}

/** Workloads in the order in which they began to wait. */
function listByAge (state: ClusterState): WorkloadState[] {
  const since = (workload: WorkloadState): number => workload.tasks.reduce((least, task) => Math.min(least, task.waitingSince), Infinity)
  return Array.from(state.workloads.values())
    .map(workload => ({ workload, at: since(workload) }))
    .sort((one, other) => one.at - other.at)
    .map(({ workload }) => workload)
}
