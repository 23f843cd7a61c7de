/**
 * A link: one connection between two of the system's processes, over which both
 * sides call each other, send notices and exchange replication messages.
 */

import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'
import { ErrorKind, Failure, toFailure, type ErrorKind as Kind } from '@flamingorouter/scheduler'
import type { AnswerFrame, CallFrame, Frame, HelloFrame } from '../types/messages.js'
import { encodeFrame, FRAME_LIMIT_BYTES, FrameReader } from './framing.js'

/** Bytes that may wait to be sent before a link refuses more. */
const SEND_BUFFER_LIMIT_BYTES = 64 * 1024 * 1024

/** Largest frame before the hello has been accepted, in bytes. */
const HELLO_LIMIT_BYTES = 4096

/** How long a peer may take to say hello, in milliseconds. */
const HELLO_TIMEOUT_MS = 1_000

interface OpenCall {
  resolve: (body: unknown) => void
  reject: (failure: Failure) => void
  timer: NodeJS.Timeout
}

/** Time between two signs of life over a link that is otherwise quiet, in milliseconds. */
const PING_MS = 500

/** After how long a link over which nothing came is closed, in milliseconds: some pings, and a pause of the peer. */
const SILENCE_LIMIT_MS = 2_500

/** Bytes over the links of a process. */
export interface LinkTraffic {
  received: number
  sent: number
}

/** What the owner of a link does with what arrives. */
export interface LinkHandlers {
  /** Counts the bytes of every link that has these handlers. */
  traffic?: LinkTraffic
  opened: (link: Link) => void
  called: (link: Link, frame: CallFrame) => Promise<unknown>
  replication: (link: Link, message: unknown) => void
  notice: (link: Link, topic: string, body: unknown) => void
  closed: (link: Link, reason: string) => void
}

export class Link {
  /** The peer's hello; absent until it has arrived. */
  peer: HelloFrame | undefined
  private readonly reader = FrameReader.create(HELLO_LIMIT_BYTES)
  private readonly calls = new Map<number, OpenCall>()
  private lastCall = 0
  private isClosed = false
  private reason = 'closed by peer'
  private readonly helloTimer: NodeJS.Timeout
  private readonly pingTimer: NodeJS.Timeout
  /** Intervals of the ping timer since something last arrived, and since something was last sent. */
  private quietIn = 0
  private quietOut = 0
  private readonly deliver = (frame: Frame): void => { this.dispatch(frame) }

  private constructor (
    private readonly socket: Socket,
    private readonly hello: HelloFrame,
    private readonly handlers: LinkHandlers
  ) {
    socket.setNoDelay(true)
    socket.on('data', chunk => { this.receive(chunk) })
    socket.on('error', error => { this.reason = error.message })
    socket.on('close', () => { this.finish() })
    this.helloTimer = setTimeout(() => { this.close('no hello in time') }, HELLO_TIMEOUT_MS)
    this.pingTimer = setInterval(() => { this.ping() }, PING_MS)
    this.send(hello)
  }

  /** Takes over a socket, connected or connecting, and says hello. */
  static create (socket: Socket, hello: HelloFrame, handlers: LinkHandlers): Link {
    return new Link(socket, hello, handlers)
  }

  get isOpen (): boolean {
    return !this.isClosed && this.peer !== undefined
  }

  /** Sends a frame; returns false when the link is closed or its buffer is full. */
  send (frame: Frame): boolean {
    if (this.isClosed || this.socket.writableLength > SEND_BUFFER_LIMIT_BYTES) return false
    const bytes = encodeFrame(frame)
    this.quietOut = 0
    if (this.handlers.traffic !== undefined) this.handlers.traffic.sent += bytes.length
    this.socket.write(bytes)
    return true
  }

  /**
   * Calls a method of the peer. Rejects with the Failure that the peer answered,
   * with unavailable when the call surely did not leave, and with
   * deadlineExceeded when it left and no answer came.
   */
  call (method: string, body: unknown, timeoutMs: number): Promise<unknown> {
    const id = ++this.lastCall
    return new Promise((resolve, reject) => {
      if (!this.isOpen || !this.send({ kind: 'call', id, method, body })) {
        reject(Failure.create(ErrorKind.unavailable, `no link for ${method}`))
        return
      }
      const timer = setTimeout(() => {
        this.calls.delete(id)
        reject(Failure.create(ErrorKind.deadlineExceeded, `no answer to ${method} within ${timeoutMs} ms`))
      }, timeoutMs)
      this.calls.set(id, { resolve, reject, timer })
    })
  }

  /**
   * Keeps the link alive, and closes it when the peer is silent: a connection may
   * go silent for good without a reset. It counts intervals of this process, so
   * that a pause of its own does not look like a silent peer.
   */
  private ping (): void {
    this.quietIn += 1
    this.quietOut += 1
    if (this.quietIn * PING_MS >= SILENCE_LIMIT_MS) return this.close('nothing came over the link')
    if (this.quietOut > 1) this.send({ kind: 'ping' })
  }

  close (reason: string): void {
    this.reason = reason
    this.socket.destroy()
  }

  /** Ends every open call as lost; an answer that still comes is dropped. */
  abandon (reason: string): void {
    for (const open of this.calls.values()) {
      clearTimeout(open.timer)
      open.reject(Failure.create(ErrorKind.deadlineExceeded, `the answer is not waited for: ${reason}`))
    }
    this.calls.clear()
  }

  private receive (chunk: Buffer): void {
    if (this.isClosed) return
    this.quietIn = 0
    if (this.handlers.traffic !== undefined) this.handlers.traffic.received += chunk.length
    try {
      this.reader.push(chunk, this.deliver)
    } catch (thrown) {
      this.close(toFailure(thrown).message)
    }
  }

  private dispatch (frame: Frame): void {
    if (this.socket.destroyed) return
    if (this.peer === undefined) return this.greet(frame)
    switch (frame.kind) {
      case 'call': return this.answer(frame)
      case 'answer': return this.settle(frame)
      case 'replication': return this.handlers.replication(this, frame.message)
      case 'notice': return this.handlers.notice(this, frame.topic, frame.body)
      case 'hello': return this.close('a second hello')
      case 'ping':
    }
  }

  private greet (frame: Frame): void {
    if (frame.kind !== 'hello') return this.close('the first frame is not a hello')
    if (frame.group !== this.hello.group) return this.close(`group ${frame.group} is not ${this.hello.group}`)
    const certified = readCertifiedName(this.socket)
    if (certified !== undefined && certified !== frame.process) {
      return this.close(`the certificate of ${certified} is shown by ${frame.process}`)
    }
    clearTimeout(this.helloTimer)
    this.peer = frame
    this.reader.setLimit(FRAME_LIMIT_BYTES)
    this.handlers.opened(this)
  }

  private answer (frame: CallFrame): void {
    const answered = (body: unknown): void => { this.send({ kind: 'answer', id: frame.id, body }) }
    const failed = (thrown: unknown): void => {
      const { kind, message, retryAfterMs } = toFailure(thrown)
      this.send({ kind: 'answer', id: frame.id, error: { kind, message, retryAfterMs } })
    }
    this.handlers.called(this, frame).then(answered).catch(failed)
  }

  private settle (frame: AnswerFrame): void {
    const open = this.calls.get(frame.id)
    if (open === undefined) return
    this.calls.delete(frame.id)
    clearTimeout(open.timer)
    if (frame.error === undefined) return open.resolve(frame.body)
    const { kind, message, retryAfterMs } = frame.error
    open.reject(Failure.create(kind as Kind, message, { retryAfterMs }))
  }

  private finish (): void {
    if (this.isClosed) return
    this.isClosed = true
    clearTimeout(this.helloTimer)
    clearInterval(this.pingTimer)
    this.abandon(`the link closed: ${this.reason}`)
    this.handlers.closed(this, this.reason)
  }
}

/** Name in the peer's certificate; undefined without TLS. */
function readCertifiedName (socket: Socket): string | undefined {
  if (!(socket instanceof TLSSocket)) return undefined
  const { CN } = socket.getPeerCertificate().subject ?? {}
  return Array.isArray(CN) ? CN.join(' ') : CN ?? ''
}
