/**
 * Gangs whose tasks are suspected to crash workers. A gang starts as a whole, so no limit on suspected tasks may stay
 * below what one gang needs: it would never start again, on any number of idle workers.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, StageTaskPhase, type Effect, type StageSpec, type StageTask } from '../src/index.js'
import { createStage } from './support/stages.js'
import { createReportedRun, ScriptedLeader } from './support/scripted-leader.js'

/** Two readings of a worker's clock in milliseconds, between which a run outlives its startup. */
const STARTED_MS = 1_000
const OUTLIVED_MS = 2_000

/** Time after a start from which a crash is not certain to have come in its startup, in milliseconds. */
const LATER_MS = 500

/** A task that needs most of a worker. */
const WIDE: Partial<StageSpec> = { resources: { millicores: 12_000, memoryMib: 1_024, accelerators: 0 } }

/** Jobs on idle workers, some of which crash and are back under their ids. */
class CrashedRack {
  readonly leader = ScriptedLeader.create()
  /** False while no worker answers an order. */
  isAnswering = true
  private readonly incarnations = new Map<string, number>()

  static create (workers: number): CrashedRack {
    const rack = new CrashedRack()
    for (let index = 1; index <= workers; index++) {
      rack.incarnations.set(`w${index}`, 1)
      rack.leader.addWorker(`w${index}`)
    }
    return rack
  }

  submit (job: string, stage: Partial<StageSpec>): void {
    this.confirm(this.leader.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: `/q/${job}`, spec: { payload: '', stages: [createStage(stage)] } }))
  }

  tasks (job: string): StageTask[] {
    return this.leader.state.jobs.get(job)?.occurrences.get(0)?.[0] ?? []
  }

  isRunning (job: string): boolean {
    return this.tasks(job).every(({ phase }) => phase === StageTaskPhase.placed)
  }

  /** Lets time pass, in which the workers carry out all orders. */
  advance (ms: number): void {
    for (const end = this.leader.now + ms; this.leader.now < end;) this.confirm(this.leader.advance(10))
  }

  /** A worker lists the tasks that are placed on its present incarnation as running. */
  list (id: string, clockMs: number): void {
    const incarnation = this.incarnations.get(id)
    const running = [...this.leader.state.jobs.keys()].flatMap(job => this.tasks(job).flatMap((task, index) => {
      return task.worker === id && task.incarnation === incarnation ? [createReportedRun(`${job}/0/0/${index}`, task.run)] : []
    }))
    this.confirm(this.leader.list(id, { incarnation, clockMs, running }))
  }

  /** The workers on which a job has tasks crash and are back. */
  crash (job: string): void {
    const lost = new Set(this.tasks(job).map(({ worker }) => worker).filter(worker => worker !== ''))
    for (const id of lost) this.leader.handle({ kind: 'workerSilent', id, incarnation: this.incarnations.get(id) ?? 0, isClosed: true })
    for (const id of lost) {
      const incarnation = (this.incarnations.get(id) ?? 0) + 1
      this.incarnations.set(id, incarnation)
      this.leader.report(id, incarnation)
    }
    // The second list shows that the runs which were told to stop are over.
    for (const id of [...lost, ...lost]) this.list(id, STARTED_MS)
  }

  private confirm (effects: readonly Effect[]): void {
    if (!this.isAnswering) return
    for (const effect of effects) {
      if (effect.kind !== 'startRun' && effect.kind !== 'stopRun') continue
      const { worker: { id, incarnation }, task, run } = effect
      const order = effect.kind === 'startRun' ? 'start' : 'stop'
      this.confirm(this.leader.answer(id, order, task, run, OrderOutcome.done, { clockMs: STARTED_MS, incarnation }))
    }
  }
}

function expectRunning (rack: CrashedRack, job: string): void {
  assert.equal(rack.isRunning(job), true, `${job} does not run`)
}

describe('a gang with suspected tasks on several workers', () => {
  function crashAfterStart (rack: CrashedRack, job: string): void {
    rack.advance(LATER_MS)
    rack.crash(job)
    rack.advance(1_500)
  }

  for (const { title, workers, stage } of [
    // Guards against a gang that is never started again after a crash of its rack, in a cell with idle workers only.
    { title: 'starts again in a small cell', workers: 9, stage: { taskCount: 2 } },
    { title: 'starts again if it has more tasks than a fifth of the workers of a larger cell', workers: 30, stage: { taskCount: 8 } },
    { title: 'starts again if it needs all workers', workers: 9, stage: { taskCount: 9 } },
    { title: 'starts again if it lasts', workers: 9, stage: { taskCount: 3, longRunning: true } },
    { title: 'starts again with one task a worker', workers: 9, stage: { taskCount: 4, resources: createStage().resources, perWorkerLimit: 1 } }
  ]) {
    it(title, () => {
      const rack = CrashedRack.create(workers)
      rack.submit('gang', { ...WIDE, ...stage, gang: true })
      expectRunning(rack, 'gang')
      crashAfterStart(rack, 'gang')
      expectRunning(rack, 'gang')
    })
  }

  it('starts again after each of several crashes, without which it would be done', () => {
    const rack = CrashedRack.create(9)
    rack.submit('gang', { ...WIDE, gang: true, taskCount: 2 })
    for (let crashes = 0; crashes < 3; crashes++) {
      crashAfterStart(rack, 'gang')
      expectRunning(rack, 'gang')
    }
  })

  it('is given up after two crashes in its startup', () => {
    const rack = CrashedRack.create(9)
    rack.submit('gang', { ...WIDE, gang: true, taskCount: 2 })
    for (const phase of ['live', 'failed']) {
      rack.crash('gang')
      rack.advance(100)
      assert.equal(rack.leader.state.jobs.get('gang')?.phase, phase)
    }
  })

  it('starts beside suspected tasks of other jobs that were on the same workers', () => {
    const rack = CrashedRack.create(9)
    rack.submit('gang', { ...WIDE, gang: true, taskCount: 2 })
    for (const job of ['a', 'b', 'c', 'd']) rack.submit(job, { resources: { millicores: 2_000, memoryMib: 1_024, accelerators: 0 } })
    crashAfterStart(rack, 'gang')
    rack.advance(4_000)
    for (const job of ['gang', 'a', 'b', 'c', 'd']) expectRunning(rack, job)
  })

  it('starts with the others of its tasks beside the suspected ones', () => {
    const rack = CrashedRack.create(2)
    rack.submit('gang', { gang: true, taskCount: 4, resources: { millicores: 8_000, memoryMib: 1_024, accelerators: 0 } })
    rack.advance(LATER_MS)
    // The start of one task is known to be over.
    rack.list(rack.tasks('gang')[0].worker, OUTLIVED_MS)
    rack.crash('gang')
    rack.advance(1_500)
    expectRunning(rack, 'gang')
  })

  it('starts again after another one that exceeds the share, not beside it', () => {
    const rack = CrashedRack.create(9)
    for (const job of ['one', 'two']) rack.submit(job, { ...WIDE, gang: true, taskCount: 3 })
    rack.advance(LATER_MS)
    for (const job of ['one', 'two']) rack.crash(job)
    rack.advance(200)
    assert.equal(['one', 'two'].filter(job => rack.isRunning(job)).length, 1)
    rack.advance(2_000)
    for (const job of ['one', 'two']) expectRunning(rack, job)
  })
})

describe('the share of workers for suspected tasks', () => {
  /** Two suspected tasks; the start of one of them is ordered again, and its outcome stays open. */
  function createOpenStart (): { rack: CrashedRack, worker: string, waiting: string } {
    const rack = CrashedRack.create(4)
    for (const job of ['a', 'b']) rack.submit(job, {})
    rack.advance(LATER_MS)
    rack.isAnswering = false
    rack.crash('a')
    rack.advance(200)
    const [started, waiting] = ['a', 'b'].sort((one, other) => rack.tasks(other)[0].run - rack.tasks(one)[0].run)
    assert.deepEqual([rack.isRunning(started), rack.isRunning(waiting)], [true, false])
    return { rack, worker: rack.tasks(started)[0].worker, waiting }
  }

  it('is free again after some seconds if a worker leaves all orders unanswered', () => {
    const { rack, waiting } = createOpenStart()
    rack.advance(6_000)
    expectRunning(rack, waiting)
  })

  it('is free again after some seconds if a worker starts again and again and never lists its runs', () => {
    const { rack, worker, waiting } = createOpenStart()
    let incarnation = 10
    for (let restarts = 0; restarts < 12; restarts++) {
      rack.leader.report(worker, incarnation += 1)
      rack.advance(500)
    }
    expectRunning(rack, waiting)
  })
})
