/**
 * Links between controllers. This controller dials each other member; while no
 * dialled link to a controller is open, it sends over the link that the other opened.
 */

import {
  DropReason, LinkDialler, Transport,
  type HelloFrame, type Link, type LinkHandlers, type LinkTraffic, type MemberFacts, type Message, type MessageDrop, type PeerKeys
} from '@flamingorouter/controllers'
import type { RuntimeLog } from './runtime-log.js'

const NO_OP_HANDLERS: LinkHandlers = {
  opened: () => {},
  called: async () => { throw new Error('replication links carry no calls') },
  replication: () => {},
  notice: () => {},
  closed: () => {}
}

export class ControllerLinks extends Transport {
  /** Diallers by the id of the member. */
  private readonly diallers = new Map<string, LinkDialler>()
  /** Links opened by other controllers, by controller id. */
  private readonly inboundLinks = new Map<string, Link>()
  /** Handles a message that a member sends over the link dialled to it; set once the replica exists. */
  handleMessage: (from: string, message: unknown) => void = () => {}

  /** Called for each message that cannot be sent; for logs and metrics only. */
  handleDrop: (drop: MessageDrop) => void = () => {}

  private constructor (
    private readonly hello: HelloFrame,
    private readonly members: () => readonly MemberFacts[],
    private readonly keys: () => PeerKeys | undefined,
    private readonly traffic: LinkTraffic | undefined,
    private readonly log: RuntimeLog | undefined
  ) {
    super()
  }

  /** `members` returns the current membership as seen by this controller. */
  static create (
    hello: HelloFrame,
    members: () => readonly MemberFacts[],
    keys: () => PeerKeys | undefined = () => undefined,
    traffic?: LinkTraffic,
    log?: RuntimeLog
  ): ControllerLinks {
    return new ControllerLinks(hello, members, keys, traffic, log)
  }

  /** Dials the other members that are not dialled yet, so that the first messages of an election find open links. */
  dialMembers (): void {
    for (const { id } of this.members()) {
      if (id !== this.hello.process) this.dial(id)
    }
  }

  /** Sends a message to a controller; the message is dropped when no link to it is open. */
  override send (to: string, message: unknown): void {
    const link = this.dial(to)?.link
    const openLink = link?.isOpen === true ? link : this.inboundLinks.get(to)
    if (openLink?.send({ kind: 'replication', message }) !== true) this.handleDrop({ peer: to, kind: (message as Message).kind, reason: DropReason.noLink })
  }

  /** Registers a link that another process opened; links of processes other than controllers are ignored. */
  addInbound (link: Link): void {
    if (link.peer?.role === 'controller') this.inboundLinks.set(link.peer.process, link)
  }

  /** Removes a closed link that another process had opened. */
  removeInbound (link: Link): void {
    const process = link.peer?.process ?? ''
    if (this.inboundLinks.get(process) === link) this.inboundLinks.delete(process)
  }

  close (): void {
    for (const dialler of this.diallers.values()) dialler.close()
  }

  /** Returns the dialler of a member, which is replaced if the member's address changed; that of a former member stays as it is. */
  private dial (to: string): LinkDialler | undefined {
    const member = this.members().find(({ id }) => id === to)
    const existing = this.diallers.get(to)
    if (member === undefined || existing?.address === member.address) return existing
    existing?.close()
    const handlers: LinkHandlers = {
      ...NO_OP_HANDLERS,
      traffic: this.traffic,
      replication: (_link, message) => { this.handleMessage(to, message) },
      opened: () => { this.log?.info('controller_reached', { controller: to, address: member.address }) },
      closed: (link, reason) => {
        if (link.peer !== undefined) this.log?.warn('controller_lost', { controller: to, address: member.address, reason })
      }
    }
    const dialler = LinkDialler.create(member.address, this.hello, handlers, this.keys)
    this.diallers.set(to, dialler)
    return dialler
  }
}
