/**
 * What operators see of client accounts: log lines that name the account, the key and
 * the configuration that decided, and metrics whose number is bounded.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Scheduler, StagedJobs, summarizeCapUse, type ClientAccount, type Event } from '@flamingorouter/scheduler'
import { createStage } from '../../scheduler/__tests__/support/stages.js'
import { logDecisions, logTransientEvents, MetricsRegistry, RuntimeLog, type LogFields } from '../src/index.js'

const QUEUE = { name: 'q', host: 'h', pathPrefix: '/q/', service: 'work', priority: 0, attemptLimit: 1, stretch: 1, targetMs: 0, timeoutMs: 1 }
const DIGEST = 'abcdef0123456789'.repeat(4)
const WORKER = { id: 'w', incarnation: 1, address: 'w:1', service: 'work', availabilityZone: '', rack: '', labels: [], capacity: { millicores: 64_000, memoryMib: 65_536, accelerators: 0 }, isDraining: false, hasLeft: false }

function createAccount (name: string, keyDigest: string, millicores: number): ClientAccount {
  return { name, keyDigests: [keyDigest], weight: 1, cap: { millicores, memoryMib: 0, accelerators: 0 }, priority: 0 }
}

class LoggedLeader extends RuntimeLog {
  readonly lines: Array<{ event: string, fields: LogFields }> = []
  readonly scheduler = Scheduler.create([StagedJobs.create()])

  static create (accounts?: ClientAccount[]): LoggedLeader {
    const leader = new LoggedLeader()
    leader.scheduler.startLeading(0)
    leader.handle({ kind: 'configureCell', call: 1, cell: { version: 7, queues: [QUEUE], retired: [], services: [], accounts, document: '' } })
    return leader
  }

  override info (event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields })
  }

  override warn (event: string, fields?: LogFields): void {
    this.info(event, fields)
  }

  override error (event: string, fields?: LogFields): void {
    this.info(event, fields)
  }

  handle (event: Event): void {
    const { decisions, effects } = this.scheduler.handle(event, 1)
    logDecisions(this, decisions, this.scheduler.state, 1)
    logTransientEvents(this, event, effects, this.scheduler.state)
  }

  submit (id: string, keyDigest?: string): void {
    this.handle({ kind: 'acceptJob', call: 2, host: 'h', path: `/q/${id}`, keyDigest, spec: { payload: '', stages: [createStage()] } })
  }

  find (event: string): LogFields {
    return this.lines.find(line => line.event === event)?.fields ?? {}
  }
}

describe('client accounts for operators', () => {
  describe('log lines', () => {
    it('of a refused key have the short digest and the version of the configuration that decided', () => {
      const leader = LoggedLeader.create([createAccount('one', 'other', 0)])
      leader.submit('a', DIGEST)
      const { error, key, configuration } = leader.find('call_refused')
      assert.deepEqual({ error, key, configuration }, { error: 'unauthenticated', key: 'abcdef01', configuration: 7 })
    })

    it('never have more of a digest than its first 8 digits, by which no key can be tried out', () => {
      const leader = LoggedLeader.create([createAccount('one', DIGEST, 1_000)])
      leader.submit('a', DIGEST)
      leader.submit('b', DIGEST.replace('a', 'b'))
      leader.handle({ kind: 'configureCell', call: 1, cell: { version: 8, queues: [QUEUE], retired: [], services: [], accounts: [createAccount('one', DIGEST, 0), createAccount('two', DIGEST, 0)], document: '' } })
      assert.ok(leader.lines.length >= 3)
      assert.ok(!JSON.stringify(leader.lines).includes('cdef0123'))
    })

    it('of a job have its account, so that a late job can be attributed', () => {
      const leader = LoggedLeader.create([createAccount('one', DIGEST, 0)])
      leader.submit('a', DIGEST)
      leader.handle({ kind: 'cancelJob', call: 3, host: 'h', path: '/q/a', keyDigest: DIGEST })
      assert.equal(leader.find('job_accepted').account, 'one')
      assert.equal(leader.find('job_closed').account, 'one')
    })

    it('are the same as before where the cell has no accounts', () => {
      const leader = LoggedLeader.create()
      leader.submit('a', DIGEST)
      leader.handle({ kind: 'cancelJob', call: 3, host: 'h', path: '/q/a', keyDigest: DIGEST })
      for (const event of ['job_accepted', 'job_closed']) assert.ok(!('account' in leader.find(event)))
      assert.ok(!('accounts' in leader.find('cell_configured')))
    })
  })

  describe('metrics', () => {
    function render (leader: LoggedLeader): string[] {
      const metrics = MetricsRegistry.create()
      metrics.registerGauges('account_cap_used_ratio', 'account', () => summarizeCapUse(leader.scheduler.state))
      return metrics.render().split('\n').filter(line => line !== '')
    }

    it('have the largest share of its cap that each account uses', () => {
      const leader = LoggedLeader.create([createAccount('one', DIGEST, 16_000), createAccount('idle', 'other', 1_000), createAccount('unlimited', 'third', 0)])
      leader.handle({ kind: 'workerReported', call: 4, worker: WORKER })
      leader.handle({ kind: 'workerListed', id: 'w', incarnation: 1, sentAt: 1, running: [], ended: [], isTruncated: false })
      leader.submit('a', DIGEST)
      assert.deepEqual(render(leader), ['flamingorouter_account_cap_used_ratio{account="one"} 0.25', 'flamingorouter_account_cap_used_ratio{account="idle"} 0'])
    })

    it('have one series for each configured account at most, however many accounts there were before', () => {
      const leader = LoggedLeader.create([createAccount('one', DIGEST, 1_000)])
      for (let version = 8; version < 30; version++) {
        leader.handle({ kind: 'configureCell', call: 1, cell: { version, queues: [QUEUE], retired: [], services: [], accounts: [createAccount(`account-${version}`, DIGEST, 1_000)], document: '' } })
      }
      assert.equal(render(leader).length, 1)
    })

    it('have no series where the cell has no accounts', () => {
      assert.deepEqual(render(LoggedLeader.create()), [])
    })

    it('quote the name of an account, which may contain any character', () => {
      assert.deepEqual(render(LoggedLeader.create([createAccount('a"b\\c\nd', DIGEST, 1_000)])), ['flamingorouter_account_cap_used_ratio{account="a\\"b\\\\c\\nd"} 0'])
    })
  })
})
