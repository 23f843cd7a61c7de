/**
 * The flow of callers' requests through one entry: it takes them, holds their
 * payloads, knows which grants are in use, and lets a planned stop wait until
 * nothing is in flight.
 */

import { createHash, randomUUID } from 'node:crypto'
import type { SubmitRequest } from '@flamingorouter/schema'
import {
  ErrorKind, Failure, Urgency, fail, type EntryReport, type Outcome, type RequestFacts
} from '@flamingorouter/scheduler'
import type { Leader, RunnerClient } from '../types/clients.js'
import {
  DEADLINE_LIMIT_MS, DEFAULT_FLOW_LIMITS, PAYLOAD_LIMIT, REQUEST_ID_LIMIT, type FlowLimits
} from '../types/limits.js'
import { SystemTimers, type Timers } from '../types/timers.js'
import { ByteAccount } from './byte-account.js'
import { Submission } from './submission.js'

export interface RequestFlowOptions {
  leader: Leader
  runners: RunnerClient
  limits?: Partial<FlowLimits>
  timers?: Timers
}

export class RequestFlow {
  private readonly submissions = new Set<Submission>()
  private readonly bytes: ByteAccount
  private readonly limits: FlowLimits
  private readonly timers: Timers
  private readonly instance = randomUUID()
  private isDraining = false
  private drained: Array<() => void> = []

  static create (options: RequestFlowOptions): RequestFlow {
    return new RequestFlow(options)
  }

  private constructor (private readonly options: RequestFlowOptions) {
    this.limits = { ...DEFAULT_FLOW_LIMITS, ...options.limits }
    this.timers = options.timers ?? SystemTimers.create()
    this.bytes = ByteAccount.create(this.limits.heldBytes)
  }

  /** Requests that are not settled yet, those included whose caller has its answer. */
  get inFlight (): number {
    return this.submissions.size
  }

  /** Bytes of payloads and unread answers. */
  get heldBytes (): number {
    return this.bytes.used
  }

  /**
   * Runs one request and resolves to its outcome, at the deadline at the latest.
   * Rejects with a Failure when the request was refused. The answer is counted as
   * held until `closed` settles: when the response has been read or cut off.
   */
  async submit (caller: string, request: SubmitRequest, closed?: Promise<unknown>): Promise<Outcome> {
    this.refuseWhenDraining()
    const facts = readFacts(caller, request, this.instance)
    this.bytes.take(request.payload.length)
    const submission = Submission.create({ ...this.options, limits: this.limits, timers: this.timers, facts, payload: request.payload })
    this.submissions.add(submission)
    submission.over.then(() => { this.end(submission, request.payload.length) }, () => {})
    const outcome = await submission.outcome
    this.holdAnswer(outcome.body.length, closed)
    return outcome
  }

  /** What a leader has to know of, told to it before it is asked for anything. */
  report (): EntryReport {
    const report: EntryReport = { instance: this.instance, grants: [], tokens: [] }
    for (const submission of this.submissions) {
      const grant = submission.held()
      if (grant !== undefined) report.grants.push(grant)
      report.tokens.push(submission.token)
    }
    return report
  }

  /** Takes no more requests; resolves when none is in flight. */
  async drain (): Promise<void> {
    this.isDraining = true
    if (this.submissions.size === 0) return
    await new Promise<void>(resolve => { this.drained.push(resolve) })
  }

  private refuseWhenDraining (): void {
    if (!this.isDraining) return
    throw Failure.create(ErrorKind.unavailable, 'the entry is stopping', { retryAfterMs: this.limits.retryAfterMs })
  }

  private end (submission: Submission, payloadBytes: number): void {
    this.submissions.delete(submission)
    this.bytes.give(payloadBytes)
    if (this.submissions.size > 0) return
    for (const resolve of this.drained) resolve()
    this.drained = []
  }

  private holdAnswer (bytes: number, closed: Promise<unknown> | undefined): void {
    if (closed === undefined || bytes === 0) return
    this.bytes.add(bytes)
    const give = (): void => { this.bytes.give(bytes) }
    closed.then(give, give)
  }
}

function readFacts (caller: string, request: SubmitRequest, instance: string): RequestFacts {
  const idLength = request.requestId.length
  if (request.service === '') fail(ErrorKind.invalidArgument, 'service: expected a name')
  if (idLength < 1 || idLength > REQUEST_ID_LIMIT) {
    fail(ErrorKind.invalidArgument, `request_id: expected 1 to ${REQUEST_ID_LIMIT} characters, found ${idLength}`)
  }
  if (request.deadlineMs < 1 || request.deadlineMs > DEADLINE_LIMIT_MS) {
    fail(ErrorKind.invalidArgument, `deadline_ms: expected 1 to ${DEADLINE_LIMIT_MS}, found ${request.deadlineMs}`)
  }
  if (request.payload.length > PAYLOAD_LIMIT) {
    fail(ErrorKind.payloadTooLarge, `payload: expected at most ${PAYLOAD_LIMIT} bytes, found ${request.payload.length}`)
  }
  return {
    caller,
    requestId: request.requestId,
    service: request.service,
    idempotent: request.idempotent,
    urgency: readUrgency(request.urgency),
    deadlineMs: request.deadlineMs,
    digest: contentDigest(request),
    createdMs: Number(request.createdMs),
    instance,
    token: randomUUID()
  }
}

function readUrgency (urgency: number): Urgency {
  const known = Object.values(Urgency).find(value => value === urgency)
  if (known !== undefined) return known
  if (urgency === 0) return Urgency.normal
  return fail(ErrorKind.invalidArgument, `urgency: expected 1, 2 or 3, found ${urgency}`)
}

/** What a repeat must share with the first; the deadline and the urgency may differ. */
function contentDigest (request: SubmitRequest): string {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([request.service, request.idempotent, String(request.createdMs)]))
  hash.update(request.payload)
  return hash.digest('hex')
}
