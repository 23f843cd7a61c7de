/**
 * Requests from callers to runners. An entry asks for a grant, which names one
 * slot of one runner; it sends the request itself and tells how it ended.
 *
 * A request that is not idempotent is claimed by a decision before its grant is
 * released, so that no other leader and no other entry sends it again. Its
 * record stays until the age of the request alone refuses a repeat.
 */

import type { Answer } from '../../types/answers.js'
import type { Decision } from '../../types/decisions.js'
import type { Event, EventKind } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import { OutcomeKind, type Grant, type HeldGrant, type Outcome, type RequestState } from '../../types/requests.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, TargetPhase, type TargetState } from '../../types/targets.js'
import { Urgency } from '../../types/workloads.js'
import { ErrorKind } from '../../utils/errors.js'
import { requestFingerprint, requestKey } from '../apply.js'
import { Part } from '../part.js'
import type { Step } from '../step.js'
import { bare, createLiveRequest, type HeldSlot, type LiveRequest } from './live.js'
import { RecentOutcomes } from './recent.js'
import { RunFilter } from './run-filter.js'
import { lowestSlot, type Runner } from './runners.js'
import { Service } from './service.js'

type Acquire = Extract<Event, { kind: 'acquire' }>
type Settle = Extract<Event, { kind: 'settle' }>

/** How far ahead of the cluster a caller's clock may run, in milliseconds. */
const CLOCK_AHEAD_MS = 60_000
/** How far an entry's horizon is moved at once, so that it is logged rarely. */
const HORIZON_STEP_MS = 5_000
/** An entry closes idle connections within this time. */
const IDLE_CONNECTION_MS = 5_000
const RETRY_AFTER_MS = 1_000

export interface RequestOptions {
  /** True spends the retry budget on retries; false retries without a limit, for comparison. */
  budgetsRetries: boolean
}

const DEFAULT_OPTIONS: Readonly<RequestOptions> = Object.freeze({ budgetsRetries: true })

export class Requests extends Part {
  readonly handles: readonly EventKind[] = ['acquire', 'settle', 'cancelRequest', 'fetchOutcome', 'grantsHeld', 'entryLost']

  private services = new Map<string, Service>()
  private live = new Map<string, LiveRequest>()
  private grants = new Map<string, HeldSlot>()
  private recent: RecentOutcomes
  /** Entries of an earlier leader that have not told what they hold, and until when they may hold it. */
  private silent = new Map<string, number>()
  private filter: RunFilter
  /** What was made later than this was not granted by an earlier leader; 0 when there was none. */
  private knownSince = 0
  private bodyBytes = 0
  /** Tells the grants of this term from those of others; 0 until the term has decided something. */
  private epoch = 0
  private granted = 0
  private changed = new Set<Service>()

  static create (limits: Limits, options: Partial<RequestOptions> = {}): Requests {
    return new Requests(limits, { ...DEFAULT_OPTIONS, ...options })
  }

  private constructor (private readonly limits: Limits, private readonly options: RequestOptions) {
    super()
    this.recent = RecentOutcomes.create(limits.recentLimit)
    this.filter = RunFilter.create(limits.retentionMs, 0)
  }

  /** Slots in use on a runner. */
  inFlight (name: string): number {
    for (const service of this.services.values()) {
      const runner = service.runners.get(name)
      if (runner !== undefined) return runner.held.size
    }
    return 0
  }

  override reset (state: ClusterState, now: number): void {
    this.services = new Map()
    this.live = new Map()
    this.grants = new Map()
    this.recent = RecentOutcomes.create(this.limits.recentLimit)
    this.silent = new Map()
    this.changed = new Set()
    this.filter = RunFilter.create(this.limits.retentionMs, now)
    this.knownSince = state.grantHorizon === 0 ? 0 : now + CLOCK_AHEAD_MS
    this.bodyBytes = 0
    this.epoch = 0
    for (const target of state.targets.values()) this.putRunner(target, state)
    for (const entry of state.entries.values()) {
      const until = entry.horizon + this.limits.driftMs
      if (until > now) this.silent.set(entry.name, until)
    }
    for (const request of state.requests.values()) this.restoreRequest(request)
  }

  override handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'acquire': return this.acquire(event, step)
      case 'settle': return this.settleGrant(event, step)
      case 'cancelRequest': return this.cancel(event, step)
      case 'fetchOutcome': return this.fetch(event, step)
      case 'grantsHeld': return this.learnGrants(event.entry, event.grants, step)
      case 'entryLost': return this.loseEntry(event.entry, step)
    }
  }

  override observe (decision: Decision, state: ClusterState, _now: number): void {
    switch (decision.kind) {
      case 'targetAnnounced': return this.putRunner(state.targets.get(decision.target.name) ?? decision.target, state)
      case 'targetPhaseSet': return this.markChanged(state.targets.get(decision.name))
      case 'targetRemoved':
        for (const service of this.services.values()) service.runners.remove(decision.name)
        return
      case 'vmDrained':
      case 'vmReadmitted':
        for (const target of state.targets.values()) {
          if (target.vm === decision.vm) this.putRunner(target, state)
        }
    }
  }

  override settle (step: Step): void {
    for (const service of this.changed) this.match(service, step)
    this.changed.clear()
  }

  override tick (step: Step): void {
    this.endSilence(step)
    this.endGrants(step)
    for (const live of [...this.live.values()]) {
      this.endWaiters(live, step)
      this.endUnused(live, step)
    }
    for (const service of this.services.values()) {
      this.shedLate(service, step)
      this.changed.add(service)
    }
    this.forgetRequests(step)
  }

  // Acquire

  private acquire (event: Acquire, step: Step): void {
    const { facts, call, entry } = event
    const key = requestKey(facts.caller, facts.requestId)
    const live = this.live.get(key)
    if (live !== undefined) return this.join(live, event, step)
    const record = step.state.requests.get(key)
    if (record !== undefined) return this.repeat(record, facts.digest, call, step)
    const recent = this.recent.get(key)
    if (recent !== undefined) return this.repeat(recent, facts.digest, call, step)
    if (!facts.idempotent && !this.isAdmissible(event, key, step)) return
    const request = createLiveRequest(key, facts, entry, call, step.now)
    const service = this.service(facts.service)
    const refusal = service.refusal(request, step.now, this.limits.queueLimit)
    if (refusal !== undefined) return this.finish(request, refusal, step)
    this.live.set(key, request)
    this.wait(request, service)
  }

  private wait (request: LiveRequest, service: Service): void {
    request.phase = 'waiting'
    service.queue.add(request)
    this.changed.add(service)
  }

  /** A repeat of a request that waits or runs. */
  private join (live: LiveRequest, event: Acquire, step: Step): void {
    const { facts, call, entry } = event
    if (live.facts.digest !== facts.digest) return this.refuseConflict(call, step)
    if (live.facts.token !== facts.token) {
      live.waiters = live.waiters.filter(waiter => waiter.token !== facts.token)
      live.waiters.push({ call, entry, token: facts.token, deadlineAt: step.now + facts.deadlineMs })
      return
    }
    live.call = call
    if (live.phase === 'waiting') return
    // The answer with the grant was lost, so that nothing was sent under it.
    if (live.held !== undefined) this.releaseHeld(live.held)
    live.held = undefined
    live.deadlineAt = step.now + facts.deadlineMs
    live.facts = facts
    this.wait(live, this.service(facts.service))
  }

  private repeat (first: { digest: string, outcome: Outcome }, digest: string, call: number, step: Step): void {
    if (first.digest !== digest) return this.refuseConflict(call, step)
    step.reply(call, { kind: 'outcome', outcome: first.outcome })
  }

  private refuseConflict (call: number, step: Step): void {
    step.refuse(call, ErrorKind.conflict, 'the request id was used with other content')
  }

  /** Whether the record of a request that must not run twice can be kept. */
  private isAdmissible (event: Acquire, key: string, step: Step): boolean {
    const { facts, call } = event
    const { state, now } = step
    if (facts.createdMs > now + CLOCK_AHEAD_MS) {
      step.refuse(call, ErrorKind.invalidArgument, 'created_ms is in the future')
      return false
    }
    if (this.isForgotten(facts.createdMs, key, state, now)) {
      const text = `the request is older than ${this.limits.retentionMs} ms; whether it ran is no longer known`
      step.refuse(call, ErrorKind.failedPrecondition, text)
      return false
    }
    if (facts.createdMs === 0 && state.forgottenRequests.size >= this.limits.forgottenLimit) {
      step.refuse(call, ErrorKind.failedPrecondition, 'state created_ms: no more requests without it can be remembered')
      return false
    }
    if (state.requests.size >= this.limits.requestLimit) {
      step.refuse(call, ErrorKind.resourceExhausted, 'too many requests are remembered', RETRY_AFTER_MS)
      return false
    }
    return true
  }

  private isForgotten (createdMs: number, key: string, state: ClusterState, now: number): boolean {
    if (createdMs === 0) return state.forgottenRequests.has(requestFingerprint(key))
    return createdMs <= state.requestFloor || createdMs + this.limits.retentionMs <= now
  }

  // Grants

  private match (service: Service, step: Step): void {
    if (service.queue.size === 0) return
    let open = service.runners.open(this.silent.size, step.now)
    while (open.length > 0) {
      const granted = service.queue.heads().some(head => this.tryGrant(service, open, head, step))
      if (!granted) return
      open = open.filter(runner => service.runners.free(runner, this.silent.size, step.now) > 0)
    }
  }

  private tryGrant (service: Service, open: readonly Runner[], request: LiveRequest, step: Step): boolean {
    if (service.isTooLate(request, step.now)) {
      this.finish(request, service.shed('it can no longer be done before its deadline'), step)
      return true
    }
    const runner = service.runners.pick(open, request)
    if (runner?.target === undefined || !this.extendEntry(request, step)) return false
    this.grant(service, runner, runner.target, request, step)
    return true
  }

  private grant (service: Service, runner: Runner, target: TargetState, request: LiveRequest, step: Step): void {
    if (target.phase === TargetPhase.suspect) service.runners.delayProbe(runner, step.now)
    this.granted += 1
    const held: HeldSlot = {
      id: `${this.epoch}-${this.granted}`,
      runner: runner.name,
      session: target.session,
      slot: lowestSlot(runner),
      entry: request.entry,
      key: request.key,
      grantedAt: step.now,
      expiresAt: request.deadlineAt + this.limits.lateMs
    }
    service.runners.hold(runner, held)
    this.grants.set(held.id, held)
    request.phase = 'granted'
    request.held = held
    service.queue.left()
    if (!request.facts.idempotent) step.decide({ kind: 'requestClaimed', request: claim(request, held, step.now) })
    const grant: Grant = {
      id: held.id,
      runner: runner.name,
      address: target.address,
      session: target.session,
      slot: held.slot,
      fence: target.fence,
      expiresInMs: request.deadlineAt - step.now,
      connections: service.runners.connectionShare(target)
    }
    step.reply(request.call, { kind: 'granted', grant })
    request.call = 0
  }

  /** Makes sure that a later leader knows of the entry and waits for its grants. */
  private extendEntry (request: LiveRequest, step: Step): boolean {
    const { entries } = step.state
    const until = request.deadlineAt + this.limits.lateMs
    const horizon = entries.get(request.entry)?.horizon ?? 0
    if (horizon === 0 && entries.size >= this.limits.entryLimit) return false
    if (horizon >= until && this.epoch > 0) return true
    const entry = { name: request.entry, horizon: Math.max(horizon, until + HORIZON_STEP_MS) }
    step.decide({ kind: 'entryExtended', entry })
    // The log holds this decision, so that no other leader can reach the same number.
    if (this.epoch === 0) this.epoch = step.state.change
    return true
  }

  private releaseHeld (held: HeldSlot): Runner | undefined {
    this.grants.delete(held.id)
    for (const service of this.services.values()) {
      const runner = service.runners.get(held.runner)
      if (runner === undefined) continue
      service.runners.release(held)
      this.changed.add(service)
      return runner
    }
    return undefined
  }

  // Endings

  private settleGrant (event: Settle, step: Step): void {
    const held = this.grants.get(event.grant)
    const key = requestKey(event.caller, event.requestId)
    const live = this.live.get(key)
    if (event.outcome.kind !== OutcomeKind.notRun) this.filter.add(key, step.now)
    if (held !== undefined) this.learnEnd(held, live, event.outcome, step)
    if (live?.held?.id === event.grant) return this.endGrant(live, event, step)
    const record = step.state.requests.get(key)
    if (record?.grant === event.grant) this.settleLate(key, record, event.outcome, step)
    const isPending = record === undefined || record.outcome.kind === OutcomeKind.pending
    if (event.retry && isPending) {
      return step.refuse(event.call, ErrorKind.notFound, 'the grant is not in use')
    }
    const first = step.state.requests.get(key)
    step.reply(event.call, { kind: 'outcome', outcome: first?.grant === event.grant ? first.outcome : event.outcome })
  }

  /** Frees the slot and learns from how the runner did. */
  private learnEnd (held: HeldSlot, live: LiveRequest | undefined, outcome: Outcome, step: Step): void {
    const runner = this.releaseHeld(held)
    if (runner === undefined || live === undefined) return
    const service = this.service(live.facts.service)
    if (outcome.kind === OutcomeKind.done) {
      const ms = step.now - held.grantedAt
      service.answered(runner, ms)
      if (runner.target?.phase === TargetPhase.suspect) this.setPhase(runner.target, TargetPhase.ready, step)
      return
    }
    service.failed(runner)
    if (runner.limiter.isSuspect && service.canSuspect(runner)) {
      service.runners.delayProbe(runner, step.now)
      if (runner.target !== undefined) this.setPhase(runner.target, TargetPhase.suspect, step)
    }
  }

  private setPhase (target: TargetState, phase: TargetPhase, step: Step): void {
    step.decide({ kind: 'targetPhaseSet', name: target.name, session: target.session, phase })
  }

  private endGrant (live: LiveRequest, event: Settle, step: Step): void {
    const runner = live.held?.runner ?? ''
    live.held = undefined
    const mayRepeat = live.facts.idempotent || event.outcome.kind === OutcomeKind.notRun
    if (event.outcome.kind === OutcomeKind.unknown) live.mayHaveRun = true
    const service = this.service(live.facts.service)
    if (event.retry && mayRepeat && live.deadlineAt > step.now && this.takeRetry(service)) {
      live.tried.push(runner)
      if (service.hasUntried(live)) {
        live.call = event.call
        return this.wait(live, service)
      }
    }
    live.call = event.call
    this.finish(live, event.outcome, step)
  }

  private takeRetry (service: Service): boolean {
    return !this.options.budgetsRetries || service.budget.take()
  }

  /** An outcome that comes after the request was given up as unknown resolves it, once. */
  private settleLate (key: string, record: RequestState, outcome: Outcome, step: Step): void {
    if (record.outcome.kind !== OutcomeKind.unknown) return
    if (outcome.kind !== OutcomeKind.done && outcome.kind !== OutcomeKind.notRun) return
    step.decide({ kind: 'requestSettled', key, outcome: this.keepable(outcome), at: step.now })
  }

  /** Settles a request and answers all that wait for it. */
  private finish (live: LiveRequest, ending: Outcome, step: Step): void {
    if (live.phase === 'over') return
    const outcome = this.truthful(live, ending, step)
    const wasQueued = live.phase === 'waiting' && this.live.has(live.key)
    live.phase = 'over'
    this.live.delete(live.key)
    if (wasQueued) this.service(live.facts.service).queue.left()
    this.keep(live, outcome, step)
    const answer: Answer = { kind: 'outcome', outcome }
    if (live.call !== 0) step.reply(live.call, answer)
    for (const waiter of live.waiters) step.reply(waiter.call, answer)
  }

  /** What was not run in the end may have run at an earlier try or under an earlier leader. */
  private truthful (live: LiveRequest, outcome: Outcome, step: Step): Outcome {
    const saysNotRun = outcome.kind === OutcomeKind.notRun || outcome.kind === OutcomeKind.cancelled
    if (!saysNotRun || !(live.mayHaveRun || this.mayHaveRunBefore(live, step))) return outcome
    return { ...outcome, kind: OutcomeKind.unknown }
  }

  /** A request that is not idempotent has a record instead. */
  private mayHaveRunBefore ({ facts, key }: LiveRequest, step: Step): boolean {
    if (!facts.idempotent) return false
    if (this.filter.mayHold(key)) return true
    if (this.knownSince === 0 || facts.createdMs > this.knownSince) return false
    return facts.createdMs > 0 || step.now < step.state.grantHorizon + this.limits.retentionMs
  }

  private keep (live: LiveRequest, outcome: Outcome, step: Step): void {
    if (live.facts.idempotent) {
      // One that is told to come back may do so under the same id.
      if (outcome.kind !== OutcomeKind.notRun) this.recent.put(live.key, live.facts.digest, outcome)
      return
    }
    if (!step.state.requests.has(live.key)) {
      const unclaimed = claim(live, undefined, step.now)
      step.decide({ kind: 'requestClaimed', request: { ...unclaimed, outcome, settledAt: step.now } })
      return
    }
    step.decide({ kind: 'requestSettled', key: live.key, outcome: this.keepable(outcome), at: step.now })
  }

  /** Drops a body for which there is no room; the digest still tells that it was whole. */
  private keepable (outcome: Outcome): Outcome {
    if (this.bodyBytes + outcome.body.length <= this.limits.bodyLimit) {
      this.bodyBytes += outcome.body.length
      return outcome
    }
    return { ...outcome, body: new Uint8Array(), reason: 'it ran, but there was no room to keep its answer' }
  }

  private cancel (event: Extract<Event, { kind: 'cancelRequest' }>, step: Step): void {
    const live = this.live.get(requestKey(event.caller, event.requestId))
    if (live?.phase !== 'waiting') return this.fetch(event, step)
    const outcome = bare(OutcomeKind.cancelled, 'cancelled before it ran')
    this.finish(live, outcome, step)
    step.reply(event.call, { kind: 'outcome', outcome })
  }

  private fetch (event: { call: number, caller: string, requestId: string }, step: Step): void {
    const key = requestKey(event.caller, event.requestId)
    const outcome = step.state.requests.get(key)?.outcome ?? this.recent.get(key)?.outcome
    if (outcome !== undefined) return step.reply(event.call, { kind: 'outcome', outcome })
    const live = this.live.get(key)
    if (live === undefined) return step.refuse(event.call, ErrorKind.notFound, 'no such request is remembered')
    step.reply(event.call, { kind: 'outcome', outcome: bare(OutcomeKind.pending, `it is ${live.phase}`) })
  }

  // Time

  private endSilence (step: Step): void {
    for (const [entry, until] of this.silent) {
      if (step.now >= until) this.silent.delete(entry)
    }
    for (const entry of step.state.entries.values()) {
      if (step.now < entry.horizon + this.limits.driftMs + IDLE_CONNECTION_MS) continue
      step.decide({ kind: 'entryForgotten', name: entry.name })
    }
  }

  /** Frees the slots whose work must be over, and gives up what nobody reported on. */
  private endGrants (step: Step): void {
    for (const held of [...this.grants.values()]) {
      if (step.now < held.expiresAt + this.limits.driftMs) continue
      this.releaseHeld(held)
      this.filter.add(held.key, step.now)
      const live = this.live.get(held.key)
      if (live?.held !== held) continue
      this.finish(live, bare(OutcomeKind.unknown, 'nobody told how it ended'), step)
    }
  }

  private endWaiters (live: LiveRequest, step: Step): void {
    const over = live.waiters.filter(waiter => waiter.deadlineAt <= step.now)
    if (over.length === 0) return
    live.waiters = live.waiters.filter(waiter => waiter.deadlineAt > step.now)
    const outcome = bare(OutcomeKind.pending, 'an earlier call of the same request is still in progress')
    for (const waiter of over) step.reply(waiter.call, { kind: 'outcome', outcome })
  }

  /** Settles a request whose grant was lost on the way and whose entry did not ask again. */
  private endUnused (live: LiveRequest, step: Step): void {
    if (live.phase !== 'granted' || live.held !== undefined) return
    if (live.deadlineAt + this.limits.lateMs > step.now) return
    this.finish(live, bare(OutcomeKind.notRun, 'its grant was lost and never used', RETRY_AFTER_MS), step)
  }

  private shedLate (service: Service, step: Step): void {
    for (const live of service.queue.waiting()) {
      if (!service.isTooLate(live, step.now)) continue
      this.finish(live, service.shed('it can no longer be done before its deadline'), step)
    }
  }

  private forgetRequests (step: Step): void {
    for (const [key, request] of step.state.requests) {
      if (request.outcome.kind === OutcomeKind.pending) continue
      // Map order is order of claim, so that the first young one ends the search.
      if (request.claimedAt + this.limits.retentionMs > step.now) return
      const age = Math.max(request.createdMs, request.settledAt) + this.limits.retentionMs
      if (age > step.now) continue
      this.bodyBytes -= request.outcome.body.length
      step.decide({ kind: 'requestForgotten', key })
    }
  }

  // Entries

  private learnGrants (entry: string, grants: readonly HeldGrant[], step: Step): void {
    this.silent.delete(entry)
    const reported = new Set(grants.map(grant => grant.id))
    for (const held of [...this.grants.values()]) {
      // A grant that its entry does not hold was lost on the way and never used.
      if (held.entry === entry && !reported.has(held.id)) this.dropLost(held)
    }
    for (const grant of grants) {
      if (!this.grants.has(grant.id)) this.adopt(entry, grant, step)
    }
    for (const service of this.services.values()) this.changed.add(service)
  }

  private dropLost (held: HeldSlot): void {
    this.releaseHeld(held)
    const live = this.live.get(held.key)
    // The entry asks anew under the same token.
    if (live?.held === held) live.held = undefined
  }

  private adopt (entry: string, grant: HeldGrant, step: Step): void {
    const held: HeldSlot = {
      id: grant.id,
      runner: grant.runner,
      session: '',
      slot: grant.slot,
      entry,
      key: requestKey(grant.caller, grant.requestId),
      grantedAt: step.now,
      expiresAt: step.now + grant.expiresInMs
    }
    for (const service of this.services.values()) {
      const runner = service.runners.get(grant.runner)
      if (runner === undefined) continue
      service.runners.hold(runner, held)
      this.grants.set(held.id, held)
      return
    }
  }

  /** Nobody waits any more behind a lost entry; its grants stay in use until they run out. */
  private loseEntry (entry: string, step: Step): void {
    for (const live of [...this.live.values()]) {
      live.waiters = live.waiters.filter(waiter => waiter.entry !== entry)
      if (live.entry !== entry || live.phase !== 'waiting') continue
      this.abandon(live, step)
    }
    for (const service of this.services.values()) this.changed.add(service)
  }

  /** Goes on for the next caller that waits, or drops a request for which nobody does. */
  private abandon (live: LiveRequest, step: Step): void {
    if (live.waiters.length === 0 && step.state.requests.has(live.key)) {
      return this.finish(live, bare(OutcomeKind.notRun, 'its entry was lost before it was sent'), step)
    }
    live.phase = 'over'
    this.live.delete(live.key)
    const service = this.service(live.facts.service)
    service.queue.left()
    const next = live.waiters.shift()
    if (next === undefined) return
    const deadlineMs = Math.max(0, next.deadlineAt - step.now)
    const request = createLiveRequest(live.key, { ...live.facts, deadlineMs, token: next.token }, next.entry, next.call, step.now)
    request.order = live.order
    request.waiters = live.waiters
    this.live.set(request.key, request)
    this.wait(request, service)
  }

  // State

  private service (name: string): Service {
    let service = this.services.get(name)
    if (service === undefined) {
      service = Service.create(this.limits.entryLimit)
      this.services.set(name, service)
    }
    return service
  }

  private putRunner (target: TargetState, state: ClusterState): void {
    if (target.kind !== TargetKind.runner) return
    const service = this.service(target.service)
    service.runners.put(target, state.drainedVms.has(target.vm))
    this.changed.add(service)
  }

  private markChanged (target: TargetState | undefined): void {
    if (target?.kind === TargetKind.runner) this.changed.add(this.service(target.service))
  }

  /** Takes over a claim of an earlier leader. */
  private restoreRequest (request: RequestState): void {
    this.bodyBytes += request.outcome.body.length
    if (request.outcome.kind !== OutcomeKind.pending) return
    const key = requestKey(request.caller, request.requestId)
    const facts = {
      caller: request.caller,
      requestId: request.requestId,
      service: request.service,
      idempotent: false,
      urgency: Urgency.normal,
      deadlineMs: Math.max(0, request.expiresAt - this.limits.lateMs - request.claimedAt),
      digest: request.digest,
      createdMs: request.createdMs,
      token: request.token
    }
    const live = createLiveRequest(key, facts, request.entry, 0, request.claimedAt)
    live.phase = 'granted'
    live.held = {
      id: request.grant,
      runner: request.runner,
      session: request.session,
      slot: 0,
      entry: request.entry,
      key,
      grantedAt: request.claimedAt,
      expiresAt: request.expiresAt
    }
    this.live.set(key, live)
    this.grants.set(live.held.id, live.held)
    const runners = this.service(request.service).runners
    const runner = runners.get(request.runner)
    if (runner !== undefined) runners.hold(runner, live.held)
  }
}

function claim (live: LiveRequest, held: HeldSlot | undefined, now: number): RequestState {
  return {
    caller: live.facts.caller,
    requestId: live.facts.requestId,
    digest: live.facts.digest,
    service: live.facts.service,
    runner: held?.runner ?? '',
    session: held?.session ?? '',
    grant: held?.id ?? '',
    entry: held?.entry ?? '',
    token: live.facts.token,
    createdMs: live.facts.createdMs,
    expiresAt: held?.expiresAt ?? 0,
    outcome: bare(OutcomeKind.pending, ''),
    claimedAt: now,
    settledAt: 0
  }
}
