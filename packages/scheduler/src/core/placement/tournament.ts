/**
 * A tournament tree over the workers in order of arrival: each node holds the
 * most that is free below it in each dimension, so that the first worker with
 * room is found by descending (Johnson, Near-optimal bin packing algorithms,
 * 1973).
 */

import type { Resources } from '../../types/resources.js'
import { DIMENSIONS } from './sizes.js'
import type { Worker } from './worker.js'

const WIDTH = DIMENSIONS.length
const FIRST_LEAVES = 64

export class Tournament {
  private leaves = FIRST_LEAVES
  private most = createNodes(FIRST_LEAVES)
  private readonly workers: Array<Worker | undefined> = []

  private constructor () {}

  static create (): Tournament {
    return new Tournament()
  }

  update (worker: Worker): void {
    while (worker.order >= this.leaves) this.widen()
    this.workers[worker.order] = worker
    const leaf = this.leaves + worker.order
    this.set(leaf, worker)
    this.raise(leaf >> 1)
  }

  remove (worker: Worker): void {
    this.workers[worker.order] = undefined
    this.clear(this.leaves + worker.order)
    this.raise((this.leaves + worker.order) >> 1)
  }

  /** The first worker with room that is also allowed. */
  findFirst (need: Resources, isAllowed: (worker: Worker) => boolean): Worker | undefined {
    return this.descend(1, need, isAllowed)
  }

  private descend (node: number, need: Resources, isAllowed: (worker: Worker) => boolean): Worker | undefined {
    const at = node * WIDTH
    if (need.millicores > this.most[at] || need.memoryMib > this.most[at + 1] || need.accelerators > this.most[at + 2]) return undefined
    if (node < this.leaves) {
      return this.descend(node * 2, need, isAllowed) ?? this.descend(node * 2 + 1, need, isAllowed)
    }
    const worker = this.workers[node - this.leaves]
    return worker !== undefined && isAllowed(worker) ? worker : undefined
  }

  private set (leaf: number, worker: Worker): void {
    this.most[leaf * WIDTH] = worker.free.millicores
    this.most[leaf * WIDTH + 1] = worker.free.memoryMib
    this.most[leaf * WIDTH + 2] = worker.free.accelerators
  }

  private clear (leaf: number): void {
    this.most.fill(-1, leaf * WIDTH, (leaf + 1) * WIDTH)
  }

  private raise (from: number): void {
    for (let node = from; node >= 1; node >>= 1) this.raiseOne(node)
  }

  private widen (): void {
    this.leaves *= 2
    this.most = createNodes(this.leaves)
    for (const worker of this.workers) {
      if (worker !== undefined) this.set(this.leaves + worker.order, worker)
    }
    for (let node = this.leaves - 1; node >= 1; node -= 1) this.raiseOne(node)
  }

  private raiseOne (node: number): void {
    const left = node * 2 * WIDTH
    for (let axis = 0; axis < WIDTH; axis += 1) {
      this.most[node * WIDTH + axis] = Math.max(this.most[left + axis], this.most[left + WIDTH + axis])
    }
  }
}

function createNodes (leaves: number): Float64Array {
  return new Float64Array(leaves * 2 * WIDTH).fill(-1)
}
