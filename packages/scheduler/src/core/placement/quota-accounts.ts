/**
 * Quota accounts: the resources that each team uses, its quota and its fair
 * share. Among demands of the same rank, the team with the smallest dominant
 * share relative to its weight is served first (Ghodsi et al., Dominant Resource
 * Fairness, 2011).
 */

import type { TeamState } from '../../types/configuration.js'
import type { Resources } from '../../types/resources.js'
import type { ClusterState } from '../../types/state.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { ClassQueue } from './class-queue.js'
import { addResources, countFitting, createZeroResources, RESOURCE_DIMENSIONS } from './resource-arithmetic.js'

/** Weight of a team without a configured one. */
export const DEFAULT_WEIGHT = 100

export class QuotaAccount {
  /** Declared resources of the tasks of the team that are placed. */
  readonly used: Resources = createZeroResources()
  /** 0 in a dimension means unlimited. */
  quota: Resources = createZeroResources()
  weight = DEFAULT_WEIGHT
  /** Dominant share of the cell, divided by the weight relative to `DEFAULT_WEIGHT`. */
  share = 0
  /** Class queues that are stopped by the quota. */
  readonly overQuotaQueues = new Set<ClassQueue>()

  private constructor (readonly team: string) {}

  static create (team: string): QuotaAccount {
    return new QuotaAccount(team)
  }

  configure (team: TeamState): void {
    this.quota = team.quota
    this.weight = team.weight > 0 ? team.weight : DEFAULT_WEIGHT
  }

  /** Number of further tasks with this need that the quota allows; Infinity without a quota. */
  countTasksWithinQuota (need: Resources): number {
    const remaining = createZeroResources()
    for (const dimension of RESOURCE_DIMENSIONS) {
      remaining[dimension] = this.quota[dimension] > 0
        ? Math.max(0, this.quota[dimension] - this.used[dimension])
        : Infinity
    }
    return countFitting(need, remaining)
  }
}

export class QuotaAccounts {
  private readonly accounts = new Map<string, QuotaAccount>()

  private constructor (private readonly fleet: Fleet) {}

  static create (fleet: Fleet, state: ClusterState): QuotaAccounts {
    const quotaAccounts = new QuotaAccounts(fleet)
    for (const team of state.teams.values()) quotaAccounts.configure(team)
    return quotaAccounts
  }

  /** The account of a team, created when it does not exist yet. */
  getOrCreate (team: string): QuotaAccount {
    let quotaAccount = this.accounts.get(team)
    if (quotaAccount === undefined) this.accounts.set(team, quotaAccount = QuotaAccount.create(team))
    return quotaAccount
  }

  /** Applies the quota and the weight of a team. */
  configure (team: TeamState): QuotaAccount {
    const quotaAccount = this.getOrCreate(team.name)
    quotaAccount.configure(team)
    this.updateShare(quotaAccount)
    return quotaAccount
  }

  /** Charges a team for tasks that were placed, or credits it with a negative count. */
  charge (team: string, amount: Resources, count: number): QuotaAccount {
    const quotaAccount = this.getOrCreate(team)
    addResources(quotaAccount.used, amount, count)
    this.updateShare(quotaAccount)
    return quotaAccount
  }

  /** True when the quota allows the next task of the demand, or all waiting tasks of a gang. */
  isWithinQuota (demand: Demand): boolean {
    const tasksAtOnce = demand.isGang ? demand.waitingCount : 1
    return this.getOrCreate(demand.workload.spec.team).countTasksWithinQuota(demand.need) >= tasksAtOnce
  }

  /** Recomputes all shares after the capacity of the cell changed. */
  updateShares (): void {
    for (const quotaAccount of this.accounts.values()) this.updateShare(quotaAccount)
  }

  private updateShare (quotaAccount: QuotaAccount): void {
    quotaAccount.share = this.fleet.computeDominantShare(quotaAccount.used) * DEFAULT_WEIGHT / quotaAccount.weight
  }
}
