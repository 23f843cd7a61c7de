/**
 * Unary calls to other processes over pooled connections, in the binary
 * encoding of the Connect protocol.
 */

import { fromBinary, toBinary, type DescMessage, type DescMethodUnary, type MessageShape } from '@bufbuild/protobuf'
import { Agent, type Dispatcher } from 'undici'
import { ErrorKind, Failure, toFailure } from '@flamingorouter/scheduler'
import { methodName } from '../types/call.js'
import { ContentType } from '../utils/codec.js'
import { fromWireError } from '../utils/wire.js'

const DEFAULT_CONNECTIONS = 64
const DEFAULT_TIMEOUT_MS = 10_000
const DEFAULT_RESPONSE_BYTES = 8 * 1024 * 1024
const CONNECT_TIMEOUT_MS = 3_000
const KEEP_ALIVE_MS = 30_000
const HTTP_OK = 200

/** Codes of errors that come up before a connection stands, so that no byte of the request has left. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED'
])

export interface RpcClientOptions {
  /** Connections to one address at most. */
  connections?: number
  /** Largest response in bytes. */
  responseBytes?: number
  /** Sent with each call. */
  headers?: Readonly<Record<string, string>>
  /** Calls by TLS, where an address is no URL; its certificates must come from this authority. */
  tls?: { authority: string, certificate?: string, key?: string }
}

export interface CallOptions {
  timeoutMs?: number
  headers?: Readonly<Record<string, string>>
  /** Gives the call up. */
  signal?: AbortSignal
}

export class RpcClient {
  private constructor (
    private readonly agent: Agent,
    private readonly scheme: 'http' | 'https',
    private readonly headers: Readonly<Record<string, string>>
  ) {}

  static create (options: RpcClientOptions = {}): RpcClient {
    const { tls } = options
    const agent = new Agent({
      connections: options.connections ?? DEFAULT_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS, ca: tls?.authority, cert: tls?.certificate, key: tls?.key },
      maxResponseSize: options.responseBytes ?? DEFAULT_RESPONSE_BYTES,
      // Each call has its own time limit below.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return new RpcClient(agent, tls === undefined ? 'http' : 'https', options.headers ?? {})
  }

  /**
   * Calls a method at `address`, a host:port or a URL. Throws the Failure that
   * the other end answered; a lost or refused connection is `unavailable` and a
   * time limit `deadlineExceeded`. Whether the request can have arrived is told
   * by isUnsent.
   */
  async call<I extends DescMessage, O extends DescMessage> (
    address: string,
    method: DescMethodUnary<I, O>,
    request: MessageShape<I>,
    options: CallOptions = {}
  ): Promise<MessageShape<O>> {
    const bytes = await this.callRaw(address, methodName(method), toBinary(method.input, request), options)
    return fromBinary(method.output, bytes)
  }

  /** The same with encoded messages. */
  async callRaw (address: string, name: string, body: Uint8Array, options: CallOptions = {}): Promise<Uint8Array> {
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
    const controller = new AbortController()
    const timer = setTimeout(() => {
      controller.abort(Failure.create(ErrorKind.deadlineExceeded, `${address} did not answer within ${timeoutMs} ms`))
    }, timeoutMs)
    const giveUp = (): void => { controller.abort(Failure.create(ErrorKind.cancelled, 'the call was given up')) }
    options.signal?.addEventListener('abort', giveUp, { once: true })
    try {
      if (options.signal?.aborted === true) giveUp()
      return await this.exchange(address, name, body, controller.signal, timeoutMs, options.headers)
    } catch (thrown) {
      throw controller.signal.aborted ? controller.signal.reason : describeLoss(address, thrown)
    } finally {
      clearTimeout(timer)
      options.signal?.removeEventListener('abort', giveUp)
    }
  }

  /** Ends idle connections and waits for calls in flight. */
  async close (): Promise<void> {
    await this.agent.close()
  }

  /** Cuts every connection. */
  async destroy (): Promise<void> {
    await this.agent.destroy()
  }

  private async exchange (
    address: string,
    name: string,
    body: Uint8Array,
    signal: AbortSignal,
    timeoutMs: number,
    headers: Readonly<Record<string, string>> | undefined
  ): Promise<Uint8Array> {
    const request: Dispatcher.RequestOptions = {
      origin: address.includes('://') ? address : `${this.scheme}://${address}`,
      path: `/${name}`,
      method: 'POST',
      headers: {
        'content-type': ContentType.proto,
        'connect-protocol-version': '1',
        'connect-timeout-ms': String(timeoutMs),
        ...this.headers,
        ...headers
      },
      body,
      signal
    }
    const response = await this.agent.request(request)
    if (response.statusCode === HTTP_OK) return new Uint8Array(await response.body.arrayBuffer())
    throw fromWireError(response.statusCode, await response.body.text())
  }
}

/** True when no byte of the failed call can have reached the other end. */
export function isUnsent (failure: unknown): boolean {
  return unsent.has(failure as object)
}

const unsent = new WeakSet<object>()

function describeLoss (address: string, thrown: unknown): Failure {
  const failure = toFailure(thrown)
  if (failure === thrown) return failure
  const code = (thrown as { code?: string }).code ?? ''
  const loss = Failure.create(ErrorKind.unavailable, `${address}: ${code === '' ? String(thrown) : code}`, { cause: thrown as Error })
  if (UNSENT_CODES.has(code)) unsent.add(loss)
  return loss
}
