/**
 * Workers that start again under their id. The new incarnation knows nothing of the
 * runs that the former one had started or stopped. Until its first list under a new
 * fencing token it carries out orders that were sent to the former one.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, RunEndCause, type StageSpec } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'
import { createStage } from './support/stages.js'

const TASK = 'job/0/0/0'
const STOP = `stop ${TASK} run 1 on one`
const RESTART = /^start job\/0\/0\/0 run 2 on (one|two)$/

/** Longer than any lease, in milliseconds. */
const LONG_MS = 9_500

function createPlacedTask (): ScriptedLeader {
  const leader = ScriptedLeader.create()
  leader.addWorker('one')
  leader.submit()
  leader.addWorker('two')
  return leader
}

/** Asserts that the task starts again only once the second incarnation of worker `one` has listed its runs. */
function assertWaitsForList (leader: ScriptedLeader): void {
  assert.deepEqual(listOrders([...leader.report('one', 2), ...leader.advance(3_000)]), [])
  assert.equal(leader.getTask()?.phase, 'placed')
  assert.match(listOrders([...leader.list('one', { incarnation: 2 }), ...leader.advance(200)]).join(), RESTART)
}

/** A leader whose task runs on worker `two`, while a late start of its first run is in progress on a restarted worker `one`. */
function createLateStart (stage: Partial<StageSpec> = {}): ScriptedLeader {
  const leader = ScriptedLeader.create()
  leader.addWorker('one')
  leader.submit(stage)
  leader.addWorker('two')
  leader.report('one', 1, { isDraining: true })
  leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
  leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
  assert.match(listOrders([...leader.list('one'), ...leader.advance(200)]).join(), RESTART)
  leader.report('one', 2)
  assert.deepEqual(listOrders(leader.list('one', { incarnation: 2, running: [createReportedRun(TASK, 1)] })), [STOP])
  return leader
}

describe('a worker that starts again under its id', () => {
  it('may carry out a start that its former incarnation has not answered, so its task waits for the first list', () => {
    assertWaitsForList(createPlacedTask())
  })

  it('may have answered a start in place of its former incarnation, so its task waits for the first list', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    assertWaitsForList(leader)
  })

  it('may carry out an earlier attempt of a start whose run its former incarnation had listed', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done, { unanswered: 1 })
    leader.list('one', { running: [createReportedRun(TASK, 1)] })
    assertWaitsForList(leader)
  })

  it('may carry out an order of an earlier leader', () => {
    const leader = createPlacedTask()
    leader.replaceLeader()
    leader.list('two')
    assertWaitsForList(leader)
  })

  it('may carry out a start of a run that was being stopped', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
    assertWaitsForList(leader)
  })

  it('may carry out a start long after it was ordered', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.unknown)
    leader.advance(LONG_MS)
    assertWaitsForList(leader)
  })

  it('keeps a run that its first list names, and the end of that run counts', () => {
    const leader = createPlacedTask()
    leader.report('one', 2)
    leader.list('one', { incarnation: 2, running: [createReportedRun(TASK, 1)] })
    assert.deepEqual(listOrders(leader.advance(500)), [])
    leader.listEnd('one', TASK, 1, RunEndCause.done, 2)
    assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
  })

  it('has the other members of a gang stopped once its first list does not name a member', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.addWorker('two')
    leader.submit({ taskCount: 2, gang: true, perWorkerLimit: 1 })
    leader.list('two', { running: [createReportedRun('job/0/0/1', 1)] })
    leader.report('one', 2)
    assert.deepEqual(listOrders(leader.list('one', { incarnation: 2 })), ['stop job/0/0/1 run 1 on two'])
  })

  it('is told to stop a run that its former incarnation was told to stop, if it starts that run', () => {
    createLateStart()
  })

  it('is told to stop a run of a task that is done, if it starts that run', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unhealthy)
    leader.advance(200)
    const stop = `stop ${TASK} run 2 on two`
    assert.deepEqual(listOrders(leader.listEnd('one', TASK, 1, RunEndCause.done)), [stop])
    leader.report('two', 2)
    assert.deepEqual(listOrders(leader.list('two', { incarnation: 2, running: [createReportedRun(TASK, 2)] })), [stop])
  })

  it('has no capacity for other work until a late start of its former incarnation has ended', () => {
    const resources = { millicores: 16_000, memoryMib: 4_096, accelerators: 0 }
    const leader = createLateStart({ resources })
    const accepted = leader.handle({ kind: 'acceptJob', call: 5, host: 'jobs.example', path: '/q/other', spec: { payload: '', stages: [createStage({ resources })] } })
    assert.deepEqual(listOrders([...accepted, ...leader.advance(140)]), [])
  })

  it('does not get a task started there while it is to stop an earlier run of it', () => {
    const leader = createLateStart()
    leader.report('two', 1, { isDraining: true })
    leader.answer('two', 'start', TASK, 2, OrderOutcome.unhealthy)
    assert.deepEqual(listOrders(leader.advance(140)), [])
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done, { incarnation: 2 })
    const orders = listOrders([...leader.list('one', { incarnation: 2 }), ...leader.advance(200)])
    assert.deepEqual(orders, [`start ${TASK} run 3 on one`])
  })

  it('and is to stop a run gets the other tasks of its stage meanwhile', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ taskCount: 3 })
    leader.report('one', 1, { isDraining: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
    leader.list('one', { running: [1, 2].map(index => createReportedRun(`job/0/0/${index}`, 1)) })
    leader.report('one', 2)
    const orders = listOrders(leader.list('one', { incarnation: 2, running: [createReportedRun(TASK, 1)] }))
    assert.deepEqual(orders, [STOP, 'start job/0/0/1 run 2 on one', 'start job/0/0/2 run 2 on one'])
  })

  it('and lists a late start keeps its task from starting on another worker before that run has ended', () => {
    const leader = createLateStart({ resources: { millicores: 16_000, memoryMib: 1_024, accelerators: 0 } })
    leader.answer('two', 'start', TASK, 2, OrderOutcome.done)
    assert.deepEqual(listOrders([...leader.listEnd('two', TASK, 2, RunEndCause.failed), ...leader.advance(140)]), [])
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done, { incarnation: 2 })
    const orders = listOrders([...leader.list('one', { incarnation: 2 }), ...leader.advance(200)])
    assert.match(orders.join(), /^start job\/0\/0\/0 run 3 on (one|two)$/)
  })

  it('and lists a late start counts it towards the number of tasks of its stage that it may run', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ taskCount: 2, perWorkerLimit: 1 })
    leader.report('one', 1, { isDraining: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
    leader.list('one')
    for (const id of ['two', 'three']) leader.addWorker(id)
    leader.advance(200)
    for (const id of ['two', 'three']) leader.report(id, 1, { isDraining: true })
    const { worker = '', run = 0 } = leader.getTask(1) ?? {}
    leader.answer(worker, 'start', 'job/0/0/1', run, OrderOutcome.unhealthy)
    leader.report('one', 2)
    const orders = listOrders([...leader.list('one', { incarnation: 2, running: [createReportedRun(TASK, 1)] }), ...leader.advance(140)])
    assert.deepEqual(orders, [STOP])
  })

  it('and lists a former run in place of the one that was placed is told to stop it, before the task starts again', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ longRunning: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
    assert.deepEqual(listOrders([...leader.list('one'), ...leader.advance(200)]), [`start ${TASK} run 2 on one`])
    leader.answer('one', 'start', TASK, 2, OrderOutcome.done)
    leader.report('one', 2)
    const list = { incarnation: 2, running: [createReportedRun(TASK, 1)] }
    assert.deepEqual(listOrders([...leader.list('one', list), ...leader.advance(140)]), [STOP])
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done, { incarnation: 2 })
    assert.deepEqual(listOrders([...leader.list('one', { incarnation: 2 }), ...leader.advance(200)]), [`start ${TASK} run 3 on one`])
  })

  it('is told to stop a member of a gang that its former incarnation was told to stop', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.addWorker('two')
    leader.submit({ taskCount: 2, gang: true, perWorkerLimit: 1 })
    const [first, second] = [0, 1].map(index => leader.getTask(index)?.worker ?? '')
    leader.answer(first, 'start', TASK, 1, OrderOutcome.done)
    leader.answer(second, 'start', 'job/0/0/1', 1, OrderOutcome.done)
    const stop = `stop ${TASK} run 1 on ${first}`
    assert.deepEqual(listOrders(leader.listEnd(second, 'job/0/0/1', 1, RunEndCause.failed)), [stop])
    leader.report(first, 2)
    assert.deepEqual(listOrders(leader.list(first, { incarnation: 2, running: [createReportedRun(TASK, 1)] })), [stop])
  })

  it('answers a list in place of its former incarnation, whose runs are kept until the new one has listed its runs', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.handle({ kind: 'workerRestarted', id: 'one', incarnation: 1 })
    assert.deepEqual(listOrders(leader.advance(3_000)), [])
    assertWaitsForList(leader)
  })

  it('and does not report itself has its runs released once every lease on it must have lapsed', () => {
    const leader = createPlacedTask()
    leader.handle({ kind: 'workerRestarted', id: 'one', incarnation: 1 })
    assert.deepEqual(listOrders(leader.advance(6_000)), [])
    assert.match(listOrders(leader.advance(6_000)).join(), RESTART)
  })

  it('gets no new work before it has answered a list under a new fencing token', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.report('one', 2)
    assert.deepEqual(listOrders([...leader.submit(), ...leader.advance(500)]), [])
  })

  it('and runs a late start is asked by the next leader too, before the task starts again', () => {
    const leader = createPlacedTask()
    leader.report('one', 2)
    leader.replaceLeader()
    leader.list('two')
    leader.advance(3_000)
    assert.equal(leader.getTask()?.run, 1)
    leader.list('one', { incarnation: 2, running: [createReportedRun(TASK, 1)] })
    leader.advance(LONG_MS)
    assert.equal(leader.getTask()?.run, 1)
  })

  it('and runs nothing does not delay its task by the longest lease after a change of leader', () => {
    const leader = createPlacedTask()
    leader.report('one', 2)
    leader.replaceLeader()
    leader.list('two')
    leader.list('one', { incarnation: 2 })
    leader.advance(200)
    assert.equal(leader.getTask()?.run, 2)
  })
})

describe('an announcement of leaving that arrives late', () => {
  it('does not mark the next incarnation as left', () => {
    const leader = createPlacedTask()
    leader.report('one', 2)
    leader.handle({ kind: 'workerLeft', call: 4, id: 'one', incarnation: 0 })
    assert.equal(leader.state.calledWorkers.get('one')?.hasLeft, false)
    assert.equal(leader.state.calledWorkers.get('one')?.isDraining, false)
  })

  it('marks a worker that has announced that it drains', () => {
    const leader = createPlacedTask()
    leader.report('one', 1, { isDraining: true })
    leader.handle({ kind: 'workerLeft', call: 4, id: 'one', incarnation: 0 })
    assert.equal(leader.state.calledWorkers.get('one')?.hasLeft, true)
  })
})
