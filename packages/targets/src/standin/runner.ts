/**
 * A stand-in for a runner: it announces itself to the entries, renews its lease,
 * runs requests and keeps a journal. Tests and the small cell of a newcomer use it.
 */

import { create, type DescMessage, type DescMethodUnary, type MessageShape } from '@bufbuild/protobuf'
import {
  AnnounceRequestSchema, LeaveRequestSchema, RenewRequestSchema, TargetService, type AnnounceResponse
} from '@flamingorouter/schema'
import { ErrorKind, toFailure } from '@flamingorouter/scheduler'
import { RpcClient } from '@flamingorouter/rpc'
import { Behaviour, type Planner } from './behaviour.js'
import type { Journal } from './journal.js'
import { RunServer } from './run-server.js'

const ANSWER_MS = 2_000
const AGAIN_MS = 200
const DRAIN_POLL_MS = 20
/** Equal to no session, so that everything is refused. */
const NO_SESSION = 'none'
const DEFAULT_SLOTS = 8
const DEFAULT_CONNECTIONS = 64

export interface StandInRunnerOptions {
  name: string
  service: string
  /** Base addresses of entries, host:port. */
  entries: readonly string[]
  slots?: number
  connections?: number
  vm?: string
  rack?: string
  availabilityZone?: string
  host?: string
  journal?: Journal
  plan?: Planner
}

export class StandInRunner {
  /** Requests that were granted and not settled when the first leave was answered; -1 before. */
  inFlightAtLeave = -1
  /** When the first leave was answered, in milliseconds since 1970. */
  leftAt = 0
  private readonly server: RunServer
  private readonly client = RpcClient.create({ connections: 2 })
  private session = ''
  /** By the monotonic clock; counted from when the announcement or renewal was sent. */
  private leasedUntil = 0
  private renewEveryMs = AGAIN_MS
  private incarnation = Date.now()
  private entry = 0
  private timer: NodeJS.Timeout | undefined
  private address = ''
  private isOver = false

  static create (options: StandInRunnerOptions): StandInRunner {
    return new StandInRunner(options)
  }

  private constructor (private readonly options: StandInRunnerOptions) {
    this.server = RunServer.create({
      name: options.name,
      journal: options.journal ?? (() => {}),
      plan: options.plan ?? (() => ({ behaviour: Behaviour.answer, workMs: 1 })),
      session: () => performance.now() < this.leasedUntil ? this.session : NO_SESSION
    })
  }

  get inFlight (): number {
    return this.server.inFlight
  }

  /** Starts to serve and announces itself until an entry takes it. */
  async start (): Promise<void> {
    this.address = await this.server.listen(this.options.host ?? '127.0.0.1')
    while (!this.isOver && !await this.announce()) await pause(AGAIN_MS)
    this.renewLater()
  }

  /** Says that it leaves, ends what it runs, and stops. */
  async leave (reason: string): Promise<void> {
    this.inFlightAtLeave = await this.countInFlight(reason)
    this.leftAt = Date.now()
    while (await this.countInFlight(reason) > 0) await pause(DRAIN_POLL_MS)
    while (this.server.inFlight > 0) await pause(DRAIN_POLL_MS)
    await this.die()
  }

  /** Stops at once, without a word. */
  async die (): Promise<void> {
    this.isOver = true
    clearTimeout(this.timer)
    await Promise.all([this.server.die(), this.client.destroy()])
  }

  /** Says that it leaves; a granted request may still be on its way while the answer is not 0. */
  private async countInFlight (reason: string): Promise<number> {
    const message = create(LeaveRequestSchema, { session: this.session, name: this.options.name, reason })
    try {
      return (await this.call(TargetService.method.leave, message)).inFlight
    } catch (thrown) {
      this.entry += 1
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
      this.begin(sentAt, await this.call(TargetService.method.announce, message))
      return true
    } catch {
      this.entry += 1
      return false
    }
  }

  private begin (sentAt: number, response: AnnounceResponse): void {
    this.session = response.session
    this.leasedUntil = sentAt + response.leaseMs
    this.renewEveryMs = response.renewEveryMs
  }

  private renewLater (): void {
    if (this.isOver) return
    this.timer = setTimeout(() => {
      this.renew().then(() => { this.renewLater() }, () => { this.renewLater() })
    }, this.renewEveryMs)
  }

  private async renew (): Promise<void> {
    const message = create(RenewRequestSchema, { session: this.session, name: this.options.name })
    const sentAt = performance.now()
    try {
      const response = await this.call(TargetService.method.renew, message)
      if (response.sessionOver) await this.announce()
      else this.leasedUntil = sentAt + response.leaseMs
    } catch {
      this.entry += 1
    }
  }

  private async call<I extends DescMessage, O extends DescMessage> (
    method: DescMethodUnary<I, O>,
    message: MessageShape<I>
  ): Promise<MessageShape<O>> {
    const { entries } = this.options
    return await this.client.call(entries[this.entry % entries.length], method, message, { timeoutMs: ANSWER_MS })
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
