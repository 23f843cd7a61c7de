/**
 * The leader's tables of requests in progress, and the operations on them that
 * several of the modules in this folder share.
 */

import type { Answer } from '../../types/answers.js'
import type { Limits } from '../../types/limits.js'
import type { Outcome } from '../../types/requests.js'
import type { ClusterState } from '../../types/state.js'
import type { Step } from '../step.js'
import { EntryHorizons } from './entry-horizons.js'
import { ActiveGrants } from './active-grants.js'
import { RequestHistory } from './request-history.js'
import type { ActiveGrant, LiveRequest } from './live-request.js'
import { RequestRecords } from './request-records.js'
import type { Runner } from './runner-pool.js'
import type { Service } from './service.js'

export class RequestTable {
  readonly grants: ActiveGrants
  /** Requests that wait or run, by key. */
  readonly live = new Map<string, LiveRequest>()
  /** Recent outcomes of idempotent requests, and which of them may have run; kept in memory. */
  readonly history: RequestHistory
  /** Records of requests that are not idempotent, in the replicated state. */
  readonly records: RequestRecords
  readonly entryHorizons: EntryHorizons
  /** Services in which a waiting request may now get a slot. */
  readonly changedServices = new Set<Service>()

  static create (limits: Limits, state?: ClusterState, now = 0): RequestTable {
    return new RequestTable(limits, state, now)
  }

  private constructor (readonly limits: Limits, state: ClusterState | undefined, now: number) {
    this.grants = ActiveGrants.create(limits.entryLimit)
    this.history = RequestHistory.create(limits, state, now)
    this.records = RequestRecords.create(limits, state)
    this.entryHorizons = EntryHorizons.create(limits, state, now)
  }

  /** Adds a request to the queue of its service. */
  enqueue (request: LiveRequest, service: Service, now: number): void {
    request.phase = 'waiting'
    service.enqueue(request, now)
    this.changedServices.add(service)
  }

  /** Frees the slot of a grant; returns the runner, or undefined when it no longer exists. */
  releaseGrant (grant: ActiveGrant): Runner | undefined {
    const runner = this.grants.release(grant)
    const service = this.grants.findServiceOfRunner(grant.runner)
    if (service !== undefined) this.changedServices.add(service)
    return runner
  }

  /**
   * Settles a request, unless it is settled already: records its outcome, corrected if the request
   * may have run earlier, and answers every call that waits for it.
   */
  finish (live: LiveRequest, uncorrectedOutcome: Outcome, step: Step): void {
    if (live.phase === 'over') return
    const outcome = this.history.correctOutcome(live, uncorrectedOutcome, step.state, step.now)
    const wasQueued = live.phase === 'waiting' && this.live.has(live.key)
    live.phase = 'over'
    this.live.delete(live.key)
    if (wasQueued) this.grants.getOrCreateService(live.facts.service).queue.handleDeparture()
    if (live.facts.idempotent) this.history.put(live, outcome)
    else this.records.recordOutcome(live, outcome, step)
    const answer: Answer = { kind: 'outcome', outcome }
    if (live.call !== 0) step.reply(live.call, answer)
    for (const waiter of live.waiters) step.reply(waiter.call, answer)
  }
}
