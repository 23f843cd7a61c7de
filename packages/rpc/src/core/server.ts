/**
 * The HTTP interface: unary calls of the Connect protocol on an h3 application over one
 * node:http server, and plain GET routes beside them.
 *
 * The checks of a call run in this order, and the first that fails determines the answer:
 * path, number of headers, HTTP method, content type, content encoding, protocol version,
 * authentication, role, whether this process serves the method, time limit, size of the
 * body, schema of the message, rules on its fields. No part of a body is read before the
 * caller is authenticated.
 */

import { createServer as createHttpServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import { createServer as createHttpsServer, type Server as HttpsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { SecureContextOptions } from 'node:tls'
import { H3, HTTPResponse, toNodeHandler, type H3Event } from 'h3'
import { toBinary, type Message } from '@bufbuild/protobuf'
import { ERROR_ANSWERS, ErrorKind, Failure, fail, toFailure } from '@flamingorouter/scheduler'
import { getMethodName, type MethodRules, type RpcHandler } from '../types/call.js'
import type { ServerKeys } from '../types/server-keys.js'
import { DEFAULT_RPC_LIMITS, type RpcLimits } from '../types/limits.js'
import type { Authenticate, Principal } from '../types/principal.js'
import type { Violation } from '../types/violation.js'
import { readBody } from '../utils/read-body.js'
import { ContentType, decodeMessage, encodeResult, parseContentType } from '../utils/codec.js'
import { runWithCancellation } from '../utils/run-with-cancellation.js'
import { refuseConnection } from '../utils/refuse-connection.js'
import { failViolations, toWireError } from '../utils/wire-error.js'

/** How often open connections are checked against the time limits, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000
/** Longest delay that setTimeout accepts. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1
const PROTOCOL_VERSION = '1'

/** A finished call of a method that the server knows, for logs and metrics. */
export interface CallRecord {
  /** Full method name. */
  name: string
  /** Name of the caller; empty when it was not authenticated. */
  principal: string
  remoteAddress: string
  durationMs: number
  requestBytes: number
  /** Absent when the call succeeded. */
  failure?: Failure
}

/** Response of a plain GET route; `type` is its content type. */
export interface PlainResponse { status: number, type: string, body: string }

export interface RpcServerOptions {
  /** Rules of every method that the server knows; a call of another method is answered with `unimplemented`. */
  methodRules: readonly MethodRules[]
  /** Handlers by full method name; a method without one is answered with `unimplemented`. */
  handlers: ReadonlyMap<string, RpcHandler>
  authenticate: Authenticate
  limits?: Partial<RpcLimits>
  /** Plain GET routes by path, for example for health and metrics; served without authentication. */
  pages?: ReadonlyMap<string, () => PlainResponse | Promise<PlainResponse>>
  /** Called with the record of each finished call. */
  handleCallRecord?: (record: CallRecord) => void
  /** Called when a connection cannot be accepted, for example because the process has too many open files. */
  handleError?: (error: Error) => void
  /** Serves TLS with these keys; plain HTTP when absent. */
  keys?: ServerKeys
}

/** Bytes received and sent over all connections since the server was created. */
export interface ServerTraffic { received: number, sent: number }

export class RpcServer {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  /** Bytes of the connections that are closed. */
  private readonly closedTraffic: ServerTraffic = { received: 0, sent: 0 }
  private isClosing = false

  private constructor (
    private readonly options: RpcServerOptions,
    private readonly limits: RpcLimits
  ) {
    this.server = this.createServer()
    // node:http drops the headers past its maximum without an error. The maximum is one above
    // the limit, so that checkHeaders can detect and refuse a request that exceeds the limit.
    this.server.maxHeadersCount = limits.headerCount + 1
    this.server.maxConnections = limits.connections
    // Without a listener, a failure to accept a connection would end the process.
    this.server.on('error', error => { options.handleError?.(error) })
    this.server.on('clientError', (error, socket) => { refuseConnection(error, socket as Socket) })
    const connectionEvent = options.keys === undefined ? 'connection' : 'secureConnection'
    this.server.on(connectionEvent, (socket: Socket) => { this.trackConnection(socket) })
  }

  static create (options: RpcServerOptions): RpcServer {
    return new RpcServer(options, { ...DEFAULT_RPC_LIMITS, ...options.limits })
  }

  /** Starts to listen; resolves to the port, which the operating system chooses for port 0. */
  listen (address: { host: string, port: number }): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(address.port, address.host, () => {
        resolve((this.server.address() as AddressInfo).port)
      })
    })
  }

  /**
   * Accepts no new connections, closes idle ones, and resolves when the calls in flight are
   * answered. Connections that are still open after the close timeout are closed.
   */
  async close (): Promise<void> {
    this.isClosing = true
    const closed = new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
    const timer = setTimeout(() => { this.server.closeAllConnections() }, this.limits.closeTimeoutMs)
    await closed
    clearTimeout(timer)
  }

  /**
   * Uses other keys for new connections; open connections keep theirs. Whether clients
   * must present certificates does not change after the start.
   */
  replaceKeys (keys: ServerKeys): void {
    (this.server as HttpsServer).setSecureContext(toSecureOptions(keys))
  }

  get traffic (): ServerTraffic {
    const { received, sent } = this.closedTraffic
    const total = { received, sent }
    for (const socket of this.sockets) addTraffic(total, socket)
    return total
  }

  private trackConnection (socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => {
      this.sockets.delete(socket)
      addTraffic(this.closedTraffic, socket)
    })
  }

  private createServer (): Server {
    const { limits, options } = this
    const common: ServerOptions = {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.keepAliveMs,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
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
    for (const rules of this.options.methodRules) {
      app.all(`/${getMethodName(rules.method)}`, event => this.handleCall(event, rules))
    }
    app.all('/**', event => this.handleUnknownPath(event))
    return app
  }

  private handleUnknownPath (event: H3Event): HTTPResponse {
    const { req } = event.runtime?.node as { req: IncomingMessage }
    return this.createErrorResponse(Failure.create(ErrorKind.unimplemented, `there is no method at path ${event.url.pathname}`), !req.complete)
  }

  private async handleCall (event: H3Event, rules: MethodRules): Promise<HTTPResponse> {
    const startedAt = performance.now()
    const { req, res } = event.runtime?.node as { req: IncomingMessage, res: ServerResponse }
    const record: CallRecord = {
      name: getMethodName(rules.method),
      principal: '',
      remoteAddress: req.socket.remoteAddress ?? '',
      durationMs: 0,
      requestBytes: 0
    }
    let response: HTTPResponse
    try {
      response = await this.execute(req, res, rules, record)
    } catch (thrown) {
      record.failure = toFailure(thrown)
      response = this.createErrorResponse(record.failure, !req.complete)
    }
    record.durationMs = performance.now() - startedAt
    this.options.handleCallRecord?.(record)
    return response
  }

  private async execute (
    req: IncomingMessage,
    res: ServerResponse,
    rules: MethodRules,
    record: CallRecord
  ): Promise<HTTPResponse> {
    const type = this.checkHeaders(req)
    const principal = this.authenticate(req)
    record.principal = principal.name
    requireRole(principal, rules)
    const handler = this.options.handlers.get(record.name)
    if (handler === undefined) fail(ErrorKind.unimplemented, `this process does not serve ${record.name}`)
    const timeoutMs = parseTimeout(req.headers['connect-timeout-ms'])
    const bytes = await this.readRequest(req)
    record.requestBytes = bytes.length
    const request = decodeRequest(rules, type, bytes)
    const body = type === ContentType.proto ? bytes : toBinary(rules.method.input, request)
    const closed = new Promise<void>(resolve => { res.once('close', () => { resolve() }) })
    const result = await runWithCancellation(res, timeoutMs, signal =>
      handler({ name: record.name, method: rules.method, request, body, principal, timeoutMs, signal, closed }))
    const encoded = encodeResult(rules.method.output, type, result)
    return new HTTPResponse(encoded as ConstructorParameters<typeof HTTPResponse>[0], { headers: this.createHeaders(type) })
  }

  private checkHeaders (req: IncomingMessage): ContentType {
    const headerCount = req.rawHeaders.length / 2
    if (headerCount > this.limits.headerCount) {
      fail(ErrorKind.invalidArgument, `the request has more than ${this.limits.headerCount} headers`)
    }
    if (req.method !== 'POST') fail(ErrorKind.unimplemented, `HTTP method ${req.method} is not supported; use POST`)
    const type = parseContentType(req.headers['content-type'])
    if (type === undefined) {
      fail(ErrorKind.unsupportedMediaType, `unsupported content type ${req.headers['content-type'] ?? 'none'}; use ${ContentType.json} or ${ContentType.proto}`)
    }
    const encoding = req.headers['content-encoding'] ?? 'identity'
    if (encoding !== 'identity') fail(ErrorKind.unimplemented, `unsupported content encoding ${encoding}; use identity`)
    const version = req.headers['connect-protocol-version'] ?? PROTOCOL_VERSION
    if (version !== PROTOCOL_VERSION) fail(ErrorKind.invalidArgument, `unsupported connect-protocol-version ${String(version)}; use 1`)
    return type
  }

  private authenticate (req: IncomingMessage): Principal {
    return this.options.authenticate({
      authorization: req.headers.authorization ?? '',
      claimedName: String(req.headers['x-flamingorouter-principal'] ?? ''),
      remoteAddress: req.socket.remoteAddress ?? ''
    })
  }

  private readRequest (req: IncomingMessage): Promise<Uint8Array> {
    const declaredBytes = Number(req.headers['content-length'] ?? 0)
    if (declaredBytes > this.limits.bodyBytes + this.limits.discardBytes) {
      fail(ErrorKind.payloadTooLarge, `the body has ${declaredBytes} bytes, the limit is ${this.limits.bodyBytes} bytes`)
    }
    return readBody(req, this.limits)
  }

  /** Creates the response for a failure; `isUnread` closes a connection whose request was not read completely. */
  private createErrorResponse (failure: Failure, isUnread = false): HTTPResponse {
    const headers = this.createHeaders(ContentType.json)
    if (failure.retryAfterMs > 0) headers['retry-after'] = String(Math.ceil(failure.retryAfterMs / 1000))
    if (failure.kind === ErrorKind.unsupportedMediaType) headers['accept-post'] = `${ContentType.json}, ${ContentType.proto}`
    if (isUnread) headers.connection = 'close'
    const status = ERROR_ANSWERS[failure.kind].httpStatus
    return new HTTPResponse(JSON.stringify(toWireError(failure)), { status, headers })
  }

  private createHeaders (type: ContentType): Record<string, string> {
    const headers: Record<string, string> = { 'content-type': type }
    // While the server closes, this makes load balancers and pooled clients reconnect to another entry.
    if (this.isClosing) headers.connection = 'close'
    return headers
  }
}

function toSecureOptions ({ certificate, key, authority }: ServerKeys): SecureContextOptions & { requestCert: boolean } {
  return { cert: certificate, key, ca: authority, requestCert: authority !== undefined, minVersion: 'TLSv1.2' }
}

function requireRole (principal: Principal, rules: MethodRules): void {
  if (rules.roles.some(role => principal.roles.includes(role))) return
  fail(ErrorKind.permissionDenied, `${principal.name} has none of the required roles: ${rules.roles.join(', ')}`)
}

function addTraffic (total: ServerTraffic, socket: Socket): void {
  total.received += socket.bytesRead
  total.sent += socket.bytesWritten
}

/** Decodes a request and throws a Failure that lists every field that breaks a rule. */
function decodeRequest (rules: MethodRules, type: ContentType, bytes: Uint8Array): Message {
  const request = decodeMessage(rules.method.input, type, bytes)
  const violations: Violation[] = []
  rules.check(request, '', violations)
  if (violations.length > 0) failViolations(violations)
  return request
}

/** The time limit in milliseconds; 0 without the header. */
function parseTimeout (header: string | string[] | undefined): number {
  if (header === undefined) return 0
  const timeoutMs = /^\d{1,10}$/.test(String(header)) ? Number(header) : NaN
  if (!(timeoutMs > 0)) fail(ErrorKind.invalidArgument, `invalid connect-timeout-ms ${String(header)}; use 1 to 9999999999`)
  return Math.min(timeoutMs, MAX_TIMEOUT_MS)
}
