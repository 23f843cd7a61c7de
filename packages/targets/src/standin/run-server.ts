/**
 * Serves RunnerService/Run over HTTP, in both encodings of the Connect protocol,
 * and keeps a journal of every request that it ran.
 */

import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { create, fromBinary, fromJsonString, toBinary, toJsonString } from '@bufbuild/protobuf'
import { RunRequestSchema, RunResponseSchema, type RunRequest, type RunResponse } from '@flamingorouter/schema'
import { Behaviour, type Planner } from './behaviour.js'
import { RunEvent, type Journal } from './journal.js'

const PATH = '/flamingorouter.targets.v1.RunnerService/Run'
const BINARY = 'application/proto'
const JSON_TYPE = 'application/json'
/** Bytes of a request: a payload of 1 MiB and its envelope, in JSON at worst. */
const REQUEST_LIMIT = 2_097_152
/** Milliseconds for which an idle connection stays open, longer than an entry keeps it. */
const KEEP_ALIVE_MS = 30_000

export interface RunServerOptions {
  name: string
  journal: Journal
  plan: Planner
  /** Session of the runner; a request of another one is refused. Empty takes all. */
  session: () => string
}

export class RunServer {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private running = 0

  static create (options: RunServerOptions): RunServer {
    return new RunServer(options)
  }

  private constructor (private readonly options: RunServerOptions) {
    this.server = createServer((request, response) => { this.take(request, response) })
    this.server.keepAliveTimeout = KEEP_ALIVE_MS
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
  }

  get inFlight (): number {
    return this.running
  }

  /** Listens on an address; port 0 takes a free one. Resolves to host:port. */
  async listen (host: string, port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    return `${host}:${(this.server.address() as AddressInfo).port}`
  }

  /** Cuts all connections at once, as a process that dies. */
  async die (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private take (request: IncomingMessage, response: ServerResponse): void {
    readBody(request).then(async bytes => {
      await this.answer(request, response, bytes)
    }).catch(() => { response.destroy() })
  }

  private async answer (request: IncomingMessage, response: ServerResponse, bytes: Uint8Array): Promise<void> {
    if (request.url !== PATH) return sendError(response, 404, 'unimplemented')
    const isJson = request.headers['content-type']?.startsWith(JSON_TYPE) === true
    const message = isJson ? fromJsonString(RunRequestSchema, Buffer.from(bytes).toString()) : fromBinary(RunRequestSchema, bytes)
    const session = this.options.session()
    if (session !== '' && message.session !== session) return this.refuse(response, message, isJson, 'another session')
    await this.run(response, message, isJson)
  }

  private async run (response: ServerResponse, message: RunRequest, isJson: boolean): Promise<void> {
    const { behaviour, workMs } = this.options.plan(message)
    if (behaviour === Behaviour.cutBefore) return destroy(response)
    if (behaviour === Behaviour.refuse) return this.refuse(response, message, isJson, 'it was told to')
    this.running += 1
    this.write(RunEvent.begin, message)
    // Work is over by the deadline at the latest, as the contract of a runner says.
    await pause(Math.min(workMs, message.deadlineMs))
    this.running -= 1
    this.write(RunEvent.end, message)
    if (workMs > message.deadlineMs) return sendError(response, 504, 'deadline_exceeded')
    finish(response, message, isJson, behaviour)
  }

  private refuse (response: ServerResponse, message: RunRequest, isJson: boolean, reason: string): void {
    this.write(RunEvent.refused, message)
    send(response, create(RunResponseSchema, { refused: true, reason }), isJson)
  }

  private write (event: RunEvent, message: RunRequest): void {
    this.options.journal({
      event,
      runner: this.options.name,
      session: message.session,
      grant: message.grant,
      caller: message.caller,
      requestId: message.requestId,
      at: Date.now(),
      running: this.running,
      connections: this.sockets.size
    })
  }
}

function finish (response: ServerResponse, message: RunRequest, isJson: boolean, behaviour: Behaviour): void {
  const body = message.payload
  switch (behaviour) {
    case Behaviour.fail: return sendError(response, 500, 'internal')
    case Behaviour.cutAfter: return destroy(response)
    case Behaviour.wrongDigest: return send(response, create(RunResponseSchema, { body, digest: digestOf(new Uint8Array([0])) }), isJson)
    case Behaviour.truncate: return truncate(response, whole(body), isJson)
    case Behaviour.answerTwice: return answerTwice(response, whole(body), isJson)
    default: return send(response, whole(body), isJson)
  }
}

function whole (body: Uint8Array): RunResponse {
  return create(RunResponseSchema, { body, digest: digestOf(body) })
}

function encode (message: RunResponse, isJson: boolean): Uint8Array {
  return isJson ? Buffer.from(toJsonString(RunResponseSchema, message)) : toBinary(RunResponseSchema, message)
}

function send (response: ServerResponse, message: RunResponse, isJson: boolean): void {
  const bytes = encode(message, isJson)
  response.writeHead(200, { 'content-type': isJson ? JSON_TYPE : BINARY, 'content-length': bytes.length })
  response.end(bytes)
}

function truncate (response: ServerResponse, message: RunResponse, isJson: boolean): void {
  const bytes = encode(message, isJson)
  response.writeHead(200, { 'content-type': isJson ? JSON_TYPE : BINARY, 'content-length': bytes.length })
  response.write(bytes.subarray(0, bytes.length >> 1), () => { response.destroy() })
}

/** Writes a second answer to the connection that nobody asked for. */
function answerTwice (response: ServerResponse, message: RunResponse, isJson: boolean): void {
  const bytes = encode(message, isJson)
  const type = isJson ? JSON_TYPE : BINARY
  const head = `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\ncontent-length: ${bytes.length}\r\n\r\n`
  const { socket } = response
  send(response, message, isJson)
  socket?.write(Buffer.concat([Buffer.from(head), bytes]))
}

function sendError (response: ServerResponse, status: number, code: string): void {
  response.writeHead(status, { 'content-type': JSON_TYPE })
  response.end(JSON.stringify({ code, message: 'the stand-in runner was told to' }))
}

function destroy (response: ServerResponse): void {
  response.destroy()
}

function digestOf (body: Uint8Array): string {
  return createHash('sha256').update(body).digest('hex')
}

async function readBody (request: IncomingMessage): Promise<Uint8Array> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request) {
    length += chunk.length
    if (length > REQUEST_LIMIT) throw new Error('the request is too large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

async function pause (ms: number): Promise<void> {
  if (ms > 0) await new Promise(resolve => { setTimeout(resolve, ms) })
}
