/**
 * The log lines of an order: from them an operator can tell where it spent its time, by its
 * version, also when it was not acknowledged.
 */

import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ErrorKind, type CellConfiguration } from '@flamingorouter/scheduler'
import { RuntimeLog, type JobGateway, type LogFields } from '../src/index.js'
import { SlowLeader } from './support/slow-leader.js'

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

describe('the log of an order', () => {
  let leaderLog: RecordedLog
  let log: RecordedLog
  let leader: SlowLeader
  let gateway: JobGateway

  beforeEach(async () => {
    leaderLog = RecordedLog.create()
    log = RecordedLog.create()
    leader = await SlowLeader.start(leaderLog, 7)
    gateway = leader.createGateway('relay', log)
  })

  afterEach(() => {
    gateway.close()
    leader.close()
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

  it('has a line with the version for an attempt that ended before the order did', async () => {
    leader.commitMs = 300
    await assert.rejects(gateway.ask({ kind: 'configureCell', cell: CONFIGURATION }, 200), { kind: ErrorKind.deadlineExceeded })
    assert.equal(log.find('order_carried_on').version, 41)
    assert.equal((await gateway.ask({ kind: 'configureCell', cell: CONFIGURATION }, 1_000)).kind, 'cell')
    assert.equal(log.find('order_acknowledged').attempts, 1)
  })

  it('names an order that was not acknowledged, and how long the process waited for it', async () => {
    leader.commitMs = 300
    await assert.rejects(gateway.ask({ kind: 'cancelJob', host: 'host', path: '/queue/41' }, 200), { kind: ErrorKind.deadlineExceeded })
    const line = log.find('order_unacknowledged')
    assert.equal(line.path, '/queue/41')
    assert.ok(Number(line.tookMs) >= 190)
  })
})
