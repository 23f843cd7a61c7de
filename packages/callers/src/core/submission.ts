/**
 * One execution of Submit: obtains a grant from the leader, sends the request to the
 * runner of the grant, reports the outcome to the leader, and answers the caller.
 *
 * The caller is answered once, by the outcome or by the deadline, whichever comes first.
 * After the deadline the submission continues for a limited time, so that a late answer
 * still reaches the leader, where the caller can fetch it.
 */

import {
  ErrorKind, OutcomeKind, createOutcome, isFailure, toFailure,
  type Answer, type Grant, type ReportedGrant, type Outcome, type RequestFacts
} from '@flamingorouter/scheduler'
import type { LeaderChannel, LeaderCall, RunnerCallResult, RunnerClient } from '../types/clients.js'
import type { FlowLimits } from '../types/limits.js'
import type { Timers } from '../types/timers.js'

export interface SubmissionOptions {
  leader: LeaderChannel
  runners: RunnerClient
  limits: FlowLimits
  timers: Timers
  facts: RequestFacts
  payload: Uint8Array
}

/**
 * Added to the end of a grant, in milliseconds, to cover the drift between the clocks of entry and leader and the
 * interval at which the leader frees expired grants.
 */
const GRANT_EXPIRY_MARGIN_MS = 1_000

export class Submission {
  /** The answer to the caller; rejects with a Failure when the request was refused or the leader could not be reached. */
  readonly outcome: Promise<Outcome>
  /** Resolves when the request needs no further work, which may be after the caller was answered. */
  readonly finished: Promise<void>

  private readonly deadlineAt: number
  private grant: Grant | undefined
  /** Time after which the grant is expired at the leader as well, by the entry's clock in milliseconds. */
  private grantExpiresAt = 0
  /** True once a call may have reached a runner that did not refuse it. */
  private mayHaveRun = false
  private isAnswered = false
  /** Number of acquire calls so far. */
  private acquireCount = 0
  /** The outcome of the runner's answer, which the leader may not have recorded yet. */
  private runnerOutcome: Outcome | undefined
  private cancelTimer: () => void
  private resolveOutcome: (outcome: Outcome) => void = () => {}
  private rejectOutcome: (failure: Error) => void = () => {}

  static create (options: SubmissionOptions): Submission {
    return new Submission(options)
  }

  private constructor (private readonly options: SubmissionOptions) {
    const { facts } = options
    this.deadlineAt = this.options.timers.now() + facts.deadlineMs
    this.outcome = new Promise((resolve, reject) => {
      this.resolveOutcome = resolve
      this.rejectOutcome = reject
    })
    this.cancelTimer = options.timers.schedule(facts.deadlineMs, () => { this.handleDeadline() })
    this.finished = this.run()
  }

  get token (): string {
    return this.options.facts.token
  }

  /** The grant in use, in the form in which it is reported to a new leader; undefined without one. */
  createReportedGrant (): ReportedGrant | undefined {
    if (this.grant === undefined) return undefined
    const { id, runner, slot } = this.grant
    const { caller, requestId } = this.options.facts
    const expiresInMs = Math.max(0, this.remainingMs + this.options.limits.lateMs)
    return { id, runner, slot, caller, requestId, expiresInMs }
  }

  private get remainingMs (): number {
    return this.deadlineAt - this.options.timers.now()
  }

  private async run (): Promise<void> {
    try {
      let answer = await this.acquire()
      while (answer.kind === 'granted') answer = await this.executeGrant(answer.grant)
      if (answer.kind === 'outcome') this.answerCaller(answer.outcome)
    } catch (error) {
      this.rejectCaller(toFailure(error))
    } finally {
      this.cancelTimer()
    }
  }

  // Leader

  private async acquire (): Promise<Answer> {
    const { facts, limits } = this.options
    for (;;) {
      const deadlineMs = Math.max(0, Math.floor(this.remainingMs))
      this.acquireCount += 1
      try {
        return await this.options.leader.call({ kind: 'acquire', facts: { ...facts, deadlineMs, attempt: this.acquireCount } })
      } catch (error) {
        if (!isLeaderLost(error) || this.remainingMs + limits.leaderGraceMs <= 0) throw error
        await this.options.timers.pause(limits.leaderRetryDelayMs)
      }
    }
  }

  /** Gives up a grant that a new leader has no record of, and requests another one. */
  private async acquireAgain (): Promise<Answer> {
    this.grant = undefined
    return await this.acquire()
  }

  private async settleGrant (grant: Grant, outcome: Outcome, retry: boolean): Promise<Answer> {
    const { facts, limits } = this.options
    const { caller, requestId } = facts
    const leaderCall: LeaderCall = { kind: 'settle', grant: grant.id, caller, requestId, outcome, retry }
    // If the entry gave up earlier, the leader would take the grant for one that never arrived, and the request for one that never ran.
    const retryUntil = Math.max(this.options.timers.now() + limits.reportTimeoutMs, this.grantExpiresAt)
    for (;;) {
      try {
        return await this.options.leader.call(leaderCall)
      } catch (error) {
        if (isKind(error, ErrorKind.notFound)) return await this.acquireAgain()
        if (!isLeaderLost(error) || this.options.timers.now() > retryUntil) throw error
        await this.options.timers.pause(limits.leaderRetryDelayMs)
      }
    }
  }

  // Runner

  private async executeGrant (grant: Grant): Promise<Answer> {
    this.grant = grant
    this.grantExpiresAt = this.options.timers.now() + grant.expiresInMs + this.options.limits.lateMs + GRANT_EXPIRY_MARGIN_MS
    const result = await this.send(grant)
    const outcome = this.toOutcome(result)
    if (result.kind === 'answered') this.handleRunnerAnswer(outcome)
    const retry = this.isRetryable(result)
    const answer = await this.settleGrant(grant, outcome, retry)
    this.grant = undefined
    return answer
  }

  private async send (grant: Grant): Promise<RunnerCallResult> {
    const deadlineMs = Math.floor(Math.min(this.remainingMs, grant.expiresInMs))
    if (deadlineMs < 1) return { kind: 'notRun', reason: 'the grant arrived after the deadline of the request' }
    const { facts, payload, limits, runners } = this.options
    const { caller, requestId } = facts
    const answerTimeoutMs = deadlineMs + limits.lateMs
    const result = await runners.run({ grant, caller, requestId, payload, deadlineMs, answerTimeoutMs })
    if (result.kind === 'lost') this.mayHaveRun = true
    return result
  }

  private toOutcome (result: RunnerCallResult): Outcome {
    if (result.kind === 'answered') {
      return { kind: OutcomeKind.done, body: result.body, digest: result.digest, reason: '', retryAfterMs: 0 }
    }
    if (this.mayHaveRun) return createOutcome(OutcomeKind.unknown, result.reason)
    return createOutcome(OutcomeKind.notRun, result.reason, this.options.limits.retryAfterMs)
  }

  private isRetryable (result: RunnerCallResult): boolean {
    if (result.kind === 'answered' || this.isAnswered || this.remainingMs < 1) return false
    return result.kind === 'notRun' || this.options.facts.idempotent
  }

  // Caller

  /**
   * Keeps the outcome of a runner's answer until the leader has recorded it, so that repeats
   * receive the same outcome, or until the deadline. The caller of an idempotent request is
   * answered immediately.
   */
  private handleRunnerAnswer (outcome: Outcome): void {
    this.runnerOutcome = outcome
    if (this.options.facts.idempotent) this.answerCaller(outcome)
  }

  private handleDeadline (): void {
    if (this.runnerOutcome !== undefined) return this.answerCaller(this.runnerOutcome)
    if (this.grant !== undefined) {
      return this.answerCaller(createOutcome(OutcomeKind.unknown, 'the runner did not answer before the deadline'))
    }
    this.cancelTimer = this.options.timers.schedule(this.options.limits.leaderGraceMs, () => {
      this.answerCaller(createOutcome(OutcomeKind.unknown, 'no leader answered before the deadline'))
    })
  }

  private answerCaller (outcome: Outcome): void {
    if (this.isAnswered) return
    this.isAnswered = true
    this.resolveOutcome(this.isContradicted(outcome) ? createOutcome(OutcomeKind.unknown, outcome.reason, outcome.retryAfterMs) : outcome)
  }

  /** True when an outcome states that the request did not run, although an earlier attempt may have run. */
  private isContradicted (outcome: Outcome): boolean {
    return this.mayHaveRun && (outcome.kind === OutcomeKind.notRun || outcome.kind === OutcomeKind.cancelled)
  }

  private rejectCaller (failure: Error): void {
    if (this.isAnswered) return
    if (this.runnerOutcome !== undefined) return this.answerCaller(this.runnerOutcome)
    this.isAnswered = true
    this.rejectOutcome(failure)
  }
}

function isKind (error: unknown, kind: ErrorKind): boolean {
  return isFailure(error) && error.kind === kind
}

/** True when the link was lost or the leader has changed: the call may or may not have taken effect. */
function isLeaderLost (error: unknown): boolean {
  return isKind(error, ErrorKind.unavailable) || isKind(error, ErrorKind.notLeader)
}
