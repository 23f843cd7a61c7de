/**
 * Arithmetic on amounts of resources. Amounts that change often are modified in
 * place, so that the hot path allocates no objects.
 */

import type { Resources } from '../../types/resources.js'

export const RESOURCE_DIMENSIONS = Object.freeze(['millicores', 'memoryMib', 'accelerators'] as const)
export type ResourceDimension = typeof RESOURCE_DIMENSIONS[number]

export function createZeroResources (): Resources {
  return { millicores: 0, memoryMib: 0, accelerators: 0 }
}

export function copyResources (size: Resources): Resources {
  return { millicores: size.millicores, memoryMib: size.memoryMib, accelerators: size.accelerators }
}

/** True when the need does not exceed the available amount in any dimension. */
export function isWithin (need: Resources, available: Resources): boolean {
  return need.millicores <= available.millicores &&
    need.memoryMib <= available.memoryMib &&
    need.accelerators <= available.accelerators
}

/** Adds a multiple of an amount to a sum in place; a negative multiple subtracts. */
export function addResources (sum: Resources, amount: Resources, times = 1): void {
  sum.millicores += amount.millicores * times
  sum.memoryMib += amount.memoryMib * times
  sum.accelerators += amount.accelerators * times
}

export function sumResources (one: Resources, other: Resources): Resources {
  const sum = copyResources(one)
  addResources(sum, other)
  return sum
}

/**
 * How many times the need fits into the available amount; 0 when the available amount is
 * negative in some dimension, otherwise Infinity for a need of 0.
 */
export function countFitting (need: Resources, available: Resources): number {
  let count = Infinity
  for (const dimension of RESOURCE_DIMENSIONS) {
    if (available[dimension] < 0) return 0
    if (need[dimension] > 0) count = Math.min(count, Math.floor(available[dimension] / need[dimension]))
  }
  return count
}

/** The largest share of the total over all dimensions (Ghodsi et al., Dominant Resource Fairness, 2011). */
export function computeDominantShare (amount: Resources, total: Resources): number {
  return Math.max(
    share(amount.millicores, total.millicores),
    share(amount.memoryMib, total.memoryMib),
    share(amount.accelerators, total.accelerators)
  )
}

function share (amount: number, total: number): number {
  return total > 0 ? amount / total : 0
}
