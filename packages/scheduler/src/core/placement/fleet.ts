/**
 * The fleet: all workers, indexed by their free resources. Capacity is
 * accounted for each worker separately, also when several workers run on one
 * VM.
 */

import type { Resources } from '../../types/resources.js'
import type { ClusterState } from '../../types/state.js'
import { isSchedulable, TargetKind, TargetPhase, type TargetState } from '../../types/targets.js'
import { BucketIndex } from './bucket-index.js'
import type { Demand } from './demand.js'
import { addResources, createZeroResources, computeDominantShare, RESOURCE_DIMENSIONS } from './resource-arithmetic.js'
import { TournamentTree } from './tournament-tree.js'
import { type ResourceHold, type Allocation, Worker } from './worker.js'

/** Called with a worker whose free resources increased in some dimension. */
export type FreeIncreaseListener = (worker: Worker) => void

export class Fleet {
  /** All workers by target name. */
  readonly workers = new Map<string, Worker>()
  /** All workers, usable or not, by availability zone and then by rack. */
  readonly racksByZone = new Map<string, Map<string, Worker[]>>()
  /** Sum of the capacity of the workers that are present. */
  readonly totalCapacity: Resources = createZeroResources()
  /** Sum of the free resources of usable workers; negative amounts count as 0. */
  readonly totalFree: Resources = createZeroResources()
  readonly tournamentTree = TournamentTree.create()
  private readonly bucketIndexes = RESOURCE_DIMENSIONS.map((dimension, axis) => BucketIndex.create(dimension, axis))
  /** Positions in the tournament tree that removed workers occupied. */
  private readonly reusableOrders: number[] = []
  private nextOrder = 0

  private constructor (private readonly onFreeIncreased: FreeIncreaseListener) {}

  static create (onFreeIncreased: FreeIncreaseListener): Fleet {
    return new Fleet(onFreeIncreased)
  }

  get (name: string): Worker | undefined {
    return this.workers.get(name)
  }

  /** Adds a worker that announced itself, or updates one. Returns undefined for a target that is not a worker. */
  putTarget (target: TargetState, state: ClusterState): Worker | undefined {
    if (target.kind !== TargetKind.worker) return undefined
    const existing = this.workers.get(target.name)
    if (existing !== undefined) this.unregister(existing)
    const worker = existing ?? this.createWorker(target)
    worker.target = target
    worker.isPresent = true
    worker.isUsable = isUsable(target, state)
    this.register(worker)
    this.reindexAndNotify(worker)
    return worker
  }

  /** Marks a worker as gone. It stays in the fleet while it has allocations. */
  remove (name: string): void {
    const worker = this.workers.get(name)
    if (worker === undefined || !worker.isPresent) return
    addResources(this.totalCapacity, worker.target.capacity, -1)
    worker.isPresent = false
    this.setUsable(worker, false)
    this.removeIfEmpty(worker)
  }

  setUsable (worker: Worker, usable: boolean): void {
    worker.isUsable = usable
    this.reindexAndNotify(worker)
  }

  /** Updates which workers of a VM are usable; returns all workers that are present on it. */
  updateVm (vm: string, state: ClusterState): Worker[] {
    const onVm = Array.from(this.workers.values()).filter(worker => worker.target.vm === vm && worker.isPresent)
    for (const worker of onVm) this.setUsable(worker, isUsable(worker.target, state))
    return onVm
  }

  /** Adds the allocation of a task to its worker. */
  addAllocation (allocation: Allocation): void {
    const { worker, size } = allocation
    worker.allocations.add(allocation)
    addResources(worker.used, size)
    addResources(getReclaimableSum(allocation), size)
    this.reindexAndNotify(worker)
  }

  /** Removes the allocation of a task from its worker. */
  removeAllocation (allocation: Allocation): void {
    const { worker, size } = allocation
    worker.allocations.delete(allocation)
    addResources(worker.used, size, -1)
    addResources(getReclaimableSum(allocation), size, -1)
    this.reindexAndNotify(worker)
    this.removeIfEmpty(worker)
  }

  /** Records whether the task of an allocation is stopping, which makes its resources available soon. */
  setStopping (allocation: Allocation, isStopping: boolean): void {
    if (allocation.isStopping === isStopping) return
    addResources(getReclaimableSum(allocation), allocation.size, -1)
    allocation.isStopping = isStopping
    addResources(getReclaimableSum(allocation), allocation.size)
  }

  /** Changes the amount of resources that an allocation covers. */
  resize (allocation: Allocation, size: Resources): void {
    for (const sum of [allocation.worker.used, getReclaimableSum(allocation)]) {
      addResources(sum, allocation.size, -1)
      addResources(sum, size)
    }
    allocation.size = size
    this.reindexAndNotify(allocation.worker)
  }

  /** Holds resources, whether free or still in use, for a number of tasks of one demand. */
  createHold (owner: Demand, worker: Worker, count: number): ResourceHold {
    const hold: ResourceHold = { owner, worker, need: owner.need, count: 0 }
    worker.holds.push(hold)
    this.adjustHoldCount(hold, count)
    return hold
  }

  /** Changes the number of tasks of a hold by a positive or negative number; a hold for no task is removed. */
  adjustHoldCount (hold: ResourceHold, change: number): void {
    const { worker } = hold
    hold.count += change
    addResources(worker.held, hold.need, change)
    if (hold.count <= 0) worker.holds.splice(worker.holds.indexOf(hold), 1)
    this.reindexAndNotify(worker)
  }

  /** Changes the held resources of a worker: the sign 1 withholds `size` from all demands, -1 releases it. */
  adjustHeldResources (worker: Worker, size: Resources, sign: number): void {
    addResources(worker.held, size, sign)
    this.reindexAndNotify(worker)
  }

  /** Changes the used resources for tasks that are placed tentatively; the listener is not called. */
  adjustUsedTentatively (worker: Worker, need: Resources, count: number): void {
    addResources(worker.used, need, count)
    this.reindex(worker)
  }

  /** Changes the held resources by those of a hold: the sign -1 releases them, 1 withholds them again. The listener is not called. */
  adjustHoldTentatively (hold: ResourceHold, sign: number): void {
    addResources(hold.worker.held, hold.need, sign * hold.count)
    this.reindex(hold.worker)
  }

  /**
   * Visits workers from the tightest fit to the loosest, in the dimension that is scarcest
   * for the need, until the visitor returns true. The order is approximate, and workers with
   * too few free resources may be visited.
   */
  visitTightest (need: Resources, visit: (worker: Worker) => boolean): void {
    const axis = this.findScarcestDimension(need)
    this.bucketIndexes[axis].visitAscending(need[RESOURCE_DIMENSIONS[axis]], visit)
  }

  /** Index of the dimension in which the need takes the largest share of the free resources. */
  findScarcestDimension (need: Resources): number {
    let scarcest = 0
    let largest = -1
    for (const [axis, dimension] of RESOURCE_DIMENSIONS.entries()) {
      const share = need[dimension] / Math.max(1, this.totalFree[dimension])
      if (need[dimension] === 0 || share <= largest) continue
      scarcest = axis
      largest = share
    }
    return scarcest
  }

  /** Dominant share of an amount in the total capacity of the cell, from 0 to 1. */
  computeDominantShare (amount: Resources): number {
    return computeDominantShare(amount, this.totalCapacity)
  }

  /**
   * Adds a worker that is no longer in the replicated state although tasks are still assigned
   * to it; the allocations of these tasks need a worker.
   */
  addGoneWorker (name: string): Worker {
    const worker = this.createWorker(createGoneTarget(name))
    worker.isPresent = false
    this.register(worker)
    this.reindexAndNotify(worker)
    return worker
  }

  private createWorker (target: TargetState): Worker {
    const worker = Worker.create(target, this.reusableOrders.pop() ?? this.nextOrder++)
    this.workers.set(target.name, worker)
    return worker
  }

  private register (worker: Worker): void {
    const { availabilityZone, rack, capacity } = worker.target
    const workersByRack = this.racksByZone.get(availabilityZone) ?? new Map<string, Worker[]>()
    this.racksByZone.set(availabilityZone, workersByRack)
    const workersInRack = workersByRack.get(rack)
    if (workersInRack === undefined) workersByRack.set(rack, [worker])
    else workersInRack.push(worker)
    addResources(this.totalCapacity, capacity)
    for (const [axis, dimension] of RESOURCE_DIMENSIONS.entries()) {
      if (this.bucketIndexes[axis].extendRange(capacity[dimension])) this.rebuildBucketIndex(axis)
    }
  }

  private unregister (worker: Worker): void {
    const { availabilityZone, rack, capacity } = worker.target
    const workersInRack = this.racksByZone.get(availabilityZone)?.get(rack)
    workersInRack?.splice(workersInRack.indexOf(worker), 1)
    if (worker.isPresent) addResources(this.totalCapacity, capacity, -1)
  }

  private rebuildBucketIndex (axis: number): void {
    for (const worker of this.workers.values()) this.bucketIndexes[axis].update(worker)
  }

  private reindexAndNotify (worker: Worker): void {
    if (this.reindex(worker)) this.onFreeIncreased(worker)
  }

  /** Updates the indexes; returns true when the free resources increased in some dimension. */
  private reindex (worker: Worker): boolean {
    if (!worker.isInFleet) return false
    const { millicores, memoryMib, accelerators } = worker.free
    this.adjustTotalFree(worker, -1)
    worker.updateFree()
    this.adjustTotalFree(worker, 1)
    for (const bucketIndex of this.bucketIndexes) bucketIndex.update(worker)
    this.tournamentTree.update(worker)
    return worker.free.millicores > millicores ||
      worker.free.memoryMib > memoryMib ||
      worker.free.accelerators > accelerators
  }

  private adjustTotalFree (worker: Worker, sign: number): void {
    for (const dimension of RESOURCE_DIMENSIONS) this.totalFree[dimension] += sign * Math.max(0, worker.free[dimension])
  }

  private removeIfEmpty (worker: Worker): void {
    if (worker.isPresent || worker.allocations.size > 0) return
    const workersInRack = this.racksByZone.get(worker.target.availabilityZone)?.get(worker.target.rack)
    workersInRack?.splice(workersInRack.indexOf(worker), 1)
    this.workers.delete(worker.name)
    worker.isInFleet = false
    this.tournamentTree.remove(worker)
    this.reusableOrders.push(worker.order)
  }
}

/**
 * The sum on the worker that includes this allocation: that of stopping tasks, or that of
 * preemptible tasks of its urgency.
 */
function getReclaimableSum (allocation: Allocation): Resources {
  return allocation.isStopping ? allocation.worker.stoppingResources : allocation.worker.preemptibleByUrgency[allocation.preemptibleUrgency]
}

function isUsable (target: TargetState, state: ClusterState): boolean {
  if (!isSchedulable(target.phase)) return false
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
    capacity: createZeroResources(),
    service: '',
    slots: 0,
    connections: 0,
    phase: TargetPhase.lost
  }
}
