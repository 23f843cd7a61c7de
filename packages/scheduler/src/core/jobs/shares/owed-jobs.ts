/**
 * Counts the jobs of each client account over a sliding window, to tell those that
 * the account is owed by its weight from those beyond it. It answers bursts of one
 * account that sends several times its usual rate to a cell that is full: its
 * surplus is served after the work that is owed to others, and what it is owed is
 * served as on any other day. Only owed jobs are counted, so that an account that
 * sends too much all the time still gets its weight.
 */

import type { ClientAccount } from '../../../types/accounts.js'
import type { StagedJob } from '../../../types/jobs.js'

const SECOND_MS = 1_000

export class OwedJobs {
  /** Cluster times in milliseconds, in ascending order, at which owed jobs were accepted, by account name. */
  private readonly acceptances = new Map<string, number[]>()

  private constructor (private readonly windowMs: number) {}

  static create (windowMs: number): OwedJobs {
    return new OwedJobs(windowMs)
  }

  /** Counts again from the jobs in the replicated state, as a new leader does. */
  reset (jobs: Iterable<StagedJob>): void {
    this.acceptances.clear()
    for (const { account, isBeyondWeight, acceptedAt } of jobs) this.record(account, isBeyondWeight, acceptedAt)
    for (const times of this.acceptances.values()) times.sort((one, other) => one - other)
  }

  /** Records an accepted job; one without an account or beyond the weight of its account is not counted. */
  record (account: string | undefined, isBeyondWeight: boolean | undefined, at: number): void {
    if (account === undefined || isBeyondWeight === true) return
    const times = this.acceptances.get(account)
    if (times === undefined) this.acceptances.set(account, [at])
    else times.push(at)
  }

  /** True when a further job of an account is beyond what it is owed. Jobs without an account have no limit; an account without a weight is owed nothing. */
  isBeyondWeight (account: ClientAccount | undefined, now: number): boolean {
    if (account === undefined) return false
    const { name, weight } = account
    if (weight <= 0) return true
    // An account that is owed less than one job in the window is owed one in the time that its weight takes for it.
    const windowMs = Math.max(this.windowMs, SECOND_MS / weight)
    const times = this.acceptances.get(name) ?? []
    const firstInWindow = times.findIndex(at => at > now - windowMs)
    times.splice(0, firstInWindow < 0 ? times.length : firstInWindow)
    return times.length >= weight * windowMs / SECOND_MS
  }
}
