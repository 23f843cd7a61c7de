/**
 * Units that wait for a cap, a weight or a worker that does not exist: they must neither
 * hold back other work for ever nor make each pass as costly as the whole backlog.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { CalledWorker, ClientAccount, Resources, StageSpec } from '../src/index.js'
import { listOrders, ScriptedLeader } from './support/scripted-leader.js'
import { createStage } from './support/stages.js'

const QUEUE = { name: 'q', host: 'jobs.example', pathPrefix: '/q/', service: 'work', priority: 1, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000 }

/** Time in which anything that may start has started, in milliseconds. */
const WAIT_MS = 2_000

function createAccount (name: string, weight: number, cap: Partial<Resources> = {}): ClientAccount {
  return { name, keyDigests: [name], weight, cap: { millicores: 0, memoryMib: 0, accelerators: 0, ...cap }, priority: 0 }
}

class AccountCell {
  readonly leader = ScriptedLeader.create()
  private version = 1

  static create (accounts: readonly ClientAccount[], workers: ReadonlyArray<Partial<CalledWorker> & { id: string }>): AccountCell {
    const cell = new AccountCell()
    cell.configure(accounts)
    for (const worker of workers) {
      cell.leader.report(worker.id, 1, worker)
      cell.leader.list(worker.id)
    }
    return cell
  }

  configure (accounts: readonly ClientAccount[]): void {
    this.version += 1
    this.leader.handle({ kind: 'configureCell', call: 1, cell: { version: this.version, queues: [QUEUE], retired: [], services: [], accounts: [...accounts], document: '' } })
  }

  /** Submits a job of one stage; returns the orders until everything that may start has started. */
  submit (id: string, account: string, stage: Partial<StageSpec> = {}, waitMs = 0): string[] {
    const submitted = this.leader.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: `/q/${id}`, keyDigest: account, spec: { payload: '', stages: [createStage(stage)] } })
    return listOrders([...submitted, ...this.leader.advance(waitMs)])
  }
}

describe('work behind more units than one pass considers', () => {
  it('starts although they wait for an accelerator that is in use', () => {
    const leader = ScriptedLeader.create()
    leader.report('one', 1, { capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 1 } })
    leader.list('one')
    const submit = (id: string, stage: Partial<StageSpec>): string[] => {
      const submitted = leader.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: `/q/${id}`, spec: { payload: '', stages: [createStage(stage)] } })
      return listOrders([...submitted, ...leader.advance(10)])
    }
    const resources = { millicores: 1_000, memoryMib: 64, accelerators: 1 }
    assert.equal(submit('training', { resources, estimateMs: 60_000 }).length, 1)
    for (let index = 0; index < 250; index++) submit(`service-${index}`, { resources: { ...resources, memoryMib: 64 + index % 5 }, longRunning: true, estimateMs: 0 })
    leader.report('one', 1, { capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 1 }, sequence: 2 })
    const orders = [...submit('small', { resources: { ...resources, accelerators: 0 } }), ...listOrders(leader.advance(200))]
    assert.deepEqual(orders.filter(order => order.includes('small')), ['start small/0/0/0 run 1 on one'])
  })

  it('starts although they wait for an admission service that does not answer', { todo: 'KNOWN-RED.txt, entry 38' }, () => {
    const leader = ScriptedLeader.create()
    const admission = { decideMs: 0, perWorkerMs: 0, validMs: 60_000 }
    const queues = [QUEUE, { ...QUEUE, name: 'a', pathPrefix: '/a/', admission }]
    leader.handle({ kind: 'configureCell', call: 1, cell: { version: 2, queues, retired: [], services: [], document: '' } })
    leader.addWorker('one')
    const submit = (path: string, stage: Partial<StageSpec>): string[] => {
      return listOrders(leader.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path, spec: { payload: '', stages: [createStage(stage)] } }))
    }
    leader.handle({ kind: 'advisorsChanged', entries: ['entry'] })
    for (let index = 0; index < 250; index++) submit(`/a/service-${index}`, { longRunning: true, estimateMs: 0 })
    leader.list('one')
    const orders = [...submit('/q/small', {}), ...listOrders(leader.advance(200))]
    assert.deepEqual(orders, ['start small/0/0/0 run 1 on one'])
  })
})

describe('work beyond a weight', () => {
  it('starts although ten units beyond a weight wait for a label that no worker has', () => {
    const cell = AccountCell.create([createAccount('zero', 0), createAccount('other', 0)], [{ id: 'one' }, { id: 'two' }])
    for (let index = 0; index < 10; index++) cell.submit(`hopeless-${index}`, 'zero', { requiredLabel: 'none', estimateMs: 60_000 })
    assert.equal(cell.submit('good', 'other', { estimateMs: 120_000 }, WAIT_MS).length, 1)
  })

  it('is no job that does not end by itself, which would stay behind everything for its whole life', () => {
    const cell = AccountCell.create([createAccount('zero', 0)], [{ id: 'one' }])
    cell.submit('service', 'zero', { longRunning: true })
    assert.equal(cell.leader.state.jobs.get('service')?.isBeyondWeight, undefined)
  })
})

describe('a cell whose last account was removed', () => {
  it('starts a job that was beyond a weight in its turn', () => {
    const capacity = { millicores: 4_000, memoryMib: 65_536, accelerators: 0 }
    const cell = AccountCell.create([createAccount('zero', 0), createAccount('other', 100)], [{ id: 'one', capacity }])
    cell.submit('short', 'zero', { requiredLabel: 'later', estimateMs: 1_000 })
    cell.submit('long', 'other', { requiredLabel: 'later', estimateMs: 60_000 })
    cell.configure([])
    cell.leader.report('one', 1, { capacity, labels: ['later'], sequence: 2 })
    const started = listOrders([...cell.leader.list('one'), ...cell.leader.advance(300)])
    assert.deepEqual(started, ['start short/0/0/0 run 1 on one'])
  })
})

describe('the cap of an account', () => {
  it('is not used up by a gang of which only a part can have its capacity', () => {
    const small = { millicores: 4_000, memoryMib: 65_536, accelerators: 0 }
    const cell = AccountCell.create([createAccount('one', 100, { millicores: 8_000 })], [{ id: 'labelled', labels: ['x'], capacity: small }, { id: 'two' }])
    cell.submit('gang', 'one', { taskCount: 2, gang: true, longRunning: true, requiredLabel: 'x' })
    const started = cell.submit('free', 'one', { resources: { millicores: 8_000, memoryMib: 1, accelerators: 0 } }, WAIT_MS)
    assert.equal(started.filter(order => order.includes('free')).length, 1)
  })
})

describe('a leader with a backlog that a cap holds back', () => {
  it('does not pass over it with each event', () => {
    const cell = AccountCell.create([createAccount('one', 10_000, { millicores: 4_000 }), createAccount('free', 10_000)], [{ id: 'one' }])
    for (let index = 0; index < 2_000; index++) cell.submit(`job-${index}`, 'one')
    let passes = 0
    for (let index = 0; index < 20; index++) {
      // The next event comes 1 ms after this one.
      cell.leader.now -= 9
      if (cell.submit(`free-${index}`, 'free', { resources: { millicores: 100, memoryMib: 100, accelerators: 0 } }).length > 0) passes += 1
    }
    assert.ok(passes <= 3, `${passes} passes in 20 ms`)
  })
})
