/**
 * The flow of callers' requests through one entry: it accepts requests, accounts for the
 * memory of their payloads and answers, reports the grants in use to a new leader, and
 * lets a planned stop wait until no request is in flight.
 */

import { createHash, randomUUID } from 'node:crypto'
import type { SubmitRequest } from '@flamingorouter/schema'
import {
  ErrorKind, Failure, Urgency, fail, type EntryReport, type Outcome, type RequestFacts
} from '@flamingorouter/scheduler'
import type { LeaderChannel, RunnerClient } from '../types/clients.js'
import {
  MAX_DEADLINE_MS, DEFAULT_FLOW_LIMITS, MAX_PAYLOAD_BYTES, MAX_REQUEST_ID_LENGTH, type FlowLimits
} from '../types/limits.js'
import { SystemTimers, type Timers } from '../types/timers.js'
import { ByteBudget } from './byte-budget.js'
import { Submission } from './submission.js'

export interface RequestFlowOptions {
  leader: LeaderChannel
  runners: RunnerClient
  limits?: Partial<FlowLimits>
  timers?: Timers
}

export class RequestFlow {
  private readonly submissions = new Set<Submission>()
  private readonly budget: ByteBudget
  private readonly limits: FlowLimits
  private readonly timers: Timers
  /** Identifies this process of the entry to the leader; a restarted entry has another one. */
  private readonly instance = randomUUID()
  /** Number of reports so far. */
  private reportCount = 0
  private isDraining = false
  private drainWaiters: Array<() => void> = []

  static create (options: RequestFlowOptions): RequestFlow {
    return new RequestFlow(options)
  }

  private constructor (private readonly options: RequestFlowOptions) {
    this.limits = { ...DEFAULT_FLOW_LIMITS, ...options.limits }
    this.timers = options.timers ?? SystemTimers.create()
    this.budget = ByteBudget.create(this.limits.maxHeldBytes)
  }

  /** Number of requests that are not finished, including those whose caller already has its answer. */
  get inFlight (): number {
    return this.submissions.size
  }

  /** Bytes of payloads and unread answers in memory. */
  get heldBytes (): number {
    return this.budget.usedBytes
  }

  /**
   * Runs one request and resolves to its outcome, shortly after the deadline at the
   * latest. Rejects with a Failure when the request was refused or the leader could not be
   * reached. The memory of the answer stays reserved until `closed` settles, which is when
   * the response has been read or its connection was closed; without `closed` it is not
   * counted.
   */
  async submit (caller: string, request: SubmitRequest, closed?: Promise<unknown>): Promise<Outcome> {
    this.rejectWhenDraining()
    const facts = createFacts(caller, request, this.instance)
    this.budget.reserve(request.payload.length)
    const submission = Submission.create({ ...this.options, limits: this.limits, timers: this.timers, facts, payload: request.payload })
    this.submissions.add(submission)
    submission.finished.then(() => { this.finish(submission, request.payload.length) }, () => {})
    const outcome = await submission.outcome
    this.reserveAnswer(outcome.body.length, closed)
    return outcome
  }

  /** The grants in use and the pending requests. A new leader receives them before any other call. */
  createReport (): EntryReport {
    this.reportCount += 1
    const report: EntryReport = { instance: this.instance, sequence: this.reportCount, grants: [], tokens: [] }
    for (const submission of this.submissions) {
      const grant = submission.createReportedGrant()
      if (grant !== undefined) report.grants.push(grant)
      report.tokens.push(submission.token)
    }
    return report
  }

  /** Accepts no more requests; resolves when none is in flight. */
  async drain (): Promise<void> {
    this.isDraining = true
    if (this.submissions.size === 0) return
    await new Promise<void>(resolve => { this.drainWaiters.push(resolve) })
  }

  private rejectWhenDraining (): void {
    if (!this.isDraining) return
    throw Failure.create(ErrorKind.unavailable, 'the entry is stopping and accepts no more requests', { retryAfterMs: this.limits.retryAfterMs })
  }

  private finish (submission: Submission, payloadBytes: number): void {
    this.submissions.delete(submission)
    this.budget.release(payloadBytes)
    if (this.submissions.size > 0) return
    for (const resolve of this.drainWaiters) resolve()
    this.drainWaiters = []
  }

  private reserveAnswer (bytes: number, closed: Promise<unknown> | undefined): void {
    if (closed === undefined || bytes === 0) return
    this.budget.reserveUnchecked(bytes)
    const release = (): void => { this.budget.release(bytes) }
    closed.then(release, release)
  }
}

function createFacts (caller: string, request: SubmitRequest, instance: string): RequestFacts {
  const idLength = request.requestId.length
  if (request.service === '') fail(ErrorKind.invalidArgument, 'service: expected a name')
  if (idLength < 1 || idLength > MAX_REQUEST_ID_LENGTH) {
    fail(ErrorKind.invalidArgument, `request_id: expected 1 to ${MAX_REQUEST_ID_LENGTH} characters, found ${idLength}`)
  }
  if (request.deadlineMs < 1 || request.deadlineMs > MAX_DEADLINE_MS) {
    fail(ErrorKind.invalidArgument, `deadline_ms: expected 1 to ${MAX_DEADLINE_MS}, found ${request.deadlineMs}`)
  }
  if (request.payload.length > MAX_PAYLOAD_BYTES) {
    fail(ErrorKind.payloadTooLarge, `payload: expected at most ${MAX_PAYLOAD_BYTES} bytes, found ${request.payload.length}`)
  }
  return {
    caller,
    requestId: request.requestId,
    service: request.service,
    idempotent: request.idempotent,
    urgency: parseUrgency(request.urgency),
    deadlineMs: request.deadlineMs,
    digest: computeContentDigest(request),
    createdMs: Number(request.createdMs),
    instance,
    token: randomUUID(),
    attempt: 0
  }
}

function parseUrgency (urgency: number): Urgency {
  const known = Object.values(Urgency).find(value => value === urgency)
  if (known !== undefined) return known
  if (urgency === 0) return Urgency.normal
  return fail(ErrorKind.invalidArgument, `urgency: expected 1, 2 or 3, found ${urgency}`)
}

/** Digest of the content by which a repeat is distinguished from another use of the request id; deadline and urgency may differ in a repeat. */
function computeContentDigest (request: SubmitRequest): string {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([request.service, request.idempotent, String(request.createdMs)]))
  hash.update(request.payload)
  return hash.digest('hex')
}
