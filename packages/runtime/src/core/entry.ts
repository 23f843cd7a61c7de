/**
 * The entry role: accepts calls over HTTP, forwards them to the leader, sends the
 * leader's commands to workers, and keeps the configuration in force.
 */

import {
  InternalMethod, Topic,
  type CallFrame, type ConfigurationAnswer, type ControllerAddress, type ExecuteAnswer, type ExecuteBody, type ForwardedCall,
  type HeartbeatAnswer, type HeartbeatBody, type HelloFrame, type Link, type LinkTraffic, type PeerKeys
} from '@flamingorouter/controllers'
import type { MethodRules, RpcCall, RpcClient, RpcHandler, RpcResult } from '@flamingorouter/rpc'
import { getMethodName } from '@flamingorouter/rpc'
import { ErrorKind, fail, Failure, type EntryReport } from '@flamingorouter/scheduler'
import { monotonicNow } from './clock.js'
import { ConfigurationCache } from './configuration-cache.js'
import { LostAnswerPolicy, HEARTBEAT_INTERVAL_MS, LeaderClient, type HeartbeatOwner } from './leader-client.js'
import type { RuntimeLog } from './runtime-log.js'
import { executeOnWorker } from './worker-commands.js'

/** Timeout of a forwarded call whose caller sets none, in milliseconds. */
const FORWARD_TIMEOUT_MS = 10_000

/** How long a configuration fetch may take, in milliseconds. */
const FETCH_TIMEOUT_MS = 2_000

/** Settings and dependencies of an entry. */
export interface EntryOptions {
  hello: HelloFrame
  controllers: readonly ControllerAddress[]
  /** Rules of every method that the entry serves. */
  methodRules: readonly MethodRules[]
  /** Sends the leader's commands to workers. */
  workerClient: RpcClient
  /** Returns the current keys of the links; undefined for plain TCP. */
  peerKeys?: () => PeerKeys | undefined
  /** Counts the bytes sent and received over the links. */
  traffic?: LinkTraffic
  log: RuntimeLog
}

export class Entry implements HeartbeatOwner {
  readonly leader: LeaderClient
  readonly configuration: ConfigurationCache
  /** Returns the grants in use, to report them to a new leader; replaced by the owner of the request flow. */
  reportGrants: () => EntryReport = () => ({ instance: '', sequence: 0, grants: [], tokens: [] })
  private isDraining = false
  private callsInFlight = 0

  private constructor (private readonly options: EntryOptions) {
    this.configuration = ConfigurationCache.create(() => this.fetchConfiguration(), version => { this.handleConfigurationChange(version) })
    const handlers = { called: async (_link: Link, frame: CallFrame) => await this.handleCall(frame), traffic: options.traffic }
    this.leader = LeaderClient.create(options.controllers, options.hello, handlers, this, options.peerKeys)
  }

  static create (options: EntryOptions): Entry {
    return new Entry(options)
  }

  /** True while the load balancer should send calls here. */
  get isReady (): boolean {
    return !this.isDraining && this.leader.hasLeader && this.configuration.isFresh
  }

  /** Creates a handler for each method; methods without one in `localHandlers` are forwarded to the leader. */
  createHandlers (localHandlers: ReadonlyMap<string, RpcHandler>): Map<string, RpcHandler> {
    const handlers = new Map<string, RpcHandler>()
    for (const { method } of this.options.methodRules) {
      const name = getMethodName(method)
      const handler = localHandlers.get(name) ?? ((call: RpcCall) => this.forward(call))
      handlers.set(name, call => this.trackCall(call, handler))
    }
    return handlers
  }

  /** Throws unavailable when the entry may not admit new work. */
  requireFreshConfiguration (): void {
    if (this.configuration.isFresh) return
    throw Failure.create(ErrorKind.unavailable, 'the configuration could not be confirmed with the leader in time', { retryAfterMs: HEARTBEAT_INTERVAL_MS * 4 })
  }

  /** Ends readiness and announces that to the leader; calls that still arrive are served. */
  drain (): void {
    this.isDraining = true
    this.leader.sendHeartbeats()
  }

  /** Resolves with true when no call is in flight, or with false after `timeoutMs`. */
  async waitUntilIdle (timeoutMs: number): Promise<boolean> {
    const deadline = monotonicNow() + timeoutMs
    while (this.callsInFlight > 0 && monotonicNow() < deadline) {
      await new Promise(resolve => { setTimeout(resolve, 10) })
    }
    return this.callsInFlight === 0
  }

  close (): void {
    this.leader.close()
  }

  // Callbacks of the leader client.

  createHeartbeat (): HeartbeatBody {
    return {
      process: this.options.hello.process,
      availabilityZone: this.options.hello.availabilityZone,
      configurationVersion: this.configuration.version,
      isAdmitting: this.isReady
    }
  }

  handleConfirmation (answer: HeartbeatAnswer, sentAt: number): void {
    this.configuration.confirm(answer, sentAt)
  }

  handleLeaderFound (link: Link): void {
    link.send({ kind: 'notice', topic: Topic.grantsHeld, body: this.reportGrants() })
  }

  private async fetchConfiguration (): Promise<ConfigurationAnswer> {
    return await this.leader.call(InternalMethod.configuration, {}, FETCH_TIMEOUT_MS, LostAnswerPolicy.repeat) as ConfigurationAnswer
  }

  private handleConfigurationChange (version: number): void {
    this.options.log.info('configuration_in_force', { version })
    this.leader.sendHeartbeats()
  }

  private async handleCall (frame: CallFrame): Promise<ExecuteAnswer> {
    if (frame.method !== InternalMethod.execute) fail(ErrorKind.unimplemented, `no method ${frame.method}`)
    return await executeOnWorker(this.options.workerClient, frame.body as ExecuteBody)
  }

  private async trackCall (call: RpcCall, handler: RpcHandler): Promise<RpcResult> {
    this.callsInFlight += 1
    try {
      return await handler(call)
    } finally {
      this.callsInFlight -= 1
    }
  }

  private async forward (call: RpcCall): Promise<Uint8Array> {
    this.requireFreshConfiguration()
    const body: ForwardedCall = { request: call.body, actor: call.principal.name, team: call.principal.team }
    const timeoutMs = (call.timeoutMs > 0 ? call.timeoutMs : FORWARD_TIMEOUT_MS) + getRequestedWaitMs(call)
    return await this.leader.call(call.name, body, timeoutMs, chooseLostAnswerPolicy(call)) as Uint8Array
  }
}

/** How long a watch may wait for a change in addition to its timeout, in milliseconds; 0 for other calls. */
function getRequestedWaitMs (call: RpcCall): number {
  return typeof call.request.waitMs === 'number' ? call.request.waitMs : 0
}

/**
 * Reads and the calls of targets, whose requests have no request id field, may be
 * repeated, and so may a change whose request id lets the leader recognise the
 * repeat. A change with an empty request id may not.
 */
function chooseLostAnswerPolicy (call: RpcCall): LostAnswerPolicy {
  const { requestId } = call.request as { requestId?: string }
  return requestId === '' ? LostAnswerPolicy.report : LostAnswerPolicy.repeat
}
