/**
 * A link: one connection between two processes of the system, over which both
 * sides call methods of each other, send notices and exchange replication
 * messages.
 */

import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'
import { ErrorKind, Failure, toFailure, type ErrorKind as Kind } from '@flamingorouter/scheduler'
import type { AnswerFrame, CallFrame, Frame, HelloFrame } from '../types/frames.js'
import { encodeFrame, FRAME_LIMIT_BYTES, FrameReader } from './framing.js'
import { TimeLimit } from './time-limit.js'

/** Bytes that may be buffered for sending; a link with more refuses further frames. */
const SEND_BUFFER_LIMIT_BYTES = 64 * 1024 * 1024

/** Largest frame accepted before the hello, in bytes. */
const HELLO_LIMIT_BYTES = 4096

/** Time within which a peer must send its hello, in milliseconds. */
const HELLO_TIMEOUT_MS = 1_000

interface PendingCall {
  resolve: (body: unknown) => void
  reject: (failure: Failure) => void
  limit: TimeLimit
}

/** Interval of pings over an idle link, in milliseconds. */
const PING_INTERVAL_MS = 500

/** Time without any data after which a link is closed, in milliseconds; long enough for several pings and a pause of the peer. */
const SILENCE_TIMEOUT_MS = 2_500

/** Bytes received and sent over the links of a process. */
export interface LinkTraffic {
  received: number
  sent: number
}

/** Callbacks of the owner of a link. */
export interface LinkHandlers {
  /** Incremented by the bytes of every link that has these handlers. */
  traffic?: LinkTraffic
  /** Called when the peer's hello was accepted. */
  opened: (link: Link) => void
  /** Answers a call with the returned value, or with the error of a rejection. */
  called: (link: Link, frame: CallFrame) => Promise<unknown>
  /** Handles a Raft message. */
  replication: (link: Link, message: unknown) => void
  /** Handles a one-way message. */
  notice: (link: Link, topic: string, body: unknown) => void
  /** Called once, also for a link whose peer never sent a valid hello. */
  closed: (link: Link, reason: string) => void
}

export class Link {
  /** The peer's hello; undefined until it is accepted. */
  peer: HelloFrame | undefined
  private readonly reader = FrameReader.create(HELLO_LIMIT_BYTES)
  private readonly pendingCalls = new Map<number, PendingCall>()
  private lastCallId = 0
  private isClosed = false
  /** Reason that is reported when the socket closes. */
  private reason = 'closed by peer'
  private readonly helloTimer: NodeJS.Timeout
  private readonly pingTimer: NodeJS.Timeout
  /** Number of ping intervals since data last arrived. */
  private intervalsSinceReceive = 0
  /** Number of ping intervals since a frame was last sent. */
  private intervalsSinceSend = 0
  private readonly deliver = (frame: Frame): void => { this.dispatch(frame) }

  private constructor (
    private readonly socket: Socket,
    private readonly hello: HelloFrame,
    private readonly handlers: LinkHandlers
  ) {
    socket.setNoDelay(true)
    socket.on('data', chunk => { this.receive(chunk) })
    socket.on('error', error => { this.reason = error.message })
    socket.on('close', () => { this.handleSocketClose() })
    this.helloTimer = setTimeout(() => { this.close('the peer sent no hello within the time limit') }, HELLO_TIMEOUT_MS)
    this.pingTimer = setInterval(() => { this.checkLiveness() }, PING_INTERVAL_MS)
    this.send(hello)
  }

  /** Takes ownership of a connected or connecting socket and sends the hello. */
  static create (socket: Socket, hello: HelloFrame, handlers: LinkHandlers): Link {
    return new Link(socket, hello, handlers)
  }

  get isOpen (): boolean {
    return !this.isClosed && this.peer !== undefined
  }

  /**
   * Sends a frame; returns false, without sending, when the link is closed or its send
   * buffer is full. Throws payloadTooLarge when the frame exceeds FRAME_LIMIT_BYTES.
   */
  send (frame: Frame): boolean {
    if (this.isClosed || this.socket.writableLength > SEND_BUFFER_LIMIT_BYTES) return false
    const bytes = encodeFrame(frame)
    this.intervalsSinceSend = 0
    if (this.handlers.traffic !== undefined) this.handlers.traffic.sent += bytes.length
    this.socket.write(bytes)
    return true
  }

  /**
   * Calls a method of the peer. Rejects with the failure that the peer answered,
   * with unavailable or payloadTooLarge when the call was certainly not sent, and
   * with deadlineExceeded when it was sent and no answer arrived.
   */
  call (method: string, body: unknown, timeoutMs: number): Promise<unknown> {
    const id = ++this.lastCallId
    return new Promise((resolve, reject) => {
      if (!this.isOpen || !this.send({ kind: 'call', id, method, body })) {
        reject(Failure.create(ErrorKind.unavailable, `${method} was not sent: the link is closed or its send buffer is full`))
        return
      }
      const limit = TimeLimit.start(timeoutMs, () => {
        this.pendingCalls.delete(id)
        reject(Failure.create(ErrorKind.deadlineExceeded, `no answer to ${method} within ${timeoutMs} ms`))
      })
      this.pendingCalls.set(id, { resolve, reject, limit })
    })
  }

  /**
   * Sends a ping when the link is idle and closes the link when the peer is
   * silent, because a connection can be lost without a reset. Silence is counted
   * in timer intervals of this process, so that a pause of this process is not
   * mistaken for a silent peer.
   */
  private checkLiveness (): void {
    this.intervalsSinceReceive += 1
    this.intervalsSinceSend += 1
    if (this.intervalsSinceReceive * PING_INTERVAL_MS >= SILENCE_TIMEOUT_MS) return this.close('no data arrived over the link within the silence timeout')
    if (this.intervalsSinceSend > 1) this.send({ kind: 'ping' })
  }

  close (reason: string): void {
    this.reason = reason
    this.socket.destroy()
  }

  /** Rejects every pending call with deadlineExceeded; answers that still arrive are dropped. */
  rejectPendingCalls (reason: string): void {
    for (const pendingCall of this.pendingCalls.values()) {
      pendingCall.limit.cancel()
      pendingCall.reject(Failure.create(ErrorKind.deadlineExceeded, `the call was abandoned before its answer arrived: ${reason}`))
    }
    this.pendingCalls.clear()
  }

  private receive (chunk: Buffer): void {
    if (this.isClosed) return
    this.intervalsSinceReceive = 0
    if (this.handlers.traffic !== undefined) this.handlers.traffic.received += chunk.length
    try {
      this.reader.push(chunk, this.deliver)
    } catch (thrown) {
      this.close(toFailure(thrown).message)
    }
  }

  private dispatch (frame: Frame): void {
    if (this.socket.destroyed) return
    if (this.peer === undefined) return this.acceptHello(frame)
    switch (frame.kind) {
      case 'call': return this.answerCall(frame)
      case 'answer': return this.completeCall(frame)
      case 'replication': return this.handlers.replication(this, frame.message)
      case 'notice': return this.handlers.notice(this, frame.topic, frame.body)
      case 'hello': return this.close('the peer sent a second hello')
      case 'ping':
    }
  }

  private acceptHello (frame: Frame): void {
    if (frame.kind !== 'hello') return this.close('the first frame of the peer is not a hello')
    if (frame.group !== this.hello.group) return this.close(`group ${frame.group} is not ${this.hello.group}`)
    const certifiedName = readCertifiedName(this.socket)
    if (certifiedName !== undefined && certifiedName !== frame.process) {
      return this.close(`the certificate of ${certifiedName} is shown by ${frame.process}`)
    }
    clearTimeout(this.helloTimer)
    this.peer = frame
    this.reader.setLimit(FRAME_LIMIT_BYTES)
    this.handlers.opened(this)
  }

  private answerCall (frame: CallFrame): void {
    const sendAnswer = (body: unknown): void => { this.send({ kind: 'answer', id: frame.id, body }) }
    const sendError = (thrown: unknown): void => {
      const { kind, message, retryAfterMs } = toFailure(thrown)
      this.send({ kind: 'answer', id: frame.id, error: { kind, message, retryAfterMs } })
    }
    this.handlers.called(this, frame).then(sendAnswer).catch(sendError)
  }

  private completeCall (frame: AnswerFrame): void {
    const pendingCall = this.pendingCalls.get(frame.id)
    if (pendingCall === undefined) return
    this.pendingCalls.delete(frame.id)
    pendingCall.limit.cancel()
    if (frame.error === undefined) return pendingCall.resolve(frame.body)
    const { kind, message, retryAfterMs } = frame.error
    pendingCall.reject(Failure.create(kind as Kind, message, { retryAfterMs }))
  }

  private handleSocketClose (): void {
    if (this.isClosed) return
    this.isClosed = true
    clearTimeout(this.helloTimer)
    clearInterval(this.pingTimer)
    this.rejectPendingCalls(`the link closed: ${this.reason}`)
    this.handlers.closed(this, this.reason)
  }
}

/** Common name in the peer's certificate; undefined without TLS, empty if the certificate has none. */
function readCertifiedName (socket: Socket): string | undefined {
  if (!(socket instanceof TLSSocket)) return undefined
  const { CN } = socket.getPeerCertificate().subject ?? {}
  return Array.isArray(CN) ? CN.join(' ') : CN ?? ''
}
