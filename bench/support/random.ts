/**
 * Seeded random amounts for the generated load.
 */

import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

const RESOLUTION = 1_000_000

export class Random {
  private readonly generator: RandomGenerator

  private constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  static create (seed: number): Random {
    return new Random(seed)
  }

  /** A whole number from `least` to `most`, both included. */
  whole (least: number, most: number): number {
    return uniformInt(this.generator, least, most)
  }

  /** Above 0, at most 1. */
  share (): number {
    return this.whole(1, RESOLUTION) / RESOLUTION
  }

  pick<Item> (items: readonly Item[]): Item {
    return items[this.whole(0, items.length - 1)]
  }

  /** Exponentially distributed, as between independent arrivals. */
  exponential (mean: number): number {
    return -Math.log(this.share()) * mean
  }

  /** Log-normally distributed by its median and the standard deviation of its logarithm. */
  logNormal (median: number, deviation: number): number {
    const normal = Math.sqrt(-2 * Math.log(this.share())) * Math.cos(2 * Math.PI * this.share())
    return median * Math.exp(deviation * normal)
  }

  /** How many arrivals fall into one step, by their mean number (Poisson). */
  arrivals (mean: number): number {
    let count = 0
    for (let sum = this.exponential(1); sum < mean; sum += this.exponential(1)) count += 1
    return count
  }
}
