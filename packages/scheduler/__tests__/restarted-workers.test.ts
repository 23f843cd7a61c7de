/**
 * Workers that start again under their id. The new incarnation knows nothing of the
 * runs that the former one had started or stopped, and carries out orders that were
 * sent to the former one, seconds later too.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, RunEndCause } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'
import { createStage } from './support/stages.js'

const TASK = 'job/0/0/0'
const STOP = `stop ${TASK} run 1 on one`
const RESTART = /^start job\/0\/0\/0 run 2 on (one|two)$/

function createPlacedTask (): ScriptedLeader {
  const leader = ScriptedLeader.create()
  leader.addWorker('one')
  leader.submit()
  leader.addWorker('two')
  return leader
}

/** Asserts that the task starts again only once the second incarnation of worker `one` has confirmed the stop of run 1. */
function assertWaitsForStop (leader: ScriptedLeader, incarnation = 2): void {
  leader.list('one', { incarnation, running: [createReportedRun(TASK, 1)] })
  assert.deepEqual(listOrders(leader.advance(100)), [])
  leader.answer('one', 'stop', TASK, 1, OrderOutcome.done, { incarnation })
  assert.equal(leader.getTask()?.phase, 'placed')
  assert.match(listOrders([...leader.list('one', { incarnation }), ...leader.advance(200)]).join(), RESTART)
}

describe('a worker that starts again under its id', () => {
  it('may carry out a start that its former incarnation has not answered, so the run is stopped there first', () => {
    const leader = createPlacedTask()
    assert.deepEqual(listOrders(leader.report('one', 2)), [STOP])
    assertWaitsForStop(leader)
  })

  it('may have answered a start in place of its former incarnation, so a run that was not listed yet is stopped there first', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    assert.deepEqual(listOrders(leader.report('one', 2)), [STOP])
    assertWaitsForStop(leader)
  })

  it('may carry out an earlier attempt of a start whose run its former incarnation had listed', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done, { unanswered: 1 })
    leader.list('one', { running: [createReportedRun(TASK, 1)] })
    assert.deepEqual(listOrders(leader.report('one', 2)), [STOP])
    assertWaitsForStop(leader)
  })

  it('may carry out an order of an earlier leader, so a run that this leader has not seen is stopped there first', () => {
    const leader = createPlacedTask()
    leader.replaceLeader()
    leader.list('two')
    assert.deepEqual(listOrders(leader.report('one', 2)), [STOP])
    assertWaitsForStop(leader)
  })

  it('has lost a run that its former incarnation had listed and for whose start no attempt is open', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.list('one', { running: [createReportedRun(TASK, 1)] })
    assert.match(listOrders([...leader.report('one', 2), ...leader.advance(200)]).join(), RESTART)
  })

  it('is told again to reject a run that its former incarnation was told to stop, if its start got no answer', () => {
    const leader = createPlacedTask()
    leader.report('one', 1, { isDraining: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
    assert.match(listOrders([...leader.list('one'), ...leader.advance(200)]).join(), RESTART)
    assert.deepEqual(listOrders(leader.report('one', 2)), [STOP])
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done, { incarnation: 2 })
    assert.deepEqual(listOrders([...leader.list('one', { incarnation: 2 }), ...leader.advance(300)]), [])
    assert.equal(leader.getTask()?.worker, 'two')
  })

  it('is told to reject a run whose start got no answer before the lease of its former incarnation lapsed', () => {
    const leader = createPlacedTask()
    const released = leader.handle({ kind: 'workerLapsed', id: 'one', incarnation: 1, reason: 'its lease lapsed' })
    assert.match(listOrders([...released, ...leader.advance(200)]).join(), RESTART)
    assert.deepEqual(listOrders(leader.report('one', 2)), [STOP])
  })

  it('is not told of starts that got no answer so long ago that no attempt can be open', () => {
    const leader = createPlacedTask()
    leader.handle({ kind: 'workerLapsed', id: 'one', incarnation: 1, reason: 'its lease lapsed' })
    leader.advance(60_000)
    assert.deepEqual(listOrders(leader.report('one', 2)), [])
  })

  it('answers a list in place of its former incarnation, whose runs are kept until the new one has reported itself', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.handle({ kind: 'workerRestarted', id: 'one', incarnation: 1 })
    assert.deepEqual(listOrders(leader.advance(3_000)), [])
    assert.deepEqual(listOrders(leader.report('one', 2)), [STOP])
    assertWaitsForStop(leader)
  })

  it('and does not report itself has its runs released once every lease on it must have lapsed', () => {
    const leader = createPlacedTask()
    leader.handle({ kind: 'workerRestarted', id: 'one', incarnation: 1 })
    assert.deepEqual(listOrders(leader.advance(6_000)), [])
    assert.match(listOrders(leader.advance(6_000)).join(), RESTART)
  })

  it('does not get a task started there that it is still to reject', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit()
    leader.report('one', 1, { isDraining: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
    leader.list('one')
    assert.deepEqual(listOrders([...leader.report('one', 2), ...leader.list('one', { incarnation: 2 }), ...leader.advance(200)]), [STOP])
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done, { incarnation: 2 })
    const orders = listOrders([...leader.list('one', { incarnation: 2 }), ...leader.advance(200)])
    assert.deepEqual(orders, [`start ${TASK} run 2 on one`])
  })

  it('gets no new work before it has answered a list under the fencing token of the leader', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.report('one', 2)
    assert.deepEqual(listOrders([...leader.submit(), ...leader.advance(500)]), [])
  })

  it('has the other members of a gang stopped with the run that it may still start', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.addWorker('two')
    leader.submit({ taskCount: 2, gang: true, perWorkerLimit: 1 })
    assert.deepEqual(listOrders(leader.report('one', 2)).length, 2)
  })

  it('long after a start without an answer may still carry it out, so its task waits for the stop', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.unknown)
    leader.advance(9_500)
    assert.deepEqual(listOrders(leader.report('one', 2)), [STOP])
    assert.deepEqual(listOrders(leader.advance(200)), [])
    assert.equal(leader.getTask()?.phase, 'placed')
  })

  it('is told to reject a run that was being stopped because an earlier run of its task succeeded', () => {
    const leader = createPlacedTask()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unhealthy)
    leader.advance(200)
    const stop = `stop ${TASK} run 2 on two`
    assert.deepEqual(listOrders(leader.listEnd('one', TASK, 1, RunEndCause.done)), [stop])
    assert.deepEqual(listOrders(leader.report('two', 2)), [stop])
  })

  it('and runs a late start of its former incarnation has no capacity for other work until that run has ended', () => {
    const resources = { millicores: 16_000, memoryMib: 4_096, accelerators: 0 }
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ resources })
    leader.addWorker('two')
    leader.report('one', 1, { isDraining: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
    assert.match(listOrders([...leader.list('one'), ...leader.advance(200)]).join(), RESTART)
    leader.report('one', 2)
    leader.list('one', { incarnation: 2, running: [createReportedRun(TASK, 1)] })
    const accepted = leader.handle({ kind: 'acceptJob', call: 5, host: 'jobs.example', path: '/q/other', spec: { payload: '', stages: [createStage({ resources })] } })
    assert.deepEqual(listOrders([...accepted, ...leader.advance(300)]), [])
  })

  it('and refuses to reject a run does not hold up the tasks of its stage that other workers have room for', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ taskCount: 3 })
    leader.report('one', 1, { isDraining: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
    for (const index of [1, 2]) leader.answer('one', 'start', `job/0/0/${index}`, 1, OrderOutcome.unhealthy)
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
    leader.list('one')
    leader.report('one', 2)
    leader.list('one', { incarnation: 2 })
    leader.addWorker('two')
    for (let second = 0; second < 5; second++) {
      leader.answer('one', 'stop', TASK, 1, OrderOutcome.unhealthy, { incarnation: 2 })
      leader.list('one', { incarnation: 2 })
      leader.advance(1_000)
    }
    assert.deepEqual([1, 2].map(index => leader.getTask(index)?.phase), ['placed', 'placed'])
  })

  it('and runs a late start is told by the next leader too to stop it, before the task starts again', () => {
    const leader = createPlacedTask()
    leader.report('one', 2)
    leader.report('one', 2, { isDraining: true })
    leader.replaceLeader()
    leader.list('two')
    for (let second = 1; second <= 12; second++) {
      leader.list('one', { incarnation: 2, running: [createReportedRun(TASK, 1)] })
      leader.answer('one', 'stop', TASK, 1, OrderOutcome.unhealthy, { incarnation: 2 })
      leader.advance(1_000)
      assert.equal(leader.getTask()?.run, 1, `after ${second} s`)
    }
  })

  it('and has nothing to stop does not delay its task by the longest lease after a change of leader', () => {
    const leader = createPlacedTask()
    leader.report('one', 2)
    leader.replaceLeader()
    leader.list('two')
    leader.list('one', { incarnation: 2 })
    leader.answer('one', 'stop', TASK, 1, OrderOutcome.done, { incarnation: 2 })
    leader.list('one', { incarnation: 2 })
    leader.advance(3_000)
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
