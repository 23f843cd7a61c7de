/**
 * Requests from callers to runners. An entry asks for a grant, which names one
 * slot of one runner; the entry sends the request itself and reports the outcome.
 *
 * A request that is not idempotent is claimed by a decision before its grant is
 * sent to the entry, so that no later leader grants it again and no other entry
 * sends it again. Its record is kept until a repeat can be refused without it: by
 * its creation time, or by its fingerprint when the caller stated no creation time.
 */

import type { Decision } from '../../types/decisions.js'
import type { Event, EventKind } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import { OutcomeKind, type Outcome } from '../../types/requests.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, type TargetState } from '../../types/targets.js'
import { ErrorKind } from '../../utils/errors.js'
import { requestKey } from '../apply-decision.js'
import { Component } from '../component.js'
import type { Step } from '../step.js'
import { GrantSettlement } from './grant-settlement.js'
import { createOutcome, createLiveRequest, type LiveRequest } from './live-request.js'
import { GrantMatcher } from './grant-matcher.js'
import { RequestTable } from './request-table.js'
import type { Service } from './service.js'
import { RequestRecovery } from './request-recovery.js'

type Acquire = Extract<Event, { kind: 'acquire' }>

const NO_RUNNER = createOutcome(OutcomeKind.notRun, 'no runner offers the service', 1_000)

export interface RequestOptions {
  /** True limits retries by the retry budget; false allows any number and is used only by benchmarks, for comparison. */
  hasRetryBudget: boolean
}

const DEFAULT_OPTIONS: Readonly<RequestOptions> = Object.freeze({ hasRetryBudget: true })

export class Requests extends Component {
  readonly handledKinds: readonly EventKind[] = ['acquire', 'settle', 'cancelRequest', 'fetchOutcome', 'grantsHeld', 'entryLost']

  private table: RequestTable
  private matcher: GrantMatcher
  private settlement: GrantSettlement
  private recovery: RequestRecovery

  static create (limits: Limits, options: Partial<RequestOptions> = {}): Requests {
    return new Requests(limits, { ...DEFAULT_OPTIONS, ...options })
  }

  private constructor (private readonly limits: Limits, private readonly options: RequestOptions) {
    super()
    this.table = RequestTable.create(limits)
    this.matcher = GrantMatcher.create(this.table)
    this.settlement = GrantSettlement.create(this.table, options.hasRetryBudget)
    this.recovery = RequestRecovery.create(this.table)
  }

  /** Number of slots in use on a runner. */
  countInFlight (name: string): number {
    return this.table.grants.countInFlight(name)
  }

  override reset (state: ClusterState, now: number): void {
    this.table = RequestTable.create(this.limits, state, now)
    this.matcher = GrantMatcher.create(this.table)
    this.settlement = GrantSettlement.create(this.table, this.options.hasRetryBudget)
    this.recovery = RequestRecovery.create(this.table)
    for (const target of state.targets.values()) this.putRunner(target, state)
    for (const request of state.requests.values()) this.recovery.restoreRequest(request)
  }

  override handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'acquire': return this.acquire(event, step)
      case 'settle': return this.settlement.settleGrant(event, step)
      case 'cancelRequest': return this.cancel(event, step)
      case 'fetchOutcome': return this.replyWithOutcome(event, step)
      case 'grantsHeld': return this.recovery.handleGrantReport(event.report, step)
      case 'entryLost': return this.recovery.handleEntryLoss(event.entry, step)
    }
  }

  override observe (decision: Decision, state: ClusterState, _now: number): void {
    switch (decision.kind) {
      case 'targetAnnounced': return this.putRunner(state.targets.get(decision.target.name) ?? decision.target, state)
      case 'targetPhaseSet': return this.markServiceChanged(state.targets.get(decision.name))
      case 'targetRemoved':
        for (const service of this.table.grants.allServices) service.runners.remove(decision.name)
        return
      case 'vmDrained':
      case 'vmReadmitted':
        for (const target of state.targets.values()) {
          if (target.vm === decision.vm) this.putRunner(target, state)
        }
    }
  }

  override reconcile (step: Step): void {
    for (const service of this.table.changedServices) this.matcher.match(service, step)
    this.table.changedServices.clear()
  }

  override tick (step: Step): void {
    this.table.entryHorizons.tick(step)
    this.settlement.expireGrants(step)
    for (const live of [...this.table.live.values()]) {
      this.answerExpiredWaiters(live, step)
      this.settlement.expireUnusedGrant(live, step)
    }
    for (const service of this.table.grants.allServices) {
      this.shedLate(service, step)
      this.table.changedServices.add(service)
    }
    this.table.records.forgetExpired(step)
  }

  // Acquire

  private acquire (event: Acquire, step: Step): void {
    const { facts, call, entry } = event
    const key = requestKey(facts.caller, facts.requestId)
    const live = this.table.live.get(key)
    if (live !== undefined) return this.joinLive(live, event, step)
    const record = step.state.requests.get(key)
    if (record !== undefined) return this.answerRepeat(record, facts.digest, call, step)
    const recent = this.table.history.getOutcome(key)
    if (recent !== undefined) return this.answerRepeat(recent, facts.digest, call, step)
    const claimRefusal = facts.idempotent ? undefined : this.table.records.findClaimRefusal(facts, key, step.state, step.now)
    if (claimRefusal !== undefined) return step.refuse(call, claimRefusal.kind, claimRefusal.message, claimRefusal.retryAfterMs)
    const request = createLiveRequest(key, facts, entry, call, step.now)
    const service = this.table.grants.findService(facts.service)
    if (service === undefined) return this.table.finish(request, NO_RUNNER, step)
    const shedOutcome = service.findShedOutcome(request, step.now, this.limits.queueLimit)
    if (shedOutcome !== undefined) return this.table.finish(request, shedOutcome, step)
    this.table.live.set(key, request)
    this.table.enqueue(request, service, step.now)
  }

  /** Handles a repeat of a request that waits or runs. */
  private joinLive (live: LiveRequest, event: Acquire, step: Step): void {
    const { facts, call, entry } = event
    if (live.facts.digest !== facts.digest) return this.refuseConflict(call, step)
    const { token, attempt } = facts
    const earlier = live.facts.token === token ? live.facts : live.waiters.find(waiter => waiter.token === token)
    // It was sent over a link that was replaced since, so the entry may use the grant that it got over the new one.
    if (earlier !== undefined && attempt < earlier.attempt) return step.refuse(call, ErrorKind.cancelled, 'a later call of the same execution has arrived')
    if (live.facts.token !== token) {
      live.waiters = live.waiters.filter(waiter => waiter.token !== token)
      live.waiters.push({ call, entry, instance: facts.instance, token, attempt, deadlineAt: step.now + facts.deadlineMs })
      return
    }
    live.call = call
    if (live.phase === 'waiting') {
      live.facts = { ...live.facts, attempt }
      return
    }
    // A repeat under the same token means that the answer with the grant was lost, so nothing was sent under the grant.
    if (live.grant !== undefined) this.table.releaseGrant(live.grant)
    live.grant = undefined
    live.deadlineAt = step.now + facts.deadlineMs
    live.facts = facts
    live.entry = entry
    this.table.enqueue(live, this.table.grants.getOrCreateService(facts.service), step.now)
  }

  private answerRepeat (first: { digest: string, outcome: Outcome }, digest: string, call: number, step: Step): void {
    if (first.digest !== digest) return this.refuseConflict(call, step)
    step.reply(call, { kind: 'outcome', outcome: first.outcome })
  }

  private refuseConflict (call: number, step: Step): void {
    step.refuse(call, ErrorKind.conflict, 'the request id was already used with other content')
  }

  // Cancel and fetch

  private cancel (event: Extract<Event, { kind: 'cancelRequest' }>, step: Step): void {
    const live = this.table.live.get(requestKey(event.caller, event.requestId))
    if (live?.phase !== 'waiting') return this.replyWithOutcome(event, step)
    const outcome = createOutcome(OutcomeKind.cancelled, 'cancelled before it ran')
    this.table.finish(live, outcome, step)
    step.reply(event.call, { kind: 'outcome', outcome })
  }

  private replyWithOutcome (event: { call: number, caller: string, requestId: string }, step: Step): void {
    const key = requestKey(event.caller, event.requestId)
    const outcome = step.state.requests.get(key)?.outcome ?? this.table.history.getOutcome(key)?.outcome
    if (outcome !== undefined) return step.reply(event.call, { kind: 'outcome', outcome })
    const live = this.table.live.get(key)
    if (live === undefined) return step.refuse(event.call, ErrorKind.notFound, 'the request is not known, or its outcome is no longer kept')
    step.reply(event.call, { kind: 'outcome', outcome: createOutcome(OutcomeKind.pending, `it is ${live.phase}`) })
  }

  // Timeouts

  private answerExpiredWaiters (live: LiveRequest, step: Step): void {
    const expired = live.waiters.filter(waiter => waiter.deadlineAt <= step.now)
    if (expired.length === 0) return
    live.waiters = live.waiters.filter(waiter => waiter.deadlineAt > step.now)
    const outcome = createOutcome(OutcomeKind.pending, 'an earlier call of the same request is still in progress')
    for (const waiter of expired) step.reply(waiter.call, { kind: 'outcome', outcome })
  }

  private shedLate (service: Service, step: Step): void {
    for (const live of service.queue.waiting()) {
      if (!service.isTooLate(live, step.now)) continue
      this.table.finish(live, service.createShedOutcome('it can no longer be done before its deadline'), step)
    }
  }

  // Runners

  private putRunner (target: TargetState, state: ClusterState): void {
    if (target.kind !== TargetKind.runner) return
    const service = this.table.grants.getOrCreateService(target.service)
    for (const other of this.table.grants.allServices) {
      if (other !== service) other.runners.remove(target.name)
    }
    service.runners.put(target, state.drainedVms.has(target.vm))
    this.table.changedServices.add(service)
  }

  private markServiceChanged (target: TargetState | undefined): void {
    if (target?.kind === TargetKind.runner) this.table.changedServices.add(this.table.grants.getOrCreateService(target.service))
  }
}
