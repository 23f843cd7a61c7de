/**
 * Client accounts of staged jobs: whose key a caller presents, and which jobs an account has.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Scheduler, StagedJobs, type Answer, type CellConfiguration, type ClientAccount, type Event, type JobQueue, type StagedJob } from '../src/index.js'
import { createStage } from './support/stages.js'

const QUEUE: JobQueue = { name: 'q', host: 'jobs.example', pathPrefix: '/q/', service: 'work', priority: 1, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000 }
const OPEN_QUEUE: JobQueue = { ...QUEUE, name: 'open', pathPrefix: '/open/', isOpen: true }
const spec = { payload: '', stages: [createStage()] }

function createAccount (name: string, ...keyDigests: string[]): ClientAccount {
  return { name, keyDigests, weight: 1, cap: { millicores: 0, memoryMib: 0, accelerators: 0 }, priority: 0 }
}

function createCell (version: number, accounts?: ClientAccount[]): CellConfiguration {
  return { version, queues: [QUEUE, OPEN_QUEUE], retired: [], services: [], accounts, document: '' }
}

class AccountLeader {
  readonly scheduler = Scheduler.create([StagedJobs.create()])

  private constructor () {
    this.scheduler.startLeading(0)
  }

  static create (accounts?: ClientAccount[]): AccountLeader {
    const leader = new AccountLeader()
    leader.ask({ kind: 'configureCell', call: 1, cell: createCell(1, accounts) })
    return leader
  }

  /** Passes an event to the scheduler; returns the answer, or the kind of the refusal. */
  ask (event: Event): Answer | string {
    const [effect] = this.scheduler.handle(event, 1).effects.filter(({ kind }) => kind === 'reply' || kind === 'refuse')
    if (effect.kind === 'reply') return effect.answer
    return effect.kind === 'refuse' ? effect.error : ''
  }

  submit (id: string, keyDigest?: string, queue = 'q'): Answer | string {
    return this.ask({ kind: 'acceptJob', call: 2, host: 'jobs.example', path: `/${queue}/${id}`, keyDigest, spec })
  }

  findJob (id: string): StagedJob | undefined {
    return this.scheduler.state.jobs.get(id)
  }
}

describe('client accounts of staged jobs', () => {
  describe('a job', () => {
    it('has the account whose key its caller presents', () => {
      const leader = AccountLeader.create([createAccount('one', 'd1', 'd2'), createAccount('two', 'd3')])
      leader.submit('a', 'd2')
      leader.submit('b', 'd3')
      leader.submit('c', 'd3', 'open')
      assert.deepEqual(['a', 'b', 'c'].map(id => leader.findJob(id)?.account), ['one', 'two', 'two'])
    })

    it('keeps its account when it is submitted again with another key', () => {
      const leader = AccountLeader.create([createAccount('one', 'd1'), createAccount('two', 'd2')])
      leader.submit('a', 'd1')
      assert.deepEqual(leader.submit('a', 'd2'), { kind: 'jobAccepted' })
      assert.equal(leader.findJob('a')?.account, 'one')
    })

    it('of a caller without a key has no account on an open queue', () => {
      const leader = AccountLeader.create([createAccount('one', 'd1')])
      assert.deepEqual(leader.submit('a', undefined, 'open'), { kind: 'jobAccepted' })
      assert.equal(leader.findJob('a')?.account, undefined)
    })

    it('has no account where the cell has none, whatever key its caller presents', () => {
      for (const accounts of [undefined, []]) {
        const leader = AccountLeader.create(accounts)
        assert.deepEqual(leader.submit('a', 'd1'), { kind: 'jobAccepted' })
        assert.ok(!('account' in (leader.findJob('a') ?? { account: '' })))
      }
    })
  })
})
