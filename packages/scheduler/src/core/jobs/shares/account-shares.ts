/**
 * Weighted dominant shares of client accounts (Ghodsi et al., Dominant Resource
 * Fairness, 2011), for a cell that is full because several accounts ask for more than
 * it has. An account is entitled to its weight over the weights of all accounts that
 * run or wait at that moment, so the shares of idle accounts are lent to the others.
 */

import type { ClientAccount } from '../../../types/accounts.js'
import type { Resources } from '../../../types/resources.js'
import { addResources, computeDominantShare, copyResources, createZeroResources } from '../../placement/resource-arithmetic.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'
import type { CellUse } from './cell-use.js'

/**
 * Dominant share of a service, running and waiting together, from which it is contended. It is below 1 because units wait
 * before the cell is full: the admission service allows a part of the workers, and large tasks leave gaps.
 */
const CONTENDED_SHARE = 0.9

export class AccountShares {
  private constructor (private readonly weights: ReadonlyMap<string, number>, private readonly use: CellUse) {}

  static create (accounts: readonly ClientAccount[], use: CellUse): AccountShares {
    return new AccountShares(new Map(accounts.map(({ name, weight }) => [name, weight])), use)
  }

  /** True when some service runs, and is asked for, so much that some of it has to wait. */
  isContended (units: Iterable<SchedulingUnit>): boolean {
    const wanted = new Map([...this.use.services].map(([service, { used }]) => [service, copyResources(used)]))
    for (const unit of units) {
      const amount = wanted.get(unit.queue.service)
      if (amount !== undefined) addDemand(amount, unit)
    }
    return [...this.use.services].some(([service, { capacity, used }]) => computeDominantShare(wanted.get(service) ?? used, capacity) > CONTENDED_SHARE)
  }

  /**
   * The units that start once their account has its share, given units in the order in which they are placed. What precedes a
   * unit counts as placed, so that one pass gives an account no more than its share before others have theirs. Jobs without an
   * account, and those of an account that was removed, are in no share.
   */
  listBeyondShare (units: readonly SchedulingUnit[]): Set<SchedulingUnit> {
    const active = new Set([...this.use.accounts.keys(), ...units.flatMap(({ account }) => account ?? [])])
    let total = 0
    for (const name of active) total += this.weights.get(name) ?? 0
    const amounts = new Map<string, Resources>()
    const beyond = new Set<SchedulingUnit>()
    for (const unit of units) {
      const { account } = unit
      const weight = account === undefined ? undefined : this.weights.get(account)
      if (account === undefined || weight === undefined) continue
      const amount = amounts.get(account) ?? copyResources(this.use.accounts.get(account) ?? createZeroResources())
      amounts.set(account, amount)
      if (computeDominantShare(amount, this.use.capacity) * total >= weight) beyond.add(unit)
      else addDemand(amount, unit)
    }
    return beyond
  }
}

function addDemand (sum: Resources, { spec: { resources, fills }, waiting }: SchedulingUnit): void {
  addResources(sum, fills ? { ...resources, millicores: 0 } : resources, waiting.length)
}
