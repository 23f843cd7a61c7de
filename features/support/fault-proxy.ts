/**
 * A small TCP proxy that brings about the faults of a network: cuts, black holes
 * in one or both directions, delay, and truncation.
 */

import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

const HOST = '127.0.0.1'

export interface Fault {
  /** Existing connections are destroyed and new ones refused. */
  isCut: boolean
  /** Bytes towards the server are swallowed. */
  swallowsForth: boolean
  /** Bytes towards the client are swallowed. */
  swallowsBack: boolean
  /** Milliseconds by which each chunk is held back. */
  delayMs: number
  /** Bytes towards the client after which the connection is destroyed; 0 for no limit. */
  truncateAfter: number
}

export const NO_FAULT: Readonly<Fault> = Object.freeze({
  isCut: false, swallowsForth: false, swallowsBack: false, delayMs: 0, truncateAfter: 0
})

export class FaultProxy {
  private fault: Fault = { ...NO_FAULT }
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server, private readonly upstream: () => string) {}

  /** `upstream` tells host:port at each new connection. */
  static async start (upstream: () => string): Promise<FaultProxy> {
    const server = createServer()
    const proxy = new FaultProxy(server, upstream)
    server.on('connection', socket => { proxy.accept(socket) })
    await new Promise<void>(resolve => { server.listen(0, HOST, resolve) })
    return proxy
  }

  get address (): string {
    return `${HOST}:${(this.server.address() as AddressInfo).port}`
  }

  /** Brings a fault about, for open connections too. */
  set (fault: Partial<Fault>): void {
    this.fault = { ...NO_FAULT, ...fault }
    if (this.fault.isCut) this.destroyAll()
  }

  /** Heals; connections that lost bytes are destroyed, as their streams are broken. */
  heal (): void {
    const wasLossy = this.fault.swallowsBack || this.fault.swallowsForth
    this.fault = { ...NO_FAULT }
    if (wasLossy) this.destroyAll()
  }

  async close (): Promise<void> {
    this.destroyAll()
    await new Promise(resolve => { this.server.close(resolve) })
  }

  private destroyAll (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (client: Socket): void {
    if (this.fault.isCut) {
      client.destroy()
      return
    }
    const [host, port] = this.upstream().split(':')
    const server = connect({ host, port: Number(port) })
    this.join(client, server)
    let returned = 0
    client.on('data', chunk => { this.carry(chunk, server, this.fault.swallowsForth) })
    server.on('data', chunk => {
      returned += chunk.length
      const { truncateAfter } = this.fault
      this.carry(chunk, client, this.fault.swallowsBack)
      if (truncateAfter > 0 && returned >= truncateAfter) client.destroy()
    })
  }

  private join (client: Socket, server: Socket): void {
    for (const [socket, other] of [[client, server], [server, client]]) {
      this.sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => {
        this.sockets.delete(socket)
        // A black hole hides the end of a connection as well.
        if (!this.fault.swallowsBack && !this.fault.swallowsForth) other.destroy()
      })
    }
  }

  private carry (chunk: Buffer, to: Socket, isSwallowed: boolean): void {
    if (isSwallowed || to.destroyed) return
    if (this.fault.delayMs === 0) {
      to.write(chunk)
      return
    }
    setTimeout(() => { if (!to.destroyed) to.write(chunk) }, this.fault.delayMs)
  }
}
