/**
 * What each client account has on all workers together, and what it may start under its
 * cap. The load pattern that it addresses: an account that sends 5 to 8 times its usual
 * rate while workers fall silent and leaders change. A run therefore counts in full from
 * its placement until its end is certain: unconfirmed starts, runs being stopped, runs of
 * silent workers, runs that a former leader placed, and runs that the replicated state
 * does not place.
 */

import { findAccount, type AccountDirectory } from '../../../types/accounts.js'
import type { StagedJob, StageSpec } from '../../../types/jobs.js'
import { NO_RESOURCES, type Resources } from '../../../types/resources.js'
import { addResources, copyResources, countFitting, createZeroResources, RESOURCE_DIMENSIONS } from '../../placement/resource-arithmetic.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'

/** Sums of fractions are inexact; amounts that differ by less than this, in millicores, MiB or accelerators, count as equal. */
const TOLERANCE = 1e-6

/** What a run counts against the cap of its account. */
export interface AccountCharge { account: string, resources: Resources }

/** The charge of a run; undefined if its job has no account. Best-effort tasks count with their declared processor demand. */
export function createCharge (job: StagedJob | undefined, stage: StageSpec | undefined): AccountCharge | undefined {
  return job?.account === undefined || stage === undefined ? undefined : { account: job.account, resources: stage.resources }
}

export class AccountUsage {
  /** Amounts in use by the accounts that have a cap, by name. */
  private readonly used = new Map<string, Resources>()
  private readonly caps = new Map<string, Resources>()

  private constructor (private readonly overage: number) {}

  /**
   * `totals` is what each account has on all workers, by name; `overage` the share of its cap by which one start that is wider
   * than the cap may exceed it.
   */
  static create (directory: AccountDirectory | undefined, totals: ReadonlyMap<string, Resources>, overage: number): AccountUsage {
    const usage = new AccountUsage(overage)
    for (const { name, cap } of [...directory?.accounts ?? [], ...directory?.retiredAccounts ?? []]) {
      if (!hasCap(cap)) continue
      usage.caps.set(name, cap)
      usage.used.set(name, copyResources(totals.get(name) ?? NO_RESOURCES))
    }
    return usage
  }

  /** True when `count` tasks may start together; only a start that is wider than the cap may use the overage. */
  canStart (account: string | undefined, resources: Resources, count: number): boolean {
    const limited = this.find(account)
    if (limited === undefined) return true
    const { cap, used } = limited
    return RESOURCE_DIMENSIONS.every(dimension => {
      const needed = resources[dimension] * count
      return cap[dimension] === 0 || used[dimension] + needed <= computeLimit(cap[dimension], needed, this.overage) + TOLERANCE
    })
  }

  /** How many of up to `count` tasks, each of which starts by itself, may start. */
  countStartable (account: string | undefined, resources: Resources, count: number): number {
    const limited = this.find(account)
    if (limited === undefined) return count
    const { cap, used } = limited
    const room = createZeroResources()
    for (const dimension of RESOURCE_DIMENSIONS) room[dimension] = cap[dimension] === 0 ? Infinity : cap[dimension] - used[dimension] + TOLERANCE
    const underCap = Math.min(count, countFitting(resources, room))
    return underCap === 0 && count > 0 && this.canStart(account, resources, 1) ? 1 : underCap
  }

  private find (account: string | undefined): { cap: Resources, used: Resources } | undefined {
    const cap = account === undefined ? undefined : this.caps.get(account)
    const used = account === undefined ? undefined : this.used.get(account)
    return cap === undefined || used === undefined ? undefined : { cap, used }
  }

  charge (account: string | undefined, resources: Resources, count: number): void {
    const used = account === undefined ? undefined : this.used.get(account)
    if (used !== undefined) addResources(used, resources, count)
  }
}

/** The part of a unit that may start under the cap of its account; undefined if that is nothing. A gang starts as a whole. */
export function limitToCap (unit: SchedulingUnit, usage: AccountUsage): SchedulingUnit | undefined {
  const { account, spec, waiting, suspects } = unit
  if (account === undefined) return unit
  if (spec.gang) return usage.canStart(account, spec.resources, waiting.length) ? unit : undefined
  const count = usage.countStartable(account, spec.resources, waiting.length)
  if (count === waiting.length) return unit
  if (count === 0) return undefined
  // Suspected tasks are placed first.
  const ordered = [...waiting].sort((one, other) => Number(suspects.has(other)) - Number(suspects.has(one)))
  return { ...unit, waiting: ordered.slice(0, count) }
}

/** Why a job can never start under the cap of its account; empty if it can. A task that is not in a gang is checked by itself. */
export function findCapFault (stages: readonly StageSpec[], directory: AccountDirectory | undefined, name: string | undefined, overage: number): string {
  const cap = name === undefined ? undefined : findAccount(directory, name)?.cap
  if (name === undefined || cap === undefined) return ''
  for (const [index, { gang, taskCount, resources }] of stages.entries()) {
    for (const dimension of RESOURCE_DIMENSIONS) {
      const needed = resources[dimension] * (gang ? taskCount : 1)
      const limit = computeLimit(cap[dimension], needed, overage)
      if (cap[dimension] > 0 && needed > limit + TOLERANCE) {
        return `stage ${index} needs ${needed} ${DIMENSION_NAMES[dimension]} at once, more than account ${name} may use (${Math.floor(limit)}, of which ${cap[dimension]} are its cap)`
      }
    }
  }
  return ''
}

const DIMENSION_NAMES = Object.freeze({ millicores: 'millicores', memoryMib: 'MiB', accelerators: 'accelerators' } as const)

/** What the account may use with a start of `needed`: its cap, or a little more for a single start that is wider than the cap. */
function computeLimit (cap: number, needed: number, overage: number): number {
  return needed > cap + TOLERANCE ? cap + cap * overage : cap
}

/** True when a cap limits at least one resource. */
export function hasCap (cap: Resources): boolean {
  return RESOURCE_DIMENSIONS.some(dimension => cap[dimension] > 0)
}
