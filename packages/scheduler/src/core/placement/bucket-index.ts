/**
 * Groups workers into buckets by the free amount of one dimension. A search for
 * the tightest fit starts at the first bucket that can fit and examines few
 * workers, whatever the size of the fleet.
 */

import type { ResourceDimension } from './resource-arithmetic.js'
import type { Worker } from './worker.js'

const BUCKET_COUNT = 128

export class BucketIndex {
  private readonly buckets: Worker[][] = Array.from({ length: BUCKET_COUNT }, () => [])
  /** Range of free amounts that one bucket covers, in units of the dimension. */
  private bucketWidth = 1

  private constructor (
    private readonly dimension: ResourceDimension,
    /** Index of the dimension in `bucketNumbers` and `bucketPositions` of a worker. */
    private readonly axis: number
  ) {}

  static create (dimension: ResourceDimension, axis: number): BucketIndex {
    return new BucketIndex(dimension, axis)
  }

  /** Extends the range of the buckets to a capacity. When it returns true, all workers have to be updated. */
  extendRange (capacity: number): boolean {
    if (capacity < this.bucketWidth * BUCKET_COUNT) return false
    this.bucketWidth = (capacity + 1) / BUCKET_COUNT
    return true
  }

  /** Moves a worker to the bucket of its free amount, or removes it when the amount is negative. */
  update (worker: Worker): void {
    const from = worker.bucketNumbers[this.axis]
    const to = this.findBucket(worker.free[this.dimension])
    if (from === to) return
    if (from >= 0) this.remove(worker, from)
    if (to >= 0) this.add(worker, to)
  }

  /**
   * Visits workers in ascending order of bucket, from the first bucket that may have the
   * amount, until the visitor returns true. Workers within a bucket are in no order.
   */
  visitAscending (amount: number, visit: (worker: Worker) => boolean): void {
    for (let bucketNumber = Math.max(0, this.findBucket(amount)); bucketNumber < BUCKET_COUNT; bucketNumber += 1) {
      const bucket = this.buckets[bucketNumber]
      for (let position = 0; position < bucket.length; position += 1) {
        if (visit(bucket[position])) return
      }
    }
  }

  /** Bucket of an amount; -1 for a negative one. */
  private findBucket (amount: number): number {
    return amount < 0 ? -1 : Math.min(BUCKET_COUNT - 1, Math.floor(amount / this.bucketWidth))
  }

  private add (worker: Worker, to: number): void {
    const bucket = this.buckets[to]
    worker.bucketNumbers[this.axis] = to
    worker.bucketPositions[this.axis] = bucket.length
    bucket.push(worker)
  }

  private remove (worker: Worker, from: number): void {
    const bucket = this.buckets[from]
    const position = worker.bucketPositions[this.axis]
    const last = bucket[bucket.length - 1]
    bucket[position] = last
    last.bucketPositions[this.axis] = position
    bucket.pop()
    worker.bucketNumbers[this.axis] = -1
  }
}
