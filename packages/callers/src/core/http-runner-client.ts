/**
 * Sends requests to runners: RunnerService/Run in the unary shape of the Connect
 * protocol, in its binary encoding, over connections that are kept open. Nothing
 * is ever sent a second time.
 */

import { createHash } from 'node:crypto'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { RunRequestSchema, RunResponseSchema, type RunResponse } from '@flamingorouter/schema'
import { Pool, type Dispatcher } from 'undici'
import { RunnerClient, type Run, type RunEnd } from '../types/clients.js'

const PATH = '/flamingorouter.targets.v1.RunnerService/Run'
const CONTENT_TYPE = 'application/proto'
const HEADERS = Object.freeze({ 'content-type': CONTENT_TYPE, 'connect-protocol-version': '1' })
/** Milliseconds for which an idle connection stays open. */
const IDLE_MS = 4_000
const CONNECT_MS = 1_000
/** Bytes of an answer: a body of 1 MiB and its envelope. */
const ANSWER_LIMIT = 1_048_576 + 4_096
/** Milliseconds after which the connections to a runner that gets no requests are dropped. */
const UNUSED_MS = 60_000

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT'

interface Line {
  pool: Pool
  inFlight: number
  usedAt: number
}

export class HttpRunnerClient extends RunnerClient {
  private readonly lines = new Map<string, Line>()

  static create (): HttpRunnerClient {
    return new HttpRunnerClient()
  }

  private constructor () {
    super()
  }

  override async run (run: Run): Promise<RunEnd> {
    const line = this.line(run.grant.address, run.grant.connections)
    line.inFlight += 1
    const giveUp = new AbortController()
    const timer = setTimeout(() => { giveUp.abort() }, run.giveUpMs)
    try {
      return await send(line.pool, run, giveUp.signal)
    } catch (error) {
      return endOfError(error)
    } finally {
      clearTimeout(timer)
      line.inFlight -= 1
      line.usedAt = performance.now()
      this.dropUnused()
    }
  }

  override async close (): Promise<void> {
    const lines = [...this.lines.values()]
    this.lines.clear()
    await Promise.all(lines.map(line => line.pool.destroy()))
  }

  private line (address: string, connections: number): Line {
    let line = this.lines.get(address)
    if (line === undefined) {
      line = { pool: createPool(address, Math.max(1, connections)), inFlight: 0, usedAt: performance.now() }
      this.lines.set(address, line)
    }
    return line
  }

  private dropUnused (): void {
    const oldest = this.lines.entries().next().value
    if (oldest === undefined) return
    const [address, line] = oldest
    this.lines.delete(address)
    // Moved to the end, so that each is looked at in turn.
    if (line.inFlight > 0 || performance.now() - line.usedAt < UNUSED_MS) this.lines.set(address, line)
    else line.pool.destroy().catch(() => {})
  }
}

function createPool (address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: IDLE_MS,
    connect: { timeout: CONNECT_MS },
    // The time limit of each request is its own.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: ANSWER_LIMIT
  })
}

async function send (pool: Pool, run: Run, signal: AbortSignal): Promise<RunEnd> {
  const message = create(RunRequestSchema, {
    session: run.grant.session,
    grant: run.grant.id,
    caller: run.caller,
    requestId: run.requestId,
    deadlineMs: run.deadlineMs,
    payload: run.payload
  })
  const answer = await pool.request({
    method: 'POST',
    path: PATH,
    headers: { ...HEADERS, 'connect-timeout-ms': String(run.deadlineMs) },
    body: toBinary(RunRequestSchema, message),
    idempotent: false,
    reset: run.grant.connections === 0,
    signal
  })
  const bytes = new Uint8Array(await answer.body.arrayBuffer())
  return read(answer, bytes)
}

function read (answer: Dispatcher.ResponseData, bytes: Uint8Array): RunEnd {
  if (answer.statusCode !== 200) return { kind: 'lost', reason: `the runner answered with status ${answer.statusCode}` }
  if (answer.headers['content-type'] !== CONTENT_TYPE) return { kind: 'lost', reason: 'the runner answered in another encoding' }
  const declared = answer.headers['content-length']
  if (declared !== undefined && Number(declared) !== bytes.length) return { kind: 'lost', reason: 'the answer is not whole' }
  return readResponse(fromBinary(RunResponseSchema, bytes))
}

function readResponse (response: RunResponse): RunEnd {
  if (response.refused) return { kind: 'notRun', reason: `the runner refused: ${response.reason}` }
  const digest = createHash('sha256').update(response.body).digest('hex')
  if (digest !== response.digest) return { kind: 'lost', reason: 'the digest of the answer is wrong' }
  return { kind: 'answered', body: response.body, digest }
}

function endOfError (error: unknown): RunEnd {
  const reason = error instanceof Error ? error.message : String(error)
  return isUnsent(error) ? { kind: 'notRun', reason } : { kind: 'lost', reason }
}

/** Only a connection that was never made proves that no byte left. */
function isUnsent (error: unknown): boolean {
  const { code, syscall } = error as { code?: string, syscall?: string }
  return syscall === 'connect' || code === CONNECT_TIMEOUT_CODE
}
