/**
 * A stand-in for a runner: it announces itself to the entries, renews its lease,
 * runs requests and keeps a journal. Tests and the small cell of a newcomer use it.
 */

import { create, toJsonString, fromJsonString, type DescMessage, type MessageShape } from '@bufbuild/protobuf'
import {
  AnnounceRequestSchema, AnnounceResponseSchema, LeaveRequestSchema, LeaveResponseSchema, RenewRequestSchema,
  RenewResponseSchema, type AnnounceResponse
} from '@flamingorouter/schema'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { request as send } from 'undici'
import { Behaviour, type Planner } from './behaviour.js'
import type { Journal } from './journal.js'
import { RunServer } from './run-server.js'

const SERVICE = 'flamingorouter.targets.v1.TargetService'
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
  private readonly server: RunServer
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
    const message = create(LeaveRequestSchema, { session: this.session, name: this.options.name, reason })
    await this.call('Leave', LeaveRequestSchema, message, LeaveResponseSchema).catch(() => {})
    while (this.server.inFlight > 0) await pause(DRAIN_POLL_MS)
    await this.die()
  }

  /** Stops at once, without a word. */
  async die (): Promise<void> {
    this.isOver = true
    clearTimeout(this.timer)
    await this.server.die()
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
      this.begin(sentAt, await this.call('Announce', AnnounceRequestSchema, message, AnnounceResponseSchema))
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
      const response = await this.call('Renew', RenewRequestSchema, message, RenewResponseSchema)
      if (response.sessionOver) await this.announce()
      else this.leasedUntil = sentAt + response.leaseMs
    } catch {
      this.entry += 1
    }
  }

  private async call<I extends DescMessage, O extends DescMessage> (
    method: string, input: I, message: MessageShape<I>, output: O
  ): Promise<MessageShape<O>> {
    const { entries } = this.options
    const entry = entries[this.entry % entries.length]
    const answer = await send(`http://${entry}/${SERVICE}/${method}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'connect-protocol-version': '1' },
      body: toJsonString(input, message),
      signal: AbortSignal.timeout(ANSWER_MS)
    })
    const text = await answer.body.text()
    if (answer.statusCode !== 200) fail(ErrorKind.unavailable, `${method} was refused: ${text}`)
    return fromJsonString(output, text)
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
