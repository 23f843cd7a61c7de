/**
 * Records the requests that may have run, so that no idempotent one among them is
 * later reported as not run. A Bloom filter (Bloom 1970) with double hashing (Kirsch and
 * Mitzenmacher 2006). A false positive only turns "not run" into "unknown"; there
 * are no false negatives. With two generations, each request is kept for at least
 * one period.
 */

/** Bits of one generation, 512 KiB; a power of two, so that a mask turns a hash into the number of a bit. */
const FILTER_BITS = 1 << 22
/** Bits set for each key. */
const HASH_COUNT = 4
/** Offset basis of the 32-bit FNV-1a hash. */
const FIRST_SEED = 0x811c9dc5
/** Any other value, for a second hash that differs from the first. */
const SECOND_SEED = 0x9747b28c
/** Prime of the 32-bit FNV-1a hash. */
const FNV_PRIME = 0x01000193

export class RunFilter {
  private current = new Uint32Array(FILTER_BITS >>> 5)
  private previous: Uint32Array | undefined
  private rotateAt: number

  static create (periodMs: number, now: number): RunFilter {
    return new RunFilter(periodMs, now)
  }

  private constructor (private readonly periodMs: number, now: number) {
    this.rotateAt = now + periodMs
  }

  add (key: string, now: number): void {
    this.rotate(now)
    const first = hash(key, FIRST_SEED)
    const step = hash(key, SECOND_SEED) | 1
    for (let index = 0; index < HASH_COUNT; index += 1) {
      const bit = (first + index * step) & (FILTER_BITS - 1)
      this.current[bit >>> 5] |= 1 << (bit & 31)
    }
  }

  /** False only when the request was not added within the last period. */
  mayContain (key: string): boolean {
    return containsKey(this.current, key) || (this.previous !== undefined && containsKey(this.previous, key))
  }

  private rotate (now: number): void {
    if (now < this.rotateAt) return
    this.rotateAt = now + this.periodMs
    this.previous = this.current
    this.current = new Uint32Array(FILTER_BITS >>> 5)
  }
}

function containsKey (bits: Uint32Array, key: string): boolean {
  const first = hash(key, FIRST_SEED)
  const step = hash(key, SECOND_SEED) | 1
  for (let index = 0; index < HASH_COUNT; index += 1) {
    const bit = (first + index * step) & (FILTER_BITS - 1)
    if ((bits[bit >>> 5] & (1 << (bit & 31))) === 0) return false
  }
  return true
}

function hash (text: string, seed: number): number {
  let value = seed
  for (let index = 0; index < text.length; index += 1) value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME)
  return (value ^ (value >>> 15)) >>> 0
}
