/**
 * The durable records of requests that must not run twice: when a request may be
 * claimed, how its outcome is recorded, and when its record may be removed. After
 * that, a repeat is still refused: by its creation time, or by its fingerprint.
 */

import type { Limits } from '../../types/limits.js'
import { OutcomeKind, type Outcome, type RequestFacts, type RequestState } from '../../types/requests.js'
import type { ClusterState } from '../../types/state.js'
import { ErrorKind, Failure } from '../../utils/errors.js'
import { requestFingerprint } from '../apply-decision.js'
import type { Step } from '../step.js'
import { createOutcome, type ActiveGrant, type LiveRequest } from './live-request.js'

/** How far a caller's clock may be ahead of cluster time, in milliseconds. */
export const CALLER_CLOCK_AHEAD_MAX_MS = 60_000
/** Retry delay of a request that was refused because the limit of records is reached. */
const RETRY_AFTER_MS = 1_000

export class RequestRecords {
  /** Total size of the response bodies in the records. */
  private bodyBytes = 0

  static create (limits: Limits, state?: ClusterState): RequestRecords {
    const records = new RequestRecords(limits)
    for (const request of state?.requests.values() ?? []) records.bodyBytes += request.outcome.body.length
    return records
  }

  private constructor (private readonly limits: Limits) {}

  /** Returns why a request without a record cannot be claimed; undefined when it can. */
  findClaimRefusal (facts: RequestFacts, key: string, state: ClusterState, now: number): Failure | undefined {
    if (facts.createdMs > now + CALLER_CLOCK_AHEAD_MAX_MS) {
      return Failure.create(ErrorKind.invalidArgument, 'created_ms is too far in the future')
    }
    if (this.isForgotten(facts.createdMs, key, state, now)) {
      const message = `the request is older than ${this.limits.retentionMs} ms; whether it ran is no longer known`
      return Failure.create(ErrorKind.failedPrecondition, message)
    }
    if (facts.createdMs === 0 && state.forgottenRequests.size >= this.limits.forgottenLimit) {
      return Failure.create(ErrorKind.failedPrecondition, 'created_ms is required: the limit of remembered requests without it is reached')
    }
    if (state.requests.size >= this.limits.requestLimit) {
      return Failure.create(ErrorKind.resourceExhausted, 'the limit of remembered requests that are not idempotent is reached; retry later', { retryAfterMs: RETRY_AFTER_MS })
    }
    return undefined
  }

  claim (live: LiveRequest, grant: ActiveGrant, step: Step): void {
    step.decide({ kind: 'requestClaimed', request: createRecord(live, grant, step.now) })
  }

  /** Records the outcome of a request, whether or not it was claimed. */
  recordOutcome (live: LiveRequest, outcome: Outcome, step: Step): void {
    if (step.state.requests.has(live.key)) return this.replaceRecordedOutcome(live.key, outcome, step)
    const request = { ...createRecord(live, undefined, step.now), outcome, settledAt: step.now }
    step.decide({ kind: 'requestClaimed', request })
  }

  /** Records an outcome that arrives after the request was settled as unknown; later ones are ignored. */
  recordLateOutcome (key: string, record: RequestState, outcome: Outcome, step: Step): void {
    if (record.outcome.kind !== OutcomeKind.unknown) return
    if (outcome.kind === OutcomeKind.done || outcome.kind === OutcomeKind.notRun) this.replaceRecordedOutcome(key, outcome, step)
  }

  /** Removes the records of settled requests that are old enough for a repeat to be refused without the record. */
  forgetExpired (step: Step): void {
    for (const [key, request] of step.state.requests) {
      if (request.outcome.kind === OutcomeKind.pending) continue
      // The map is in the order of the claims, so the search ends at the first record that is too young.
      if (request.claimedAt + this.limits.retentionMs > step.now) return
      const keptUntil = Math.max(request.createdMs, request.settledAt) + this.limits.retentionMs
      if (keptUntil > step.now) continue
      this.bodyBytes -= request.outcome.body.length
      step.decide({ kind: 'requestForgotten', key })
    }
  }

  private replaceRecordedOutcome (key: string, outcome: Outcome, step: Step): void {
    step.decide({ kind: 'requestSettled', key, outcome: this.limitBody(outcome), at: step.now })
  }

  private isForgotten (createdMs: number, key: string, state: ClusterState, now: number): boolean {
    if (createdMs === 0) return state.forgottenRequests.has(requestFingerprint(key))
    return createdMs <= state.requestFloor || createdMs + this.limits.retentionMs <= now
  }

  /** Drops the body when the size limit is reached; the digest still identifies it. */
  private limitBody (outcome: Outcome): Outcome {
    if (this.bodyBytes + outcome.body.length <= this.limits.bodyLimit) {
      this.bodyBytes += outcome.body.length
      return outcome
    }
    return { ...outcome, body: new Uint8Array(), reason: 'it ran, but there was no room to keep its answer' }
  }
}

function createRecord (live: LiveRequest, grant: ActiveGrant | undefined, now: number): RequestState {
  return {
    caller: live.facts.caller,
    requestId: live.facts.requestId,
    digest: live.facts.digest,
    service: live.facts.service,
    runner: grant?.runner ?? '',
    session: grant?.session ?? '',
    grant: grant?.id ?? '',
    instance: grant?.instance ?? '',
    token: live.facts.token,
    attempt: live.facts.attempt,
    createdMs: live.facts.createdMs,
    expiresAt: grant?.expiresAt ?? 0,
    outcome: createOutcome(OutcomeKind.pending, ''),
    claimedAt: now,
    settledAt: 0
  }
}
