/**
 * The log lines of an order: from them an operator can tell where it spent its time, by its
 * version, also when it was not acknowledged.
 */

import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { InternalMethod, LinkServer, type CallFrame, type HelloFrame, type JobEvent } from '@flamingorouter/controllers'
import { ErrorKind, type CellConfiguration } from '@flamingorouter/scheduler'
import { JobCalls, JobGateway, RuntimeLog, type LogFields } from '../src/index.js'

class RecordedLog extends RuntimeLog {
  readonly lines: Array<{ event: string } & LogFields> = []

  static create (): RecordedLog {
    return new RecordedLog()
  }

  override info (event: string, fields: LogFields = {}): void { this.lines.push({ event, ...fields }) }
  override warn (event: string, fields: LogFields = {}): void { this.info(event, fields) }
  override error (event: string, fields: LogFields = {}): void { this.info(event, fields) }

  find (event: string): LogFields {
    return this.lines.find(line => line.event === event) ?? assert.fail(`no line ${event} among ${this.lines.map(line => line.event).join()}`)
  }
}

const CONFIGURATION: CellConfiguration = { version: 41, queues: [], retired: [], services: [], document: '{}' }

function createHello (process: string): HelloFrame {
  return { kind: 'hello', group: 'group', process, role: 'entry', availabilityZone: 'zone' }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

describe('the log of an order', () => {
  let leaderLog: RecordedLog
  let log: RecordedLog
  let server: LinkServer
  let gateway: JobGateway
  /** How long the leader takes to commit, in milliseconds. */
  let commitMs: number

  beforeEach(async () => {
    leaderLog = RecordedLog.create()
    log = RecordedLog.create()
    commitMs = 30
    const calls = JobCalls.create({
      ask: async () => {
        await pause(commitMs)
        return { kind: 'cell', version: CONFIGURATION.version, document: CONFIGURATION.document }
      },
      readTurnMs: () => 7
    }, leaderLog)
    const answer = async (frame: CallFrame): Promise<unknown> => {
      if (frame.method === InternalMethod.heartbeat) return { term: 1, configurationVersion: 0, controllers: [] }
      return await calls.answer('relay', frame.body as JobEvent)
    }
    server = LinkServer.create(createHello('leader'), { opened: () => {}, called: (_link, frame) => answer(frame), replication: () => {}, notice: () => {}, closed: () => {} })
    const port = await server.listen({ host: '127.0.0.1', port: 0 })
    gateway = JobGateway.create({ hello: createHello('relay'), controllers: [{ id: 'leader', address: `127.0.0.1:${port}` }], log })
  })

  afterEach(() => {
    gateway.close()
    server.close()
  })

  it('names its version, the search, the attempts, the way, the turn and the commit', async () => {
    await gateway.ask({ kind: 'configureCell', cell: CONFIGURATION }, 2_000)
    const line = log.find('order_acknowledged')
    assert.equal(line.version, 41)
    assert.equal(line.attempts, 1)
    assert.equal(line.turnMs, 7)
    const [tookMs, searchMs, wayMs, lineCommitMs] = ['tookMs', 'searchMs', 'wayMs', 'commitMs'].map(name => Number(line[name]))
    assert.ok(lineCommitMs >= 25, `commitMs is ${lineCommitMs}`)
    assert.ok(Math.abs(tookMs - searchMs - wayMs - lineCommitMs) <= 5, `the parts of ${tookMs} ms are ${searchMs}, ${wayMs} and ${lineCommitMs}`)
    assert.equal(leaderLog.find('order_committed').version, 41)
    assert.equal(leaderLog.find('order_committed').from, 'relay')
  })

  it('names the version of an order that was not acknowledged, and what the process waited for', async () => {
    commitMs = 300
    await assert.rejects(gateway.ask({ kind: 'configureCell', cell: CONFIGURATION }, 200), { kind: ErrorKind.deadlineExceeded })
    const line = log.find('order_unacknowledged')
    assert.equal(line.version, 41)
    assert.ok(Number(line.tookMs) >= 190)
  })
})
