/**
 * The placement of waiting tasks on workers. It keeps volatile indexes of
 * workers and demands, built from the durable state and kept by the decisions
 * that it observes, and decides `taskPlaced` once each event was handled.
 */

import type { Decision } from '../../types/decisions.js'
import type { Event, EventKind } from '../../types/events.js'
import type { ClusterState } from '../../types/state.js'
import { TaskPhase, WorkloadKind, type TaskState, type WorkloadState } from '../../types/workloads.js'
import { ErrorKind } from '../../utils/errors.js'
import { Part } from '../part.js'
import type { Step } from '../step.js'
import { Demand, isDue, type Holding } from './demand.js'
import { checkFeasible } from './feasibility.js'
import { Fleet, type Worker } from './fleet.js'
import { resolvePolicy } from './policy.js'
import { copySize, createSize, addSize } from './sizes.js'

export interface PlacementOptions {
  /** Most tasks placed after one event; the rest follow after the next. */
  placementsPerStep?: number
}

const DEFAULT_PLACEMENTS_PER_STEP = 400

export class Placement extends Part {
  override readonly handles: readonly EventKind[] = ['explain']
  private fleet = Fleet.create()
  private demands = new Map<string, Demand>()
  private used = new Map<string, ReturnType<typeof createSize>>()
  private arrivals = 0
  private dirty = true

  private constructor (private readonly placementsPerStep: number) {
    super()
  }

  static create (options: PlacementOptions = {}): Placement {
    return new Placement(options.placementsPerStep ?? DEFAULT_PLACEMENTS_PER_STEP)
  }

  override reset (state: ClusterState, now: number): void {
    this.fleet = Fleet.create()
    this.demands = new Map()
    this.used = new Map()
    for (const target of state.targets.values()) this.fleet.put(target, state)
    for (const workload of state.workloads.values()) this.takeWorkload(workload, state, now)
    this.dirty = true
  }

  override handle (event: Event, step: Step): void {
    if (event.kind !== 'explain') return
    const workload = step.state.workloads.get(event.id)
    if (workload === undefined) {
      step.refuse(event.call, ErrorKind.notFound, `no workload ${event.id}`)
      return
    }
    const reason = checkFeasible(step.state, workload.spec)
    const waiting = this.demands.get(event.id)?.waitingCount ?? 0
    const summary = reason !== '' ? reason : `${waiting} tasks wait`
    step.reply(event.call, { kind: 'explained', summary, constraints: [] })
  }

  override observe (decision: Decision, state: ClusterState, now: number): void {
    this.dirty = true
    switch (decision.kind) {
      case 'workloadApplied': {
        const workload = state.workloads.get(decision.id)
        if (workload !== undefined) this.takeWorkload(workload, state, now)
        return
      }
      case 'workloadForgotten': this.demands.delete(decision.id); return
      case 'taskPlaced': return this.takePlaced(decision.id, decision.index, decision.target, now)
      case 'taskEnded': return this.takeOver(decision.id, decision.index)
      case 'taskRequeued': return this.takeOver(decision.id, decision.index)
      case 'targetAnnounced': this.fleet.put(decision.target, state); return
      case 'targetPhaseSet': {
        const target = state.targets.get(decision.name)
        if (target !== undefined) this.fleet.put(target, state)
        return
      }
      case 'targetRemoved': if (!state.targets.has(decision.name)) this.fleet.remove(decision.name); return
      case 'vmDrained': return this.fleet.refreshVm(decision.vm, state)
      case 'vmReadmitted': return this.fleet.refreshVm(decision.vm, state)
      case 'policyPut':
        for (const demand of this.demands.values()) demand.policy = resolvePolicy(state, demand.workload.spec)
    }
  }

  override tick (): void {
    this.dirty = true
  }

  override settle (step: Step): void {
    if (!this.dirty) return
    this.dirty = false
    let left = this.placementsPerStep
    for (const demand of this.listInOrder()) {
      if (left <= 0) break
      left -= demand.workload.spec.kind === WorkloadKind.gang
        ? this.placeGang(demand, step)
        : this.placeTasks(demand, step, left)
    }
    this.dirty = left <= 0
  }

  private listInOrder (): Demand[] {
    const waiting = Array.from(this.demands.values()).filter(demand => demand.waitingCount > 0)
    return waiting.sort((one, other) =>
      other.workload.spec.urgency - one.workload.spec.urgency ||
      other.workload.spec.priority - one.workload.spec.priority ||
      one.order - other.order)
  }

  private placeTasks (demand: Demand, step: Step, most: number): number {
    let placed = 0
    while (placed < most) {
      const task = demand.nextWaiting(step.now)
      if (task === undefined) break
      const worker = this.findWorker(demand)
      if (worker === undefined) break
      this.decide(demand, task, worker, step)
      placed += 1
    }
    return placed
  }

  private placeGang (demand: Demand, step: Step): number {
    const tasks = demand.listWaiting()
    // A gang that starts over waits until its last task is over.
    if (tasks.length < demand.workload.spec.taskCount) return 0
    if (!tasks.every(task => isDue(demand.workload, task, step.now))) return 0
    const plan = this.planGang(demand, tasks)
    if (plan === undefined) return 0
    for (const [at, task] of tasks.entries()) this.decide(demand, task, plan[at], step)
    return tasks.length
  }

  /** Reserves room for one task after another, and gives all of it back. */
  private planGang (demand: Demand, tasks: readonly TaskState[]): Worker[] | undefined {
    const held: Holding[] = []
    for (const task of tasks) {
      const worker = this.findWorker(demand)
      if (worker === undefined) break
      held.push(this.hold(demand, task.index, worker, 0))
    }
    for (const holding of held) this.drop(holding)
    return held.length === tasks.length ? held.map(holding => holding.worker) : undefined
  }

  private findWorker (demand: Demand): Worker | undefined {
    if (!this.isWithinQuota(demand)) return undefined
    return this.fleet.workers.find(worker => worker.hasRoom(demand.need) && demand.isAllowed(worker))
  }

  private isWithinQuota (demand: Demand): boolean {
    const quota = this.quotas?.get(demand.workload.spec.team)?.quota
    if (quota === undefined) return true
    const used = this.usedBy(demand.workload.spec.team)
    return isUnder(used.millicores + demand.need.millicores, quota.millicores) &&
      isUnder(used.memoryMib + demand.need.memoryMib, quota.memoryMib) &&
      isUnder(used.accelerators + demand.need.accelerators, quota.accelerators)
  }

  private quotas: ClusterState['teams'] | undefined

  private usedBy (team: string): ReturnType<typeof createSize> {
    let used = this.used.get(team)
    if (used === undefined) this.used.set(team, used = createSize())
    return used
  }

  private decide (demand: Demand, task: TaskState, worker: Worker, step: Step): void {
    step.decide({
      kind: 'taskPlaced',
      id: demand.id,
      index: task.index,
      attempt: task.attempt + 1,
      target: worker.name,
      session: worker.target.session
    })
  }

  private takeWorkload (workload: WorkloadState, state: ClusterState, now: number): void {
    this.quotas = state.teams
    let demand = this.demands.get(workload.id)
    const policy = resolvePolicy(state, workload.spec)
    if (demand === undefined) {
      demand = Demand.create(workload, policy, this.arrivals++)
      this.demands.set(workload.id, demand)
    }
    demand.workload = workload
    demand.policy = policy
    for (const task of workload.tasks) {
      if (task.phase === TaskPhase.waiting) demand.addWaiting(task.index)
      else if (task.target !== '' && !demand.holdings.has(task.index)) this.takePlaced(workload.id, task.index, task.target, now)
    }
  }

  private takePlaced (id: string, index: number, target: string, now: number): void {
    const demand = this.demands.get(id)
    const worker = this.fleet.get(target)
    if (demand === undefined || worker === undefined) return
    demand.removeWaiting(index)
    this.hold(demand, index, worker, now)
  }

  private takeOver (id: string, index: number): void {
    const demand = this.demands.get(id)
    if (demand === undefined) return
    const holding = demand.holdings.get(index)
    if (holding !== undefined) this.drop(holding)
    const task = demand.workload.tasks[index]
    if (task?.phase === TaskPhase.waiting) demand.addWaiting(index)
    else demand.removeWaiting(index)
  }

  private hold (demand: Demand, index: number, worker: Worker, since: number): Holding {
    const holding: Holding = { demand, index, worker, size: copySize(demand.need), since }
    demand.addHolding(holding)
    this.fleet.reserve(holding)
    addSize(this.usedBy(demand.workload.spec.team), holding.size)
    return holding
  }

  private drop (holding: Holding): void {
    holding.demand.removeHolding(holding)
    this.fleet.release(holding)
    addSize(this.usedBy(holding.demand.workload.spec.team), holding.size, -1)
  }
}

function isUnder (amount: number, limit: number): boolean {
  return limit === 0 || amount <= limit
}
