/**
 * A simulation of everything around the request flow: time, links, commits, leaders and
 * runners. The flow and the scheduler's request component are the real ones. The checks
 * compare what the runners executed with the outcomes that callers received.
 */

import assert from 'node:assert/strict'
import { create } from '@bufbuild/protobuf'
import { SubmitRequestSchema } from '@flamingorouter/schema'
import {
  DEFAULT_LIMITS, ErrorKind, Failure, OutcomeKind, Component, Requests, Scheduler, TargetKind, TargetPhase, applyDecision,
  createClusterState, isAnswerEffect, type Answer, type ClusterState, type Decision, type Effect, type Event, type EventKind,
  type Limits, type Outcome, type Step, type TargetState
} from '@flamingorouter/scheduler'
import { LeaderChannel, RequestFlow, type LeaderCall } from '../src/index.js'
import {
  CONNECTIONS_PER_RUNNER, computeDigest, ENTRY_COUNT, ModelRunner, ModelRunnerClient, neverSettle, RUNNER_COUNT, SLOTS_PER_RUNNER, type RunStart, type RunnerPlan
} from './model-runner.js'
import { flushPromises, ModelTimers } from './model-timers.js'

const SERVICE = 'reports'
const TICK_MS = 100
export const LIMITS: Limits = { ...DEFAULT_LIMITS, entryLimit: CONNECTIONS_PER_RUNNER, retentionMs: 8_000, lateMs: 500 }

/** Registers announced runners in place of the scheduler's session component, which has its own tests; leases do not expire. */
class Announcer extends Component {
  readonly handledKinds: readonly EventKind[] = ['announce', 'leave']
  override reset (): void {}
  override handle (event: Event, step: Step): void {
    if (event.kind === 'leave') {
      step.decide({ kind: 'targetPhaseSet', name: event.name, session: event.session, phase: TargetPhase.leaving })
    }
    if (event.kind !== 'announce') return
    const { name } = event.announcement
    step.decide({ kind: 'targetAnnounced', target: createTarget(name, step.state.fence + 1) })
  }
}

function createTarget (name: string, fence: number): TargetState {
  return {
    name,
    kind: TargetKind.runner,
    session: `${name}-${fence}`,
    fence,
    incarnation: fence,
    vm: name,
    rack: 'r',
    availabilityZone: 'z',
    address: name,
    capacity: { millicores: 0, memoryMib: 0, accelerators: 0 },
    service: SERVICE,
    slots: SLOTS_PER_RUNNER,
    connections: CONNECTIONS_PER_RUNNER,
    phase: TargetPhase.ready
  }
}

interface PendingCall { resolve: (answer: Answer) => void, reject: (error: Error) => void }

/**
 * A link to the leader that can be disconnected; calls in progress are then rejected and their answers dropped. What is
 * held up in the network when the link is disconnected arrives later than what is sent after the link is up again.
 */
class ModelLink extends LeaderChannel {
  isUp = true
  isDead = false
  /** True while what is sent does not arrive. */
  isHeldUp = false
  private heldUp: Event[] = []
  readonly pendingCalls = new Map<number, PendingCall>()

  constructor (private readonly entry: number, private readonly model: RequestFlowModel) {
    super()
  }

  override async call (leaderCall: LeaderCall): Promise<Answer> {
    if (this.isDead) return await neverSettle()
    if (!this.isUp) throw Failure.create(ErrorKind.unavailable, 'the link is disconnected')
    return await new Promise((resolve, reject) => {
      const call = this.model.nextCall()
      this.pendingCalls.set(call, { resolve, reject })
      this.send({ ...leaderCall, call, entry: entryName(this.entry) } as Event)
    })
  }

  private send (event: Event): void {
    if (this.isHeldUp) this.heldUp.push(event)
    else this.model.handleEvent(event)
  }

  /** Delivers what was held up, in order. */
  release (): void {
    this.isHeldUp = false
    for (const event of this.heldUp.splice(0)) this.model.handleEvent(event)
  }

  disconnect (): void {
    this.isUp = false
    this.isHeldUp = false
    this.model.lateEvents.push(...this.heldUp.splice(0))
    const lost = [...this.pendingCalls.values()]
    this.pendingCalls.clear()
    for (const pendingCall of lost) pendingCall.reject(Failure.create(ErrorKind.unavailable, 'the link was lost'))
  }

  reconnect (): void {
    if (this.isUp) return
    this.isUp = true
    this.report()
  }

  /** Reports the grants in use, as an entry does whenever it connects to a leader; does nothing while disconnected. */
  report (): void {
    if (!this.isUp) return
    this.send({ kind: 'grantsHeld', report: this.model.flows[this.entry].createReport() })
  }
}

function entryName (entry: number): string {
  return `e${entry}`
}

interface CallerAnswer { key: string, idempotent: boolean, outcome: Outcome, answeredAt: number, runStartsBefore: number }

interface ProposedBatch { decisions: Decision[], effects: Effect[] }

export class RequestFlowModel {
  readonly timers = new ModelTimers()
  readonly runStarts: RunStart[] = []
  readonly callerAnswers: CallerAnswer[] = []
  readonly runners: ModelRunner[] = []
  readonly links: ModelLink[] = []
  readonly flows: RequestFlow[] = []
  private readonly clients: ModelRunnerClient[] = []
  private readonly unanswered: number[] = []
  plans: RunnerPlan[] = []
  /** What was held up in the network when its link was disconnected, in order. */
  lateEvents: Event[] = []
  committed: ClusterState = createClusterState()
  submitted = 0
  answered = 0
  commitsImmediately = true
  private requests = Requests.create(LIMITS)
  private scheduler: Scheduler
  private batches: ProposedBatch[] = []
  private skewMs = 0
  private lastCall = 0

  constructor () {
    for (let index = 0; index < RUNNER_COUNT; index += 1) {
      const name = `r${index}`
      this.committed.targets.set(name, createTarget(name, index + 1))
      this.committed.fence = index + 1
      this.runners.push(new ModelRunner(name, this))
    }
    this.scheduler = this.startLeader()
    for (let entry = 0; entry < ENTRY_COUNT; entry += 1) this.startEntry(entry)
  }

  private startEntry (entry: number): void {
    const link = new ModelLink(entry, this)
    const runners = new ModelRunnerClient(this)
    const limits = { lateMs: LIMITS.lateMs, leaderRetryDelayMs: 20, leaderGraceMs: 100 }
    this.links[entry] = link
    this.clients[entry] = runners
    this.flows[entry] = RequestFlow.create({ leader: link, runners, timers: this.timers, limits })
  }

  /** Replaces the process of an entry after a crash; requests already sent to runners continue. */
  restartEntry (entry: number): void {
    this.links[entry].isDead = true
    this.clients[entry].isDead = true
    this.links[entry].pendingCalls.clear()
    this.links[entry].disconnect()
    this.submitted -= this.unanswered[entry] ?? 0
    this.unanswered[entry] = 0
    this.handleEvent({ kind: 'entryLost', entry: entryName(entry) })
    this.startEntry(entry)
    this.links[entry].isUp = false
    this.links[entry].reconnect()
  }

  nextCall (): number {
    this.lastCall += 1
    return this.lastCall
  }

  handleEvent (event: Event): void {
    const { decisions, effects } = this.scheduler.handle(event, this.timers.time + this.skewMs)
    this.batches.push({ decisions: structuredClone(decisions), effects })
    if (this.commitsImmediately) this.commit()
  }

  /** Commits all proposed decisions and applies their effects. */
  commit (): void {
    for (const batch of this.batches.splice(0)) {
      for (const decision of batch.decisions) applyDecision(this.committed, decision)
      for (const effect of batch.effects) this.applyEffect(effect)
    }
  }

  /** Starts another leader, whose clock differs by `skewMs`; uncommitted decisions are lost. The other entries reconnect to it. */
  changeLeader (skewMs: number, disconnectedEntry: number): void {
    this.batches = []
    this.skewMs = skewMs
    for (const link of this.links) link.disconnect()
    this.lateEvents = []
    this.scheduler = this.startLeader()
    this.links.forEach((link, entry) => { if (entry !== disconnectedEntry) link.reconnect() })
  }

  /** Delivers what was sent over links that are disconnected since. */
  deliverLate (): void {
    for (const event of this.lateEvents.splice(0)) this.handleEvent(event)
  }

  /** `isLed` is false for a time without a leader. */
  async advance (durationMs: number, isLed = true): Promise<void> {
    for (let remainingMs = durationMs; remainingMs > 0; remainingMs -= TICK_MS) {
      await this.timers.advance(Math.min(remainingMs, TICK_MS))
      if (isLed) this.handleEvent({ kind: 'tick' })
    }
    await flushPromises()
  }

  submit (entry: number, requestId: string, deadlineMs: number, urgency: number, createdMs: number): void {
    const request = create(SubmitRequestSchema, {
      service: SERVICE,
      requestId,
      idempotent: requestId.startsWith('i'),
      urgency,
      deadlineMs,
      payload: Buffer.from(requestId),
      createdMs: BigInt(createdMs)
    })
    // The 100 ms are the leaderGraceMs of the entries.
    const answerBy = this.timers.time + deadlineMs + 100
    const flow = this.flows[entry]
    this.submitted += 1
    this.unanswered[entry] = (this.unanswered[entry] ?? 0) + 1
    flow.submit('ann', request).finally(() => {
      if (this.flows[entry] !== flow) return
      this.answered += 1
      this.unanswered[entry] -= 1
    }).then(outcome => {
      if (this.flows[entry] !== flow) return
      assert.ok(this.timers.time <= answerBy, 'the caller was answered too long after its deadline')
      this.recordAnswer(requestId, outcome)
    }, (failure: Failure) => {
      assert.ok(failure.kind !== ErrorKind.internal && failure.kind !== ErrorKind.conflict, failure.message)
    }).catch(error => { this.fault = error })
  }

  /** Error of a check that failed in a callback; assertInvariants throws it. */
  fault: Error | undefined

  cancel (entry: number, requestId: string): void {
    this.links[entry].call({ kind: 'cancelRequest', caller: 'ann', requestId }).then(answer => {
      if (answer.kind === 'outcome') this.recordAnswer(requestId, answer.outcome)
    }, () => {}).catch(error => { this.fault = error })
  }

  restartRunner (index: number): void {
    const { name } = this.runners[index]
    const resources = { millicores: 0, memoryMib: 0, accelerators: 0 }
    const facts = { name, kind: TargetKind.runner, incarnation: this.lastCall, vm: name, rack: '', availabilityZone: '', address: name }
    const announcement = { ...facts, capacity: resources, service: SERVICE, slots: SLOTS_PER_RUNNER, connections: CONNECTIONS_PER_RUNNER }
    this.handleEvent({ kind: 'announce', call: this.nextCall(), entry: 'e0', announcement })
  }

  disconnectEntry (entry: number): void {
    this.links[entry].disconnect()
    this.handleEvent({ kind: 'entryLost', entry: entryName(entry) })
  }

  /** Removes all faults and advances time by 6 s, by which every request must be finished. */
  async recover (): Promise<void> {
    this.commitsImmediately = true
    this.commit()
    for (const link of this.links) {
      link.release()
      link.reconnect()
    }
    this.deliverLate()
    this.plans = []
    await this.advance(6_000)
  }

  /** Kinds of the recorded outcomes, in the order of the claims. */
  listOutcomes (): string[] {
    return [...this.committed.requests.values()].map(record => record.outcome.kind)
  }

  assertInvariants (): void {
    if (this.fault !== undefined) throw this.fault
    assert.equal(this.answered, this.submitted, 'not every caller was answered')
    for (const flow of this.flows) assert.equal(flow.inFlight, 0, 'a request is still in flight')
    for (const runner of this.runners) assert.equal(this.requests.countInFlight(runner.name), 0, `${runner.name} still has a slot in use`)
    for (const record of this.committed.requests.values()) assert.notEqual(record.outcome.kind, OutcomeKind.pending)
    this.checkRuns()
    this.checkRecords()
    this.checkAnswers()
  }

  /** Repeats get the recorded outcome, so it must not deny a run. */
  private checkRecords (): void {
    for (const { caller, requestId, outcome } of this.committed.requests.values()) {
      const key = `${caller} ${requestId}`
      const deniesRun = outcome.kind === OutcomeKind.notRun || outcome.kind === OutcomeKind.cancelled
      if (deniesRun) assert.ok(this.runStarts.every(start => start.key !== key), `${key} was recorded as ${outcome.kind}, although it ran: ${outcome.reason}`)
    }
  }

  private checkRuns (): void {
    const runs = new Map<string, number>()
    for (const start of this.runStarts) {
      if (!start.idempotent) runs.set(start.key, (runs.get(start.key) ?? 0) + 1)
    }
    for (const [key, count] of runs) assert.equal(count, 1, `${key} ran ${count} times`)
  }

  private checkAnswers (): void {
    const finalKinds = new Map<string, string>()
    for (const { key, idempotent, outcome, runStartsBefore } of this.callerAnswers) {
      const runCount = this.runStarts.filter(start => start.key === key).length
      const deniesRun = outcome.kind === OutcomeKind.notRun || outcome.kind === OutcomeKind.cancelled
      if (deniesRun) assert.equal(idempotent ? runStartsBefore : runCount, 0, `${key} was answered ${outcome.kind}, although it ran: ${outcome.reason}`)
      if (outcome.kind === OutcomeKind.done) {
        assert.equal(`ann ${Buffer.from(outcome.body).toString()}`, key)
        assert.equal(outcome.digest, computeDigest(outcome.body))
      }
      if (idempotent || outcome.kind === OutcomeKind.unknown || outcome.kind === OutcomeKind.pending) continue
      assert.equal(finalKinds.get(key) ?? outcome.kind, outcome.kind, `${key} was answered with two different final outcomes`)
      finalKinds.set(key, outcome.kind)
    }
  }

  private recordAnswer (requestId: string, outcome: Outcome): void {
    const key = `ann ${requestId}`
    const runStartsBefore = this.runStarts.filter(start => start.key === key).length
    this.callerAnswers.push({ key, idempotent: requestId.startsWith('i'), outcome, answeredAt: this.timers.time, runStartsBefore })
  }

  private startLeader (): Scheduler {
    this.requests = Requests.create(LIMITS)
    const scheduler = Scheduler.create([new Announcer(), this.requests], structuredClone(this.committed))
    scheduler.startLeading(this.timers.time + this.skewMs)
    return scheduler
  }

  private applyEffect (effect: Effect): void {
    if (!isAnswerEffect(effect)) return
    for (const link of this.links) {
      const pendingCall = link.pendingCalls.get(effect.call)
      link.pendingCalls.delete(effect.call)
      if (effect.kind === 'reply') pendingCall?.resolve(effect.answer)
      else pendingCall?.reject(Failure.create(effect.error, effect.message))
    }
  }
}
