/**
 * Links between controllers. A link leads to the controller that its peer's hello names, whichever side opened it and
 * whichever member was dialled: after the loss of its disk a controller comes back at its old address under a new id. This
 * controller dials each other member; a controller without a membership answers over the links that others opened to it.
 */

import {
  DropReason, LinkDialler, Transport,
  type HelloFrame, type Link, type LinkHandlers, type LinkTraffic, type MemberFacts, type Message, type MessageDrop, type PeerKeys
} from '@flamingorouter/controllers'
import { LinkTable } from './link-table.js'
import type { RuntimeLog } from './runtime-log.js'

export class ControllerLinks extends Transport {
  /** Diallers by the id of the member. */
  private readonly diallers = new Map<string, LinkDialler>()
  private readonly openLinks = LinkTable.create()
  /** Handles a message of another controller; set once the replica exists. */
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

  /**
   * Dials the other members that are not dialled yet, so that the first messages of an election find open links, and closes
   * the diallers of former members and of former addresses.
   */
  dialMembers (): void {
    const members = this.members()
    for (const [id, dialler] of this.diallers) {
      if (members.some(member => member.id === id && member.address === dialler.address)) continue
      dialler.close()
      this.diallers.delete(id)
    }
    for (const member of members) {
      if (member.id !== this.hello.process && !this.diallers.has(member.id)) this.diallers.set(member.id, this.dial(member))
    }
  }

  /** Sends a message to a controller; the message is dropped when no link to it is open. */
  override send (to: string, message: unknown): void {
    const link = this.findLink(to)
    if (link?.send({ kind: 'replication', message }) !== true) this.handleDrop({ peer: to, kind: (message as Message).kind, reason: DropReason.noLink })
  }

  /** Passes on a message that arrived over a link, as one of the controller that the link leads to. */
  receive (link: Link, message: unknown): void {
    if (link.peer?.role === 'controller') this.handleMessage(link.peer.process, message)
  }

  /** Registers a link whose peer said its hello; links of processes other than controllers are ignored. */
  add (link: Link): void {
    if (link.peer?.role === 'controller') this.openLinks.add(link)
  }

  /** Removes a closed link. */
  remove (link: Link): void {
    this.openLinks.remove(link)
  }

  close (): void {
    for (const dialler of this.diallers.values()) dialler.close()
  }

  /**
   * The link to a controller that was dialled at its address, if it leads to that controller, or else the one that was opened
   * last. A process that keeps the id of a member which has moved to another address may still open links.
   */
  private findLink (to: string): Link | undefined {
    if (!this.diallers.has(to)) this.dialMembers()
    const dialled = this.diallers.get(to)?.link
    return dialled?.isOpen === true && dialled.peer?.process === to ? dialled : this.openLinks.find(to)
  }

  private dial ({ id, address }: MemberFacts): LinkDialler {
    const handlers: LinkHandlers = {
      traffic: this.traffic,
      opened: link => {
        this.add(link)
        this.log?.info('controller_reached', { controller: link.peer?.process ?? '', address, member: id })
      },
      called: async () => { throw new Error('replication links carry no calls') },
      replication: (link, message) => { this.receive(link, message) },
      notice: () => {},
      closed: (link, reason) => {
        this.remove(link)
        if (link.peer !== undefined) this.log?.warn('controller_lost', { controller: link.peer.process, address, reason })
      }
    }
    return LinkDialler.create(address, this.hello, handlers, this.keys)
  }
}
