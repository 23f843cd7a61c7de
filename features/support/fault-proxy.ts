/**
 * A TCP proxy that injects network faults: refused connections, bytes dropped
 * silently in one or both directions, delay, and truncation.
 */

import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

const HOST = '127.0.0.1'

export interface NetworkFault {
  /** Open connections are destroyed, and new ones are closed as soon as they are accepted. */
  refusesConnections: boolean
  /** Bytes from the client to the server are dropped. */
  dropsToServer: boolean
  /** Bytes from the server to the client are dropped. */
  dropsToClient: boolean
  /** Delay of each chunk in milliseconds. */
  delayMs: number
  /** Number of bytes sent to the client after which the connection is destroyed; 0 for no limit. */
  truncateAfterBytes: number
}

export const NO_FAULT: Readonly<NetworkFault> = Object.freeze({
  refusesConnections: false, dropsToServer: false, dropsToClient: false, delayMs: 0, truncateAfterBytes: 0
})

export class FaultProxy {
  private fault: NetworkFault = { ...NO_FAULT }
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server, private readonly getUpstream: () => string) {}

  /** Listens on a free port. `getUpstream` is called for each new connection and returns the host:port to connect to. */
  static async start (getUpstream: () => string): Promise<FaultProxy> {
    const server = createServer()
    const proxy = new FaultProxy(server, getUpstream)
    server.on('connection', socket => { proxy.handleConnection(socket) })
    await new Promise<void>(resolve => { server.listen(0, HOST, resolve) })
    return proxy
  }

  get address (): string {
    return `${HOST}:${(this.server.address() as AddressInfo).port}`
  }

  /** Replaces the current fault; it applies to open connections too. */
  setFault (fault: Partial<NetworkFault>): void {
    this.fault = { ...NO_FAULT, ...fault }
    if (this.fault.refusesConnections) this.destroyConnections()
  }

  /** Ends the fault. If it dropped bytes, all connections are destroyed, since their streams may lack bytes. */
  clearFault (): void {
    const wasLossy = this.fault.dropsToClient || this.fault.dropsToServer
    this.fault = { ...NO_FAULT }
    if (wasLossy) this.destroyConnections()
  }

  async close (): Promise<void> {
    this.destroyConnections()
    await new Promise(resolve => { this.server.close(resolve) })
  }

  private destroyConnections (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  private handleConnection (client: Socket): void {
    if (this.fault.refusesConnections) {
      client.destroy()
      return
    }
    const [host, port] = this.getUpstream().split(':')
    const server = connect({ host, port: Number(port) })
    this.pairSockets(client, server)
    let bytesToClient = 0
    client.on('data', chunk => { this.forward(chunk, server, this.fault.dropsToServer) })
    server.on('data', chunk => {
      bytesToClient += chunk.length
      const { truncateAfterBytes: truncateAfter } = this.fault
      this.forward(chunk, client, this.fault.dropsToClient)
      if (truncateAfter > 0 && bytesToClient >= truncateAfter) client.destroy()
    })
  }

  private pairSockets (client: Socket, server: Socket): void {
    for (const [socket, other] of [[client, server], [server, client]]) {
      this.sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => {
        this.sockets.delete(socket)
        // While bytes are dropped, the close of a connection must not reach the other side either.
        if (!this.fault.dropsToClient && !this.fault.dropsToServer) other.destroy()
      })
    }
  }

  private forward (chunk: Buffer, to: Socket, isDropped: boolean): void {
    if (isDropped || to.destroyed) return
    if (this.fault.delayMs === 0) {
      to.write(chunk)
      return
    }
    setTimeout(() => { if (!to.destroyed) to.write(chunk) }, this.fault.delayMs)
  }
}
