/**
 * Ends of runs that the leader no longer tracks, for example of a run that a late
 * order started. Such an end is acknowledged like any other, so it must count: a
 * failure towards the attempt limit, a success as the end of its task.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, RunEndCause } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'

const TASK = 'job/0/0/0'

/** A leader whose only task was released from worker `one` and runs for the second time on worker `two`. */
function createTaskOnSecondWorker (): ScriptedLeader {
  const leader = ScriptedLeader.create()
  leader.addWorker('one')
  leader.submit()
  leader.addWorker('two')
  const orders = listOrders([...leader.answer('one', 'start', TASK, 1, OrderOutcome.unhealthy), ...leader.advance(200)])
  assert.deepEqual(orders, [`start ${TASK} run 2 on two`])
  leader.answer('two', 'start', TASK, 2, OrderOutcome.done)
  return leader
}

describe('the end of a run that the leader does not track', () => {
  it('counts towards the attempt limit if the run failed, so that no start goes beyond the limit', () => {
    const leader = createTaskOnSecondWorker()
    leader.listEnd('one', TASK, 1, RunEndCause.failed)
    const orders = listOrders([...leader.listEnd('two', TASK, 2, RunEndCause.failed), ...leader.advance(500)])
    assert.deepEqual(orders, [])
    assert.equal(leader.state.jobs.get('job')?.phase, 'failed')
  })

  it('counts if the run failed while its worker was being told to stop it', () => {
    const leader = createTaskOnSecondWorker()
    leader.list('one', { running: [createReportedRun(TASK, 1)] })
    leader.listEnd('one', TASK, 1, RunEndCause.failed)
    leader.listEnd('two', TASK, 2, RunEndCause.failed)
    assert.equal(leader.state.jobs.get('job')?.phase, 'failed')
  })

  it('ends the task if the run succeeded, and a later run of it is stopped', () => {
    const leader = createTaskOnSecondWorker()
    assert.deepEqual(listOrders(leader.listEnd('one', TASK, 1, RunEndCause.done)), [`stop ${TASK} run 2 on two`])
    assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
    leader.answer('two', 'stop', TASK, 2, OrderOutcome.done)
    assert.deepEqual(listOrders([...leader.list('two'), ...leader.advance(500)]), [])
  })

  it('ends a task that waits to be started again, so that it is not started', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ taskCount: 2 })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unhealthy)
    leader.listEnd('one', TASK, 1, RunEndCause.done)
    assert.equal(leader.getTask()?.phase, 'done')
    assert.deepEqual(listOrders(leader.advance(3_000)), [])
  })

  it('ends all members of a gang if one member of an earlier run succeeded', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ taskCount: 2, gang: true })
    leader.addWorker('two')
    leader.answer('one', 'start', TASK, 1, OrderOutcome.unhealthy)
    leader.answer('one', 'stop', 'job/0/0/1', 1, OrderOutcome.done)
    const orders = listOrders([...leader.list('one'), ...leader.advance(200)])
    assert.deepEqual(orders, [`start ${TASK} run 2 on two`, 'start job/0/0/1 run 2 on two'])
    const stops = listOrders(leader.listEnd('one', 'job/0/0/1', 1, RunEndCause.done))
    assert.deepEqual(stops, [`stop ${TASK} run 2 on two`, 'stop job/0/0/1 run 2 on two'])
    assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
  })
})

describe('a failure that is listed again', () => {
  it('to a new leader counts once', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit()
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.listEnd('one', TASK, 1, RunEndCause.failed)
    leader.replaceLeader()
    leader.list('one', { ended: [{ number: 1, task: TASK, run: 1, cause: RunEndCause.failed, checkpoint: '' }] })
    assert.equal(leader.getTask()?.failures, 1)
    assert.equal(leader.state.jobs.get('job')?.phase, 'live')
  })

  it('by another member of the gang after a change of leader counts once', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ taskCount: 2, gang: true })
    leader.listEnd('one', TASK, 1, RunEndCause.failed)
    leader.replaceLeader()
    leader.list('one', { ended: [{ number: 2, task: 'job/0/0/1', run: 1, cause: RunEndCause.failed, checkpoint: '' }] })
    assert.equal(leader.state.jobs.get('job')?.phase, 'live')
  })

  it('is added to the failures of a gang that a snapshot has without the numbers of their runs', () => {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ taskCount: 2, gang: true })
    leader.listEnd('one', TASK, 1, RunEndCause.failed)
    leader.answer('one', 'stop', 'job/0/0/1', 1, OrderOutcome.done)
    assert.equal(listOrders([...leader.list('one'), ...leader.advance(200)]).length, 2)
    for (const index of [0, 1]) delete leader.getTask(index)?.failedRuns
    leader.replaceLeader()
    leader.listEnd('one', 'job/0/0/1', 2, RunEndCause.failed)
    assert.equal(leader.state.jobs.get('job')?.phase, 'failed')
  })
})
