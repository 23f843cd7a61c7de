/**
 * Links between controllers: one is dialled to each other member, and a member
 * that is not dialled yet is answered over the link that it opened.
 */

import {
  LinkDialler, Transport,
  type HelloFrame, type Link, type LinkHandlers, type LinkTraffic, type MemberFacts, type PeerKeys
} from '@flamingorouter/controllers'
import type { RuntimeLog } from './runtime-log.js'

const QUIET: LinkHandlers = {
  opened: () => {},
  called: async () => { throw new Error('no calls over a replication link') },
  replication: () => {},
  notice: () => {},
  closed: () => {}
}

export class ControllerLinks extends Transport {
  private readonly diallers = new Map<string, LinkDialler>()
  private readonly inbound = new Map<string, Link>()
  /** Takes what a member answers over the link that was dialled to it; set once the replica is there. */
  received: (from: string, message: unknown) => void = () => {}

  private constructor (
    private readonly hello: HelloFrame,
    private readonly members: () => readonly MemberFacts[],
    private readonly keys: () => PeerKeys | undefined,
    private readonly traffic: LinkTraffic | undefined,
    private readonly log: RuntimeLog | undefined
  ) {
    super()
  }

  /** `members` tells the membership as this controller knows it now. */
  static create (
    hello: HelloFrame,
    members: () => readonly MemberFacts[],
    keys: () => PeerKeys | undefined = () => undefined,
    traffic?: LinkTraffic,
    log?: RuntimeLog
  ): ControllerLinks {
    return new ControllerLinks(hello, members, keys, traffic, log)
  }

  override send (to: string, message: unknown): void {
    const link = this.dial(to)?.link
    const open = link?.isOpen === true ? link : this.inbound.get(to)
    open?.send({ kind: 'replication', message })
  }

  accepted (link: Link): void {
    if (link.peer?.role === 'controller') this.inbound.set(link.peer.process, link)
  }

  dropped (link: Link): void {
    const process = link.peer?.process ?? ''
    if (this.inbound.get(process) === link) this.inbound.delete(process)
  }

  close (): void {
    for (const dialler of this.diallers.values()) dialler.close()
  }

  private dial (to: string): LinkDialler | undefined {
    const member = this.members().find(({ id }) => id === to)
    const known = this.diallers.get(to)
    if (member === undefined || known?.address === member.address) return known
    known?.close()
    const handlers: LinkHandlers = {
      ...QUIET,
      traffic: this.traffic,
      replication: (_link, message) => { this.received(to, message) },
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
