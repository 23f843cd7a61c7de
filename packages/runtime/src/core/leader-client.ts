/**
 * An entry's way to the leader: links to every controller, the heartbeat that
 * finds out which of them leads, and calls that follow it.
 */

import {
  InternalMethod, LinkDialler, Topic,
  type MembersAnswer, type ControllerAddress, type HeartbeatAnswer, type HeartbeatBody, type HelloFrame, type LeadingBody, type Link, type LinkHandlers, type PeerKeys
} from '@flamingorouter/controllers'
import { ErrorKind, Failure, toFailure } from '@flamingorouter/scheduler'
import { monotonicNow } from './clock.js'

/** Time between two heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 500

/** How long a heartbeat waits for its answer, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 1_000

/** How long a call looks for a leader before its caller is told to come back, in milliseconds. */
const SEARCH_TIMEOUT_MS = 3_000

/** Time between two looks for a leader while none is known, in milliseconds. */
const SEARCH_MS = 25

/** What an entry tells and learns with each heartbeat. */
export abstract class Pulse {
  abstract describe (): HeartbeatBody
  /** `sentAt` is the monotonic time in milliseconds at which the answered heartbeat left. */
  abstract confirmed (answer: HeartbeatAnswer, sentAt: number): void
  /** A leader is found, over this link; called before any call goes to it. */
  abstract found (link: Link): void
}

/** What may be done after the answer to a call was lost. */
export const AfterLoss = Object.freeze({
  /** The method may be sent again. */
  repeat: 'repeat',
  /** The caller is told that the outcome is not known. */
  report: 'report'
} as const)
export type AfterLoss = typeof AfterLoss[keyof typeof AfterLoss]

export class LeaderClient {
  private readonly handlers: LinkHandlers
  /** By the id of the controller. */
  private readonly diallers = new Map<string, LinkDialler>()
  private leader: Link | undefined
  private term = 0
  /** Since when no leader is known, in monotonic milliseconds. */
  private leaderlessSince = monotonicNow()
  private timer: NodeJS.Timeout | undefined
  private isStopped = false

  private constructor (
    controllers: readonly ControllerAddress[],
    private readonly hello: HelloFrame,
    handlers: Pick<LinkHandlers, 'called' | 'traffic'>,
    private readonly pulse: Pulse,
    private readonly keys: () => PeerKeys | undefined
  ) {
    this.handlers = {
      opened: link => { this.beat(link) },
      called: handlers.called,
      traffic: handlers.traffic,
      replication: () => {},
      notice: (link, topic, body) => { this.noticed(link, topic, body) },
      closed: link => { this.lost(link) }
    }
    for (const controller of controllers) this.dial(controller)
    this.timer = setInterval(() => { this.beatAll() }, HEARTBEAT_MS)
  }

  static create (
    controllers: readonly ControllerAddress[],
    hello: HelloFrame,
    handlers: Pick<LinkHandlers, 'called' | 'traffic'>,
    pulse: Pulse,
    keys: () => PeerKeys | undefined = () => undefined
  ): LeaderClient {
    return new LeaderClient(controllers, hello, handlers, pulse, keys)
  }

  /** Controllers to look for a leader among, beside those that are known. */
  addControllers (controllers: readonly ControllerAddress[]): void {
    for (const controller of controllers) this.dial(controller)
  }

  /** All controllers that this process looks for a leader among. */
  get controllers (): ControllerAddress[] {
    return [...this.diallers].map(([id, { address }]) => ({ id, address }))
  }

  get hasLeader (): boolean {
    return this.leader !== undefined
  }

  /** Sends a heartbeat at once, for a change that should be known soon. */
  beatAll (): void {
    if (this.leader !== undefined) return this.beat(this.leader)
    for (const dialler of this.diallers.values()) {
      if (dialler.link?.isOpen === true) this.beat(dialler.link)
    }
  }

  /**
   * Calls the leader, looking for it for a while. A call that was surely not
   * acted on is sent again; one whose answer was lost only when `afterLoss`
   * allows it. Rejects with unavailable when nothing can have been done, and with
   * deadlineExceeded when an answer was lost.
   */
  async call (
    method: string, body: unknown, timeoutMs: number, afterLoss: AfterLoss, searchMs = SEARCH_TIMEOUT_MS
  ): Promise<unknown> {
    const deadline = monotonicNow() + timeoutMs
    let lost: Failure | undefined
    for (;;) {
      // Whether a call whose answer was lost was acted on is worth the rest of the time to learn.
      const link = await this.findLeader(deadline, lost === undefined ? searchMs : timeoutMs)
      if (link === undefined) throw lost ?? this.describeAbsence()
      try {
        return await link.call(method, body, Math.max(1, deadline - monotonicNow()))
      } catch (thrown) {
        const failure = toFailure(thrown)
        if (!mayRepeat(failure, afterLoss) || monotonicNow() >= deadline) throw failure
        if (failure.kind === ErrorKind.deadlineExceeded) lost = failure
        if (this.leader === link) this.lost(link)
        this.beatAll()
      }
    }
  }

  close (): void {
    this.isStopped = true
    clearInterval(this.timer)
    for (const dialler of this.diallers.values()) dialler.close()
  }

  /** An address of the settings goes before one that the leader tells for the same id. */
  private dial ({ id, address }: ControllerAddress): void {
    if (this.diallers.has(id)) return
    for (const dialler of this.diallers.values()) {
      if (dialler.address === address) return
    }
    this.diallers.set(id, LinkDialler.create(address, this.hello, this.handlers, this.keys))
  }

  /** Resolves with no link when none leads within the search time or before the deadline. */
  private async findLeader (deadline: number, searchMs: number): Promise<Link | undefined> {
    // A caller that comes late into a long search is told so at once.
    const until = Math.min(deadline, Math.max(this.leaderlessSince + searchMs, monotonicNow() + SEARCH_MS))
    while (this.leader === undefined && !this.isStopped && monotonicNow() < until) await pause(SEARCH_MS)
    return this.isStopped ? undefined : this.leader
  }

  private describeAbsence (): Failure {
    return Failure.create(ErrorKind.unavailable, 'no leader could be reached', { retryAfterMs: HEARTBEAT_MS * 2 })
  }

  private beat (link: Link): void {
    const sentAt = monotonicNow()
    link.call(InternalMethod.heartbeat, this.pulse.describe(), HEARTBEAT_TIMEOUT_MS)
      .then(body => { this.answered(link, body as HeartbeatAnswer, sentAt) })
      .catch((thrown: unknown) => { this.unanswered(link, toFailure(thrown)) })
  }

  /** A new leader makes itself known, long before a heartbeat to the old one is given up. */
  private noticed (link: Link, topic: string, body: unknown): void {
    if (topic === Topic.leading && (body as LeadingBody).term > this.term) this.beat(link)
  }

  private answered (link: Link, answer: HeartbeatAnswer, sentAt: number): void {
    if (answer.term < this.term || !link.isOpen) return
    if (this.leader !== link || answer.term > this.term) this.pulse.found(link)
    if (this.leader !== link) this.leader?.abandon('another controller leads')
    this.term = answer.term
    this.leader = link
    for (const controller of answer.controllers) this.dial(controller)
    this.pulse.confirmed(answer, sentAt)
  }

  /** A link over which nothing comes back is closed, so that its calls end. */
  private unanswered (link: Link, failure: Failure): void {
    this.lost(link)
    if (failure.kind === ErrorKind.notLeader) this.askMembers(link)
    if (failure.kind === ErrorKind.deadlineExceeded) link.close('no answer to a heartbeat')
  }

  /** A controller that does not lead tells which others there are. */
  private askMembers (link: Link): void {
    link.call(InternalMethod.members, {}, HEARTBEAT_TIMEOUT_MS)
      .then(body => { this.addControllers((body as MembersAnswer).controllers) })
      .catch((thrown: unknown) => { this.unanswered(link, toFailure(thrown)) })
  }

  private lost (link: Link): void {
    if (this.leader !== link) return
    this.leader = undefined
    this.leaderlessSince = monotonicNow()
  }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

function mayRepeat (failure: Failure, afterLoss: AfterLoss): boolean {
  if (failure.kind === ErrorKind.notLeader) return true
  if (failure.kind === ErrorKind.unavailable) return failure.retryAfterMs === 0
  return failure.kind === ErrorKind.deadlineExceeded && afterLoss === AfterLoss.repeat
}
