/**
 * The fleet: every worker with the room that is used, held for someone and free
 * on it. Capacity counts for each worker by itself, also where several stand on
 * one VM.
 */

import type { Resources } from '../../types/resources.js'
import type { ClusterState } from '../../types/state.js'
import { takesWork, TargetKind, type TargetState } from '../../types/targets.js'
import type { Holding } from './demand.js'
import { addSize, copySize, createSize, isWithin } from './sizes.js'

export class Worker {
  /** Room of tasks that are placed, running or stopping. */
  readonly used: Resources = createSize()
  /** Capacity less what is used. Below zero after a capacity shrank. */
  readonly room: Resources = createSize()
  readonly holdings = new Set<Holding>()
  /** True when new work may be placed here. */
  usable = false
  /** False once the target is gone; its room is known until its last task ends. */
  present = true

  private constructor (
    public target: TargetState,
    /** Order of arrival. */
    readonly order: number
  ) {}

  static create (target: TargetState, order: number): Worker {
    return new Worker(target, order)
  }

  get name (): string {
    return this.target.name
  }

  hasRoom (need: Resources): boolean {
    return this.usable && isWithin(need, this.room)
  }
}

export class Fleet {
  readonly workers: Worker[] = []
  /** Capacity of the workers that are present. */
  readonly total: Resources = createSize()
  private readonly byName = new Map<string, Worker>()

  private constructor () {}

  static create (): Fleet {
    return new Fleet()
  }

  get (name: string): Worker | undefined {
    return this.byName.get(name)
  }

  /** Takes in a worker that announced itself, or what changed about it. */
  put (target: TargetState, state: ClusterState): Worker | undefined {
    if (target.kind !== TargetKind.worker) return undefined
    const known = this.byName.get(target.name)
    if (known?.present === true) addSize(this.total, known.target.capacity, -1)
    const worker = known ?? this.createWorker(target)
    worker.target = target
    worker.present = true
    addSize(this.total, target.capacity)
    worker.usable = isUsable(target, state)
    this.updateRoom(worker)
    return worker
  }

  remove (name: string): void {
    const worker = this.byName.get(name)
    if (worker === undefined || !worker.present) return
    addSize(this.total, worker.target.capacity, -1)
    worker.present = false
    worker.usable = false
    this.forgetEmpty(worker)
  }

  /** Judges anew which workers of a VM may take work. */
  refreshVm (vm: string, state: ClusterState): void {
    for (const worker of this.workers) {
      if (worker.target.vm === vm && worker.present) worker.usable = isUsable(worker.target, state)
    }
  }

  reserve (holding: Holding): void {
    holding.worker.holdings.add(holding)
    addSize(holding.worker.used, holding.size)
    this.updateRoom(holding.worker)
  }

  release (holding: Holding): void {
    holding.worker.holdings.delete(holding)
    addSize(holding.worker.used, holding.size, -1)
    this.updateRoom(holding.worker)
    this.forgetEmpty(holding.worker)
  }

  private createWorker (target: TargetState): Worker {
    const worker = Worker.create(target, this.workers.length)
    this.byName.set(target.name, worker)
    this.workers.push(worker)
    return worker
  }

  private updateRoom (worker: Worker): void {
    const room = copySize(worker.target.capacity)
    addSize(room, worker.used, -1)
    Object.assign(worker.room, room)
  }

  private forgetEmpty (worker: Worker): void {
    if (worker.present || worker.holdings.size > 0) return
    this.byName.delete(worker.name)
    this.workers.splice(this.workers.indexOf(worker), 1)
  }
}

function isUsable (target: TargetState, state: ClusterState): boolean {
  return takesWork(target.phase) && !state.drainedVms.has(target.vm)
}
