/**
 * The two ends of links: a server that accepts them and a dialler that keeps one
 * link to an address open.
 */

import { connect, createServer, type Server, type Socket } from 'node:net'
import { connect as connectTls, createServer as createTlsServer, type Server as TlsServer } from 'node:tls'
import type { PeerKeys } from '../types/peer-keys.js'
import type { HelloFrame } from '../types/frames.js'
import { Link, type LinkHandlers } from './link.js'

/** Delay before the first redial after a link closed, in milliseconds; doubled after each failed redial. */
const FIRST_REDIAL_DELAY_MS = 50

/** Longest delay before a redial, in milliseconds. */
const REDIAL_DELAY_LIMIT_MS = 250

/**
 * Time after which an attempt to connect is given up and repeated, in milliseconds. The first packet to a VM without power
 * is lost, and TCP repeats it only after a second or more; the VM may be back long before.
 */
const CONNECT_TIMEOUT_MS = 300

/** Time limit of a TLS handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 3_000

/** Inbound links that a process accepts at the same time. */
const INBOUND_LINK_LIMIT = 256

export interface Address {
  host: string
  port: number
}

/** Splits `host:port` at the last colon. The port is NaN if it is not a number. */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}

/** Accepts links from peers. */
export class LinkServer {
  readonly links = new Set<Link>()
  /** Called when a link cannot be accepted, for example because the process has too many open files. */
  handleError: (error: Error) => void = () => {}

  private constructor (private readonly server: Server) {}

  /** With keys, links use mutual TLS: both ends present a certificate of the same authority. */
  static create (hello: HelloFrame, handlers: LinkHandlers, keys?: PeerKeys): LinkServer {
    const server = keys === undefined
      ? createServer()
      : createTlsServer({ ...toTlsOptions(keys), requestCert: true, handshakeTimeout: HANDSHAKE_TIMEOUT_MS })
    const linkServer = new LinkServer(server)
    const removeLink = (link: Link, reason: string): void => {
      linkServer.links.delete(link)
      handlers.closed(link, reason)
    }
    server.maxConnections = INBOUND_LINK_LIMIT
    // Without a listener, a failure to accept a connection would end the process.
    server.on('error', error => { linkServer.handleError(error) })
    server.on(keys === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
      linkServer.links.add(Link.create(socket, hello, { ...handlers, closed: removeLink }))
    })
    return linkServer
  }

  /** Uses other keys for new links; open links are not affected. Only for a server created with keys. */
  replaceKeys (keys: PeerKeys): void {
    const server = this.server as TlsServer
    server.setSecureContext(toTlsOptions(keys))
  }

  /** Resolves with the bound port; rejects when the address cannot be bound. */
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
    for (const link of this.links) link.close('the process is stopping')
  }
}

/** Keeps one link to an address open and redials with exponential backoff. */
export class LinkDialler {
  /** The current link, which may still be opening; undefined while the dialler waits to redial. */
  link: Link | undefined
  private delayMs = FIRST_REDIAL_DELAY_MS
  private timer: NodeJS.Timeout | undefined
  private isStopped = false

  private constructor (
    readonly address: string,
    private readonly hello: HelloFrame,
    private readonly handlers: LinkHandlers,
    private readonly readKeys: () => PeerKeys | undefined
  ) {}

  /** Calls `keys` for each connection, so that replaced keys take effect without a restart. */
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
    this.link?.close('this process closed the link')
  }

  private dial (): void {
    const keys = this.readKeys()
    const address = parseAddress(this.address)
    const socket = keys === undefined ? connect(address) : connectTls({ ...address, ...toTlsOptions(keys) })
    const connectTimer = setTimeout(() => { socket.destroy(new Error(`not connected within ${CONNECT_TIMEOUT_MS} ms`)) }, CONNECT_TIMEOUT_MS)
    socket.once('connect', () => { clearTimeout(connectTimer) })
    socket.once('close', () => { clearTimeout(connectTimer) })
    this.link = Link.create(socket, this.hello, {
      ...this.handlers,
      opened: link => {
        this.delayMs = FIRST_REDIAL_DELAY_MS
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
    this.delayMs = Math.min(this.delayMs * 2, REDIAL_DELAY_LIMIT_MS)
  }
}

function toTlsOptions (keys: PeerKeys): { cert: string, key: string, ca: string, rejectUnauthorized: true, minVersion: 'TLSv1.3' } {
  return { cert: keys.certificate, key: keys.key, ca: keys.authority, rejectUnauthorized: true, minVersion: 'TLSv1.3' }
}
