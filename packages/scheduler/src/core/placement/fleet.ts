/**
 * The fleet: every worker, indexed by what is free on it. Capacity counts for
 * each worker by itself, also where several stand on one VM.
 */

import type { Resources } from '../../types/resources.js'
import type { ClusterState } from '../../types/state.js'
import { takesWork, TargetKind, TargetPhase, type TargetState } from '../../types/targets.js'
import { Buckets } from './buckets.js'
import type { Demand } from './demand.js'
import { addSize, createSize, dominantShare, DIMENSIONS } from './sizes.js'
import { Tournament } from './tournament.js'
import { type Hold, type Holding, Worker } from './worker.js'

export type RoomListener = (worker: Worker) => void

export class Fleet {
  /** All workers, keyed by target name. */
  readonly workers = new Map<string, Worker>()
  /** Usable and other workers by availability zone, then by rack. */
  readonly zones = new Map<string, Map<string, Worker[]>>()
  /** Capacity of the workers that are present. */
  readonly total: Resources = createSize()
  /** What is free on usable workers. */
  readonly free: Resources = createSize()
  readonly tournament = Tournament.create()
  private readonly buckets = DIMENSIONS.map((dimension, axis) => Buckets.create(dimension, axis))
  /** Positions in the tournament tree that departed workers left. */
  private readonly spareOrders: number[] = []
  private nextOrder = 0

  private constructor (private readonly onRoom: RoomListener) {}

  /** The listener hears of each worker on which more became free. */
  static create (onRoom: RoomListener): Fleet {
    return new Fleet(onRoom)
  }

  get (name: string): Worker | undefined {
    return this.workers.get(name)
  }

  /** Takes in a worker that announced itself, or what changed about it. */
  put (target: TargetState, state: ClusterState): Worker | undefined {
    if (target.kind !== TargetKind.worker) return undefined
    const known = this.workers.get(target.name)
    if (known !== undefined) this.unplace(known)
    const worker = known ?? this.createWorker(target)
    worker.target = target
    worker.present = true
    worker.usable = isUsable(target, state)
    this.place(worker)
    this.refresh(worker)
    return worker
  }

  remove (name: string): void {
    const worker = this.workers.get(name)
    if (worker === undefined || !worker.present) return
    addSize(this.total, worker.target.capacity, -1)
    worker.present = false
    this.setUsable(worker, false)
    this.forgetEmpty(worker)
  }

  setUsable (worker: Worker, usable: boolean): void {
    worker.usable = usable
    this.refresh(worker)
  }

  /** Judges anew which workers of a VM may take work. */
  refreshVm (vm: string, state: ClusterState): Worker[] {
    const onVm = Array.from(this.workers.values()).filter(worker => worker.target.vm === vm && worker.present)
    for (const worker of onVm) this.setUsable(worker, isUsable(worker.target, state))
    return onVm
  }

  reserve (holding: Holding): void {
    const { worker, size } = holding
    worker.holdings.add(holding)
    addSize(worker.used, size)
    addSize(endingRoom(holding), size)
    this.refresh(worker)
  }

  release (holding: Holding): void {
    const { worker, size } = holding
    worker.holdings.delete(holding)
    addSize(worker.used, size, -1)
    addSize(endingRoom(holding), size, -1)
    this.refresh(worker)
    this.forgetEmpty(worker)
  }

  /** Notes that a holding is about to end, or that it is not after all. */
  setStopping (holding: Holding, stopping: boolean): void {
    if (holding.stopping === stopping) return
    addSize(endingRoom(holding), holding.size, -1)
    holding.stopping = stopping
    addSize(endingRoom(holding), holding.size)
  }

  /** Changes how much a holding takes. */
  resize (holding: Holding, size: Resources): void {
    for (const sum of [holding.worker.used, endingRoom(holding)]) {
      addSize(sum, holding.size, -1)
      addSize(sum, size)
    }
    holding.size = size
    this.refresh(holding.worker)
  }

  /** Keeps room, free or still in use, for tasks of one demand. */
  hold (owner: Demand, worker: Worker, count: number): Hold {
    const hold: Hold = { owner, worker, need: owner.need, count: 0 }
    worker.holds.push(hold)
    this.changeHold(hold, count)
    return hold
  }

  /** Keeps room for more or fewer tasks; a hold for none is dropped. */
  changeHold (hold: Hold, by: number): void {
    const { worker } = hold
    hold.count += by
    addSize(worker.held, hold.need, by)
    if (hold.count <= 0) worker.holds.splice(worker.holds.indexOf(hold), 1)
    this.refresh(worker)
  }

  /** Keeps room from all, or gives it back with a negative sign. */
  keep (worker: Worker, size: Resources, sign: number): void {
    addSize(worker.held, size, sign)
    this.refresh(worker)
  }

  /** Takes room for a task that is only tried, without telling anyone. */
  tryReserve (worker: Worker, need: Resources, count: number): void {
    addSize(worker.used, need, count)
    this.reindex(worker)
  }

  /** Gives the room of a hold back, or takes it again, without telling anyone. */
  tryHold (hold: Hold, sign: number): void {
    addSize(hold.worker.held, hold.need, sign * hold.count)
    this.reindex(hold.worker)
  }

  /** Visits workers from the tightest fit on, in the dimension that is scarcest for the need. */
  visitTightest (need: Resources, visit: (worker: Worker) => boolean): void {
    const axis = this.findScarcest(need)
    this.buckets[axis].visitAscending(need[DIMENSIONS[axis]], visit)
  }

  /** The dimension of which the need takes the largest share of what is free. */
  findScarcest (need: Resources): number {
    let scarcest = 0
    let largest = -1
    for (const [axis, dimension] of DIMENSIONS.entries()) {
      const share = need[dimension] / Math.max(1, this.free[dimension])
      if (need[dimension] === 0 || share <= largest) continue
      scarcest = axis
      largest = share
    }
    return scarcest
  }

  /** Share of the cell that an amount takes, by its dominant resource. */
  shareOf (amount: Resources): number {
    return dominantShare(amount, this.total)
  }

  /** A worker that is gone and still holds tasks, as a new leader finds it. */
  putGone (name: string): Worker {
    const worker = this.createWorker(createGoneTarget(name))
    worker.present = false
    this.place(worker)
    this.refresh(worker)
    return worker
  }

  private createWorker (target: TargetState): Worker {
    const worker = Worker.create(target, this.spareOrders.pop() ?? this.nextOrder++)
    this.workers.set(target.name, worker)
    return worker
  }

  private place (worker: Worker): void {
    const { availabilityZone, rack, capacity } = worker.target
    const racks = this.zones.get(availabilityZone) ?? new Map<string, Worker[]>()
    this.zones.set(availabilityZone, racks)
    const inRack = racks.get(rack)
    if (inRack === undefined) racks.set(rack, [worker])
    else inRack.push(worker)
    addSize(this.total, capacity)
    for (const [axis, dimension] of DIMENSIONS.entries()) {
      if (this.buckets[axis].grow(capacity[dimension])) this.rebuild(axis)
    }
  }

  private unplace (worker: Worker): void {
    const { availabilityZone, rack, capacity } = worker.target
    const inRack = this.zones.get(availabilityZone)?.get(rack)
    inRack?.splice(inRack.indexOf(worker), 1)
    if (worker.present) addSize(this.total, capacity, -1)
  }

  private rebuild (axis: number): void {
    for (const worker of this.workers.values()) this.buckets[axis].update(worker)
  }

  private refresh (worker: Worker): void {
    if (this.reindex(worker)) this.onRoom(worker)
  }

  /** Brings the indexes up to date; true when more is free in some dimension. */
  private reindex (worker: Worker): boolean {
    if (!worker.listed) return false
    const { millicores, memoryMib, accelerators } = worker.free
    this.countFree(worker, -1)
    worker.updateFree()
    this.countFree(worker, 1)
    for (const buckets of this.buckets) buckets.update(worker)
    this.tournament.update(worker)
    return worker.free.millicores > millicores ||
      worker.free.memoryMib > memoryMib ||
      worker.free.accelerators > accelerators
  }

  private countFree (worker: Worker, sign: number): void {
    for (const dimension of DIMENSIONS) this.free[dimension] += sign * Math.max(0, worker.free[dimension])
  }

  private forgetEmpty (worker: Worker): void {
    if (worker.present || worker.holdings.size > 0) return
    const inRack = this.zones.get(worker.target.availabilityZone)?.get(worker.target.rack)
    inRack?.splice(inRack.indexOf(worker), 1)
    this.workers.delete(worker.name)
    worker.listed = false
    this.tournament.remove(worker)
    this.spareOrders.push(worker.order)
  }
}

/** The sum on the worker that tells how soon the room of a holding can be had. */
function endingRoom (holding: Holding): Resources {
  return holding.stopping ? holding.worker.stopping : holding.worker.preemptible[holding.rank]
}

function isUsable (target: TargetState, state: ClusterState): boolean {
  if (!takesWork(target.phase)) return false
  return !state.drainedVms.has(target.vm) && !state.drainedTargets.has(target.name)
}

function createGoneTarget (name: string): TargetState {
  return {
    name,
    kind: TargetKind.worker,
    session: '',
    fence: 0,
    incarnation: 0,
    vm: '',
    rack: '',
    availabilityZone: '',
    address: '',
    capacity: createSize(),
    service: '',
    slots: 0,
    connections: 0,
    phase: TargetPhase.lost
  }
}
