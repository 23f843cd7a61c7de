/**
 * Workers whose capacity shrinks and grows while they run. A start counts against the
 * newest capacity that the worker has reported, and what runs there already goes on.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { CalledWorker, Resources } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'

const FULL: Resources = { millicores: 16_000, memoryMib: 65_536, accelerators: 0 }
const SMALL: Resources = { millicores: 4_000, memoryMib: 65_536, accelerators: 0 }
const NONE: Resources = { millicores: 0, memoryMib: 0, accelerators: 0 }

/** A leader with one worker that has reported itself with sequence number 1; each small task takes a quarter of it. */
function createCell (): ScriptedLeader {
  const leader = ScriptedLeader.create()
  leader.report('one', 1, { capacity: FULL, sequence: 1 })
  leader.list('one')
  return leader
}

function readWorker (leader: ScriptedLeader): CalledWorker | undefined {
  return leader.state.calledWorkers.get('one')
}

describe('a worker whose capacity shrinks', () => {
  it('gets no start beyond it although a report from before arrives later', () => {
    const leader = createCell()
    leader.report('one', 1, { capacity: SMALL, sequence: 3 })
    leader.report('one', 1, { capacity: FULL, sequence: 2 })
    assert.equal(readWorker(leader)?.capacity.millicores, SMALL.millicores)
    assert.equal(listOrders([...leader.submit({ taskCount: 3 }), ...leader.advance(300)]).length, 1)
  })

  it('gets no start beyond it although a late report is newer than the one that changed it last', () => {
    const leader = createCell()
    leader.report('one', 1, { capacity: SMALL, sequence: 3 })
    leader.report('one', 1, { capacity: SMALL, sequence: 5 })
    leader.report('one', 1, { capacity: FULL, sequence: 4 })
    assert.equal(readWorker(leader)?.capacity.millicores, SMALL.millicores)
  })

  it('still drains when the report that says so arrives late', () => {
    const leader = createCell()
    leader.report('one', 1, { capacity: SMALL, sequence: 3 })
    leader.report('one', 1, { capacity: FULL, sequence: 2, isDraining: true })
    assert.deepEqual([readWorker(leader)?.isDraining, readWorker(leader)?.capacity.millicores], [true, SMALL.millicores])
  })

  it('to nothing gets no start, and its waiting job starts once the capacity is back', () => {
    const leader = createCell()
    leader.report('one', 1, { capacity: NONE, sequence: 2 })
    assert.deepEqual(listOrders([...leader.submit(), ...leader.advance(300)]), [])
    assert.equal(leader.state.jobs.get('job')?.phase, 'live')
    assert.equal(listOrders([...leader.report('one', 1, { capacity: FULL, sequence: 3 }), ...leader.advance(300)]).length, 1)
  })

  it('keeps the runs that are over it, which count until they end', () => {
    const leader = createCell()
    const started = listOrders(leader.submit({ taskCount: 4 }))
    assert.equal(started.length, 4)
    leader.report('one', 1, { capacity: { ...FULL, millicores: 8_000 }, sequence: 2 })
    const running = [0, 1, 2, 3].map(index => createReportedRun(`job/0/0/${index}`, 1))
    assert.deepEqual(listOrders([...leader.list('one', { running }), ...leader.advance(300)]), [])
  })
})

describe('a worker that answers again after a silence in which its capacity may have shrunk', () => {
  it('gets no start before it has reported its capacity', () => {
    const leader = createCell()
    leader.handle({ kind: 'workerSilent', id: 'one', incarnation: 1, isClosed: false })
    leader.submit()
    leader.advance(3_000)
    assert.deepEqual(listOrders([...leader.list('one'), ...leader.advance(300)]), [])
    assert.equal(listOrders([...leader.report('one', 1, { capacity: FULL, sequence: 2 }), ...leader.advance(300)]).length, 1)
  })
})
