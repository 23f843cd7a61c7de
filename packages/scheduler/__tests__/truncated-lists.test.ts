/**
 * Lists of ended runs that are truncated: a worker lists a bounded number of ends at a
 * time, so a run that it names neither as running nor as ended may have ended. Guards
 * against a task that is started again although its run had succeeded (incident 12).
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, RunEndCause, type EndedRun, type StageSpec } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'
import { createStage } from './support/stages.js'

const WORKER = 'one'

/** Time in which a waiting task would be started again, in milliseconds. */
const RESTART_MS = 500

/** Time for which a worker that refused a start as unhealthy gets no other, and some more, in milliseconds. */
const COOLDOWN_MS = 3_000

function taskName (index: number): string {
  return `job/0/0/${index}`
}

function createEnd (number: number, index: number, run = 1): EndedRun {
  return { number, task: taskName(index), run, cause: RunEndCause.done, checkpoint: '' }
}

/** A leader whose job has `taskCount` tasks that run on one worker. */
function createLeader (taskCount: number, stage: Partial<StageSpec> = {}): ScriptedLeader {
  const leader = ScriptedLeader.create()
  leader.addWorker(WORKER)
  leader.submit({ taskCount, ...stage })
  for (let index = 0; index < taskCount; index++) leader.answer(WORKER, 'start', taskName(index), 1, OrderOutcome.done)
  return leader
}

/** Task 0 ends in a truncated list, and the others in the next one; returns all orders until then and some time after. */
function listInTwoParts (leader: ScriptedLeader, taskCount: number): string[] {
  const first = leader.list(WORKER, { ended: [createEnd(1, 0)], isTruncated: true })
  const meanwhile = leader.advance(RESTART_MS)
  const others = Array.from({ length: taskCount - 1 }, (_, index) => createEnd(index + 2, index + 1))
  return listOrders([...first, ...meanwhile, ...leader.list(WORKER, { ended: others }), ...leader.advance(RESTART_MS)])
}

describe('a run that a truncated list does not name', () => {
  describe('and that has ended', () => {
    it('is not started again by a new leader', () => {
      const leader = createLeader(3)
      leader.replaceLeader()
      assert.deepEqual(listInTwoParts(leader, 3), [])
      assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
    })

    it('is not started again by a leader that takes over between two lists', () => {
      const leader = createLeader(3)
      leader.replaceLeader()
      leader.list(WORKER, { ended: [createEnd(1, 0)], isTruncated: true })
      leader.replaceLeader()
      const orders = listOrders([...leader.list(WORKER, { ended: [createEnd(2, 1)], isTruncated: true }), ...leader.advance(RESTART_MS)])
      assert.deepEqual(orders, [])
      leader.list(WORKER, { ended: [createEnd(3, 2)] })
      assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
    })

    it('is not stopped by the leader that started it', () => {
      const leader = createLeader(3)
      assert.deepEqual(listInTwoParts(leader, 3), [])
      assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
    })

    it('is not started again after a stop of it was confirmed', () => {
      const leader = createLeader(2)
      leader.list(WORKER, { running: [createReportedRun(taskName(0), 1)] })
      leader.answer(WORKER, 'stop', taskName(1), 1, OrderOutcome.done)
      assert.deepEqual(listInTwoParts(leader, 2).filter(order => order.startsWith('start')), [])
      assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
    })

    it('is not started again as a member of a gang', () => {
      const leader = createLeader(2, { gang: true })
      leader.replaceLeader()
      const first = leader.list(WORKER, { isTruncated: true })
      const orders = listOrders([...first, ...leader.advance(RESTART_MS), ...leader.list(WORKER, { ended: [createEnd(1, 0), createEnd(2, 1)] })])
      assert.deepEqual(orders, [])
      assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
    })

    it('is not started again if the replicated state does not place it on the worker', () => {
      const leader = ScriptedLeader.create()
      leader.addWorker(WORKER)
      leader.submit()
      leader.answer(WORKER, 'start', taskName(0), 1, OrderOutcome.unhealthy)
      leader.list(WORKER, { running: [createReportedRun(taskName(0), 1)] })
      leader.answer(WORKER, 'stop', taskName(0), 1, OrderOutcome.done)
      const first = leader.list(WORKER, { isTruncated: true })
      const orders = listOrders([...first, ...leader.advance(COOLDOWN_MS), ...leader.list(WORKER, { ended: [createEnd(1, 0)] })])
      assert.deepEqual(orders, [])
      assert.equal(leader.state.jobs.get('job')?.phase, 'completed')
    })
  })

  describe('and that never began', () => {
    it('is started again once a list that is not truncated does not name it either', () => {
      const leader = createLeader(2)
      leader.replaceLeader()
      const first = listOrders([...leader.list(WORKER, { ended: [createEnd(1, 0)], isTruncated: true }), ...leader.advance(RESTART_MS)])
      assert.deepEqual(first, [])
      const second = listOrders([...leader.list(WORKER), ...leader.advance(RESTART_MS)])
      assert.deepEqual(second, [`start ${taskName(1)} run 2 on ${WORKER}`])
    })

    it('is started again although all lists are truncated, once a run has ended that was listed as running beside it', () => {
      const leader = createLeader(3)
      leader.replaceLeader()
      const running = [createReportedRun(taskName(1), 1)]
      leader.list(WORKER, { running, ended: [createEnd(1, 0)], isTruncated: true })
      const second = listOrders([...leader.list(WORKER, { running, ended: [createEnd(2, 0)], isTruncated: true }), ...leader.advance(RESTART_MS)])
      assert.deepEqual(second, [])
      const third = listOrders([...leader.list(WORKER, { ended: [createEnd(3, 1)], isTruncated: true }), ...leader.advance(RESTART_MS)])
      assert.deepEqual(third, [`start ${taskName(2)} run 2 on ${WORKER}`])
    })
  })

  it('counts as using its resources until its end is known', () => {
    // The worker holds four of these tasks.
    const leader = createLeader(4)
    leader.replaceLeader()
    leader.handle({ kind: 'acceptJob', call: 4, host: 'jobs.example', path: '/q/other', spec: { payload: '', stages: [createStage({ taskCount: 4 })] } })
    const first = listOrders([...leader.list(WORKER, { ended: [createEnd(1, 0)], isTruncated: true }), ...leader.advance(RESTART_MS)])
    assert.deepEqual(first, ['start other/0/0/0 run 1 on one'])
  })
})
