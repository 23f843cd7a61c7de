/**
 * Recovery of requests. A new leader restores the claims of its predecessor and
 * receives from the entries the grants that are in use. The waiting requests of a
 * lost entry are transferred to other calls for the same request, or dropped.
 */

import { OutcomeKind, type EntryReport, type ReportedGrant, type RequestState } from '../../types/requests.js'
import { Urgency } from '../../types/workloads.js'
import { requestKey } from '../apply-decision.js'
import type { Step } from '../step.js'
import { createOutcome, createLiveRequest, type ActiveGrant, type LiveRequest } from './live-request.js'
import type { RequestTable } from './request-table.js'

export class RequestRecovery {
  static create (table: RequestTable): RequestRecovery {
    return new RequestRecovery(table)
  }

  private constructor (private readonly table: RequestTable) {}

  /** Restores a request that a previous leader claimed and that is not settled. */
  restoreRequest (request: RequestState): void {
    if (request.outcome.kind !== OutcomeKind.pending) return
    const key = requestKey(request.caller, request.requestId)
    const facts = {
      caller: request.caller,
      requestId: request.requestId,
      service: request.service,
      idempotent: false,
      urgency: Urgency.normal,
      deadlineMs: Math.max(0, request.expiresAt - this.table.limits.lateMs - request.claimedAt),
      digest: request.digest,
      createdMs: request.createdMs,
      instance: request.instance,
      token: request.token,
      attempt: request.attempt
    }
    const live = createLiveRequest(key, facts, '', 0, request.claimedAt)
    live.phase = 'granted'
    live.grant = {
      id: request.grant,
      runner: request.runner,
      session: request.session,
      slot: 0,
      instance: request.instance,
      token: request.token,
      key,
      grantedAt: request.claimedAt,
      expiresAt: request.expiresAt
    }
    this.table.live.set(key, live)
    this.table.grants.add(live.grant)
  }

  /**
   * Handles the report of an entry on the grants that it has in use. A report that arrives after a later one is ignored:
   * it does not contain the grants of the time between the two.
   */
  handleGrantReport ({ instance, sequence, grants, tokens }: EntryReport, step: Step): void {
    if (!this.table.entryHorizons.recordReport(instance, sequence)) return
    const reported = new Set([...grants.map(grant => grant.id), ...tokens])
    for (const activeGrant of this.table.grants.all) {
      if (activeGrant.instance !== instance || reported.has(activeGrant.id) || reported.has(activeGrant.token)) continue
      // The entry may have used an expired grant and given up the report of its outcome.
      if (activeGrant.expiresAt <= step.now) continue
      // The answer with the grant was lost in transit, and the entry no longer works on the request.
      this.releaseLost(activeGrant)
    }
    for (const grant of grants) {
      if (this.table.grants.get(grant.id) === undefined) this.addReportedGrant(instance, grant, step)
    }
    for (const service of this.table.grants.allServices) this.table.changedServices.add(service)
  }

  /** Drops the calls of a lost entry and transfers its waiting requests; its grants stay in use until they expire. */
  handleEntryLoss (entry: string, step: Step): void {
    for (const live of [...this.table.live.values()]) {
      live.waiters = live.waiters.filter(waiter => waiter.entry !== entry)
      if (live.entry !== entry || live.phase !== 'waiting') continue
      this.transferOrDrop(live, step)
    }
    for (const service of this.table.grants.allServices) this.table.changedServices.add(service)
  }

  private releaseLost (grant: ActiveGrant): void {
    this.table.releaseGrant(grant)
    const live = this.table.live.get(grant.key)
    if (live?.grant === grant) live.grant = undefined
  }

  private addReportedGrant (instance: string, grant: ReportedGrant, step: Step): void {
    this.table.grants.add({
      id: grant.id,
      runner: grant.runner,
      session: '',
      slot: grant.slot,
      instance,
      token: '',
      key: requestKey(grant.caller, grant.requestId),
      grantedAt: step.now,
      expiresAt: step.now + grant.expiresInMs
    })
  }

  /**
   * Transfers a request to the next call that waits for it. When there is none, settles a request with a durable record
   * as not run and drops any other.
   */
  private transferOrDrop (live: LiveRequest, step: Step): void {
    if (live.waiters.length === 0 && step.state.requests.has(live.key)) {
      return this.table.finish(live, createOutcome(OutcomeKind.notRun, 'its entry was lost before it was sent'), step)
    }
    live.phase = 'over'
    this.table.live.delete(live.key)
    const service = this.table.grants.getOrCreateService(live.facts.service)
    service.queue.handleDeparture()
    const next = live.waiters.shift()
    if (next === undefined) return
    const deadlineMs = Math.max(0, next.deadlineAt - step.now)
    const facts = { ...live.facts, deadlineMs, instance: next.instance, token: next.token, attempt: next.attempt }
    const request = createLiveRequest(live.key, facts, next.entry, next.call, step.now)
    request.order = live.order
    request.waiters = live.waiters
    this.table.live.set(request.key, request)
    this.table.enqueue(request, service, step.now)
  }
}
