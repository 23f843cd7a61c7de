/**
 * The HTTP server, called by the client library of the Connect protocol
 * (@connectrpc/connect) and by senders of invalid requests.
 */

import assert from 'node:assert/strict'
import { connect as connectTcp } from 'node:net'
import { after, before, beforeEach, describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { Code, ConnectError, createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { callerMethodRules } from '@flamingorouter/callers'
import { operatorMethodRules } from '@flamingorouter/operators'
import { ErrorKind, Failure } from '@flamingorouter/scheduler'
import {
  CallerService, ErrorDetailSchema, OperatorService, OutcomeKind, SubmitRequestSchema, SubmitResponseSchema,
  type SubmitRequest
} from '@flamingorouter/schema'
import { request } from 'undici'
import { createLoopbackAuthenticator, isUnsent, RpcClient, RpcServer, type CallRecord, type RpcHandler } from '../src/index.js'

const SUBMIT = 'flamingorouter.callers.v1.CallerService/Submit'
const SUBMIT_JOB = 'flamingorouter.callers.v1.CallerService/SubmitJob'
const MAX_PAYLOAD_BYTES = 1024 * 1024

const VALID = { service: 'dispatch', requestId: 'r-1', deadlineMs: 500, payload: new Uint8Array([1, 2, 3]) }

describe('RpcServer', () => {
  let server: RpcServer
  let port: number
  let handled: SubmitRequest[]
  let handleCallRecord: (record: CallRecord) => void
  let handle: RpcHandler

  const echo: RpcHandler = async call => {
    const message = call.request as SubmitRequest
    return create(SubmitResponseSchema, { outcome: { kind: OutcomeKind.DONE, body: message.payload } })
  }

  before(async () => {
    server = RpcServer.create({
      methodRules: [...callerMethodRules, ...operatorMethodRules],
      handlers: new Map([SUBMIT, SUBMIT_JOB].map(name => [name, async call => {
        handled.push(call.request)
        return await handle(call)
      }])),
      authenticate: createLoopbackAuthenticator(),
      limits: { headersTimeoutMs: 1_000, requestTimeoutMs: 1_000 },
      pages: new Map([['/livez', () => ({ status: 200, type: 'text/plain', body: 'ok' })]]),
      handleCallRecord: record => { handleCallRecord(record) }
    })
    port = await server.listen({ host: '127.0.0.1', port: 0 })
  })

  beforeEach(() => {
    handled = []
    handleCallRecord = () => {}
    handle = echo
  })

  after(async () => { await server.close() })

  /** Sends an HTTP body unchanged; returns the status and headers of the response and the fields of its Connect error. */
  async function post (body: string | Uint8Array, headers: Record<string, string> = {}, path = `/${SUBMIT}`) {
    const answer = await request(`http://127.0.0.1:${port}${path}`, {
      method: 'POST', body, headers: { 'content-type': 'application/json', ...headers }
    })
    const parsed = await answer.body.json() as { code: string, message: string, details: { debug: { kind: string, violations: { path: string }[] } }[] }
    return { status: answer.statusCode, headers: answer.headers, ...parsed, debug: parsed.details?.[0]?.debug }
  }

  /** Asserts that the server still answers valid calls. */
  async function assertServing (): Promise<void> {
    const client = RpcClient.create()
    const response = await client.call(`127.0.0.1:${port}`, CallerService.method.submit, create(SubmitRequestSchema, VALID))
    assert.equal(response.outcome?.kind, OutcomeKind.DONE)
    await client.close()
  }

  for (const useBinaryFormat of [true, false]) {
    describe(`called by the client library of the Connect protocol, ${useBinaryFormat ? 'binary' : 'JSON'}`, () => {
      let client: Client<typeof CallerService>

      before(() => {
        client = createClient(CallerService, createConnectTransport({
          baseUrl: `http://127.0.0.1:${port}`, httpVersion: '1.1', useBinaryFormat
        }))
      })

      it('answers a call with a payload of the maximum size', async () => {
        const payload = new Uint8Array(MAX_PAYLOAD_BYTES).fill(7)
        const { outcome } = await client.submit({ ...VALID, payload })
        assert.equal(outcome?.kind, OutcomeKind.DONE)
        assert.deepEqual(outcome?.body, payload)
      })

      it('maps every error kind to its code, with the kind and the retry delay in the detail', async () => {
        for (const kind of Object.values(ErrorKind)) {
          handle = async () => { throw Failure.create(kind, 'because', { retryAfterMs: 1_500 }) }
          const error = await client.submit(VALID).then(() => assert.fail('answered'), ConnectError.from)
          const [detail] = error.findDetails(ErrorDetailSchema)
          assert.equal(detail?.kind, kind)
          assert.equal(detail?.retryAfterMs, 1_500)
          assert.equal(error.rawMessage, 'because')
          assert.equal(error.metadata.get('retry-after'), '2')
        }
      })

      it('names every invalid field and calls no handler', async () => {
        const error = await client.submit({ ...VALID, service: '', deadlineMs: 300_001 }).then(
          () => assert.fail('answered'), ConnectError.from)
        assert.equal(error.code, Code.InvalidArgument)
        const paths = error.findDetails(ErrorDetailSchema)[0].violations.map(violation => violation.path)
        assert.deepEqual(paths, ['service', 'deadlineMs'])
        assert.equal(handled.length, 0)
      })

      it('ends a call at the time limit of its caller and aborts the signal of the handler', async () => {
        const abortReason = new Promise<unknown>(resolve => {
          handle = call => new Promise(() => {
            call.signal.addEventListener('abort', () => { resolve(call.signal.reason) })
          })
        })
        const error = await client.submit(VALID, { timeoutMs: 30 }).then(() => assert.fail('answered'), ConnectError.from)
        assert.equal(error.code, Code.DeadlineExceeded)
        assert.ok(await abortReason instanceof Failure)
      })

      it('answers unimplemented for a method without a handler', async () => {
        const error = await client.fetchOutcome({ requestId: 'r' }).then(() => assert.fail('answered'), ConnectError.from)
        assert.equal(error.code, Code.Unimplemented)
      })
    })
  }

  describe('given an invalid request', () => {
    const cases: { name: string, body: string | Uint8Array, headers?: Record<string, string>, path?: string, status: number, kind: ErrorKind }[] = [
      { name: 'an unknown field', body: '{"service":"a","requestId":"r","deadlineMs":1,"exactlyOnce":true}', status: 400, kind: ErrorKind.invalidArgument },
      { name: 'an unknown enum name', body: '{"service":"a","requestId":"r","deadlineMs":1,"urgency":"URGENCY_PANIC"}', status: 400, kind: ErrorKind.invalidArgument },
      { name: 'an unknown enum number', body: '{"service":"a","requestId":"r","deadlineMs":1,"urgency":17}', status: 400, kind: ErrorKind.invalidArgument },
      { name: 'a negative number', body: '{"service":"a","requestId":"r","deadlineMs":-1}', status: 400, kind: ErrorKind.invalidArgument },
      { name: 'text in place of a number', body: '{"service":"a","requestId":"r","deadlineMs":"soon"}', status: 400, kind: ErrorKind.invalidArgument },
      { name: 'truncated JSON', body: '{"service":"a","requestId":', status: 400, kind: ErrorKind.invalidArgument },
      { name: 'an empty body', body: '', status: 400, kind: ErrorKind.invalidArgument },
      { name: 'a list in place of a message', body: '[]', status: 400, kind: ErrorKind.invalidArgument },
      { name: 'deeply nested JSON', body: '['.repeat(200_000) + ']'.repeat(200_000), status: 400, kind: ErrorKind.invalidArgument },
      { name: 'invalid UTF-8', body: new Uint8Array([0x22, 0xff, 0xfe, 0x22]), status: 400, kind: ErrorKind.invalidArgument },
      { name: 'truncated binary', body: new Uint8Array([10, 200, 1, 65]), headers: { 'content-type': 'application/proto' }, status: 400, kind: ErrorKind.invalidArgument },
      { name: 'an unknown binary field', body: new Uint8Array([0xf8, 0x07, 1]), headers: { 'content-type': 'application/proto' }, status: 400, kind: ErrorKind.invalidArgument },
      { name: 'an unsupported content type', body: '{}', headers: { 'content-type': 'text/xml' }, status: 415, kind: ErrorKind.unsupportedMediaType },
      { name: 'a compressed body', body: '{}', headers: { 'content-encoding': 'gzip' }, status: 501, kind: ErrorKind.unimplemented },
      { name: 'an unsupported protocol version', body: '{}', headers: { 'connect-protocol-version': '2' }, status: 400, kind: ErrorKind.invalidArgument },
      { name: 'an invalid time limit', body: '{}', headers: { 'connect-timeout-ms': '-5' }, status: 400, kind: ErrorKind.invalidArgument },
      { name: 'a body that exceeds the limit', body: new Uint8Array(3 * MAX_PAYLOAD_BYTES), status: 413, kind: ErrorKind.payloadTooLarge },
      { name: 'a path without a method', body: '{}', path: '/flamingorouter.callers.v1.CallerService/Nothing', status: 501, kind: ErrorKind.unimplemented },
      {
        name: 'too many headers',
        body: '{}',
        headers: Object.fromEntries(Array.from({ length: 100 }, (_, index) => [`x-${index}`, '1'])),
        status: 400,
        kind: ErrorKind.invalidArgument
      }
    ]
    for (const { name, body, headers, path, status, kind } of cases) {
      it(`refuses ${name} and continues to serve`, async () => {
        const answer = await post(body, headers, path)
        assert.equal(answer.status, status, answer.message)
        assert.equal(answer.debug.kind, kind, answer.message)
        assert.equal(handled.length, 0)
        await assertServing()
      })
    }

    it('names every invalid field in one refusal', async () => {
      const answer = await post('{"service":"a b","requestId":"","deadlineMs":300001}')
      assert.deepEqual(answer.debug.violations.map(violation => violation.path), ['service', 'requestId', 'deadlineMs'])
    })

    it('names every place where JSON does not match the schema in one refusal', async () => {
      const answer = await post(JSON.stringify({
        requestId: 'r',
        spec: { taskCount: -1, urgency: 'PANIC', resources: { millicores: '4 cores' }, labels: { region: 7 }, availabilityZones: 'a', payload: '?' },
        force: true
      }), {}, `/${SUBMIT_JOB}`)
      assert.deepEqual(answer.debug.violations.map(violation => violation.path), [
        'spec.taskCount', 'spec.urgency', 'spec.resources.millicores', 'spec.labels.region', 'spec.availabilityZones', 'spec.payload', 'force'
      ])
    })

    it('refuses headers that exceed their size limit and continues to serve', async () => {
      const answer = await exchange(`POST /${SUBMIT} HTTP/1.1\r\nhost: a\r\nx-long: ${'a'.repeat(40_000)}\r\n\r\n`)
      assert.match(answer, /^HTTP\/1.1 413 .*"payloadTooLarge"/s)
      await assertServing()
    })

    it('refuses bytes that are not HTTP and continues to serve', async () => {
      assert.match(await exchange('\x16\x03\x01 hello\r\n\r\n'), /^HTTP\/1.1 400 .*"invalidArgument"/s)
      await assertServing()
    })

    it('closes a connection whose request arrives too slowly', async () => {
      const answer = await exchange(`POST /${SUBMIT} HTTP/1.1\r\nhost: a\r\n`)
      assert.match(answer, /^HTTP\/1.1 504 .*"deadlineExceeded"/s)
      await assertServing()
    })

    it('drops a request whose body ends early without calling the handler', async () => {
      const dropped = new Promise<CallRecord>(resolve => { handleCallRecord = resolve })
      await exchange(`POST /${SUBMIT} HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: 500\r\n\r\n{"service"`, true)
      assert.equal((await dropped).failure?.kind, ErrorKind.cancelled)
      assert.equal(handled.length, 0)
      await assertServing()
    })

    /** Writes text on a new TCP connection and returns everything received until it closes. */
    function exchange (text: string, disconnects = false): Promise<string> {
      return new Promise((resolve, reject) => {
        const socket = connectTcp(port, '127.0.0.1')
        let answer = ''
        socket.setEncoding('utf8')
        socket.on('data', chunk => { answer += String(chunk) })
        socket.on('close', () => { resolve(answer) })
        socket.on('error', reject)
        socket.write(text, () => { if (disconnects) socket.destroy() })
      })
    }
  })

  describe('called by RpcClient', () => {
    it('transmits the failure that the handler threw', async () => {
      handle = async () => { throw Failure.create(ErrorKind.infeasible, 'no VM is that large', { retryAfterMs: 20 }) }
      const client = RpcClient.create()
      const call = client.call(`127.0.0.1:${port}`, CallerService.method.submit, create(SubmitRequestSchema, VALID))
      const failure = await call.then(() => assert.fail('answered'), (error: Failure) => error)
      assert.equal(failure.kind, ErrorKind.infeasible)
      assert.equal(failure.message, 'no VM is that large')
      assert.equal(failure.retryAfterMs, 20)
      assert.equal(isUnsent(failure), false)
      await client.close()
    })

    it('lets the caller distinguish a refused connection, on which nothing was sent, from a call without an answer', async () => {
      const client = RpcClient.create()
      const message = create(SubmitRequestSchema, VALID)
      const closed = await client.call('127.0.0.1:1', CallerService.method.submit, message).catch((error: Failure) => error)
      assert.ok(closed instanceof Failure && closed.kind === ErrorKind.unavailable && isUnsent(closed))
      handle = () => new Promise(() => {})
      const late = await client.call(`127.0.0.1:${port}`, CallerService.method.submit, message, { timeoutMs: 30 })
        .catch((error: Failure) => error)
      assert.ok(late instanceof Failure && late.kind === ErrorKind.deadlineExceeded && !isUnsent(late))
      await client.destroy()
    })

    it('does not report a call as unsent that was in flight when the client was destroyed', async () => {
      const client = RpcClient.create()
      const arrived = new Promise<void>(resolve => {
        handle = () => {
          resolve()
          return new Promise(() => {})
        }
      })
      const call = client.call(`127.0.0.1:${port}`, CallerService.method.submit, create(SubmitRequestSchema, VALID)).catch((error: Failure) => error)
      await arrived
      await client.destroy()
      const failure = await call
      assert.ok(failure instanceof Failure && failure.kind === ErrorKind.unavailable)
      assert.equal(isUnsent(failure), false)
    })
  })

  describe('close', () => {
    it('answers the calls in flight before the server stops', async () => {
      const closing = RpcServer.create({
        methodRules: operatorMethodRules,
        handlers: new Map([['flamingorouter.operators.v1.OperatorService/ListTeams', () => new Promise(resolve => {
          setImmediate(() => { closed = closing.close() })
          setTimeout(() => { resolve(new Uint8Array()) }, 20)
        })]]),
        authenticate: createLoopbackAuthenticator()
      })
      let closed: Promise<void> | undefined
      const closingPort = await closing.listen({ host: '127.0.0.1', port: 0 })
      const client = RpcClient.create()
      const response = await client.call(`127.0.0.1:${closingPort}`, OperatorService.method.listTeams, create(OperatorService.method.listTeams.input))
      assert.deepEqual(response.teams, [])
      await closed
      const refused = await client.call(`127.0.0.1:${closingPort}`, OperatorService.method.listTeams, create(OperatorService.method.listTeams.input))
        .catch((error: Failure) => error)
      assert.ok(refused instanceof Failure && refused.kind === ErrorKind.unavailable)
      await client.close()
    })
  })
})
