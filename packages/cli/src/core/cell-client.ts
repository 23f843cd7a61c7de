/**
 * Client for the calls of the command line to a cell. It rotates over several
 * entries, retries with the same request id, and applies one timeout to all attempts.
 */

import { create, type DescMessage, type DescMethodUnary, type MessageInitShape, type MessageShape } from '@bufbuild/protobuf'
import { RpcClient } from '@flamingorouter/rpc'
import { ERROR_ANSWERS, ErrorKind, Failure, toFailure } from '@flamingorouter/scheduler'

const INITIAL_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 1_000
/** After this time without an answer the next attempt goes to another entry. */
const ATTEMPT_TIMEOUT_MS = 3_000

export interface CellClientOptions {
  /** host:port or URL of each entry. */
  endpoints: readonly string[]
  headers: Readonly<Record<string, string>>
  /** Limit for one call, over all of its attempts. */
  timeoutMs: number
  /** Certificate of the authority that signed the certificates of the entries, in PEM. */
  authority?: string
}

export class CellClient {
  /** Counter that selects the entry, modulo the number of entries; raised after each failed attempt. */
  private endpointIndex = 0

  private constructor (
    private readonly client: RpcClient,
    private readonly options: CellClientOptions
  ) {}

  static create (options: CellClientOptions): CellClient {
    const { headers, authority } = options
    const tls = authority === undefined ? undefined : { authority }
    return new CellClient(RpcClient.create({ connections: 2, headers, tls }), options)
  }

  /**
   * Calls a method and retries it at the next entry after a retryable error, until
   * the timeout. The method must be a read, or a change that its request id makes
   * idempotent. `waitMs` extends the timeout for a method that waits on the server.
   * Throws a Failure when the error is not retryable or the time is used up.
   */
  async call<I extends DescMessage, O extends DescMessage> (
    method: DescMethodUnary<I, O>,
    init: MessageInitShape<I>,
    waitMs = 0
  ): Promise<MessageShape<O>> {
    const request = create(method.input, init)
    const deadlineAt = performance.now() + this.options.timeoutMs + waitMs
    let backoffMs = INITIAL_BACKOFF_MS
    for (;;) {
      const remainingMs = deadlineAt - performance.now()
      try {
        const timeoutMs = Math.max(1, Math.min(remainingMs, ATTEMPT_TIMEOUT_MS + waitMs))
        return await this.client.call(this.selectEndpoint(), method, request, { timeoutMs: Math.ceil(timeoutMs) })
      } catch (thrown) {
        const failure = toFailure(thrown)
        const remainingAfterAttemptMs = deadlineAt - performance.now()
        if (!isRetryable(failure) || remainingAfterAttemptMs <= backoffMs) throw addRetryAdvice(failure, request)
        this.endpointIndex += 1
        await sleep(Math.max(backoffMs, Math.min(failure.retryAfterMs, remainingAfterAttemptMs - 1)))
        backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS)
      }
    }
  }

  async close (): Promise<void> {
    await this.client.destroy()
  }

  private selectEndpoint (): string {
    const { endpoints } = this.options
    return endpoints[this.endpointIndex % endpoints.length]
  }
}

function isRetryable (failure: Failure): boolean {
  return ERROR_ANSWERS[failure.kind].retryable || failure.kind === ErrorKind.deadlineExceeded
}

/** If the change may have been made in spite of the failure, adds to its message the flag with which to repeat the change. */
function addRetryAdvice (failure: Failure, request: object): Failure {
  const { requestId } = request as { requestId?: string }
  if (requestId === undefined || requestId === '' || !isRetryable(failure)) return failure
  const message = `${failure.message}; the change may have been made: repeat it with --request-id ${requestId}`
  return Failure.create(failure.kind, message, { retryAfterMs: failure.retryAfterMs, cause: failure })
}

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, durationMs) })
}
