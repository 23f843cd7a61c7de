/**
 * The HTTP edge: unary calls of the Connect protocol on an h3 application over
 * one node:http server, and plain GET routes beside them.
 *
 * A call passes these checks in turn, and the first that fails answers it:
 * number of headers, method and path, content type and encoding, who calls and
 * whether it may, size of the body, shape of the message, rules on its fields.
 * Nothing of a body is read before the caller is known.
 */

import { createServer as createHttpServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import { createServer as createHttpsServer, type Server as HttpsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { SecureContextOptions } from 'node:tls'
import { H3, HTTPResponse, toNodeHandler, type H3Event } from 'h3'
import { toBinary, type Message } from '@bufbuild/protobuf'
import { ERROR_ANSWERS, ErrorKind, Failure, fail, toFailure } from '@flamingorouter/scheduler'
import { methodName, type MethodRules, type RpcHandler } from '../types/call.js'
import type { Keys } from '../types/keys.js'
import { DEFAULT_RPC_LIMITS, type RpcLimits } from '../types/limits.js'
import type { Authenticate, Principal } from '../types/principal.js'
import type { Violation } from '../types/violation.js'
import { readBody } from '../utils/body.js'
import { ContentType, decodeMessage, encodeResult, parseContentType } from '../utils/codec.js'
import { withNotice } from '../utils/notice.js'
import { refuseConnection } from '../utils/unreadable.js'
import { failViolations, toWireError } from '../utils/wire.js'

/** How often open connections are checked against the time limits, in milliseconds. */
const CHECK_CONNECTIONS_MS = 1_000
const MAX_TIMEOUT_MS = 2 ** 31 - 1
const PROTOCOL_VERSION = '1'

/** What an answered call looked like, for logs and metrics. */
export interface CallRecord {
  name: string
  principal: string
  remoteAddress: string
  durationMs: number
  requestBytes: number
  /** Absent when the call succeeded. */
  failure?: Failure
}

export interface PlainAnswer { status: number, type: string, body: string }

export interface RpcServerOptions {
  methods: readonly MethodRules[]
  /** By full method name; a method without one is answered by `unimplemented`. */
  handlers: ReadonlyMap<string, RpcHandler>
  authenticate: Authenticate
  limits?: Partial<RpcLimits>
  /** Plain GET routes by path, as for health and metrics; open to all. */
  pages?: ReadonlyMap<string, () => PlainAnswer | Promise<PlainAnswer>>
  /** Told of each answered call. */
  observe?: (record: CallRecord) => void
  /** Serves TLS with these keys; plain HTTP when absent. */
  keys?: Keys
}

/** Bytes over all connections since the start. */
export interface ServerTraffic { received: number, sent: number }

export class RpcServer {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private readonly ended: ServerTraffic = { received: 0, sent: 0 }
  private closing = false

  private constructor (
    private readonly options: RpcServerOptions,
    private readonly limits: RpcLimits
  ) {
    this.server = this.createServer()
    // One more than the limit, so that an excess is seen and refused rather than cut off.
    this.server.maxHeadersCount = limits.headerCount + 1
    this.server.maxConnections = limits.connections
    this.server.on('clientError', (error, socket) => { refuseConnection(error, socket as Socket) })
    const opened = options.keys === undefined ? 'connection' : 'secureConnection'
    this.server.on(opened, (socket: Socket) => { this.opened(socket) })
  }

  static create (options: RpcServerOptions): RpcServer {
    return new RpcServer(options, { ...DEFAULT_RPC_LIMITS, ...options.limits })
  }

  /** Starts to serve; resolves with the port, which is chosen by the system for port 0. */
  listen (at: { host: string, port: number }): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(at.port, at.host, () => {
        this.server.off('error', reject)
        resolve((this.server.address() as AddressInfo).port)
      })
    })
  }

  /** Takes no new connection, ends idle ones, and resolves when the calls in flight are answered. */
  async close (): Promise<void> {
    this.closing = true
    const closed = new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
    const timer = setTimeout(() => { this.server.closeAllConnections() }, this.limits.closeTimeoutMs)
    await closed
    clearTimeout(timer)
  }

  /**
   * Serves new connections with other keys; open ones go on with theirs. Whether
   * clients show certificates stays as it was at the start.
   */
  replaceKeys (keys: Keys): void {
    (this.server as HttpsServer).setSecureContext(toSecureOptions(keys))
  }

  get traffic (): ServerTraffic {
    const { received, sent } = this.ended
    const sum = { received, sent }
    for (const socket of this.sockets) addTraffic(sum, socket)
    return sum
  }

  private opened (socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => {
      this.sockets.delete(socket)
      addTraffic(this.ended, socket)
    })
  }

  private createServer (): Server {
    const { limits, options } = this
    const common: ServerOptions = {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.keepAliveMs,
      connectionsCheckingInterval: CHECK_CONNECTIONS_MS,
      noDelay: true
    }
    const listener = toNodeHandler(this.createApplication())
    if (options.keys === undefined) return createHttpServer(common, listener)
    return createHttpsServer({
      ...common,
      ...toSecureOptions(options.keys),
      handshakeTimeout: limits.headersTimeoutMs
    }, listener)
  }

  private createApplication (): H3 {
    const app = new H3({ silent: true })
    for (const [path, page] of this.options.pages ?? []) {
      app.get(path, async () => {
        const answer = await page()
        return new HTTPResponse(answer.body, { status: answer.status, headers: { 'content-type': answer.type } })
      })
    }
    for (const rules of this.options.methods) {
      app.all(`/${methodName(rules.method)}`, event => this.answer(event, rules))
    }
    app.all('/**', event => this.refusePath(event))
    return app
  }

  private refusePath (event: H3Event): HTTPResponse {
    const { req } = event.runtime?.node as { req: IncomingMessage }
    return this.refuse(Failure.create(ErrorKind.unimplemented, `no method at ${event.url.pathname}`), !req.complete)
  }

  private async answer (event: H3Event, rules: MethodRules): Promise<HTTPResponse> {
    const startedAt = performance.now()
    const { req, res } = event.runtime?.node as { req: IncomingMessage, res: ServerResponse }
    const record: CallRecord = {
      name: methodName(rules.method),
      principal: '',
      remoteAddress: req.socket.remoteAddress ?? '',
      durationMs: 0,
      requestBytes: 0
    }
    let response: HTTPResponse
    try {
      response = await this.perform(req, res, rules, record)
    } catch (thrown) {
      record.failure = toFailure(thrown)
      response = this.refuse(record.failure, !req.complete)
    }
    record.durationMs = performance.now() - startedAt
    this.options.observe?.(record)
    return response
  }

  private async perform (
    req: IncomingMessage,
    res: ServerResponse,
    rules: MethodRules,
    record: CallRecord
  ): Promise<HTTPResponse> {
    const type = this.checkHead(req)
    const principal = this.identify(req)
    record.principal = principal.name
    requireRole(principal, rules)
    const handler = this.options.handlers.get(record.name)
    if (handler === undefined) fail(ErrorKind.unimplemented, `${record.name} is not served here`)
    const timeoutMs = parseTimeout(req.headers['connect-timeout-ms'])
    const bytes = await this.readRequest(req)
    record.requestBytes = bytes.length
    const request = checkRequest(rules, type, bytes)
    const body = type === ContentType.proto ? bytes : toBinary(rules.method.input, request)
    const closed = new Promise<void>(resolve => { res.once('close', () => { resolve() }) })
    const result = await withNotice(res, timeoutMs, signal =>
      handler({ name: record.name, method: rules.method, request, body, principal, timeoutMs, signal, closed }))
    const encoded = encodeResult(rules.method.output, type, result)
    return new HTTPResponse(encoded as ConstructorParameters<typeof HTTPResponse>[0], { headers: this.headers(type) })
  }

  private checkHead (req: IncomingMessage): ContentType {
    const headerCount = req.rawHeaders.length / 2
    if (headerCount > this.limits.headerCount) {
      fail(ErrorKind.invalidArgument, `more than ${this.limits.headerCount} headers`)
    }
    if (req.method !== 'POST') fail(ErrorKind.unimplemented, `method ${req.method} is not served; use POST`)
    const type = parseContentType(req.headers['content-type'])
    if (type === undefined) {
      fail(ErrorKind.unsupportedMediaType, `content type ${req.headers['content-type'] ?? 'none'}; use ${ContentType.json} or ${ContentType.proto}`)
    }
    const encoding = req.headers['content-encoding'] ?? 'identity'
    if (encoding !== 'identity') fail(ErrorKind.unimplemented, `content encoding ${encoding}; use identity`)
    const version = req.headers['connect-protocol-version'] ?? PROTOCOL_VERSION
    if (version !== PROTOCOL_VERSION) fail(ErrorKind.invalidArgument, `connect-protocol-version ${String(version)}; use 1`)
    return type
  }

  private identify (req: IncomingMessage): Principal {
    return this.options.authenticate({
      authorization: req.headers.authorization ?? '',
      claimedName: String(req.headers['x-flamingorouter-principal'] ?? ''),
      remoteAddress: req.socket.remoteAddress ?? ''
    })
  }

  private readRequest (req: IncomingMessage): Promise<Uint8Array> {
    const declared = Number(req.headers['content-length'] ?? 0)
    if (declared > this.limits.bodyBytes + this.limits.discardBytes) {
      fail(ErrorKind.payloadTooLarge, `the body has ${declared} bytes, at most ${this.limits.bodyBytes} are taken`)
    }
    return readBody(req, this.limits)
  }

  /** Answers a failure; a connection whose request was not read to its end is closed. */
  private refuse (failure: Failure, unread = false): HTTPResponse {
    const headers = this.headers(ContentType.json)
    if (failure.retryAfterMs > 0) headers['retry-after'] = String(Math.ceil(failure.retryAfterMs / 1000))
    if (failure.kind === ErrorKind.unsupportedMediaType) headers['accept-post'] = `${ContentType.json}, ${ContentType.proto}`
    if (unread) headers.connection = 'close'
    const status = ERROR_ANSWERS[failure.kind].httpStatus
    return new HTTPResponse(JSON.stringify(toWireError(failure)), { status, headers })
  }

  private headers (type: ContentType): Record<string, string> {
    const headers: Record<string, string> = { 'content-type': type }
    // The balancer and pooled clients then move on to another entry by themselves.
    if (this.closing) headers.connection = 'close'
    return headers
  }
}

function toSecureOptions ({ certificate, key, authority }: Keys): SecureContextOptions & { requestCert: boolean } {
  return { cert: certificate, key, ca: authority, requestCert: authority !== undefined, minVersion: 'TLSv1.2' }
}

function requireRole (principal: Principal, rules: MethodRules): void {
  if (rules.roles.some(role => principal.roles.includes(role))) return
  fail(ErrorKind.permissionDenied, `${principal.name} is none of: ${rules.roles.join(', ')}`)
}

function addTraffic (sum: ServerTraffic, socket: Socket): void {
  sum.received += socket.bytesRead
  sum.sent += socket.bytesWritten
}

function checkRequest (rules: MethodRules, type: ContentType, bytes: Uint8Array): Message {
  const request = decodeMessage(rules.method.input, type, bytes)
  const violations: Violation[] = []
  rules.check(request, '', violations)
  if (violations.length > 0) failViolations(violations)
  return request
}

function parseTimeout (header: string | string[] | undefined): number {
  if (header === undefined) return 0
  const timeoutMs = /^\d{1,10}$/.test(String(header)) ? Number(header) : NaN
  if (!(timeoutMs > 0)) fail(ErrorKind.invalidArgument, `connect-timeout-ms ${String(header)}; use 1 to 9999999999`)
  return Math.min(timeoutMs, MAX_TIMEOUT_MS)
}
