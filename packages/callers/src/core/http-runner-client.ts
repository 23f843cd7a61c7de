/**
 * Sends requests to runners: RunnerService/Run as a unary call of the Connect protocol, in
 * its binary encoding, over connections that are kept alive. A request is never retried here:
 * whether it may be sent again depends on the outcome, which the submission reports to the
 * leader.
 */

import { createHash } from 'node:crypto'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { RunRequestSchema, RunResponseSchema, type RunResponse } from '@flamingorouter/schema'
import { Pool, type Dispatcher } from 'undici'
import { RunnerClient, type RunnerCall, type RunnerCallResult } from '../types/clients.js'

const RUN_PATH = '/flamingorouter.targets.v1.RunnerService/Run'
const CONTENT_TYPE = 'application/proto'
const HEADERS = Object.freeze({ 'content-type': CONTENT_TYPE, 'connect-protocol-version': '1' })
/** Milliseconds for which an idle connection stays open; must be below IDLE_CONNECTION_TIMEOUT_MS of the scheduler. */
const KEEP_ALIVE_MS = 4_000
const CONNECT_TIMEOUT_MS = 1_000
/** Largest answer: a body of 1 MiB and the fields around it. */
const MAX_ANSWER_BYTES = 1_048_576 + 4_096
/** Milliseconds after which the connections to a runner that receives no requests are closed. */
const POOL_UNUSED_LIMIT_MS = 60_000

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT'

/** The connections to one runner. */
interface RunnerPool {
  pool: Pool
  inFlight: number
  /** Monotonic time in milliseconds at which the last request ended; before that, at which the pool was created. */
  lastUsedAt: number
}

export class HttpRunnerClient extends RunnerClient {
  private readonly pools = new Map<string, RunnerPool>()

  static create (): HttpRunnerClient {
    return new HttpRunnerClient()
  }

  private constructor () {
    super()
  }

  override async run (call: RunnerCall): Promise<RunnerCallResult> {
    const runnerPool = this.getPool(call.grant.address, call.grant.connections)
    runnerPool.inFlight += 1
    const timeout = new AbortController()
    const timer = setTimeout(() => { timeout.abort() }, call.answerTimeoutMs)
    try {
      return await send(runnerPool.pool, call, timeout.signal)
    } catch (error) {
      return toFailedResult(error)
    } finally {
      clearTimeout(timer)
      runnerPool.inFlight -= 1
      runnerPool.lastUsedAt = performance.now()
      this.closeUnusedPool()
    }
  }

  override async close (): Promise<void> {
    const runnerPools = [...this.pools.values()]
    this.pools.clear()
    await Promise.all(runnerPools.map(runnerPool => runnerPool.pool.destroy()))
  }

  private getPool (address: string, connections: number): RunnerPool {
    let runnerPool = this.pools.get(address)
    if (runnerPool === undefined) {
      runnerPool = { pool: createPool(address, Math.max(1, connections)), inFlight: 0, lastUsedAt: performance.now() }
      this.pools.set(address, runnerPool)
    }
    return runnerPool
  }

  /** Examines the pool at the front and closes it if it has been unused for too long. */
  private closeUnusedPool (): void {
    const oldest = this.pools.entries().next().value
    if (oldest === undefined) return
    const [address, runnerPool] = oldest
    this.pools.delete(address)
    // A pool that stays is moved to the end, so that successive calls examine every pool in turn.
    if (runnerPool.inFlight > 0 || performance.now() - runnerPool.lastUsedAt < POOL_UNUSED_LIMIT_MS) this.pools.set(address, runnerPool)
    else runnerPool.pool.destroy().catch(() => {})
  }
}

function createPool (address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    // Each request has its own time limit, enforced by its abort signal.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAX_ANSWER_BYTES
  })
}

async function send (pool: Pool, call: RunnerCall, signal: AbortSignal): Promise<RunnerCallResult> {
  const message = create(RunRequestSchema, {
    session: call.grant.session,
    grant: call.grant.id,
    caller: call.caller,
    requestId: call.requestId,
    deadlineMs: call.deadlineMs,
    payload: call.payload
  })
  const answer = await pool.request({
    method: 'POST',
    path: RUN_PATH,
    headers: { ...HEADERS, 'connect-timeout-ms': String(call.deadlineMs) },
    body: toBinary(RunRequestSchema, message),
    idempotent: false,
    // An entry whose share of the runner's connections is 0 closes the connection after use.
    reset: call.grant.connections === 0,
    signal
  })
  const bytes = new Uint8Array(await answer.body.arrayBuffer())
  return readAnswer(answer, bytes)
}

function readAnswer (answer: Dispatcher.ResponseData, bytes: Uint8Array): RunnerCallResult {
  if (answer.statusCode !== 200) return { kind: 'lost', reason: `the runner answered with status ${answer.statusCode}` }
  if (answer.headers['content-type'] !== CONTENT_TYPE) return { kind: 'lost', reason: 'the runner answered in another encoding' }
  const declaredLength = answer.headers['content-length']
  if (declaredLength !== undefined && Number(declaredLength) !== bytes.length) return { kind: 'lost', reason: 'the length of the answer differs from its content-length header' }
  return readResponse(fromBinary(RunResponseSchema, bytes))
}

function readResponse (response: RunResponse): RunnerCallResult {
  if (response.refused) return { kind: 'notRun', reason: `the runner refused: ${response.reason}` }
  const digest = createHash('sha256').update(response.body).digest('hex')
  if (digest !== response.digest) return { kind: 'lost', reason: 'the digest of the answer does not match its body' }
  return { kind: 'answered', body: response.body, digest }
}

function toFailedResult (error: unknown): RunnerCallResult {
  const reason = error instanceof Error ? error.message : String(error)
  return isUnsent(error) ? { kind: 'notRun', reason } : { kind: 'lost', reason }
}

/** True when the connection was never established, the only proof that no byte was sent. */
function isUnsent (error: unknown): boolean {
  const { code, syscall } = error as { code?: string, syscall?: string }
  return syscall === 'connect' || code === CONNECT_TIMEOUT_CODE
}
