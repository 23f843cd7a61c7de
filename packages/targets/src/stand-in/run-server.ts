/**
 * Serves RunnerService/Run over HTTP, in both encodings of the Connect protocol,
 * and records every request that it runs or refuses in a journal.
 */

import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { create, fromBinary, fromJsonString, toBinary, toJsonString } from '@bufbuild/protobuf'
import { RunRequestSchema, RunResponseSchema, type RunRequest, type RunResponse } from '@flamingorouter/schema'
import { RunnerBehaviour, type RequestPlanner } from './runner-behaviour.js'
import { RunEvent, type JournalWriter } from './run-journal.js'

const RUN_PATH = '/flamingorouter.targets.v1.RunnerService/Run'
const BINARY_TYPE = 'application/proto'
const JSON_TYPE = 'application/json'
/** Large enough for a payload of 1 MiB and its envelope in either encoding; JSON is the larger one. */
const REQUEST_LIMIT_BYTES = 2_097_152
/** Time after which an idle connection is closed; longer than the idle timeout of an entry, so that the entry closes first. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000

export interface RunServerOptions {
  name: string
  journal: JournalWriter
  plan: RequestPlanner
  /** Current session of the runner; requests for another session are refused. If it is empty, requests for any session are accepted. */
  getSession: () => string
}

export class RunServer {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private runningCount = 0

  static create (options: RunServerOptions): RunServer {
    return new RunServer(options)
  }

  private constructor (private readonly options: RunServerOptions) {
    this.server = createServer((request, response) => { this.handleRequest(request, response) })
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
  }

  get inFlight (): number {
    return this.runningCount
  }

  /** Listens on an address; port 0 selects a free port. Resolves to host:port. */
  async listen (host: string, port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    return `${host}:${(this.server.address() as AddressInfo).port}`
  }

  /** Closes all connections at once, as a crash of the process would. */
  async kill (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    readBody(request).then(async bytes => {
      await this.answer(request, response, bytes)
    }).catch(() => { response.destroy() })
  }

  private async answer (request: IncomingMessage, response: ServerResponse, bytes: Uint8Array): Promise<void> {
    if (request.url !== RUN_PATH) return sendError(response, 404, 'unimplemented')
    const isJson = request.headers['content-type']?.startsWith(JSON_TYPE) === true
    const message = isJson ? fromJsonString(RunRequestSchema, Buffer.from(bytes).toString()) : fromBinary(RunRequestSchema, bytes)
    const session = this.options.getSession()
    if (session !== '' && message.session !== session) return this.refuse(response, message, isJson, 'the request is for another session')
    await this.run(response, message, isJson)
  }

  private async run (response: ServerResponse, message: RunRequest, isJson: boolean): Promise<void> {
    const { behaviour, workMs } = this.options.plan(message)
    if (behaviour === RunnerBehaviour.cutBefore) return closeConnection(response)
    if (behaviour === RunnerBehaviour.refuse) return this.refuse(response, message, isJson, 'refused by the request plan')
    this.runningCount += 1
    this.recordEvent(RunEvent.begin, message)
    // A runner must end a request at its deadline at the latest.
    await pause(Math.min(workMs, message.deadlineMs))
    this.runningCount -= 1
    this.recordEvent(RunEvent.end, message)
    if (workMs > message.deadlineMs) return sendError(response, 504, 'deadline_exceeded')
    sendOutcome(response, message, isJson, behaviour)
  }

  private refuse (response: ServerResponse, message: RunRequest, isJson: boolean, reason: string): void {
    this.recordEvent(RunEvent.refused, message)
    send(response, create(RunResponseSchema, { refused: true, reason }), isJson)
  }

  private recordEvent (event: RunEvent, message: RunRequest): void {
    this.options.journal({
      event,
      runner: this.options.name,
      session: message.session,
      grant: message.grant,
      caller: message.caller,
      requestId: message.requestId,
      at: Date.now(),
      running: this.runningCount,
      connections: this.sockets.size
    })
  }
}

function sendOutcome (response: ServerResponse, message: RunRequest, isJson: boolean, behaviour: RunnerBehaviour): void {
  const body = message.payload
  switch (behaviour) {
    case RunnerBehaviour.fail: return sendError(response, 500, 'internal')
    case RunnerBehaviour.cutAfter: return closeConnection(response)
    case RunnerBehaviour.wrongDigest: return send(response, create(RunResponseSchema, { body, digest: computeDigest(new Uint8Array([0])) }), isJson)
    case RunnerBehaviour.truncate: return truncate(response, createResponse(body), isJson)
    case RunnerBehaviour.answerTwice: return answerTwice(response, createResponse(body), isJson)
    default: return send(response, createResponse(body), isJson)
  }
}

function createResponse (body: Uint8Array): RunResponse {
  return create(RunResponseSchema, { body, digest: computeDigest(body) })
}

function encode (message: RunResponse, isJson: boolean): Uint8Array {
  return isJson ? Buffer.from(toJsonString(RunResponseSchema, message)) : toBinary(RunResponseSchema, message)
}

function send (response: ServerResponse, message: RunResponse, isJson: boolean): void {
  const bytes = encode(message, isJson)
  response.writeHead(200, { 'content-type': isJson ? JSON_TYPE : BINARY_TYPE, 'content-length': bytes.length })
  response.end(bytes)
}

function truncate (response: ServerResponse, message: RunResponse, isJson: boolean): void {
  const bytes = encode(message, isJson)
  response.writeHead(200, { 'content-type': isJson ? JSON_TYPE : BINARY_TYPE, 'content-length': bytes.length })
  response.write(bytes.subarray(0, bytes.length >> 1), () => { response.destroy() })
}

/** Sends the answer, and then an unsolicited second copy on the same connection. */
function answerTwice (response: ServerResponse, message: RunResponse, isJson: boolean): void {
  const bytes = encode(message, isJson)
  const type = isJson ? JSON_TYPE : BINARY_TYPE
  const header = `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\ncontent-length: ${bytes.length}\r\n\r\n`
  const { socket } = response
  send(response, message, isJson)
  socket?.write(Buffer.concat([Buffer.from(header), bytes]))
}

function sendError (response: ServerResponse, status: number, code: string): void {
  response.writeHead(status, { 'content-type': JSON_TYPE })
  response.end(JSON.stringify({ code, message: 'error response of the stand-in runner' }))
}

function closeConnection (response: ServerResponse): void {
  response.destroy()
}

function computeDigest (body: Uint8Array): string {
  return createHash('sha256').update(body).digest('hex')
}

async function readBody (request: IncomingMessage): Promise<Uint8Array> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request) {
    length += chunk.length
    if (length > REQUEST_LIMIT_BYTES) throw new Error('the request body exceeds the size limit')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

async function pause (ms: number): Promise<void> {
  if (ms > 0) await new Promise(resolve => { setTimeout(resolve, ms) })
}
