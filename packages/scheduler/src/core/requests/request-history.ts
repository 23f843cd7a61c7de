/**
 * The history of idempotent requests: recent outcomes, for repeats and fetches,
 * and the requests that may have run, so that none of them is reported as not run.
 */

import type { Limits } from '../../types/limits.js'
import { OutcomeKind, type Outcome } from '../../types/requests.js'
import type { ClusterState } from '../../types/state.js'
import type { LiveRequest } from './live-request.js'
import { RecentOutcomes, type RecentOutcome } from './recent-outcomes.js'
import { CALLER_CLOCK_AHEAD_MAX_MS } from './request-records.js'
import { RunFilter } from './run-filter.js'

export class RequestHistory {
  private readonly recentOutcomes: RecentOutcomes
  private readonly filter: RunFilter

  static create (limits: Limits, state: ClusterState | undefined, now: number): RequestHistory {
    const hasEarlierGrants = state !== undefined && state.grantHorizon > 0
    return new RequestHistory(limits, hasEarlierGrants ? now + CALLER_CLOCK_AHEAD_MAX_MS : 0, now)
  }

  private constructor (
    private readonly limits: Limits,
    /** Latest creation time of requests that a previous leader may have granted, in milliseconds; 0 when none granted any. */
    private readonly previousGrantCreatedMaxMs: number,
    now: number
  ) {
    this.recentOutcomes = RecentOutcomes.create(limits.recentLimit)
    this.filter = RunFilter.create(limits.retentionMs, now)
  }

  getOutcome (key: string): RecentOutcome | undefined {
    return this.recentOutcomes.get(key)
  }

  /** Keeps an outcome, except when the request did not run: then the caller may retry under the same id. */
  put (live: LiveRequest, outcome: Outcome): void {
    if (outcome.kind !== OutcomeKind.notRun) this.recentOutcomes.put(live.key, live.facts.digest, outcome)
  }

  /** Records that a runner may have run a request. */
  recordPossibleRun (key: string, now: number): void {
    this.filter.add(key, now)
  }

  /** Turns "not run" and "cancelled" into "unknown" when an earlier attempt, or one under a previous leader, may have run. */
  correctOutcome (live: LiveRequest, outcome: Outcome, state: ClusterState, now: number): Outcome {
    const saysNotRun = outcome.kind === OutcomeKind.notRun || outcome.kind === OutcomeKind.cancelled
    if (!saysNotRun || !(live.mayHaveRun || this.mayHaveRun(live, state, now))) return outcome
    return { ...outcome, kind: OutcomeKind.unknown }
  }

  /** Always false for a request that is not idempotent: its durable record answers this question. */
  private mayHaveRun ({ facts, key }: LiveRequest, state: ClusterState, now: number): boolean {
    if (!facts.idempotent) return false
    if (this.filter.mayContain(key)) return true
    if (this.previousGrantCreatedMaxMs === 0 || facts.createdMs > this.previousGrantCreatedMaxMs) return false
    return facts.createdMs > 0 || now < state.grantHorizon + this.limits.retentionMs
  }
}
