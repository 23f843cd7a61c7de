/**
 * Capacity that is held back for long-running stages which wait until other runs end.
 * Guards against a cell in little use whose workers are all held for such a stage, so that
 * no other work runs until the longest run has ended.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { StageSpec } from '../src/index.js'
import { OrderOutcome, RunEndCause } from '../src/index.js'
import { listOrders, ScriptedLeader } from './support/scripted-leader.js'
import { createStage } from './support/stages.js'

const WORKERS = ['one', 'two', 'three', 'four']

/** Time in which anything that may start has started, in milliseconds. */
const WAIT_MS = 200

const LONG_MS = 60_000

function cores (count: number): Partial<StageSpec> {
  return { resources: { millicores: 1_000 * count, memoryMib: 64, accelerators: 0 } }
}

class FourWorkers {
  readonly leader = ScriptedLeader.create()

  /** Each of the four workers runs one task of `usedCores` of its 16 cores for a long time. */
  static create (usedCores: number): FourWorkers {
    const cell = new FourWorkers()
    for (const id of WORKERS) cell.leader.addWorker(id)
    const orders = cell.submit('long', { ...cores(usedCores), taskCount: 4, perWorkerLimit: 1, estimateMs: LONG_MS })
    assert.equal(orders.length, 4)
    for (const order of orders) {
      const [, task, , run, , worker] = order.split(' ')
      cell.leader.answer(worker, 'start', task, Number(run), OrderOutcome.done)
    }
    return cell
  }

  /** Submits a job of one stage; returns the orders until everything that may start has started. */
  submit (id: string, stage: Partial<StageSpec>): string[] {
    const submitted = this.leader.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: `/q/${id}`, spec: { payload: '', stages: [createStage(stage)] } })
    return listOrders([...submitted, ...this.leader.advance(WAIT_MS)])
  }

  /** Time passes in which the workers list their runs; returns the orders. */
  advance (): string[] {
    const listed = WORKERS.flatMap(id => this.leader.report(id, 1, { sequence: this.leader.now }))
    return listOrders([...listed, ...this.leader.advance(WAIT_MS)])
  }

  /** The long task on a worker ends; returns the orders that follow. */
  endLongTask (worker: string): string[] {
    const tasks = this.leader.state.jobs.get('long')?.occurrences.get(0)?.[0] ?? []
    const index = tasks.findIndex(task => task.worker === worker)
    return listOrders([...this.leader.listEnd(worker, `long/0/0/${index}`, 1, RunEndCause.done), ...this.leader.advance(WAIT_MS)])
  }
}

/** Work that fits on empty workers only. */
const LARGE_STAGES: Record<string, Partial<StageSpec>> = {
  'long-running tasks that wait': { taskCount: 4, longRunning: true, estimateMs: 0 },
  'a long-running gang that waits': { taskCount: 4, gang: true, longRunning: true, estimateMs: 0 }
}

describe('a cell in little use with', () => {
  for (const [name, stage] of Object.entries(LARGE_STAGES)) {
    it(`${name} for long runs to end: half of the workers are left to other work`, () => {
      const cell = FourWorkers.create(2)
      assert.deepEqual(cell.submit('large', { ...stage, ...cores(15) }), [])
      assert.equal(cell.submit('small', { ...cores(1), taskCount: 8, estimateMs: 2_000 }).length, 8)
    })
  }

  it('a long-running gang that waits for one long run to end: half of the workers are left to other work, though the rest of its capacity is free', () => {
    const cell = FourWorkers.create(2)
    for (const worker of WORKERS.slice(1)) cell.endLongTask(worker)
    assert.deepEqual(cell.submit('large', { taskCount: 4, gang: true, longRunning: true, estimateMs: 0, ...cores(15) }), [])
    assert.equal(cell.submit('small', { ...cores(2), taskCount: 8, estimateMs: 2_000 }).length, 8)
  })

  it('large tasks and small ones starts the large ones on the workers held for them as the runs there end', () => {
    const cell = FourWorkers.create(2)
    cell.submit('large', { taskCount: 4, longRunning: true, ...cores(15) })
    cell.submit('small', { ...cores(1), taskCount: 40, estimateMs: 2_000 })
    const started = WORKERS.flatMap(worker => cell.endLongTask(worker)).filter(order => order.includes('large'))
    assert.equal(started.length, 2)
  })
})

describe('a cell in little use with a gang that ends', () => {
  it('may have capacity held back on all workers, since the gang is moved back once it is late', () => {
    const cell = FourWorkers.create(2)
    assert.deepEqual(cell.submit('large', { taskCount: 4, gang: true, estimateMs: 1_000, ...cores(15) }), [])
    assert.deepEqual(cell.submit('small', { ...cores(1), taskCount: 8, estimateMs: 2_000 }), [])
    const late = Array.from({ length: 6 }, () => cell.advance()).flat()
    assert.equal(late.length, 8)
  })
})

describe('a busy cell', () => {
  it('may have capacity held back on all workers', () => {
    const cell = FourWorkers.create(9)
    assert.deepEqual(cell.submit('large', { taskCount: 4, longRunning: true, ...cores(15) }), [])
    assert.deepEqual(cell.submit('small', { ...cores(1), taskCount: 8, estimateMs: 2_000 }), [])
  })
})
