/**
 * Tasks that crash the workers that start them. A crash is counted only against runs
 * that may have caused it, and only if the process of the worker has certainly ended;
 * a suspected task starts where nothing else could be the cause of the next crash.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, type StageSpec } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'

const TASK = 'job/0/0/0'

/** Two readings of a worker's clock in milliseconds, between which a run outlives its startup. */
const STARTED_MS = 1_000
const OUTLIVED_MS = 2_000

/** A leader with workers `one` to `four`, of which a script crashes one after another. */
class CrashScript {
  readonly leader = ScriptedLeader.create()
  private successors = 0

  static create (stage: Partial<StageSpec> = {}): CrashScript {
    const script = new CrashScript()
    script.leader.addWorker('one')
    script.leader.submit(stage)
    return script
  }

  get worker (): string {
    return this.leader.getTask()?.worker ?? ''
  }

  get phase (): string | undefined {
    return this.leader.state.jobs.get('job')?.phase
  }

  /** The worker of the task confirms its start. */
  confirmStart (task = TASK): void {
    const { run = 0, worker = '' } = this.leader.getTask(Number(task.split('/')[3])) ?? {}
    this.leader.answer(worker, 'start', task, run, OrderOutcome.done, { clockMs: STARTED_MS })
  }

  /** The worker of the task ends without notice, and another one answers at its address. */
  crash (isClosed = true): void {
    const { worker } = this
    const { address = '', incarnation = 0 } = this.leader.state.calledWorkers.get(worker) ?? {}
    this.leader.handle({ kind: 'workerSilent', id: worker, incarnation, isClosed })
    const successor = `successor-${++this.successors}`
    this.leader.report(successor, incarnation + 1, { address })
    this.leader.list(successor, { incarnation: incarnation + 1 })
    this.leader.advance(100)
  }
}

describe('a task whose worker crashes in its startup', () => {
  it('is given up after the second crash, and its job fails', () => {
    const script = CrashScript.create()
    for (const phase of ['live', 'failed']) {
      script.leader.answer(script.worker, 'start', TASK, script.leader.getTask()?.run ?? 0, OrderOutcome.done, { clockMs: STARTED_MS, incarnation: script.leader.getTask()?.incarnation })
      script.crash()
      assert.equal(script.phase, phase)
    }
  })

  it('is given up also if it lasts, and if the leader changes between the crashes', () => {
    const script = CrashScript.create({ longRunning: true })
    script.confirmStart()
    script.crash()
    script.leader.replaceLeader()
    const { worker, run = 0, incarnation } = script.leader.getTask() ?? { worker: '' }
    script.leader.list(worker, { incarnation, clockMs: STARTED_MS, running: [createReportedRun(TASK, run)] })
    script.crash()
    assert.equal(script.phase, 'failed')
  })

  // The day deploy/days/deadly-task.toml: each leader that ordered a start is killed, so that no leader sees a startup whole.
  it('is started six times at most, three of them after three crashes, though the leader is killed between all of them', () => {
    const script = CrashScript.create()
    let starts = 1
    for (let crashes = 0; crashes < 8 && script.phase === 'live'; crashes++) {
      script.confirmStart()
      script.leader.replaceLeader()
      for (const { id, incarnation } of [...script.leader.state.calledWorkers.values()]) {
        const { run = 0, worker } = script.leader.getTask() ?? {}
        script.leader.list(id, { incarnation, clockMs: STARTED_MS, running: worker === id ? [createReportedRun(TASK, run)] : [] })
      }
      script.crash()
      if (script.phase === 'live') starts = script.leader.getTask()?.run ?? 0
    }
    assert.equal(script.phase, 'failed')
    assert.ok(starts <= 6, `${starts} starts`)
  })

  it('counts as one suspect with the other members of its gang', () => {
    const script = CrashScript.create({ gang: true, taskCount: 2 })
    for (const phase of ['live', 'failed']) {
      for (const index of [0, 1]) {
        const { run = 0, worker = '', incarnation } = script.leader.getTask(index) ?? {}
        script.leader.answer(worker, 'start', `job/0/0/${index}`, run, OrderOutcome.done, { clockMs: STARTED_MS, incarnation })
      }
      script.crash()
      assert.equal(script.phase, phase)
    }
  })
})

describe('a task that is not given up', () => {
  it('has outlived its startup when its worker crashes', () => {
    const script = CrashScript.create()
    for (let crashes = 0; crashes < 4; crashes++) {
      const { run = 0, worker = '', incarnation } = script.leader.getTask() ?? {}
      for (const clockMs of [STARTED_MS, OUTLIVED_MS]) script.leader.list(worker, { incarnation, clockMs, running: [createReportedRun(TASK, run)] })
      script.crash()
    }
    assert.equal(script.phase, 'live')
    assert.equal(script.leader.getTask()?.crashes?.evidence, 0)
  })

  it('was on workers that were only silent until their leases expired', () => {
    const script = CrashScript.create()
    for (let losses = 0; losses < 6; losses++) {
      const { run = 0, worker = '', incarnation = 0 } = script.leader.getTask() ?? {}
      script.leader.answer(worker, 'start', TASK, run, OrderOutcome.done, { clockMs: STARTED_MS, incarnation })
      script.leader.handle({ kind: 'workerSilent', id: worker, incarnation, isClosed: true })
      script.leader.handle({ kind: 'workerLapsed', id: worker, incarnation, loss: 'leaseExpired', reason: 'its lease lapsed' })
      script.leader.addWorker(`next-${losses}`)
    }
    assert.equal(script.phase, 'live')
    assert.equal(script.leader.getTask()?.crashes, undefined)
  })

  it('was on workers that were unreachable before they crashed, since it may have ended before', () => {
    const script = CrashScript.create()
    for (let crashes = 0; crashes < 3; crashes++) {
      const { run = 0, worker = '', incarnation } = script.leader.getTask() ?? {}
      script.leader.answer(worker, 'start', TASK, run, OrderOutcome.done, { clockMs: STARTED_MS, incarnation })
      script.crash(false)
    }
    assert.equal(script.phase, 'live')
  })

  it('was on workers that drained', () => {
    const script = CrashScript.create()
    for (let ends = 0; ends < 3; ends++) {
      const { run = 0, worker = '', incarnation } = script.leader.getTask() ?? {}
      script.leader.answer(worker, 'start', TASK, run, OrderOutcome.done, { clockMs: STARTED_MS, incarnation })
      script.leader.report(worker, incarnation, { address: script.leader.state.calledWorkers.get(worker)?.address ?? '', isDraining: true })
      script.crash()
    }
    assert.equal(script.phase, 'live')
    assert.equal(script.leader.getTask()?.crashes, undefined)
  })
})

describe('a worker whose lease expires before its successor answers', () => {
  it('counts as crashed once the successor answers', () => {
    const script = CrashScript.create()
    script.confirmStart()
    script.leader.handle({ kind: 'workerSilent', id: 'one', incarnation: 1, isClosed: true })
    script.leader.handle({ kind: 'workerLapsed', id: 'one', incarnation: 1, loss: 'leaseExpired', reason: 'its lease lapsed' })
    script.leader.report('successor', 2, { address: 'one:1' })
    script.leader.list('successor', { incarnation: 2 })
    assert.equal(script.leader.getTask()?.crashes?.lostRuns, 1)
  })
})

describe('a task that crashes its worker only after its startup', () => {
  it('is given up after five lost runs in a row', () => {
    const script = CrashScript.create()
    for (let crashes = 1; crashes <= 5; crashes++) {
      assert.equal(script.phase, 'live')
      const { run = 0, worker = '', incarnation } = script.leader.getTask() ?? {}
      for (const clockMs of [STARTED_MS, OUTLIVED_MS]) script.leader.list(worker, { incarnation, clockMs, running: [createReportedRun(TASK, run)] })
      script.crash()
    }
    assert.equal(script.phase, 'failed')
  })
})

describe('a suspected task', () => {
  /** Two tasks share the suspicion of one crash; a second worker has a run that has not outlived its startup. */
  function createSuspects (): { leader: ScriptedLeader, orders: string[] } {
    const leader = ScriptedLeader.create()
    leader.addWorker('one')
    leader.submit({ taskCount: 2 })
    for (const index of [0, 1]) leader.answer('one', 'start', `job/0/0/${index}`, 1, OrderOutcome.done, { clockMs: STARTED_MS })
    leader.handle({ kind: 'workerSilent', id: 'one', incarnation: 1, isClosed: true })
    leader.report('two', 2, { address: 'one:1' })
    return { leader, orders: listOrders([...leader.list('two', { incarnation: 2 }), ...leader.advance(300)]) }
  }

  it('starts where no other run is in its startup, and nothing starts beside it until it has outlived its own', () => {
    const { leader, orders } = createSuspects()
    assert.deepEqual(orders, [`start ${TASK} run 2 on two`])
    leader.answer('two', 'start', TASK, 2, OrderOutcome.done, { incarnation: 2, clockMs: STARTED_MS })
    assert.deepEqual(listOrders(leader.advance(300)), [])
    const effects = leader.list('two', { incarnation: 2, clockMs: OUTLIVED_MS, running: [createReportedRun(TASK, 2)] })
    assert.deepEqual(listOrders([...effects, ...leader.advance(300)]), ['start job/0/0/1 run 2 on two'])
  })

  it('is followed by another one once a crash would have closed the connections of the worker, though it has not listed yet', () => {
    const { leader } = createSuspects()
    leader.answer('two', 'start', TASK, 2, OrderOutcome.done, { incarnation: 2, clockMs: STARTED_MS })
    assert.deepEqual(listOrders(leader.advance(600)), ['start job/0/0/1 run 2 on two'])
  })

  it('is cleared when a run of it ends on a worker that is up', () => {
    const { leader } = createSuspects()
    assert.notEqual(leader.getTask()?.crashes, undefined)
    leader.listEnd('two', TASK, 2, 'failed', 2)
    assert.equal(leader.getTask()?.crashes, undefined)
  })
})
