/**
 * Workers whose capacity shrinks and grows while they run. A start counts against the
 * newest capacity that the worker has reported, and what runs there already goes on.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AdmissionTickets, createRun, PlacementPass, WorkerView, type CalledWorker, type Resources, type SchedulingUnit } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'
import { createStage } from './support/stages.js'

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

// The day deploy/days/shrunk.toml, while no controller is up: the capacity in the replicated state is that of before.
describe('a worker whose capacity may have shrunk while there was no leader', () => {
  function takeOver (outageMs: number): ScriptedLeader {
    const leader = createCell()
    leader.submit({ taskCount: 4 })
    leader.advance(100)
    leader.listEnd('one', 'job/0/0/0', 1, 'failed')
    leader.now += outageMs
    leader.replaceLeader()
    return leader
  }

  const running = [1, 2, 3].map(index => createReportedRun(`job/0/0/${index}`, 1))

  it('gets no start from the next leader before it has reported its capacity', () => {
    const leader = takeOver(4_000)
    assert.deepEqual(listOrders([...leader.list('one', { running }), ...leader.advance(300)]), [])
    assert.deepEqual(listOrders([...leader.report('one', 1, { capacity: { ...FULL, millicores: 8_000 }, sequence: 2 }), ...leader.advance(300)]), [])
    assert.equal(listOrders([...leader.report('one', 1, { capacity: FULL, sequence: 3 }), ...leader.advance(300)]).length, 1)
  })

  it('gets a start at once if it has reported its capacity to the next leader before it listed its runs', () => {
    const leader = takeOver(4_000)
    leader.report('one', 1, { capacity: FULL, sequence: 2 })
    assert.equal(listOrders([...leader.list('one', { running }), ...leader.advance(300)]).length, 1)
  })

  it('gets a start at once after a change of the leader within a second', () => {
    const leader = takeOver(1_000)
    assert.equal(listOrders([...leader.list('one', { running }), ...leader.advance(300)]).length, 1)
  })
})

describe('a worker that runs more than its shrunk capacity', () => {
  const stage = createStage({ checkpoints: true })

  /** A worker of 8,000 millicores with four runs of 4,000 that can be preempted, one of which is being stopped. */
  function createOverfull (): WorkerView {
    const worker: CalledWorker = {
      id: 'one', incarnation: 1, address: 'one:1', service: 'work', availabilityZone: 'zone', rack: 'rack', labels: [], capacity: { ...FULL, millicores: 8_000 }, isDraining: false, hasLeft: false
    }
    const view = WorkerView.create(worker, 0)
    view.hasAcceptedToken = true
    for (const index of [0, 1, 2, 3]) {
      const ref = { job: 'bulk', occurrence: 0, stage: 0, index }
      view.add({ ...createRun(ref, `bulk/0/0/${index}`, 1, stage, 2, 0), status: index === 3 ? 'stopping' : 'running', objectiveAt: 1_000_000 })
    }
    return view
  }

  it('is freed of its excess by a preemption, since less would let nothing start', () => {
    const queue = { name: 'q', host: '', pathPrefix: '/', service: 'work', priority: 0, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000 }
    const unit: SchedulingUnit = {
      key: 'job/0/0', job: 'job', occurrence: 0, stage: 0, spec: createStage(), payload: '', queue, objectiveAt: 2_000, worthlessAt: 6_000, remainingMs: 500, waiting: [0], suspects: new Set(), placedCounts: new Map()
    }
    const pass = PlacementPass.create([createOverfull()], AdmissionTickets.create(), 1_000)
    pass.place(unit)
    assert.deepEqual(pass.placements, [])
    assert.equal(pass.preemptions.length, 2)
  })
})
