/**
 * Settlement of grants: by the report of the entry, or by expiry.
 */

import type { Event } from '../../types/events.js'
import { OutcomeKind } from '../../types/requests.js'
import { TargetPhase, type TargetState } from '../../types/targets.js'
import { ErrorKind } from '../../utils/errors.js'
import { requestKey } from '../apply-decision.js'
import type { Step } from '../step.js'
import { createOutcome, type ActiveGrant, type LiveRequest } from './live-request.js'
import type { RequestTable } from './request-table.js'
import type { Service } from './service.js'

type SettleEvent = Extract<Event, { kind: 'settle' }>

/** Retry delay of a request whose grant was lost. */
const RETRY_AFTER_MS = 1_000

/** Number of lost answers after which a request is not retried: it may crash the runners that it is sent to. */
const LOST_ANSWER_LIMIT = 2

export class GrantSettlement {
  static create (table: RequestTable, hasRetryBudget: boolean): GrantSettlement {
    return new GrantSettlement(table, hasRetryBudget)
  }

  private constructor (private readonly table: RequestTable, private readonly hasRetryBudget: boolean) {}

  /** Handles the report of an entry on the outcome of its grant: settles the request, or queues it again for an allowed retry. */
  settleGrant (event: SettleEvent, step: Step): void {
    const grant = this.table.grants.get(event.grant)
    const key = requestKey(event.caller, event.requestId)
    const live = this.table.live.get(key)
    if (event.outcome.kind !== OutcomeKind.notRun) this.table.history.recordPossibleRun(key, step.now)
    if (grant !== undefined) this.recordEnd(grant, live, event, step)
    if (live?.grant?.id === event.grant) return this.finishOrRetry(live, event, step)
    const record = step.state.requests.get(key)
    if (record?.grant === event.grant) this.table.records.recordLateOutcome(key, record, event.outcome, step)
    const isPending = record === undefined || record.outcome.kind === OutcomeKind.pending
    if (event.retry && isPending) {
      return step.refuse(event.call, ErrorKind.notFound, 'the grant is not in use, so the request cannot be retried under it')
    }
    const first = step.state.requests.get(key)
    step.reply(event.call, { kind: 'outcome', outcome: first?.grant === event.grant ? first.outcome : event.outcome })
  }

  /** Frees the slots of expired grants; requests whose outcome was not reported become unknown. */
  expireGrants (step: Step): void {
    for (const grant of this.table.grants.all) {
      if (step.now < grant.expiresAt + this.table.limits.driftMs) continue
      this.table.releaseGrant(grant)
      this.table.history.recordPossibleRun(grant.key, step.now)
      const live = this.table.live.get(grant.key)
      if (live?.grant !== grant) continue
      this.table.finish(live, createOutcome(OutcomeKind.unknown, 'nobody told how it ended'), step)
    }
  }

  /** Settles a request whose grant was lost in transit and for which the entry did not ask again. */
  expireUnusedGrant (live: LiveRequest, step: Step): void {
    if (live.phase !== 'granted' || live.grant !== undefined) return
    if (live.deadlineAt + this.table.limits.lateMs > step.now) return
    this.table.finish(live, createOutcome(OutcomeKind.notRun, 'its grant was lost and never used', RETRY_AFTER_MS), step)
  }

  /** Frees the slot and updates the statistics and the phase of the runner. */
  private recordEnd (grant: ActiveGrant, live: LiveRequest | undefined, { outcome, retry }: SettleEvent, step: Step): void {
    const runner = this.table.releaseGrant(grant)
    if (runner?.target?.session !== grant.session || live === undefined) return
    const service = this.table.grants.getOrCreateService(live.facts.service)
    if (outcome.kind === OutcomeKind.done) {
      const latencyMs = step.now - grant.grantedAt
      service.recordAnswer(runner, latencyMs)
      if (runner.target.phase === TargetPhase.suspect) this.setPhase(runner.target, TargetPhase.ready, step)
      return
    }
    // A grant that arrived too late to be used is no evidence about its runner.
    if (outcome.kind === OutcomeKind.notRun && !retry) return
    service.recordFailure(runner)
    if (runner.limiter.isSuspect && service.canSuspect(runner)) {
      service.runners.delayProbe(runner, step.now)
      this.setPhase(runner.target, TargetPhase.suspect, step)
    }
  }

  private setPhase (target: TargetState, phase: TargetPhase, step: Step): void {
    step.decide({ kind: 'targetPhaseSet', name: target.name, session: target.session, phase })
  }

  private finishOrRetry (live: LiveRequest, event: SettleEvent, step: Step): void {
    const runner = live.grant?.runner ?? ''
    live.grant = undefined
    if (event.outcome.kind === OutcomeKind.unknown) {
      live.mayHaveRun = true
      live.lostAnswers += 1
    }
    const mayRetry = live.lostAnswers < LOST_ANSWER_LIMIT && (live.facts.idempotent || event.outcome.kind === OutcomeKind.notRun)
    const service = this.table.grants.getOrCreateService(live.facts.service)
    if (event.retry && mayRetry && live.deadlineAt > step.now && this.spendRetry(service)) {
      live.triedRunners.push(runner)
      if (service.hasUntriedRunner(live)) {
        live.call = event.call
        return this.table.enqueue(live, service, step.now)
      }
    }
    live.call = event.call
    this.table.finish(live, event.outcome, step)
  }

  private spendRetry (service: Service): boolean {
    return !this.hasRetryBudget || service.budget.trySpend()
  }
}
