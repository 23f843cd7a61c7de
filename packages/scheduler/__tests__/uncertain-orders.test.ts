/**
 * Orders to called workers whose outcome is uncertain: an order without an answer may
 * have been carried out, or may be seconds later. Until that is impossible, its task
 * must not start elsewhere.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'

const TASK = 'job/0/0/0'

/** A leader that has placed the only task of a job on worker `one`, and can place it on worker `two`. */
function createPlacedTask (): ScriptedLeader {
  const leader = ScriptedLeader.create()
  leader.addWorker('one')
  assert.deepEqual(listOrders(leader.submit()), [`start ${TASK} run 1 on one`])
  leader.addWorker('two')
  return leader
}

describe('a start order', () => {
  for (const outcome of [OrderOutcome.unhealthy, OrderOutcome.noRoom, OrderOutcome.noTicket, OrderOutcome.late, OrderOutcome.invalid]) {
    it(`that is refused (${outcome}) after an attempt without an answer has its task started again only once a stop is confirmed`, () => {
      const leader = createPlacedTask()
      assert.deepEqual(listOrders(leader.answer('one', 'start', TASK, 1, outcome, { unanswered: 1 })), [`stop ${TASK} run 1 on one`])
      assert.deepEqual(listOrders(leader.advance(140)), [])
      // The earlier attempt was carried out.
      leader.list('one', { running: [createReportedRun(TASK, 1)] })
      leader.answer('one', 'stop', TASK, 1, OrderOutcome.done)
      assert.equal(leader.getTask()?.phase, 'placed')
      assert.match(listOrders([...leader.list('one'), ...leader.advance(200)]).join(), /^start job\/0\/0\/0 run 2 on (one|two)$/)
    })
  }

  it('that is refused after an attempt without an answer has the other members of its gang stopped', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.addWorker('two')
    assert.equal(listOrders(leader.submit({ taskCount: 2, gang: true, perWorkerLimit: 1 })).length, 2)
    const orders = listOrders([...leader.answer('one', 'start', TASK, 1, OrderOutcome.unhealthy, { unanswered: 1 }), ...leader.advance(500)])
    assert.deepEqual(orders, [`stop ${TASK} run 1 on one`, 'stop job/0/0/1 run 1 on two'])
  })

  it('that another incarnation answered was carried out, so its task waits for the first list of that incarnation', () => {
    const leader = createPlacedTask()
    assert.deepEqual(listOrders([...leader.answer('one', 'start', TASK, 1, OrderOutcome.restarted), ...leader.advance(3_000)]), [])
    leader.report('one', 2)
    leader.list('one', { incarnation: 2, running: [createReportedRun(TASK, 1)] })
    assert.deepEqual(listOrders(leader.advance(500)), [])
    assert.equal(leader.getTask()?.run, 1)
  })

  it('that is refused at the first attempt has its task started again at once', () => {
    const leader = createPlacedTask()
    const orders = listOrders([...leader.answer('one', 'start', TASK, 1, OrderOutcome.unhealthy), ...leader.advance(200)])
    assert.deepEqual(orders, [`start ${TASK} run 2 on two`])
  })
})

describe('a stop order', () => {
  for (const outcome of [OrderOutcome.unknown, OrderOutcome.unhealthy, OrderOutcome.invalid, OrderOutcome.noRoom, OrderOutcome.late]) {
    it(`that is not confirmed (${outcome}) is sent again, and its task is not started elsewhere`, () => {
      const leader = createPlacedTask()
      leader.answer('one', 'start', TASK, 1, OrderOutcome.unknown, { unanswered: 3 })
      leader.answer('one', 'stop', TASK, 1, outcome)
      leader.list('one')
      assert.deepEqual(listOrders(leader.advance(200)), [`stop ${TASK} run 1 on one`])
      assert.equal(leader.getTask()?.phase, 'placed')
    })
  }
})

describe('a worker that a new leader does not reach', () => {
  it('keeps its runs for the longest lease that workers grant', () => {
    const leader = ScriptedLeader.create({ runLeaseMs: 20_000 })
    leader.addWorker('one')
    leader.submit()
    leader.addWorker('two')
    leader.replaceLeader()
    leader.list('two')
    assert.deepEqual(listOrders(leader.advance(23_000)), [])
    assert.deepEqual(listOrders(leader.advance(1_000)), [`start ${TASK} run 2 on two`])
  })
})
