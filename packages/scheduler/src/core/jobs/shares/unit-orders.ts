/**
 * The order in which a placement pass takes the waiting units: by their latest start,
 * or, in a full cell whose callers compete, by their latest start and the shares of
 * their accounts. The latter answers an account that asks for several times its usual
 * work, and large accounts beside small ones whose few jobs would wait behind theirs.
 */

import { hasAccounts, type AccountDirectory } from '../../../types/accounts.js'
import { rankUnits, sortUnits } from '../order/unit-order.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'
import type { WorkerView } from '../workers/worker-view.js'
import { AccountShares } from './account-shares.js'
import type { CellUse } from './cell-use.js'

export abstract class UnitOrder {
  /** The units in the order in which they are placed; `now` is the cluster time in milliseconds. */
  abstract sort (units: Iterable<SchedulingUnit>, now: number): SchedulingUnit[]
}

/** By the priority of the queue and the latest start, whoever the caller is; see `sortUnits`. */
export class LatestStartOrder extends UnitOrder {
  static create (): LatestStartOrder {
    return new LatestStartOrder()
  }

  override sort (units: Iterable<SchedulingUnit>, now: number): SchedulingUnit[] {
    return sortUnits(units, now)
  }
}

/** Within each rank, units of accounts that have their share come after the others. It holds only while the cell is contended. */
export class ShareOrder extends UnitOrder {
  private constructor (private readonly shares: AccountShares) {
    super()
  }

  static create (shares: AccountShares): ShareOrder {
    return new ShareOrder(shares)
  }

  override sort (units: Iterable<SchedulingUnit>, now: number): SchedulingUnit[] {
    const ranked = rankUnits(units, now)
    const ordered = ranked.map(({ unit }) => unit)
    if (!this.shares.isContended(ordered)) return ordered
    const beyond = this.shares.listBeyondShare(ordered)
    // The sort is stable, so that the order by the latest start remains within both groups.
    ranked.sort((one, other) => one.rank - other.rank || Number(beyond.has(one.unit)) - Number(beyond.has(other.unit)))
    return ranked.map(({ unit }) => unit)
  }
}

/** The order for one pass; by shares where the cell has accounts. */
export function createUnitOrder (directory: AccountDirectory | undefined, views: Iterable<WorkerView>, use: CellUse, now: number): UnitOrder {
  if (directory?.accounts === undefined || !hasAccounts(directory)) return LatestStartOrder.create()
  use.refresh(views, now)
  return ShareOrder.create(AccountShares.create(directory.accounts, use))
}
