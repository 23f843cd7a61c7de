/**
 * Workers in buckets by how much of one dimension is free, so that a search for
 * the tightest fit starts at the first bucket that can fit and looks at few
 * workers, however many there are.
 */

import type { Dimension } from './sizes.js'
import type { Worker } from './worker.js'

const BUCKETS = 128

export class Buckets {
  private readonly buckets: Worker[][] = Array.from({ length: BUCKETS }, () => [])
  /** Free amount that one bucket spans. */
  private unit = 1

  private constructor (
    private readonly dimension: Dimension,
    /** Position of the dimension in the workers' records. */
    private readonly axis: number
  ) {}

  static create (dimension: Dimension, axis: number): Buckets {
    return new Buckets(dimension, axis)
  }

  /** Makes room for the largest capacity; true when the workers have to be put in anew. */
  grow (capacity: number): boolean {
    if (capacity < this.unit * BUCKETS) return false
    this.unit = (capacity + 1) / BUCKETS
    return true
  }

  /** Puts a worker where its free amount belongs, or takes it out when it has none. */
  update (worker: Worker): void {
    const from = worker.bucket[this.axis]
    const to = this.find(worker.free[this.dimension])
    if (from === to) return
    if (from >= 0) this.remove(worker, from)
    if (to >= 0) this.add(worker, to)
  }

  /** Calls until the visitor answers true, from the least to the most that may fit. */
  visitAscending (amount: number, visit: (worker: Worker) => boolean): void {
    for (let at = Math.max(0, this.find(amount)); at < BUCKETS; at += 1) {
      const bucket = this.buckets[at]
      for (let position = 0; position < bucket.length; position += 1) {
        if (visit(bucket[position])) return
      }
    }
  }

  private find (amount: number): number {
    return amount < 0 ? -1 : Math.min(BUCKETS - 1, Math.floor(amount / this.unit))
  }

  private add (worker: Worker, to: number): void {
    const bucket = this.buckets[to]
    worker.bucket[this.axis] = to
    worker.bucketAt[this.axis] = bucket.length
    bucket.push(worker)
  }

  private remove (worker: Worker, from: number): void {
    const bucket = this.buckets[from]
    const at = worker.bucketAt[this.axis]
    const last = bucket[bucket.length - 1]
    bucket[at] = last
    last.bucketAt[this.axis] = at
    bucket.pop()
    worker.bucket[this.axis] = -1
  }
}
