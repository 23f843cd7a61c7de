/**
 * What each team holds against its quota and its fair share. The team with the
 * smallest dominant share for its weight goes first (Ghodsi et al., Dominant
 * Resource Fairness, 2011).
 */

import type { TeamState } from '../../types/configuration.js'
import type { Resources } from '../../types/resources.js'
import type { ClusterState } from '../../types/state.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { ShapeLine } from './lines.js'
import { addSize, countWithin, createSize, DIMENSIONS } from './sizes.js'

export const DEFAULT_WEIGHT = 100

export class Account {
  readonly used: Resources = createSize()
  /** Zero in a dimension is no limit. */
  quota: Resources = createSize()
  weight = DEFAULT_WEIGHT
  /** Dominant share of the cell over the weight. */
  share = 0
  /** Lines that wait for the quota. */
  readonly overQuota = new Set<ShapeLine>()

  private constructor (readonly team: string) {}

  static create (team: string): Account {
    return new Account(team)
  }

  configure (team: TeamState): void {
    this.quota = team.quota
    this.weight = team.weight > 0 ? team.weight : DEFAULT_WEIGHT
  }

  /** How many more tasks of a need the quota allows; Infinity without a quota. */
  countAllowed (need: Resources): number {
    const left = createSize()
    for (const dimension of DIMENSIONS) {
      left[dimension] = this.quota[dimension] > 0
        ? Math.max(0, this.quota[dimension] - this.used[dimension])
        : Infinity
    }
    return countWithin(need, left)
  }
}

export class Ledger {
  private readonly accounts = new Map<string, Account>()

  private constructor (private readonly fleet: Fleet) {}

  static create (fleet: Fleet, state: ClusterState): Ledger {
    const ledger = new Ledger(fleet)
    for (const team of state.teams.values()) ledger.configure(team)
    return ledger
  }

  get (team: string): Account {
    let account = this.accounts.get(team)
    if (account === undefined) this.accounts.set(team, account = Account.create(team))
    return account
  }

  configure (team: TeamState): Account {
    const account = this.get(team.name)
    account.configure(team)
    this.updateShare(account)
    return account
  }

  /** Charges a team for tasks that took room, or gives back with a negative count. */
  charge (team: string, amount: Resources, count: number): Account {
    const account = this.get(team)
    addSize(account.used, amount, count)
    this.updateShare(account)
    return account
  }

  /** True when the quota allows the tasks that have to be placed together. */
  isAllowed (demand: Demand): boolean {
    const together = demand.isGang ? demand.waitingCount : 1
    return this.get(demand.workload.spec.team).countAllowed(demand.need) >= together
  }

  /** Counts all shares anew after the cell grew or shrank. */
  updateShares (): void {
    for (const account of this.accounts.values()) this.updateShare(account)
  }

  private updateShare (account: Account): void {
    account.share = this.fleet.shareOf(account.used) * DEFAULT_WEIGHT / account.weight
  }
}
