/**
 * Run time estimates from tasks that succeeded, by team and name of their
 * workload: exponentially weighted mean and variance of the logarithm, since run
 * times spread over orders of magnitude. Not durable.
 */

import type { WorkloadSpec } from '../../types/workloads.js'

/** Weight of a new run time once there are enough samples. */
const SAMPLE_WEIGHT_MIN = 0.1
/** Samples needed before the estimate replaces the declared run time. */
const SAMPLES_MIN = 3
/** Largest number of workload names; the one that was added first is evicted. */
const NAMES_MAX = 4_096
/** Standard deviations from the mean to the upper bound that backfill relies on: nine of ten tasks end sooner. */
const UPPER_BOUND_DEVIATIONS = 1.28

interface RunTimes { samples: number, mean: number, variance: number }

export class RunTimeEstimates {
  private readonly byName = new Map<string, RunTimes>()

  private constructor () {}

  static create (): RunTimeEstimates {
    return new RunTimeEstimates()
  }

  clear (): void {
    this.byName.clear()
  }

  recordRunTime (spec: WorkloadSpec, runMs: number): void {
    const key = workKeyOf(spec)
    const logarithm = Math.log(Math.max(1, runMs))
    const known = this.byName.get(key)
    if (known === undefined) return this.insert(key, { samples: 1, mean: logarithm, variance: 0 })
    known.samples += 1
    const weight = Math.max(SAMPLE_WEIGHT_MIN, 1 / known.samples)
    const difference = logarithm - known.mean
    known.mean += weight * difference
    known.variance = (1 - weight) * (known.variance + weight * difference * difference)
  }

  /** Expected run time of one task in milliseconds: the estimate, else the declared run time; 0 when there is neither. */
  estimateRunMs (spec: WorkloadSpec): number {
    const known = this.findReliable(spec)
    return known === undefined ? spec.estimateMs : Math.exp(known.mean)
  }

  /** Run time in milliseconds that nine of ten tasks stay below, else the declared run time; 0 when there is neither. */
  upperBoundMs (spec: WorkloadSpec): number {
    const known = this.findReliable(spec)
    return known === undefined ? spec.estimateMs : Math.exp(known.mean + UPPER_BOUND_DEVIATIONS * Math.sqrt(known.variance))
  }

  private findReliable (spec: WorkloadSpec): RunTimes | undefined {
    const known = this.byName.get(workKeyOf(spec))
    return known === undefined || known.samples < SAMPLES_MIN ? undefined : known
  }

  private insert (key: string, times: RunTimes): void {
    if (this.byName.size >= NAMES_MAX) this.byName.delete(this.byName.keys().next().value as string)
    this.byName.set(key, times)
  }
}

function workKeyOf (spec: WorkloadSpec): string {
  return `${spec.team.length} ${spec.team} ${spec.name}`
}
