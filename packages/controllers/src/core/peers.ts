/**
 * Links to and from peers: a server that accepts them and a dialler that keeps
 * one link to an address open.
 */

import { connect, createServer, type Server, type Socket } from 'node:net'
import type { HelloFrame } from '../types/messages.js'
import { Link, type LinkHandlers } from './link.js'

const FIRST_REDIAL_MS = 50
const LAST_REDIAL_MS = 1_000

/** Links that a process accepts at once. */
const INBOUND_LINK_LIMIT = 256

export interface Address {
  host: string
  port: number
}

/** Splits `host:port`. */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}

/** Accepts links. */
export class LinkServer {
  readonly links = new Set<Link>()

  private constructor (private readonly server: Server) {}

  static create (hello: HelloFrame, handlers: LinkHandlers): LinkServer {
    const server = createServer()
    const accepted = new LinkServer(server)
    const forget = (link: Link, reason: string): void => {
      accepted.links.delete(link)
      handlers.closed(link, reason)
    }
    server.maxConnections = INBOUND_LINK_LIMIT
    server.on('connection', (socket: Socket) => {
      accepted.links.add(Link.create(socket, hello, { ...handlers, closed: forget }))
    })
    return accepted
  }

  /** Resolves with the bound port. */
  listen (address: Address): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(address.port, address.host, () => {
        resolve((this.server.address() as { port: number }).port)
      })
    })
  }

  close (): void {
    this.server.close()
    for (const link of this.links) link.close('process stops')
  }
}

/** Keeps one link to an address, dialling again with a growing delay. */
export class LinkDialler {
  link: Link | undefined
  private delayMs = FIRST_REDIAL_MS
  private timer: NodeJS.Timeout | undefined
  private isStopped = false

  private constructor (
    readonly address: string,
    private readonly hello: HelloFrame,
    private readonly handlers: LinkHandlers
  ) {}

  static create (address: string, hello: HelloFrame, handlers: LinkHandlers): LinkDialler {
    const dialler = new LinkDialler(address, hello, handlers)
    dialler.dial()
    return dialler
  }

  close (): void {
    this.isStopped = true
    clearTimeout(this.timer)
    this.link?.close('process stops')
  }

  private dial (): void {
    const { host, port } = parseAddress(this.address)
    const socket = connect({ host, port })
    this.link = Link.create(socket, this.hello, {
      ...this.handlers,
      opened: link => {
        this.delayMs = FIRST_REDIAL_MS
        this.handlers.opened(link)
      },
      closed: (link, reason) => {
        this.handlers.closed(link, reason)
        this.redial()
      }
    })
  }

  private redial (): void {
    this.link = undefined
    if (this.isStopped) return
    this.timer = setTimeout(() => { this.dial() }, this.delayMs)
    this.delayMs = Math.min(this.delayMs * 2, LAST_REDIAL_MS)
  }
}
