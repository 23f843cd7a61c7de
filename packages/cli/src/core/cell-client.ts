/**
 * Calls of the command line to a cell: several entries, retries with the same
 * request id, and one time limit over all tries.
 */

import { create, type DescMessage, type DescMethodUnary, type MessageInitShape, type MessageShape } from '@bufbuild/protobuf'
import { RpcClient } from '@flamingorouter/rpc'
import { ERROR_ANSWERS, ErrorKind, Failure, toFailure } from '@flamingorouter/scheduler'

const FIRST_PAUSE_MS = 50
const LONGEST_PAUSE_MS = 1_000
/** An entry that does not answer within this is left for the next one. */
const TRY_MS = 3_000

export interface CellClientOptions {
  /** host:port or URL of each entry. */
  endpoints: readonly string[]
  headers: Readonly<Record<string, string>>
  timeoutMs: number
  /** Authority that signed the certificates of the entries, in PEM. */
  authority?: string
}

export class CellClient {
  /** Index of the entry that answered last. */
  private current = 0

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
   * Calls a method, at one entry after another while a repeat is safe and the
   * time lasts: a read, or a change that its request id makes idempotent.
   * `waitMs` is added for a method that waits by itself.
   */
  async call<I extends DescMessage, O extends DescMessage> (
    method: DescMethodUnary<I, O>,
    init: MessageInitShape<I>,
    waitMs = 0
  ): Promise<MessageShape<O>> {
    const request = create(method.input, init)
    const endsAt = performance.now() + this.options.timeoutMs + waitMs
    let pauseMs = FIRST_PAUSE_MS
    for (;;) {
      const leftMs = endsAt - performance.now()
      try {
        const timeoutMs = Math.max(1, Math.min(leftMs, TRY_MS + waitMs))
        return await this.client.call(this.endpoint(), method, request, { timeoutMs: Math.ceil(timeoutMs) })
      } catch (thrown) {
        const failure = toFailure(thrown)
        const restMs = endsAt - performance.now()
        if (!mayRepeat(failure) || restMs <= pauseMs) throw explain(failure, request)
        this.current += 1
        await sleep(Math.max(pauseMs, Math.min(failure.retryAfterMs, restMs - 1)))
        pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS)
      }
    }
  }

  async close (): Promise<void> {
    await this.client.destroy()
  }

  private endpoint (): string {
    const { endpoints } = this.options
    return endpoints[this.current % endpoints.length]
  }
}

function mayRepeat (failure: Failure): boolean {
  return ERROR_ANSWERS[failure.kind].retryable || failure.kind === ErrorKind.deadlineExceeded
}

/** Adds to a failure whose outcome is open how to ask again. */
function explain (failure: Failure, request: object): Failure {
  const { requestId } = request as { requestId?: string }
  if (requestId === undefined || requestId === '' || !mayRepeat(failure)) return failure
  const message = `${failure.message}; it may have been done: repeat it with --request-id ${requestId}`
  return Failure.create(failure.kind, message, { retryAfterMs: failure.retryAfterMs, cause: failure })
}

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, durationMs) })
}
