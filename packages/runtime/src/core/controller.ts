/**
 * The controller role: a replica of the log, the scheduler fed by one loop while
 * this process leads, and the answers to calls of entries.
 */

import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { createHash } from 'node:crypto'
import {
  decodeValue, encodeValue, InternalMethod, Topic,
  type AdmissionAnswer, type AdmissionBody, type CallFrame, type ConfigurationAnswer, type ControllerAddress, type ExecuteAnswer, type ExecuteBody, type ForwardedCall,
  type HeartbeatAnswer, type HeartbeatBody, type JobEvent, type Link, type MemberCandidate, type MembersAnswer, type Replica, type ReplicaOwner, type RequestEvent
} from '@flamingorouter/controllers'
import type { Binding, CallContext } from '@flamingorouter/rpc'
import {
  createClusterState, ErrorKind, fail, summarizeLoad, toFailure, type Answer, type ClusterState, type Failure, type Decision, type Effect, type Event, type EntryReport, type ListedVm, type Scheduler
} from '@flamingorouter/scheduler'
import { Calls } from './calls.js'
import { clusterNow, monotonicNow } from './clock.js'
import { logBeliefs, logDecisions } from './decision-log.js'
import { EntryTable } from './liveness.js'
import type { Measures } from './measures.js'
import type { LocalMethod } from './local-methods.js'
import type { OrderCarrier } from './order-carrier.js'
import { Proposals } from './proposals.js'
import type { RuntimeLog } from './runtime-log.js'
import type { VmService } from './vm-service.js'
import { Watches } from './watches.js'

/** Time between two lines on how full the cell is, in milliseconds. */
const LOAD_REPORT_MS = 1_000

/** How long an entry may take to carry commands, in milliseconds. */
const EXECUTE_TIMEOUT_MS = 2_000

/** What a controller of staged jobs has beside; absent for one without. */
export interface ControllerHooks {
  /** Carries orders to workers that are called. */
  orders?: OrderCarrier
  /** Lists VMs and takes them down for upkeep. */
  vms?: VmService
  /** A controller that is no member would like to be one. */
  offered?: (candidate: MemberCandidate) => void
  /** Controllers that this process knows of while its own log names none. */
  knownControllers?: () => ControllerAddress[]
}

export interface ControllerOptions extends ControllerHooks {
  scheduler: Scheduler
  bindings: readonly Binding[]
  /** Methods that need more than the state, such as membership. */
  localMethods: ReadonlyMap<string, LocalMethod>
  log: RuntimeLog
  metrics?: Measures
  /** This controller cannot go on. */
  faulted: (reason: string) => void
}

type ExecuteEffect = Extract<Effect, { kind: 'command' }>
type AdmissionEffect = Extract<Effect, { kind: 'askAdmission' }>

/** Effects that rest on no decision, and so wait for no commit. */
const IMMEDIATE_EFFECTS: ReadonlySet<Effect['kind']> = new Set(['askAdmission', 'listVms', 'watchWorker', 'unwatchWorker'])

export class Controller implements ReplicaOwner {
  readonly entries = EntryTable.create()
  private attached: { replica: Replica, proposals: Proposals } | undefined
  private readonly calls = Calls.create()
  /** Monotonic time of the last line on how full the cell is. */
  private loadReportedAt = -Infinity
  private readonly watches = Watches.create()
  private readonly bindings = new Map<string, Binding>()
  private readonly links = new Map<string, Link>()
  /** Entries that carry questions to the admission service, as the scheduler was told of them. */
  private advisors = ''
  private isLeading = false

  private constructor (private readonly options: ControllerOptions) {
    for (const binding of options.bindings) {
      this.bindings.set(`${binding.method.parent.typeName}/${binding.method.name}`, binding)
    }
  }

  static create (options: ControllerOptions): Controller {
    return new Controller(options)
  }

  /** Connects the replica, which is created with this controller as its owner. */
  attach (replica: Replica): void {
    const release = (effect: Effect): void => { this.release(effect) }
    const failed = (thrown: unknown): void => {
      this.options.log.warn('propose_failed', { error: toFailure(thrown).message })
    }
    const committed = (durationMs: number): void => { this.options.metrics?.recordCommit(durationMs) }
    this.attached = { replica, proposals: Proposals.create(replica, { release, failed, committed }) }
  }

  get isAttached (): boolean {
    return this.attached !== undefined
  }

  get replica (): Replica {
    return this.attached?.replica ?? fail(ErrorKind.unavailable, 'the controller is starting')
  }

  private get proposals (): Proposals {
    return this.attached?.proposals ?? fail(ErrorKind.unavailable, 'the controller is starting')
  }

  get state (): ClusterState {
    return this.options.scheduler.state
  }

  /** Entries that wait for their commit. */
  get inFlight (): number {
    return this.proposals.inFlight
  }

  /** True while this process may grant and answer. */
  get isAuthoritative (): boolean {
    return this.isLeading && this.replica.holdsLease()
  }

  linkOpened (link: Link): void {
    const peer = link.peer
    if (peer?.role === 'entry') this.links.set(peer.process, link)
  }

  linkClosed (link: Link): void {
    const peer = link.peer
    if (peer === undefined || this.links.get(peer.process) !== link) return
    this.links.delete(peer.process)
    if (this.isLeading) this.feed({ kind: 'entryLost', entry: peer.process })
  }

  /** Proposes what the present turn decided, so that the state has nothing beyond the log. */
  flush (): void {
    this.proposals.flush()
  }

  /** Runs the scheduler's time-outs and the waiting reads. */
  tick (): void {
    if (!this.isAuthoritative) return
    this.feed({ kind: 'tick' })
    this.entries.sweep(monotonicNow())
    this.tellAdvisors()
    this.watches.check(this.state)
    this.reportLoad()
  }

  private reportLoad (): void {
    const now = monotonicNow()
    if (this.state.calledWorkers.size === 0 || now - this.loadReportedAt < LOAD_REPORT_MS) return
    this.loadReportedAt = now
    const { placed, waiting, ...room } = summarizeLoad(this.state)
    this.options.log.info('cell_load', { ...room, placed: formatCounts(placed), waiting: formatCounts(waiting), change: this.state.change })
  }

  // What the replica tells.

  committed (index: number, entry: Uint8Array, own: boolean): void {
    if (own) {
      this.proposals.committed(index)
    } else {
      for (const decision of decodeValue(entry) as Decision[]) this.options.scheduler.apply(decision)
    }
    this.watches.check(this.state)
  }

  restored (index: number, snapshot: Uint8Array): void {
    this.options.scheduler.restore(snapshot.length === 0 ? createClusterState() : decodeState(snapshot))
    this.options.log.info('state_restored', { index, bytes: snapshot.length })
  }

  leading (term: number): void {
    this.options.scheduler.lead(clusterNow())
    this.entries.reset(monotonicNow())
    this.isLeading = true
    this.advisors = ''
    this.options.orders?.lead(term, event => { if (this.isLeading) this.feed(event) })
    for (const link of this.links.values()) link.send({ kind: 'notice', topic: Topic.leading, body: { term } })
    this.options.log.info('leading', { term, change: this.state.change })
  }

  following (leader: string): void {
    if (this.isLeading) this.options.log.warn('leadership_lost', { leader })
    this.isLeading = false
    this.options.orders?.follow()
    this.attached?.proposals.drop()
    this.calls.abandon('leadership was lost before the change was committed; its outcome is not known here')
    this.watches.abandon()
  }

  faulted (failure: Failure): void {
    this.options.log.error('replica_faulted', { error: failure.message })
    this.options.faulted(failure.message)
  }

  snapshot (): Uint8Array {
    return encodeValue(this.state)
  }

  /** A message of an entry without an answer. */
  noticed (link: Link, topic: string, body: unknown): void {
    if (!this.isAuthoritative || topic !== Topic.grantsHeld) return
    this.feed({ kind: 'grantsHeld', report: body as EntryReport })
  }

  // Calls of entries.

  async called (link: Link, frame: CallFrame): Promise<unknown> {
    if (frame.method === InternalMethod.members) return this.answerMembers()
    if (!this.isAuthoritative) this.refuseAsFollower()
    const entry = link.peer?.process ?? ''
    switch (frame.method) {
      case InternalMethod.heartbeat: return this.answerHeartbeat(frame.body as HeartbeatBody)
      case InternalMethod.configuration: return await this.answerConfiguration()
      case InternalMethod.job: return await this.ask(call => ({ ...frame.body as JobEvent, call }))
      case InternalMethod.request: return await this.answerRequest(entry, frame.body as RequestEvent)
      default: return await this.answerRpc(entry, frame.method, frame.body as ForwardedCall)
    }
  }

  private refuseAsFollower (): never {
    const { leader } = this.replica.status()
    fail(ErrorKind.notLeader, leader === '' ? 'no leader is known' : `the leader is ${leader}`)
  }

  private answerHeartbeat (body: HeartbeatBody): HeartbeatAnswer {
    this.entries.hear(body, monotonicNow())
    if (body.candidate !== undefined) this.options.offered?.(body.candidate)
    const { term, members } = this.replica.status()
    return {
      term,
      configurationVersion: this.state.configurationVersion,
      controllers: members.map(({ id, address }) => ({ id, address }))
    }
  }

  private answerMembers (): MembersAnswer {
    const { members } = this.replica.status()
    const controllers = members.map(({ id, address }) => ({ id, address }))
    return { controllers: controllers.length > 0 ? controllers : this.options.knownControllers?.() ?? [] }
  }

  /** Tells the scheduler which entries may carry questions to the admission service. */
  private tellAdvisors (): void {
    const now = monotonicNow()
    const live = this.entries.list().filter(entry => entry.isAdvisor === true && this.entries.isLive(entry, now) && this.links.has(entry.process))
    const entries = live.map(entry => entry.process).sort()
    if (entries.join() === this.advisors) return
    this.advisors = entries.join()
    this.feed({ kind: 'advisorsChanged', entries })
  }

  private async answerConfiguration (): Promise<ConfigurationAnswer> {
    const answer = { version: this.state.configurationVersion, documents: [...this.state.documents.values()] }
    await this.barrier()
    return answer
  }

  private async answerRequest (entry: string, event: RequestEvent): Promise<unknown> {
    const startedAt = monotonicNow()
    const answer = await this.calls.open(call => {
      const numbered = event.kind === 'acquire' || event.kind === 'settle' ? { ...event, call, entry } : { ...event, call }
      this.feed(numbered)
    })
    if (event.kind === 'acquire' && answer.kind === 'granted') {
      this.options.metrics?.recordRequestWait(event.facts.urgency, monotonicNow() - startedAt)
    }
    return answer
  }

  private async answerRpc (entry: string, method: string, body: ForwardedCall): Promise<Uint8Array> {
    const context = this.createContext(entry, body)
    const local = this.options.localMethods.get(method)
    if (local !== undefined) return await local(body.request, context, this)
    const binding = this.bindings.get(method)
    if (binding === undefined) fail(ErrorKind.unimplemented, `no method ${method}`)
    const request = fromBinary(binding.method.input, body.request)
    if (binding.kind === 'event') {
      const answer = await this.ask(call => binding.toEvent(request, { ...context, call }))
      return toBinary(binding.method.output, binding.toResponse(answer, request))
    }
    const waitMs = binding.waitMs?.(request) ?? 0
    if (waitMs > 0 && binding.isChanged !== undefined) {
      const isChanged = binding.isChanged
      await this.watches.wait(state => isChanged(request, state), waitMs, this.state)
    }
    const response = toBinary(binding.method.output, binding.read(request, context, this.state))
    await this.barrier()
    return response
  }

  private createContext (entry: string, body: ForwardedCall): CallContext {
    return {
      call: 0,
      actor: body.actor,
      team: body.team,
      entry,
      now: clusterNow(),
      digest: createHash('sha256').update(body.request).digest('hex')
    }
  }

  /**
   * Resolves when everything decided so far is committed. A read is made before
   * it waits here, so that it never shows a change that could still be lost.
   */
  async barrier (): Promise<void> {
    await this.calls.open(call => {
      this.proposals.add({ decisions: [], effects: [{ kind: 'reply', call, answer: { kind: 'left', inFlight: 0 } }] })
    })
    if (!this.isAuthoritative) this.refuseAsFollower()
  }

  /** Feeds an event with a call and resolves with its answer. */
  async ask (toEvent: (call: number) => Event): Promise<Answer> {
    return await this.calls.open(call => { this.feed(toEvent(call)) })
  }

  private feed (event: Event): void {
    const { scheduler, metrics } = this.options
    const now = clusterNow()
    const startedAt = monotonicNow()
    const result = scheduler.handle(event, now)
    metrics?.recordStep(event.kind, monotonicNow() - startedAt)
    metrics?.recordDecisions(result.decisions, scheduler.state, now)
    logDecisions(this.options.log, result.decisions, scheduler.state, now)
    logBeliefs(this.options.log, event, result.effects)
    const held: Effect[] = []
    for (const effect of result.effects) {
      if (IMMEDIATE_EFFECTS.has(effect.kind)) this.release(effect)
      else held.push(effect)
    }
    this.proposals.add({ decisions: result.decisions, effects: held })
  }

  // Effects whose decisions are committed.

  private release (effect: Effect): void {
    switch (effect.kind) {
      case 'reply': return this.calls.reply(effect.call, effect.answer)
      case 'refuse': return this.calls.refuse(effect.call, effect.error, effect.message, effect.retryAfterMs)
      case 'askAdmission': this.askAdmission(effect).catch((thrown: unknown) => {
        this.options.log.error('admission_failed', { stage: effect.stage, error: toFailure(thrown).message })
      }); return
      case 'startRun':
      case 'stopRun':
      case 'paceRun':
      case 'watchWorker':
      case 'unwatchWorker':
      case 'ackEnds': this.options.orders?.carry(effect); return
      case 'listVms': this.listVms().catch((thrown: unknown) => {
        this.options.log.error('list_vms_failed', { error: toFailure(thrown).message })
      }); return
      case 'orderUpkeep': this.orderUpkeep(effect.wave, effect.vm).catch((thrown: unknown) => {
        this.options.log.error('order_upkeep_failed', { wave: effect.wave, vm: effect.vm, error: toFailure(thrown).message })
      }); return
      case 'command': this.execute(effect).catch((thrown: unknown) => {
        this.options.log.error('execute_failed', { target: effect.target, error: toFailure(thrown).message })
      })
    }
  }

  private async askAdmission (effect: AdmissionEffect): Promise<void> {
    const { entry, stage, workers, timeoutMs } = effect
    const askedAt = clusterNow()
    const body: AdmissionBody = { stage, workers, timeoutMs }
    let answer: AdmissionAnswer | undefined
    try {
      const link = this.links.get(entry) ?? fail(ErrorKind.unavailable, `${entry} is not connected`)
      answer = await link.call(InternalMethod.admission, body, timeoutMs) as AdmissionAnswer
    } catch (thrown) {
      this.options.log.warn('admission_unanswered', { stage, entry, asked: workers.length, error: toFailure(thrown).message })
    }
    if (!this.isLeading) return
    const tickets = answer?.tickets ?? []
    this.feed({ kind: 'admissionAnswered', entry, stage, workers, tickets, askedAt, isAnswered: answer !== undefined })
  }

  private async listVms (): Promise<void> {
    const sentAt = clusterNow()
    let vms: ListedVm[] | undefined
    try {
      vms = await this.vmService().list()
    } catch (thrown) {
      this.options.log.warn('vms_not_listed', { error: toFailure(thrown).message })
    }
    if (this.isLeading) this.feed({ kind: 'vmsListed', vms, sentAt })
  }

  private async orderUpkeep (wave: number, vm: string): Promise<void> {
    const { term } = this.replica.status()
    if (!this.isAuthoritative) return
    const outcome = await this.vmService().orderUpkeep(wave, vm, term)
    if (this.isLeading && this.replica.status().term === term) this.feed({ kind: 'upkeepOrdered', wave, vm, outcome })
  }

  private vmService (): VmService {
    return this.options.vms ?? fail(ErrorKind.failedPrecondition, 'no VM service is configured')
  }

  private async execute (effect: ExecuteEffect): Promise<void> {
    const { target, address, session, fence, commands } = effect
    const body: ExecuteBody = { target, address, session, fence, commands }
    const link = this.links.get(effect.entry) ?? this.links.values().next().value
    try {
      if (!this.isAuthoritative) fail(ErrorKind.notLeader, 'the lease is not held')
      if (link === undefined) fail(ErrorKind.unavailable, 'no entry is connected')
      const answer = await link.call(InternalMethod.execute, body, EXECUTE_TIMEOUT_MS) as ExecuteAnswer
      if (this.isLeading) this.feed({ kind: 'commandResults', target, session, results: answer.results })
    } catch (thrown) {
      const reason = toFailure(thrown).message
      if (this.isLeading) this.feed({ kind: 'commandsLost', target, session, commands, reason })
    }
  }
}

function decodeState (snapshot: Uint8Array): ClusterState {
  // A snapshot of an earlier version lacks what was added since.
  return { ...createClusterState(), ...decodeValue(snapshot) as Partial<ClusterState> }
}

function formatCounts (counts: Record<string, number>): string {
  return Object.entries(counts).map(([queue, count]) => `${queue}:${count}`).join(' ')
}
