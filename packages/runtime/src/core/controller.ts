/**
 * The controller role: holds a replica of the log, passes events to the scheduler
 * while this process leads, carries out its effects, and answers the calls of entries.
 */

import {
  decodeValue, encodeValue, InternalMethod, Topic,
  type CallFrame, type ConfigurationAnswer, type ControllerAddress, type ForwardedCall,
  type HeartbeatAnswer, type HeartbeatBody, type JobEvent, type Link, type MemberCandidate, type MembersAnswer, type Replica, type ReplicaOwner, type RequestEvent
} from '@flamingorouter/controllers'
import type { Binding } from '@flamingorouter/rpc'
import {
  ErrorKind, fail, toFailure, type Answer, type ClusterState, type Failure, type Decision, type Effect, type Event, type EntryReport, type Scheduler, type StepResult
} from '@flamingorouter/scheduler'
import { AdmissionEntries } from './admission-entries.js'
import { PendingCalls } from './pending-calls.js'
import { clusterNow, monotonicNow } from './clock.js'
import { logTransientEvents, logDecisions } from './decision-log.js'
import { EffectCalls, isImmediate } from './effect-calls.js'
import { EntryTable } from './entry-table.js'
import { describeError } from './error-handlers.js'
import type { MetricsRecorder } from './metrics-recorder.js'
import { LoadReporter } from './load-reporter.js'
import { JobCalls } from './job-calls.js'
import { LeaseGate } from './lease-gate.js'
import { LinkTable } from './link-table.js'
import type { LocalMethod } from './local-methods.js'
import type { LoopMonitor } from './loop-monitor.js'
import type { OrderDispatcher } from './order-dispatcher.js'
import { ProposalQueue } from './proposal-queue.js'
import { RpcCalls } from './rpc-calls.js'
import type { RuntimeLog } from './runtime-log.js'
import { decodeState } from './state-snapshot.js'
import type { VmService } from './vm-service.js'
import { StateWatches } from './state-watches.js'
import { WorkMeter } from './work-meter.js'

/** Services and callbacks that a controller of staged jobs needs in addition; absent in other controllers. */
export interface ControllerHooks {
  /** Sends orders to called workers. */
  orderDispatcher?: OrderDispatcher
  /** Lists VMs and takes them down for upkeep. */
  vmService?: VmService
  /** Called after an entry of the log was applied. */
  handleApplied?: () => void
  /** Called when a controller that is not a member offers itself as one in a heartbeat. */
  handleCandidate?: (candidate: MemberCandidate) => void
  /** Controllers to name to other processes while the membership in this controller's log is empty. */
  knownControllers?: () => ControllerAddress[]
}

export interface ControllerOptions extends ControllerHooks {
  scheduler: Scheduler
  bindings: readonly Binding[]
  /** Methods that need more than the replicated state, such as membership, by full RPC name. */
  localMethods: ReadonlyMap<string, LocalMethod>
  log: RuntimeLog
  metrics?: MetricsRecorder
  /** Measures the event loop of this process; its figures are logged with the load of the cell and with a lost leadership. */
  loopMonitor?: LoopMonitor
  /** Called when the replica has failed and this controller cannot continue. */
  handleFault: (reason: string) => void
}

export class Controller implements ReplicaOwner {
  readonly entries = EntryTable.create()
  /** Names what holds up the event loop. */
  readonly work: WorkMeter
  private attached: { replica: Replica, proposals: ProposalQueue } | undefined
  private readonly pendingCalls = PendingCalls.create()
  private readonly loadReporter: LoadReporter
  private readonly watches = StateWatches.create()
  private readonly rpcCalls: RpcCalls
  private readonly jobCalls: JobCalls
  private readonly entryLinks = LinkTable.create()
  private readonly effectCalls: EffectCalls
  private readonly admissionEntries: AdmissionEntries
  private readonly leaseGate = LeaseGate.create()
  private isLeading = false

  private constructor (private readonly options: ControllerOptions) {
    this.work = WorkMeter.create(options.loopMonitor)
    this.loadReporter = LoadReporter.create(options.log, options.loopMonitor)
    this.effectCalls = EffectCalls.create({
      feed: event => { this.feed(event) },
      isLeading: () => this.isLeading,
      isAuthoritative: () => this.isAuthoritative,
      term: () => this.replica.status().term,
      entryLinks: this.entryLinks
    }, options.log, options.vmService)
    this.admissionEntries = AdmissionEntries.create(this.entries, this.entryLinks, {
      report: entries => { if (this.isLeading) this.feed({ kind: 'advisorsChanged', entries }) },
      now: monotonicNow,
      defer: run => { setImmediate(run) }
    })
    this.rpcCalls = RpcCalls.create(this, options.bindings, options.localMethods, this.watches)
    this.jobCalls = JobCalls.create({
      ask: async toEvent => await this.ask(toEvent),
      propose: () => { this.flush() },
      readTurnMs: () => options.loopMonitor?.sinceTickMs ?? 0
    }, options.log)
  }

  static create (options: ControllerOptions): Controller {
    return new Controller(options)
  }

  /** Attaches the replica. Separate from `create`, since the replica is created with this controller as its owner. */
  attach (replica: Replica): void {
    const release = (effect: Effect): void => { this.release(effect) }
    const handleFailure = (thrown: unknown): void => { this.options.log.warn('propose_failed', { error: toFailure(thrown).message }) }
    const handleCommit = (durationMs: number): void => { this.options.metrics?.recordCommit(durationMs) }
    this.attached = { replica, proposals: ProposalQueue.create(replica, { release, handleFailure, handleCommit }) }
  }

  get isAttached (): boolean {
    return this.attached !== undefined
  }

  get replica (): Replica {
    return this.attached?.replica ?? fail(ErrorKind.unavailable, 'the controller is starting; its replica is not attached yet')
  }

  private get proposals (): ProposalQueue {
    return this.attached?.proposals ?? fail(ErrorKind.unavailable, 'the controller is starting; its replica is not attached yet')
  }

  get state (): ClusterState {
    return this.options.scheduler.state
  }

  /** The state, while this process follows and all of it is committed; undefined while it leads. */
  get committedState (): ClusterState | undefined {
    return this.isLeading ? undefined : this.state
  }

  /** Number of proposed log entries that are not committed yet. */
  get inFlight (): number {
    return this.proposals.inFlight
  }

  /** True while this process leads and holds the lease, and so may grant and answer. */
  get isAuthoritative (): boolean {
    return this.isLeading && this.replica.holdsLease()
  }

  handleLinkOpened (link: Link): void {
    if (link.peer?.role === 'entry') this.entryLinks.add(link)
  }

  handleLinkClosed (link: Link): void {
    const isLast = this.entryLinks.remove(link)
    if (isLast && this.isLeading) this.feed({ kind: 'entryLost', entry: link.peer?.process ?? '' })
  }

  /** Proposes all decisions made so far. Called before each tick of the replica, since a snapshot of the state may contain only decisions that are in the log. */
  flush (): void {
    this.work.measure('propose', () => { this.proposals.flush() })
  }

  /**
   * Runs the scheduler's timeouts, maintains the table of entries, completes the waiting
   * reads whose state has changed and logs the load. Does nothing unless this process
   * leads and holds the lease.
   */
  tick (): void {
    if (!this.isAuthoritative) return
    this.admissionEntries.refresh()
    this.feed({ kind: 'tick' })
    this.entries.removeExpired(monotonicNow())
    this.watches.completeChanged(this.state)
    this.loadReporter.report(this.state, monotonicNow())
  }

  // Callbacks of the replica.

  applyEntry (index: number, entry: Uint8Array, isOwn: boolean): void {
    this.work.measure(isOwn ? 'releaseEffects' : 'applyEntry', () => {
      if (isOwn) this.proposals.handleCommit(index)
      else this.applyDecisions(index, entry)
      this.options.handleApplied?.()
      this.watches.completeChanged(this.state)
    })
  }

  /** A controller that cannot apply an entry must not continue with a state that differs from the log. */
  private applyDecisions (index: number, entry: Uint8Array): void {
    try {
      for (const decision of decodeValue(entry) as Decision[]) this.options.scheduler.apply(decision)
    } catch (thrown) {
      this.options.log.error('apply_failed', { index, ...describeError(thrown) })
      this.options.handleFault(`entry ${index} of the log could not be applied: ${String(thrown)}`)
      throw thrown
    }
  }

  restoreSnapshot (index: number, snapshot: Uint8Array): void {
    this.options.scheduler.restore(decodeState(snapshot))
    this.options.log.info('state_restored', { index, bytes: snapshot.length })
  }

  startLeading (term: number): void {
    this.options.scheduler.startLeading(clusterNow())
    this.entries.reset(monotonicNow())
    this.isLeading = true
    this.admissionEntries.reset()
    this.options.orderDispatcher?.startLeading(
      term,
      event => { if (this.isLeading) this.feed(event) },
      (kind, durationMs) => { this.work.record(kind, durationMs) }
    )
    for (const link of this.entryLinks.list()) link.send({ kind: 'notice', topic: Topic.leading, body: { term } })
    this.options.log.info('leading', { term, change: this.state.change })
    // The first event makes the scheduler watch the workers; it follows the notices, so that heartbeats arrive meanwhile.
    setImmediate(() => { this.runFirstTick() })
  }

  /** An error of the scheduler is logged and reported as a fault where it is raised, and nobody waits for this tick. */
  private runFirstTick (): void {
    try {
      this.tick()
    } catch (thrown) {
      this.options.log.error('first_tick_failed', { error: toFailure(thrown).message })
    }
  }

  stopLeading (leader: string): void {
    if (this.isLeading) this.options.log.warn('leadership_lost', { leader, ...this.options.loopMonitor?.takeReport() })
    this.isLeading = false
    this.options.orderDispatcher?.stopLeading()
    this.attached?.proposals.discard()
    this.pendingCalls.rejectAll('leadership was lost before the change was committed; its outcome is unknown')
    this.watches.rejectAll()
    this.leaseGate.refuse('leadership was lost')
  }

  handleFault (failure: Failure): void {
    this.options.log.error('replica_faulted', { error: failure.message })
    this.options.handleFault(failure.message)
  }

  encodeSnapshot (): Uint8Array {
    return this.work.measure('encodeSnapshot', () => encodeValue(this.state))
  }

  startElection (term: number, leaderSilentMs: number): void {
    this.options.log.warn('election_started', { term, leaderSilentMs: Math.round(leaderSilentMs) })
  }

  /** Passes a message of another member to the replica; it may renew the lease for which calls wait. */
  receive (from: string, message: unknown): void {
    this.work.measure('replication', () => { this.replica.receive(from, message) })
    this.leaseGate.openIf(() => this.isAuthoritative)
  }

  /** Handles a one-way message of an entry. */
  handleNotice (link: Link, topic: string, body: unknown): void {
    if (!this.isAuthoritative || topic !== Topic.grantsHeld) return
    this.feed({ kind: 'grantsHeld', report: body as EntryReport })
  }

  // Calls from entries.

  async handleCall (link: Link, frame: CallFrame): Promise<unknown> {
    if (frame.method === InternalMethod.members) return this.answerMembers()
    if (this.isLeading && !this.isAuthoritative) await this.leaseGate.wait()
    if (!this.isAuthoritative) this.failWithNotLeader()
    const entry = link.peer?.process ?? ''
    switch (frame.method) {
      case InternalMethod.heartbeat: return this.answerHeartbeat(frame.body as HeartbeatBody)
      case InternalMethod.configuration: return await this.answerConfiguration()
      case InternalMethod.job: return await this.jobCalls.answer(entry, frame.body as JobEvent)
      case InternalMethod.request: return await this.answerRequest(entry, frame.body as RequestEvent)
      default: return await this.rpcCalls.answer(entry, frame.method, frame.body as ForwardedCall)
    }
  }

  private failWithNotLeader (): never {
    const { leader } = this.replica.status()
    fail(ErrorKind.notLeader, leader === '' ? 'no leader is known' : `the leader is ${leader}`)
  }

  private answerHeartbeat (body: HeartbeatBody): HeartbeatAnswer {
    this.entries.recordHeartbeat(body, monotonicNow())
    this.admissionEntries.handleHeartbeat(body)
    if (body.candidate !== undefined) this.options.handleCandidate?.(body.candidate)
    const { term, members } = this.replica.status()
    return {
      term,
      configurationVersion: this.state.configurationVersion,
      committedCellVersion: this.jobCalls.committedCellVersion,
      controllers: members.map(({ id, address }) => ({ id, address })),
      ...(this.entries.grantRelief(body, monotonicNow()) ? { isRelieved: true } : {})
    }
  }

  private answerMembers (): MembersAnswer {
    const { members } = this.replica.status()
    const controllers = members.map(({ id, address }) => ({ id, address }))
    return { controllers: controllers.length > 0 ? controllers : this.options.knownControllers?.() ?? [] }
  }

  private async answerConfiguration (): Promise<ConfigurationAnswer> {
    const answer = { version: this.state.configurationVersion, documents: [...this.state.documents.values()] }
    await this.barrier()
    return answer
  }

  private async answerRequest (entry: string, event: RequestEvent): Promise<unknown> {
    const startedAt = monotonicNow()
    const answer = await this.pendingCalls.open(call => {
      const eventWithCall = event.kind === 'acquire' || event.kind === 'settle' ? { ...event, call, entry } : { ...event, call }
      this.feed(eventWithCall)
    })
    if (event.kind === 'acquire' && answer.kind === 'granted') {
      this.options.metrics?.recordRequestWait(event.facts.urgency, monotonicNow() - startedAt)
    }
    return answer
  }

  /**
   * Resolves when every decision made so far is committed. Rejects with
   * deadlineExceeded when leadership is lost meanwhile, and with notLeader when the
   * lease has expired by then. A read is evaluated before it waits here,
   * so that it never returns a change that could still be lost.
   */
  async barrier (): Promise<void> {
    await this.pendingCalls.open(call => {
      // The contents of this answer are not used, only the time of its release.
      this.proposals.add({ decisions: [], effects: [{ kind: 'reply', call, answer: { kind: 'left', inFlight: 0 } }] })
    })
    if (!this.isAuthoritative) this.failWithNotLeader()
  }

  /** Passes an event with a new call number to the scheduler and resolves with the answer to that call. */
  async ask (toEvent: (call: number) => Event): Promise<Answer> {
    return await this.pendingCalls.open(call => { this.feed(toEvent(call)) })
  }

  private feed (event: Event): void {
    const { scheduler, metrics } = this.options
    const now = clusterNow()
    const startedAt = monotonicNow()
    const result = this.handleEvent(event, now)
    const durationMs = monotonicNow() - startedAt
    metrics?.recordStep(event.kind, durationMs)
    this.work.record(event.kind, durationMs)
    metrics?.recordDecisions(result.decisions, scheduler.state, now)
    metrics?.recordEffects(result.effects)
    logDecisions(this.options.log, result.decisions, scheduler.state, now)
    logTransientEvents(this.options.log, event, result.effects, scheduler.state)
    const deferred: Effect[] = []
    for (const effect of result.effects) {
      if (isImmediate(effect)) this.release(effect)
      else deferred.push(effect)
    }
    this.proposals.add({ decisions: result.decisions, effects: deferred })
    this.replica.sustain()
  }

  /**
   * An error while a call is handled, before any decision, fails that call alone. After any other error the state may
   * differ from the log, so that this controller must not continue.
   */
  private handleEvent (event: Event, now: number): StepResult {
    const { scheduler, log } = this.options
    const { change } = scheduler.state
    try {
      return scheduler.handle(event, now)
    } catch (thrown) {
      log.error('event_failed', { kind: event.kind, ...describeError(thrown) })
      const isCallOnly = 'call' in event && scheduler.state.change === change
      if (!isCallOnly) this.options.handleFault(`the scheduler failed on an event ${event.kind}: ${String(thrown)}`)
      throw thrown
    }
  }

  // Effects whose decisions are committed, and those that need no commit.

  private release (effect: Effect): void {
    switch (effect.kind) {
      case 'reply': return this.pendingCalls.reply(effect.call, effect.answer)
      case 'refuse': return this.pendingCalls.refuse(effect.call, effect.error, effect.message, effect.retryAfterMs)
      case 'askAdmission':
      case 'listVms':
      case 'orderUpkeep':
      case 'command': return this.effectCalls.carryOut(effect)
      case 'startRun':
      case 'stopRun':
      case 'paceRun':
      case 'watchWorker':
      case 'unwatchWorker':
      case 'ackEnds': this.options.orderDispatcher?.dispatch(effect)
    }
  }
}
