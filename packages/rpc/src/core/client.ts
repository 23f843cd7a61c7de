/**
 * Unary calls to other processes over pooled connections, in the binary encoding of the
 * Connect protocol.
 */

import { fromBinary, toBinary, type DescMessage, type DescMethodUnary, type MessageShape } from '@bufbuild/protobuf'
import { Agent, type Dispatcher } from 'undici'
import { ErrorKind, Failure, toFailure } from '@flamingorouter/scheduler'
import { getMethodName } from '../types/call.js'
import { ContentType } from '../utils/codec.js'
import { fromWireError } from '../utils/wire-error.js'

const DEFAULT_CONNECTIONS = 64
const DEFAULT_TIMEOUT_MS = 10_000
const DEFAULT_RESPONSE_BYTES = 8 * 1024 * 1024
const CONNECT_TIMEOUT_MS = 3_000
const KEEP_ALIVE_MS = 30_000
const HTTP_OK = 200

/** System calls that come before a connection is established. */
const CONNECTION_SYSCALLS: ReadonlySet<string> = new Set(['connect', 'getaddrinfo'])

/**
 * Codes of errors before a connection is established. The code of a destroyed client is not among them: a call in flight
 * fails with it too.
 */
const UNSENT_CODES: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_CLOSED'])

export interface RpcClientOptions {
  /** Largest number of connections to one address. */
  connections?: number
  /** Largest response in bytes. */
  responseBytes?: number
  /** Headers that are sent with each call. */
  headers?: Readonly<Record<string, string>>
  /**
   * Uses TLS for addresses without a scheme; the authority must have signed the certificates
   * of the servers. Plain HTTP when absent.
   */
  tls?: { authority: string, certificate?: string, key?: string }
}

export interface CallOptions {
  timeoutMs?: number
  headers?: Readonly<Record<string, string>>
  /** Cancels the call. */
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
      // Each call has its own time limit in callRaw.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return new RpcClient(agent, tls === undefined ? 'http' : 'https', options.headers ?? {})
  }

  /**
   * Calls a method at `address`, a host:port or a URL. Rejects with the Failure that the
   * server answered. A lost or refused connection gives `unavailable`, an exceeded time
   * limit `deadlineExceeded`, and an aborted signal `cancelled`. `isUnsent` is true for
   * a failure after which the request cannot have arrived.
   */
  async call<I extends DescMessage, O extends DescMessage> (
    address: string,
    method: DescMethodUnary<I, O>,
    request: MessageShape<I>,
    options: CallOptions = {}
  ): Promise<MessageShape<O>> {
    const bytes = await this.callRaw(address, getMethodName(method), toBinary(method.input, request), options)
    return fromBinary(method.output, bytes)
  }

  /** Like `call`, but takes the full name of the method and the encoded request, and resolves to the encoded response. */
  async callRaw (address: string, name: string, body: Uint8Array, options: CallOptions = {}): Promise<Uint8Array> {
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
    const controller = new AbortController()
    const timer = setTimeout(() => {
      controller.abort(Failure.create(ErrorKind.deadlineExceeded, `${address} did not answer within ${timeoutMs} ms`))
    }, timeoutMs)
    const cancel = (): void => { controller.abort(Failure.create(ErrorKind.cancelled, 'the call was cancelled by its caller')) }
    options.signal?.addEventListener('abort', cancel, { once: true })
    try {
      if (options.signal?.aborted === true) cancel()
      return await this.exchange(address, name, body, controller.signal, timeoutMs, options.headers)
    } catch (thrown) {
      throw controller.signal.aborted ? controller.signal.reason : toConnectionFailure(address, thrown)
    } finally {
      clearTimeout(timer)
      options.signal?.removeEventListener('abort', cancel)
    }
  }

  /** Closes idle connections and waits for calls in flight. */
  async close (): Promise<void> {
    await this.agent.close()
  }

  /** Closes every connection; calls in flight fail. */
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

/** True when it is certain that no byte of the failed call was sent. */
export function isUnsent (failure: unknown): boolean {
  return unsentFailures.has(failure as object)
}

const unsentFailures = new WeakSet<object>()

function toConnectionFailure (address: string, thrown: unknown): Failure {
  const failure = toFailure(thrown)
  if (failure === thrown) return failure
  const code = (thrown as { code?: string }).code ?? ''
  const connectionFailure = Failure.create(ErrorKind.unavailable, `${address}: ${code === '' ? String(thrown) : code}`, { cause: thrown as Error })
  if (isBeforeConnection(thrown)) unsentFailures.add(connectionFailure)
  return connectionFailure
}

/** The code alone proves nothing: a network that becomes unreachable also ends established connections. */
function isBeforeConnection (thrown: unknown): boolean {
  // Node tries all addresses of a name and reports their errors together.
  if (thrown instanceof AggregateError) return thrown.errors.every(isBeforeConnection)
  const { code, syscall } = thrown as { code?: string, syscall?: string }
  return CONNECTION_SYSCALLS.has(syscall ?? '') || UNSENT_CODES.has(code ?? '')
}
