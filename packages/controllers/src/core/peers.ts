/**
 * Links to and from peers: a server that accepts them and a dialler that keeps
 * one link to an address open.
 */

import { connect, createServer, type Server, type Socket } from 'node:net'
import { connect as connectTls, createServer as createTlsServer, type Server as TlsServer } from 'node:tls'
import type { PeerKeys } from '../types/keys.js'
import type { HelloFrame } from '../types/messages.js'
import { Link, type LinkHandlers } from './link.js'

const FIRST_REDIAL_MS = 50
const LAST_REDIAL_MS = 250

/** How long a TLS handshake may take, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 3_000

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

  /** With keys, both ends prove by a certificate of the same authority who they are. */
  static create (hello: HelloFrame, handlers: LinkHandlers, keys?: PeerKeys): LinkServer {
    const server = keys === undefined
      ? createServer()
      : createTlsServer({ ...toTlsOptions(keys), requestCert: true, handshakeTimeout: HANDSHAKE_TIMEOUT_MS })
    const accepted = new LinkServer(server)
    const forget = (link: Link, reason: string): void => {
      accepted.links.delete(link)
      handlers.closed(link, reason)
    }
    server.maxConnections = INBOUND_LINK_LIMIT
    server.on(keys === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
      accepted.links.add(Link.create(socket, hello, { ...handlers, closed: forget }))
    })
    return accepted
  }

  /** New links use the new keys; open ones go on. */
  replaceKeys (keys: PeerKeys): void {
    const server = this.server as TlsServer
    server.setSecureContext(toTlsOptions(keys))
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
    private readonly handlers: LinkHandlers,
    private readonly keys: () => PeerKeys | undefined
  ) {}

  /** `keys` are asked for at each connection, so that changed ones take effect without a stop. */
  static create (
    address: string,
    hello: HelloFrame,
    handlers: LinkHandlers,
    keys: () => PeerKeys | undefined = () => undefined
  ): LinkDialler {
    const dialler = new LinkDialler(address, hello, handlers, keys)
    dialler.dial()
    return dialler
  }

  close (): void {
    this.isStopped = true
    clearTimeout(this.timer)
    this.link?.close('process stops')
  }

  private dial (): void {
    const keys = this.keys()
    const address = parseAddress(this.address)
    const socket = keys === undefined ? connect(address) : connectTls({ ...address, ...toTlsOptions(keys) })
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

function toTlsOptions (keys: PeerKeys): { cert: string, key: string, ca: string, rejectUnauthorized: true, minVersion: 'TLSv1.3' } {
  return { cert: keys.certificate, key: keys.key, ca: keys.authority, rejectUnauthorized: true, minVersion: 'TLSv1.3' }
}
