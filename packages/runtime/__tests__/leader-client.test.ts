/**
 * Calls to the leader that are repeated after a lost answer: the answer to the repeat does
 * not tell what became of the attempt before it.
 */

import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { InternalMethod, LinkServer, type CallFrame, type HelloFrame, type Link } from '@flamingorouter/controllers'
import { ErrorKind, Failure, type Answer } from '@flamingorouter/scheduler'
import { JobGateway } from '../src/index.js'

const CALL_TIMEOUT_MS = 5_000

function createHello (process: string): HelloFrame {
  return { kind: 'hello', group: 'group', process, role: 'entry', availabilityZone: 'zone' }
}

describe('a submission whose first attempt got no answer', () => {
  let server: LinkServer
  let gateway: JobGateway
  let submissionCount: number
  let answerRepeat: () => Answer

  /** Answers as a leader, but closes the link after the first submission arrived. */
  async function answerCall (link: Link, frame: CallFrame): Promise<unknown> {
    if (frame.method === InternalMethod.heartbeat) return { term: 1, configurationVersion: 0, controllers: [] }
    submissionCount += 1
    if (submissionCount > 1) return answerRepeat()
    link.close('closed by the test')
    return undefined
  }

  beforeEach(async () => {
    submissionCount = 0
    const handlers = { opened: () => {}, called: answerCall, replication: () => {}, notice: () => {}, closed: () => {} }
    server = LinkServer.create(createHello('controller'), handlers)
    const port = await server.listen({ host: '127.0.0.1', port: 0 })
    gateway = JobGateway.create({ hello: createHello('entry'), controllers: [{ id: 'controller', address: `127.0.0.1:${port}` }] })
  })

  afterEach(() => {
    gateway.close()
    server.close()
  })

  async function submit (): Promise<Answer> {
    return await gateway.ask({ kind: 'acceptJob', host: 'host', path: '/queue/1', spec: { payload: '', stages: [] } }, CALL_TIMEOUT_MS)
  }

  it('is repeated and accepted', async () => {
    answerRepeat = () => ({ kind: 'jobAccepted' })
    assert.equal((await submit()).kind, 'jobAccepted')
    assert.equal(submissionCount, 2)
  })

  for (const kind of [ErrorKind.unavailable, ErrorKind.resourceExhausted, ErrorKind.notFound, ErrorKind.unauthenticated]) {
    it(`is not reported as refused when the repeat is: ${kind}`, async () => {
      answerRepeat = () => { throw Failure.create(kind, 'retry later', { retryAfterMs: 1_000 }) }
      await assert.rejects(submit(), { kind: ErrorKind.deadlineExceeded })
      assert.equal(submissionCount, 2)
    })
  }

  it('gets the refusal of its content, which is the same for every attempt', async () => {
    answerRepeat = () => { throw Failure.create(ErrorKind.invalidArgument, 'the job has no stage') }
    await assert.rejects(submit(), { kind: ErrorKind.invalidArgument })
  })
})
