/**
 * An entry's way to the leader: links to every controller, the heartbeat that
 * finds out which of them leads, and calls that follow it.
 */

import {
  InternalMethod, LinkDialler,
  type HeartbeatAnswer, type HeartbeatBody, type HelloFrame, type Link, type LinkHandlers
} from '@flamingorouter/controllers'
import { ErrorKind, Failure, toFailure } from '@flamingorouter/scheduler'
import { monotonicNow } from './clock.js'

/** Time between two heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 250

/** How long a heartbeat waits for its answer, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 1_000

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
  private readonly diallers: LinkDialler[]
  private leader: Link | undefined
  private term = 0
  private timer: NodeJS.Timeout | undefined
  private isStopped = false

  private constructor (
    addresses: readonly string[],
    hello: HelloFrame,
    handlers: Pick<LinkHandlers, 'called'>,
    private readonly pulse: Pulse
  ) {
    const linkHandlers: LinkHandlers = {
      opened: link => { this.beat(link) },
      called: handlers.called,
      replication: () => {},
      notice: () => {},
      closed: link => { this.lost(link) }
    }
    this.diallers = addresses.map(address => LinkDialler.create(address, hello, linkHandlers))
    this.timer = setInterval(() => { this.beatAll() }, HEARTBEAT_MS)
  }

  static create (
    addresses: readonly string[],
    hello: HelloFrame,
    handlers: Pick<LinkHandlers, 'called'>,
    pulse: Pulse
  ): LeaderClient {
    return new LeaderClient(addresses, hello, handlers, pulse)
  }

  get hasLeader (): boolean {
    return this.leader !== undefined
  }

  /** Sends a heartbeat at once, for a change that should be known soon. */
  beatAll (): void {
    if (this.leader !== undefined) return this.beat(this.leader)
    for (const dialler of this.diallers) {
      if (dialler.link?.isOpen === true) this.beat(dialler.link)
    }
  }

  /**
   * Calls the leader, looking for it until `timeoutMs` is over. A call that was
   * surely not acted on is sent again; one whose answer was lost only when
   * `afterLoss` allows it.
   */
  async call (method: string, body: unknown, timeoutMs: number, afterLoss: AfterLoss): Promise<unknown> {
    const deadline = monotonicNow() + timeoutMs
    for (;;) {
      const link = this.leader
      const remaining = deadline - monotonicNow()
      if (remaining <= 0 || this.isStopped) {
        throw Failure.create(ErrorKind.unavailable, 'no leader could be reached', { retryAfterMs: HEARTBEAT_MS * 2 })
      }
      if (link === undefined) {
        await pause(Math.min(SEARCH_MS, remaining))
        continue
      }
      try {
        return await link.call(method, body, remaining)
      } catch (thrown) {
        const failure = toFailure(thrown)
        if (!this.mayRepeat(failure, afterLoss, deadline)) throw failure
        if (this.leader === link) this.leader = undefined
        this.beatAll()
      }
    }
  }

  close (): void {
    this.isStopped = true
    clearInterval(this.timer)
    for (const dialler of this.diallers) dialler.close()
  }

  private mayRepeat (failure: Failure, afterLoss: AfterLoss, deadline: number): boolean {
    if (monotonicNow() >= deadline) return false
    if (failure.kind === ErrorKind.notLeader) return true
    if (failure.kind === ErrorKind.unavailable) return failure.retryAfterMs === 0
    return failure.kind === ErrorKind.deadlineExceeded && afterLoss === AfterLoss.repeat
  }

  private beat (link: Link): void {
    const sentAt = monotonicNow()
    link.call(InternalMethod.heartbeat, this.pulse.describe(), HEARTBEAT_TIMEOUT_MS)
      .then(body => { this.answered(link, body as HeartbeatAnswer, sentAt) })
      .catch(() => { this.lost(link) })
  }

  private answered (link: Link, answer: HeartbeatAnswer, sentAt: number): void {
    if (answer.term < this.term || !link.isOpen) return
    if (this.leader !== link || answer.term > this.term) this.pulse.found(link)
    this.term = answer.term
    this.leader = link
    this.pulse.confirmed(answer, sentAt)
  }

  private lost (link: Link): void {
    if (this.leader === link) this.leader = undefined
  }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
