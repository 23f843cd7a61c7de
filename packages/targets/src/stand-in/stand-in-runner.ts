/**
 * A stand-in runner for tests and the development cell: it announces itself to the
 * entries, renews its lease, runs requests and records them in a journal.
 */

import { create, type DescMessage, type DescMethodUnary, type MessageShape } from '@bufbuild/protobuf'
import {
  AnnounceRequestSchema, LeaveRequestSchema, RenewRequestSchema, TargetService, type AnnounceResponse
} from '@flamingorouter/schema'
import { ErrorKind, toFailure } from '@flamingorouter/scheduler'
import { RpcClient } from '@flamingorouter/rpc'
import { RunnerBehaviour, type RequestPlanner } from './runner-behaviour.js'
import type { JournalWriter } from './run-journal.js'
import { RunServer } from './run-server.js'

const CALL_TIMEOUT_MS = 2_000
const RETRY_INTERVAL_MS = 200
const DRAIN_POLL_INTERVAL_MS = 20
/** Session of a runner without a valid lease. No request has this session, so the runner refuses every request. */
const NO_SESSION = 'none'
const DEFAULT_SLOTS = 8
const DEFAULT_CONNECTIONS = 64

export interface StandInRunnerOptions {
  name: string
  service: string
  /** Addresses of entries, host:port; after a failed call the next one is used. */
  entries: readonly string[]
  slots?: number
  connections?: number
  vm?: string
  rack?: string
  availabilityZone?: string
  host?: string
  journal?: JournalWriter
  plan?: RequestPlanner
}

export class StandInRunner {
  /** Number of granted requests without a recorded outcome when the first leave was answered; -1 before that. */
  inFlightAtLeave = -1
  /** Time of the answer to the first leave, in milliseconds since 1970; 0 before that. */
  leftAt = 0
  private readonly server: RunServer
  private readonly client = RpcClient.create({ connections: 2 })
  private session = ''
  /** In milliseconds of the monotonic clock; the lease is counted from the sending of the announcement or renewal. */
  private leaseExpiresAt = 0
  private renewEveryMs = RETRY_INTERVAL_MS
  private incarnation = Date.now()
  private entryIndex = 0
  private renewalTimer: NodeJS.Timeout | undefined
  private address = ''
  private isStopped = false

  static create (options: StandInRunnerOptions): StandInRunner {
    return new StandInRunner(options)
  }

  private constructor (private readonly options: StandInRunnerOptions) {
    this.server = RunServer.create({
      name: options.name,
      journal: options.journal ?? (() => {}),
      plan: options.plan ?? (() => ({ behaviour: RunnerBehaviour.answer, workMs: 1 })),
      getSession: () => performance.now() < this.leaseExpiresAt ? this.session : NO_SESSION
    })
  }

  get inFlight (): number {
    return this.server.inFlight
  }

  /** Starts to serve, and announces itself repeatedly until an entry accepts. */
  async start (): Promise<void> {
    this.address = await this.server.listen(this.options.host ?? '127.0.0.1')
    while (!this.isStopped && !await this.announce()) await pause(RETRY_INTERVAL_MS)
    this.scheduleRenewal()
  }

  /** Announces that it leaves, waits until its requests have ended, and stops. */
  async leave (reason: string): Promise<void> {
    this.inFlightAtLeave = await this.requestLeave(reason)
    this.leftAt = Date.now()
    while (await this.requestLeave(reason) > 0) await pause(DRAIN_POLL_INTERVAL_MS)
    while (this.server.inFlight > 0) await pause(DRAIN_POLL_INTERVAL_MS)
    await this.kill()
  }

  /** Stops at once without leaving, as a crash would. */
  async kill (): Promise<void> {
    this.isStopped = true
    clearTimeout(this.renewalTimer)
    await Promise.all([this.server.kill(), this.client.destroy()])
  }

  /**
   * Sends leave and returns the number of requests in flight: 0 if the session has ended,
   * and 1 after another error, since requests may still arrive then.
   */
  private async requestLeave (reason: string): Promise<number> {
    const message = create(LeaveRequestSchema, { session: this.session, name: this.options.name, reason })
    try {
      return (await this.call(TargetService.method.leave, message)).inFlight
    } catch (thrown) {
      this.entryIndex += 1
      return toFailure(thrown).kind === ErrorKind.failedPrecondition ? 0 : 1
    }
  }

  private async announce (): Promise<boolean> {
    const { options } = this
    this.incarnation += 1
    const message = create(AnnounceRequestSchema, {
      name: options.name,
      incarnation: BigInt(this.incarnation),
      vm: options.vm ?? options.name,
      rack: options.rack ?? 'rack-1',
      availabilityZone: options.availabilityZone ?? 'zone-1',
      address: this.address,
      runner: {
        service: options.service,
        slots: options.slots ?? DEFAULT_SLOTS,
        connections: options.connections ?? DEFAULT_CONNECTIONS
      }
    })
    const sentAt = performance.now()
    try {
      this.openSession(sentAt, await this.call(TargetService.method.announce, message))
      return true
    } catch {
      this.entryIndex += 1
      return false
    }
  }

  private openSession (sentAt: number, response: AnnounceResponse): void {
    this.session = response.session
    this.leaseExpiresAt = sentAt + response.leaseMs
    this.renewEveryMs = response.renewEveryMs
  }

  private scheduleRenewal (): void {
    if (this.isStopped) return
    this.renewalTimer = setTimeout(() => {
      this.renew().then(() => { this.scheduleRenewal() }, () => { this.scheduleRenewal() })
    }, this.renewEveryMs)
  }

  private async renew (): Promise<void> {
    const message = create(RenewRequestSchema, { session: this.session, name: this.options.name })
    const sentAt = performance.now()
    try {
      const response = await this.call(TargetService.method.renew, message)
      if (response.sessionOver) await this.announce()
      else this.leaseExpiresAt = sentAt + response.leaseMs
    } catch {
      this.entryIndex += 1
    }
  }

  private async call<I extends DescMessage, O extends DescMessage> (
    method: DescMethodUnary<I, O>,
    message: MessageShape<I>
  ): Promise<MessageShape<O>> {
    const { entries } = this.options
    return await this.client.call(entries[this.entryIndex % entries.length], method, message, { timeoutMs: CALL_TIMEOUT_MS })
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
