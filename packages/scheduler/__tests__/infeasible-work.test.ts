/**
 * Work that no known worker can hold: it must not keep other work from running, and must
 * start once a worker can hold it. Guards against a cell that stays idle because capacity
 * is held back for such work as long as its job lives (incident 13).
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ClientAccount, Effect, Event, JobQueue, Resources, StageSpec } from '../src/index.js'
import { listOrders, ScriptedLeader } from './support/scripted-leader.js'
import { createStage } from './support/stages.js'

/** Each of the two workers has 16 cores and 64 GiB. */
const WORKERS = ['one', 'two']
const CAPACITY: Resources = { millicores: 16_000, memoryMib: 65_536, accelerators: 0 }

/** Time in which anything that may start has started, in milliseconds. */
const WAIT_MS = 500

/** More units than one placement pass considers. */
const MANY = 250

const QUEUE: JobQueue = { name: 'q', host: 'jobs.example', pathPrefix: '/q/', service: 'work', priority: 1, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000 }

function cores (count: number, others: Partial<Resources> = {}): Resources {
  return { millicores: 1_000 * count, memoryMib: 64, accelerators: 0, ...others }
}

function createSubmission (path: string, stage: Partial<StageSpec>, keyDigest?: string): Event {
  return { kind: 'acceptJob', call: 3, host: 'jobs.example', path, keyDigest, spec: { payload: '', stages: [createStage(stage)] } }
}

class SmallCell {
  readonly leader = ScriptedLeader.create()
  private sequence = 1
  private version = 1

  static create (): SmallCell {
    const cell = new SmallCell()
    for (const id of WORKERS) cell.leader.addWorker(id)
    return cell
  }

  configure (queues: JobQueue[], accounts: ClientAccount[] = []): void {
    this.version += 1
    this.leader.handle({ kind: 'configureCell', call: 1, cell: { version: this.version, queues, retired: [], services: [], accounts, document: '' } })
  }

  /** Submits a job of one stage; returns the orders until everything that may start has started. */
  submit (path: string, stage: Partial<StageSpec>, keyDigest?: string): string[] {
    return this.collect(this.leader.handle(createSubmission(path, stage, keyDigest)))
  }

  /** Submits an ordinary job, whose tasks need half a worker each and which has more time than jobs before it; returns the orders. */
  submitOrdinary (taskCount = 2, keyDigest?: string): string[] {
    return this.submit('/q/ordinary', { taskCount, resources: cores(8), estimateMs: 2_000 }, keyDigest)
  }

  /** A worker reports a capacity. */
  report (id: string, capacity: Resources): string[] {
    this.sequence += 1
    return this.collect([...this.leader.report(id, 1, { capacity, sequence: this.sequence }), ...this.leader.list(id)])
  }

  collect (effects: readonly Effect[]): string[] {
    return listOrders([...effects, ...this.leader.advance(WAIT_MS)])
  }
}

/** Stages that the workers can never hold, by the reason. */
const INFEASIBLE_STAGES: Record<string, Partial<StageSpec>> = {
  'more processor than any worker has': { taskCount: 8, resources: cores(96) },
  'more memory than any worker has': { taskCount: 8, resources: cores(14, { memoryMib: 100_000 }) },
  'an accelerator, which no worker has': { taskCount: 8, resources: cores(14, { accelerators: 1 }) },
  'a gang with more tasks than all workers hold together': { taskCount: 3, gang: true, resources: cores(12) }
}

describe('a job that no worker can hold, since it needs', () => {
  for (const [reason, stage] of Object.entries(INFEASIBLE_STAGES)) {
    for (const longRunning of [true, false]) {
      it(`${reason}, leaves all capacity to other jobs if its tasks ${longRunning ? 'last' : 'end'}`, () => {
        const cell = SmallCell.create()
        assert.deepEqual(cell.submit('/q/large', { ...stage, longRunning, estimateMs: 1_000 }), [])
        assert.equal(cell.submitOrdinary(4).length, 4)
      })
    }

    it(`${reason}, leaves all capacity to other jobs after a change of leader`, () => {
      const cell = SmallCell.create()
      cell.submit('/q/large', { ...stage, longRunning: true })
      cell.leader.replaceLeader()
      for (const id of WORKERS) cell.leader.list(id)
      assert.equal(cell.submitOrdinary(4).length, 4)
    })
  }

  it('more workers than there are, at its limit of tasks for each, leaves the rest to other jobs', () => {
    const cell = SmallCell.create()
    assert.equal(cell.submit('/q/spread', { taskCount: 4, longRunning: true, perWorkerLimit: 1, resources: cores(7) }).length, 2)
    assert.equal(cell.submitOrdinary().length, 2)
  })

  it('more than long-running tasks leave, leaves the rest to other jobs', () => {
    const cell = SmallCell.create()
    cell.submit('/q/service', { taskCount: 2, longRunning: true, perWorkerLimit: 1, resources: cores(6) })
    assert.deepEqual(cell.submit('/q/large', { taskCount: 2, longRunning: true, resources: cores(12) }), [])
    assert.equal(cell.submitOrdinary().length, 2)
  })

  it('a gang beside long-running tasks, leaves the rest to other jobs', () => {
    const cell = SmallCell.create()
    cell.submit('/q/service', { longRunning: true, resources: cores(8) })
    assert.deepEqual(cell.submit('/q/gang', { taskCount: 2, gang: true, estimateMs: 1_000, resources: cores(9) }), [])
    assert.equal(cell.submitOrdinary(3).length, 3)
  })

  it('workers that its queue does not permit, leaves all capacity to other jobs', () => {
    const cell = SmallCell.create()
    cell.configure([QUEUE, { ...QUEUE, name: 'a', pathPrefix: '/a/', admission: { decideMs: 0, perWorkerMs: 0, validMs: 60_000 } }])
    cell.leader.handle({ kind: 'advisorsChanged', entries: ['entry'] })
    cell.submit('/a/gang', { taskCount: 2, gang: true, longRunning: true, resources: cores(12) })
    cell.leader.handle({ kind: 'admissionAnswered', entry: 'entry', stage: 'gang/0/0', workers: WORKERS, tickets: [{ worker: 'one', ticket: 't' }], askedAt: cell.leader.now, isAnswered: true })
    assert.equal(cell.submitOrdinary(4).length, 4)
  })

  it('more processor than any worker has, asks the admission service about none', () => {
    const cell = SmallCell.create()
    cell.configure([{ ...QUEUE, admission: { decideMs: 0, perWorkerMs: 0, validMs: 60_000 } }])
    cell.leader.handle({ kind: 'advisorsChanged', entries: ['entry'] })
    const asked = (id: string, resources: Resources): number => {
      const submitted = cell.leader.handle(createSubmission(`/q/${id}`, { longRunning: true, resources }))
      return [...submitted, ...cell.leader.advance(WAIT_MS)].filter(({ kind }) => kind === 'askAdmission').length
    }
    assert.deepEqual([asked('large', cores(96)), asked('small', cores(1))], [0, 1])
  })

  it('more than the cap of its account permits since the cap was lowered, leaves all capacity to other jobs', () => {
    const cell = SmallCell.create()
    const createAccount = (name: string, millicores = 0): ClientAccount => ({ name, keyDigests: [name], weight: 1, cap: { millicores, memoryMib: 0, accelerators: 0 }, priority: 0 })
    cell.configure([QUEUE], [createAccount('capped', 64_000), createAccount('other')])
    cell.submit('/q/service', { taskCount: 2, longRunning: true, perWorkerLimit: 1, resources: cores(6) }, 'capped')
    cell.submit('/q/large', { taskCount: 2, gang: true, longRunning: true, resources: cores(12) }, 'capped')
    cell.configure([QUEUE], [createAccount('capped', 10_000), createAccount('other')])
    assert.equal(cell.submitOrdinary(2, 'other').length, 2)
  })

  it('more processor than any worker has, is not looked at for each event if there are very many of them', () => {
    const cell = SmallCell.create()
    const accept = (id: string, stage: Partial<StageSpec>, atMs: number): string[] => {
      return listOrders(cell.leader.handleAt(createSubmission(`/q/${id}`, stage), atMs))
    }
    const startMs = cell.leader.now + 200
    for (let index = 0; index < 4 * MANY; index++) accept(`large-${index}`, { longRunning: true, resources: cores(96) }, startMs)
    // The last pass was at `startMs + 100`; with 1,000 units the next one is at least 5 ms later.
    accept('first', { resources: cores(1) }, startMs + 100)
    assert.deepEqual(accept('second', { resources: cores(1) }, startMs + 102), [])
    assert.equal(accept('third', { resources: cores(1) }, startMs + 105).length, 2)
  })

  const manyReasons: Record<string, Partial<StageSpec>> = {
    ...INFEASIBLE_STAGES,
    'a label that no worker has': { requiredLabel: 'none', resources: cores(1) }
  }
  for (const [reason, stage] of Object.entries(manyReasons)) {
    it(`${reason}, does not keep a pass from other jobs if there are many of them`, () => {
      const cell = SmallCell.create()
      for (let index = 0; index < MANY; index++) {
        cell.leader.handle(createSubmission(`/q/large-${index}`, { ...stage, longRunning: true }))
      }
      assert.equal(cell.submitOrdinary().length, 2)
    })
  }
})

describe('a job that no worker could hold', () => {
  it('is reported to operators once, if it stays so', () => {
    const cell = SmallCell.create()
    cell.submit('/q/large', { longRunning: true, resources: cores(96) })
    const noteStages = (): string[] => cell.leader.advance(4_900).flatMap(effect => effect.kind === 'noteInfeasible' ? [effect.stage] : [])
    assert.deepEqual([...noteStages(), ...noteStages(), ...noteStages()], ['large/0/0'])
  })

  it('starts at once when a worker comes that can hold it', () => {
    const cell = SmallCell.create()
    cell.submit('/q/large', { longRunning: true, resources: cores(96) })
    cell.leader.report('three', 1, { capacity: cores(128, { memoryMib: 65_536 }) })
    assert.deepEqual(cell.collect(cell.leader.list('three')), ['start large/0/0/0 run 1 on three'])
  })

  it('starts when a worker that had shrunk recovers, and leaves capacity to other jobs until then', () => {
    const cell = SmallCell.create()
    for (const id of WORKERS) cell.report(id, cores(8))
    cell.submit('/q/large', { longRunning: true, resources: cores(12) })
    assert.equal(cell.submitOrdinary(1).length, 1)
    assert.deepEqual(cell.report('two', CAPACITY), ['start large/0/0/0 run 1 on two'])
  })

  it('has capacity held back again once a worker can hold it that is in use', () => {
    const cell = SmallCell.create()
    const [order] = cell.submit('/q/service', { longRunning: true, resources: cores(8) })
    const holder = order.slice(order.lastIndexOf(' ') + 1)
    const other = WORKERS.find(id => id !== holder) ?? ''
    cell.leader.report(other, 1, { isDraining: true, sequence: 50 })
    cell.submit('/q/short', { resources: cores(4), estimateMs: 60_000 })
    cell.submit('/q/large', { longRunning: true, resources: cores(12) })
    assert.deepEqual(cell.submit('/q/before', { resources: cores(2), estimateMs: 60_000 }).length, 1)
    // The service is cancelled and has ended; the short task still takes a part.
    cell.leader.handle({ kind: 'cancelJob', call: 4, host: 'jobs.example', path: '/q/service' })
    cell.leader.listEnd(holder, 'service/0/0/0', 1, 'stopped')
    assert.deepEqual(cell.submit('/q/after', { resources: cores(8), estimateMs: 60_000 }), [])
  })
})
