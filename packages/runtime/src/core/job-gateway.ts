/**
 * The gateway of a process to the leader for staged jobs: forwards the calls of
 * callers, operators and workers, and the leader's queries to the external
 * admission service.
 */

import {
  InternalMethod, type AdmissionAnswer, type AdmissionBody, type CallFrame, type ControllerAddress, type HeartbeatAnswer,
  type HeartbeatBody, type HelloFrame, type JobAnswer, type JobEvent, type Link, type MemberCandidate
} from '@flamingorouter/controllers'
import { ErrorKind, fail, Failure, findCommittedAnswer, findConfigurationAnswer, toFailure, type Answer, type ClusterState } from '@flamingorouter/scheduler'
import { CallTimes } from './call-times.js'
import { monotonicNow } from './clock.js'
import { describeOrder, identifyOrder } from './operator-orders.js'
import { PendingOrders } from './pending-orders.js'
import { RELIEF_VALIDITY_MS } from './entry-table.js'
import type { RuntimeLog } from './runtime-log.js'
import { LostAnswerPolicy, LeaderClient, type HeartbeatOwner } from './leader-client.js'

/** Time without a confirmed leader after which a process is no longer ready, in milliseconds. */
const READINESS_TIMEOUT_MS = 4_000

/** How long a call searches for a leader before it is refused, in milliseconds: slightly more than an election takes. */
const LEADER_SEARCH_TIMEOUT_MS = 1_000

/** How long an attempt at an order waits in a process that has not found a leader for that long, in milliseconds. */
const LEADERLESS_ATTEMPT_MS = 25

/** Client of the external admission service. */
export abstract class AdmissionService {
  /** Asks which workers may run a stage; rejects when there is no valid answer in time. */
  abstract ask (body: AdmissionBody): Promise<AdmissionAnswer>
}

export interface JobGatewayOptions {
  hello: HelloFrame
  controllers: readonly ControllerAddress[]
  /** Logs where the orders that are acknowledged one by one spent their time. */
  log?: RuntimeLog
  /** Absent in a process that does not forward admission queries. */
  admission?: AdmissionService
  /** Set in a controller: returns its id and address to offer itself as a member, or undefined for no offer. */
  candidate?: () => MemberCandidate | undefined
  /** True in a process to which the load balancer sends callers. */
  servesCallers?: boolean
  /** Set where readiness follows headroom: returns true while this process is short of it. */
  isShort?: () => boolean
}

export class JobGateway implements HeartbeatOwner {
  readonly leader: LeaderClient
  /** Monotonic time in milliseconds at which the last heartbeat that the leader answered was sent. */
  private confirmedAt = -Infinity
  /** Monotonic time in milliseconds until which the leader permits this process not to be ready for want of headroom. */
  private relievedUntil = -Infinity
  private isDraining = false
  /** Version of the newest configuration of the cell that a leader stated to be committed; -1 before the first. */
  private committedCellVersion = -1
  private readCommittedState: () => ClusterState | undefined = () => undefined
  private readonly orders = PendingOrders.create({
    send: async (event, timeoutMs) => await this.carry(event, timeoutMs),
    findAnswer: event => this.findCommitted(event),
    now: monotonicNow
  })

  /** Links over which the admission queries in progress arrived, one for each. */
  private queryLinks: Link[] = []

  private constructor (private readonly options: JobGatewayOptions) {
    const called = async (link: Link, frame: CallFrame): Promise<unknown> => await this.handleCall(link, frame)
    this.leader = LeaderClient.create(options.controllers, options.hello, { called }, this)
  }

  static create (options: JobGatewayOptions): JobGateway {
    return new JobGateway(options)
  }

  /** True while the load balancer should send calls here. */
  get isReady (): boolean {
    return !this.isDraining && !this.isRelieved && monotonicNow() - this.confirmedAt < READINESS_TIMEOUT_MS
  }

  /** True while this process is short of headroom and the leader permits it not to be ready; calls that still arrive are served. */
  private get isRelieved (): boolean {
    return monotonicNow() < this.relievedUntil && this.options.isShort?.() === true
  }

  /** Ends readiness and announces that to the leader with the next heartbeat; calls that still arrive are served. */
  drain (): void {
    this.isDraining = true
  }

  /**
   * Sends an event to the leader and resolves with its answer. Events on staged
   * jobs may be repeated after a lost answer, since each identifies a job, a version
   * or an incarnation. Rejects with unavailable when the event was certainly not
   * acted on, and with deadlineExceeded when that is unknown, or when it is an order that this process
   * carries on (see `PendingOrders`). A submission that had to
   * wait for a leader states for how long, since its objective counts from its arrival.
   */
  async ask (event: JobEvent, timeoutMs: number): Promise<Answer> {
    const known = this.findCommitted(event)
    if (known !== undefined) {
      this.options.log?.info('order_acknowledged', { ...describeOrder(event), tookMs: 0, attempts: 0 })
      return known
    }
    const key = identifyOrder(event)
    if (key === undefined) return await this.send(event, timeoutMs, LEADER_SEARCH_TIMEOUT_MS)
    // Elections are shorter than that, so this process is probably cut off, and the caller does better at another one.
    const attemptMs = this.leader.leaderlessMs > LEADER_SEARCH_TIMEOUT_MS ? LEADERLESS_ATTEMPT_MS : timeoutMs
    try {
      return await this.orders.ask(key, event, attemptMs)
    } catch (thrown) {
      if (toFailure(thrown).kind === ErrorKind.deadlineExceeded) this.options.log?.warn('order_carried_on', { ...describeOrder(event), waitedMs: Math.round(attemptMs) })
      throw thrown
    }
  }

  /** In a process with a replica: acknowledges orders that its state, which is undefined unless all of it is committed, shows to be done. */
  attachState (readCommittedState: () => ClusterState | undefined): void {
    this.readCommittedState = readCommittedState
  }

  /** Completes the orders that the state of this process, or the leader's last answer, shows to be committed. */
  completeCommittedOrders (): void {
    this.orders.completeCommitted()
  }

  private findCommitted (event: JobEvent): Answer | undefined {
    if (event.kind !== 'configureCell' && event.kind !== 'startUpkeepWave' && event.kind !== 'workerReported') return undefined
    const state = this.readCommittedState()
    const answer = state === undefined ? undefined : findCommittedAnswer(event, state)
    return answer ?? (event.kind === 'configureCell' ? findConfigurationAnswer(event.cell, this.committedCellVersion) : undefined)
  }

  /** Sends an order that is sent again without an answer; without a leader, its outcome is as open as after a lost answer. */
  private async carry (event: JobEvent, timeoutMs: number): Promise<Answer> {
    try {
      return await this.send(event, timeoutMs, timeoutMs)
    } catch (thrown) {
      const failure = toFailure(thrown)
      if (failure.kind !== ErrorKind.unavailable) throw failure
      throw Failure.create(ErrorKind.deadlineExceeded, failure.message, { cause: failure })
    }
  }

  private async send (event: JobEvent, timeoutMs: number, searchTimeoutMs: number): Promise<Answer> {
    const describe = (heldMs: number): JobEvent => event.kind === 'acceptJob' && heldMs > 0 ? { ...event, heldMs } : event
    const times = CallTimes.create()
    const order = describeOrder(event)
    try {
      const answer = await this.leader.call(InternalMethod.job, describe, timeoutMs, LostAnswerPolicy.repeat, { searchTimeoutMs, times }) as JobAnswer
      if (order !== undefined) this.options.log?.info('order_acknowledged', { ...order, ...times.describe(answer.handling) })
      return answer
    } catch (thrown) {
      if (order !== undefined) this.options.log?.warn('order_unacknowledged', { ...order, ...times.describe(), error: toFailure(thrown).message })
      throw thrown
    }
  }

  close (): void {
    this.orders.close()
    this.leader.close()
  }

  createHeartbeat (link: Link): HeartbeatBody {
    const { hello, admission, candidate, isShort, servesCallers } = this.options
    return {
      process: hello.process,
      availabilityZone: hello.availabilityZone,
      // A gateway keeps no configuration documents.
      configurationVersion: 0,
      isAdmitting: !this.isDraining,
      // The admission service takes one query at a time from an entry. The next leader's would wait behind that of a
      // former one, which may take seconds.
      isAdvisor: admission !== undefined && !this.isDraining && this.queryLinks.every(queryLink => queryLink === link),
      candidate: candidate?.(),
      ...(servesCallers === true ? { servesCallers } : {}),
      ...(isShort === undefined ? {} : { isShort: isShort() })
    }
  }

  handleConfirmation (answer: HeartbeatAnswer, sentAt: number): void {
    this.confirmedAt = sentAt
    this.committedCellVersion = Math.max(this.committedCellVersion, answer.committedCellVersion ?? -1)
    this.orders.completeCommitted()
    this.relievedUntil = answer.isRelieved === true ? sentAt + RELIEF_VALIDITY_MS : -Infinity
  }

  handleLeaderFound (): void {}

  private async handleCall (link: Link, frame: CallFrame): Promise<unknown> {
    const { admission } = this.options
    if (frame.method !== InternalMethod.admission || admission === undefined) {
      fail(ErrorKind.unimplemented, `no method ${frame.method}`)
    }
    this.queryLinks.push(link)
    try {
      return await admission.ask(frame.body as AdmissionBody)
    } finally {
      this.queryLinks.splice(this.queryLinks.indexOf(link), 1)
      // The next leader learns at once that this process can forward its queries.
      if (!this.leader.isLeader(link)) this.leader.sendHeartbeats()
    }
  }
}
