/**
 * A tournament tree over the workers in order of arrival. Each node stores the
 * largest free amount below it in each dimension, so that the first worker with
 * enough free resources is found by descent (Johnson, Near-optimal bin packing
 * algorithms, 1973).
 */

import type { Resources } from '../../types/resources.js'
import { RESOURCE_DIMENSIONS } from './resource-arithmetic.js'
import type { Worker } from './worker.js'

const NODE_WIDTH = RESOURCE_DIMENSIONS.length
const INITIAL_LEAF_COUNT = 64

export class TournamentTree {
  private leafCount = INITIAL_LEAF_COUNT
  /** Largest free amounts by node; the root is node 1 and the children of node n are 2n and 2n + 1. */
  private nodeMaximums = createNodes(INITIAL_LEAF_COUNT)
  /** Workers by order. */
  private readonly workers: Array<Worker | undefined> = []

  private constructor () {}

  static create (): TournamentTree {
    return new TournamentTree()
  }

  update (worker: Worker): void {
    while (worker.order >= this.leafCount) this.doubleLeaves()
    this.workers[worker.order] = worker
    const leaf = this.leafCount + worker.order
    this.setLeaf(leaf, worker)
    this.updateAncestors(leaf >> 1)
  }

  remove (worker: Worker): void {
    this.workers[worker.order] = undefined
    this.clearLeaf(this.leafCount + worker.order)
    this.updateAncestors((this.leafCount + worker.order) >> 1)
  }

  /** The first worker with enough free resources that the predicate accepts; undefined when there is none. */
  findFirst (need: Resources, isAllowed: (worker: Worker) => boolean): Worker | undefined {
    return this.descend(1, need, isAllowed)
  }

  private descend (node: number, need: Resources, isAllowed: (worker: Worker) => boolean): Worker | undefined {
    const offset = node * NODE_WIDTH
    if (need.millicores > this.nodeMaximums[offset] || need.memoryMib > this.nodeMaximums[offset + 1] || need.accelerators > this.nodeMaximums[offset + 2]) return undefined
    if (node < this.leafCount) {
      return this.descend(node * 2, need, isAllowed) ?? this.descend(node * 2 + 1, need, isAllowed)
    }
    const worker = this.workers[node - this.leafCount]
    return worker !== undefined && isAllowed(worker) ? worker : undefined
  }

  private setLeaf (leaf: number, worker: Worker): void {
    this.nodeMaximums[leaf * NODE_WIDTH] = worker.free.millicores
    this.nodeMaximums[leaf * NODE_WIDTH + 1] = worker.free.memoryMib
    this.nodeMaximums[leaf * NODE_WIDTH + 2] = worker.free.accelerators
  }

  private clearLeaf (leaf: number): void {
    this.nodeMaximums.fill(-1, leaf * NODE_WIDTH, (leaf + 1) * NODE_WIDTH)
  }

  private updateAncestors (from: number): void {
    for (let node = from; node >= 1; node >>= 1) this.updateNode(node)
  }

  private doubleLeaves (): void {
    this.leafCount *= 2
    this.nodeMaximums = createNodes(this.leafCount)
    for (const worker of this.workers) {
      if (worker !== undefined) this.setLeaf(this.leafCount + worker.order, worker)
    }
    for (let node = this.leafCount - 1; node >= 1; node -= 1) this.updateNode(node)
  }

  private updateNode (node: number): void {
    const left = node * 2 * NODE_WIDTH
    for (let axis = 0; axis < NODE_WIDTH; axis += 1) {
      this.nodeMaximums[node * NODE_WIDTH + axis] = Math.max(this.nodeMaximums[left + axis], this.nodeMaximums[left + NODE_WIDTH + axis])
    }
  }
}

function createNodes (leaves: number): Float64Array {
  return new Float64Array(leaves * 2 * NODE_WIDTH).fill(-1)
}
