/**
 * A client of the leader: keeps links to every controller, finds out by heartbeats
 * which of them leads, and sends calls to it.
 */

import {
  InternalMethod, LinkDialler, Topic,
  type MembersAnswer, type ControllerAddress, type HeartbeatAnswer, type HeartbeatBody, type HelloFrame, type LeadingBody, type Link, type LinkHandlers, type PeerKeys
} from '@flamingorouter/controllers'
import { computeRetryAfterMs, ErrorKind, Failure, toFailure } from '@flamingorouter/scheduler'
import { CallTimes } from './call-times.js'
import { monotonicNow } from './clock.js'

/** Time between two heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 500

/** How long a heartbeat waits for its answer, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 1_000

/** How long a call searches for a leader before it fails with unavailable and a retry delay, in milliseconds. */
const SEARCH_TIMEOUT_MS = 3_000

/** Time between two checks whether a leader was found, in milliseconds. */
const SEARCH_POLL_INTERVAL_MS = 25

/**
 * Failures that say that a call was not carried out. After a lost answer this is true of the last attempt only: the one
 * before may have been carried out, by the same leader or by an earlier one, or may still arrive there.
 */
const NOT_DONE_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.unavailable, ErrorKind.notLeader, ErrorKind.resourceExhausted, ErrorKind.notFound, ErrorKind.unauthenticated
])

/** The process on whose behalf heartbeats are sent: supplies their contents and handles their answers. */
export abstract class HeartbeatOwner {
  /** Creates the contents of the next heartbeat over a link. */
  abstract createHeartbeat (link: Link): HeartbeatBody
  /** Handles an answer of the leader; `sentAt` is the monotonic time in milliseconds at which the heartbeat was sent. */
  abstract handleConfirmation (answer: HeartbeatAnswer, sentAt: number): void
  /** Called when the answer to a heartbeat over this link shows a new leader or a new term; until then a new leader gets heartbeats only. */
  abstract handleLeaderFound (link: Link): void
}

/** What happens to a call whose answer was lost. */
export const LostAnswerPolicy = Object.freeze({
  /** The call is sent again; for methods that may be repeated. */
  repeat: 'repeat',
  /** The call fails with deadlineExceeded, since its outcome is unknown. */
  report: 'report'
} as const)
export type LostAnswerPolicy = typeof LostAnswerPolicy[keyof typeof LostAnswerPolicy]

export interface CallOptions {
  /** How long the call searches for a leader, in milliseconds. */
  searchTimeoutMs?: number
  /** Records where the call spends its time. */
  times?: CallTimes
}

export class LeaderClient {
  private readonly handlers: LinkHandlers
  /** Diallers by address. A controller that has moved keeps that of its former address, since others may still state it. */
  private readonly diallers = new Map<string, LinkDialler>()
  /** Id that was first stated for each address. */
  private readonly idsByAddress = new Map<string, string>()
  /** Ids of the controllers that the settings name. */
  private readonly configuredIds: ReadonlySet<string>
  /** Open link to the leader; undefined while no leader is known. */
  private leader: Link | undefined
  private leaderTerm = 0
  /** Time at which the last leader was lost, in monotonic milliseconds; meaningful while no leader is known. */
  private leaderlessSince = monotonicNow()
  private timer: NodeJS.Timeout | undefined
  private isStopped = false

  private constructor (
    controllers: readonly ControllerAddress[],
    private readonly hello: HelloFrame,
    handlers: Pick<LinkHandlers, 'called' | 'traffic'>,
    private readonly heartbeatOwner: HeartbeatOwner,
    private readonly keys: () => PeerKeys | undefined
  ) {
    this.handlers = {
      opened: link => { this.sendHeartbeat(link) },
      called: handlers.called,
      traffic: handlers.traffic,
      replication: () => {},
      notice: (link, topic, body) => { this.handleNotice(link, topic, body) },
      closed: link => { this.clearLeader(link) }
    }
    this.configuredIds = new Set(controllers.map(({ id }) => id))
    for (const controller of controllers) this.dial(controller)
    this.timer = setInterval(() => { this.sendHeartbeats() }, HEARTBEAT_INTERVAL_MS)
  }

  static create (
    controllers: readonly ControllerAddress[],
    hello: HelloFrame,
    handlers: Pick<LinkHandlers, 'called' | 'traffic'>,
    heartbeatOwner: HeartbeatOwner,
    keys: () => PeerKeys | undefined = () => undefined
  ): LeaderClient {
    return new LeaderClient(controllers, hello, handlers, heartbeatOwner, keys)
  }

  /** Adds controllers to search for a leader. For those that the settings name, the addresses there override other ones. */
  addControllers (controllers: readonly ControllerAddress[]): void {
    for (const controller of controllers) {
      if (!this.configuredIds.has(controller.id)) this.dial(controller)
    }
  }

  /** All controllers among which this process searches for a leader. */
  get controllers (): ControllerAddress[] {
    return [...this.idsByAddress].map(([address, id]) => ({ id, address }))
  }

  /** True for the link to the leader that is known now. */
  isLeader (link: Link): boolean {
    return this.leader === link
  }

  get hasLeader (): boolean {
    return this.leader !== undefined
  }

  /** Time for which no leader has been known, in milliseconds; 0 while one is. */
  get leaderlessMs (): number {
    return this.leader === undefined ? monotonicNow() - this.leaderlessSince : 0
  }

  /** Sends a heartbeat at once, to announce a change: to the leader, or to all connected controllers while none is known. */
  sendHeartbeats (): void {
    if (this.leader !== undefined) return this.sendHeartbeat(this.leader)
    for (const dialler of this.diallers.values()) {
      if (dialler.link?.isOpen === true) this.sendHeartbeat(dialler.link)
    }
  }

  /**
   * Calls the leader, and searches for it first for up to `searchTimeoutMs` if it is
   * unknown; `times` records where the time went. A call that was certainly not acted on is sent again, unless the failure
   * sets a retry delay; one whose answer was lost is sent again only if
   * `lostAnswerPolicy` allows it. Rejects with the failure that the leader answered,
   * with unavailable when no attempt was acted on, and with deadlineExceeded when
   * an answer was lost and the repeats do not show what became of the call. A body that is
   * a function is called for each attempt with the time in milliseconds for which the call
   * has waited for a leader, which is 0 for a first attempt that finds one at once.
   */
  async call (
    method: string, body: unknown, timeoutMs: number, lostAnswerPolicy: LostAnswerPolicy,
    { searchTimeoutMs = SEARCH_TIMEOUT_MS, times = CallTimes.create() }: CallOptions = {}
  ): Promise<unknown> {
    const startedAt = monotonicNow()
    const deadline = startedAt + timeoutMs
    let lostAnswer: Failure | undefined
    let hasWaited = this.leader === undefined
    for (;;) {
      // After a lost answer the search may use all remaining time, since only a repeat of the call shows its outcome.
      const searchStartedAt = monotonicNow()
      const link = await this.findLeader(deadline, lostAnswer === undefined ? searchTimeoutMs : timeoutMs)
      const sentAt = monotonicNow()
      times.recordSearch(sentAt - searchStartedAt)
      if (link === undefined) throw lostAnswer ?? this.createNoLeaderFailure()
      try {
        const attempt = typeof body === 'function' ? body(hasWaited ? Math.round(monotonicNow() - startedAt) : 0) as unknown : body
        return await link.call(method, attempt, Math.max(1, deadline - monotonicNow())).finally(() => { times.recordAttempt(monotonicNow() - sentAt) })
      } catch (thrown) {
        const failure = toFailure(thrown)
        if (failure.kind === ErrorKind.deadlineExceeded) lostAnswer = failure
        if (!isRetryable(failure, lostAnswerPolicy) || monotonicNow() >= deadline) {
          throw lostAnswer !== undefined && NOT_DONE_KINDS.has(failure.kind) ? lostAnswer : failure
        }
        hasWaited = true
        if (this.leader === link) this.clearLeader(link)
        this.sendHeartbeats()
      }
    }
  }

  /**
   * Stops the heartbeats and closes all links; calls that still search for a leader fail
   * with unavailable, or with deadlineExceeded if they lost an answer before.
   */
  close (): void {
    this.isStopped = true
    clearInterval(this.timer)
    for (const dialler of this.diallers.values()) dialler.close()
  }

  /** Dials an address that is not known yet. */
  private dial ({ id, address }: ControllerAddress): void {
    if (this.diallers.has(address)) return
    this.idsByAddress.set(address, id)
    this.diallers.set(address, LinkDialler.create(address, this.hello, this.handlers, this.keys))
  }

  /** Resolves with undefined when no leader is found within the search time or before the deadline. */
  private async findLeader (deadline: number, searchTimeoutMs: number): Promise<Link | undefined> {
    // The search time counts from the loss of the leader, so a call that arrives late in a long search fails soon.
    const searchEnd = Math.min(deadline, Math.max(this.leaderlessSince + searchTimeoutMs, monotonicNow() + SEARCH_POLL_INTERVAL_MS))
    while (this.leader === undefined && !this.isStopped && monotonicNow() < searchEnd) await pause(SEARCH_POLL_INTERVAL_MS)
    return this.isStopped ? undefined : this.leader
  }

  private createNoLeaderFailure (): Failure {
    const retryAfterMs = computeRetryAfterMs(monotonicNow() - this.leaderlessSince, Math.random())
    return Failure.create(ErrorKind.unavailable, 'no leader could be reached', { retryAfterMs })
  }

  private sendHeartbeat (link: Link): void {
    const sentAt = monotonicNow()
    link.call(InternalMethod.heartbeat, this.heartbeatOwner.createHeartbeat(link), HEARTBEAT_TIMEOUT_MS)
      .then(body => { this.handleAnswer(link, body as HeartbeatAnswer, sentAt) })
      .catch((thrown: unknown) => { this.handleFailure(link, toFailure(thrown)) })
  }

  /** A new leader announces itself by a notice, long before a heartbeat to the previous leader times out. */
  private handleNotice (link: Link, topic: string, body: unknown): void {
    if (topic === Topic.leading && (body as LeadingBody).term > this.leaderTerm) this.sendHeartbeat(link)
  }

  private handleAnswer (link: Link, answer: HeartbeatAnswer, sentAt: number): void {
    if (answer.term < this.leaderTerm || !link.isOpen) return
    if (this.leader !== link || answer.term > this.leaderTerm) this.heartbeatOwner.handleLeaderFound(link)
    if (this.leader !== link) this.leader?.rejectPendingCalls('another controller leads')
    this.leaderTerm = answer.term
    this.leader = link
    this.addControllers(answer.controllers)
    this.heartbeatOwner.handleConfirmation(answer, sentAt)
  }

  /**
   * Handles a failed heartbeat or request for the members. Closes a link over which no
   * answer arrived in time, so that the other calls over it end as well.
   */
  private handleFailure (link: Link, failure: Failure): void {
    this.clearLeader(link)
    if (failure.kind === ErrorKind.notLeader) this.askMembers(link)
    if (failure.kind === ErrorKind.deadlineExceeded) link.close('a heartbeat or a request for the members was not answered in time')
  }

  /** Asks a controller that does not lead for the addresses of all controllers. */
  private askMembers (link: Link): void {
    link.call(InternalMethod.members, {}, HEARTBEAT_TIMEOUT_MS)
      .then(body => { this.addControllers((body as MembersAnswer).controllers) })
      .catch((thrown: unknown) => { this.handleFailure(link, toFailure(thrown)) })
  }

  private clearLeader (link: Link): void {
    if (this.leader !== link) return
    this.leader = undefined
    this.leaderlessSince = monotonicNow()
  }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

function isRetryable (failure: Failure, lostAnswerPolicy: LostAnswerPolicy): boolean {
  if (failure.kind === ErrorKind.notLeader) return true
  if (failure.kind === ErrorKind.unavailable) return failure.retryAfterMs === 0
  return failure.kind === ErrorKind.deadlineExceeded && lostAnswerPolicy === LostAnswerPolicy.repeat
}
