/**
 * Work beyond the weight of a client account: which jobs it is, and that it ranks
 * behind owed work and holds nothing back from it.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  AdmissionTickets, createRun, OwedJobs, PlacementPass, RunStatus, Scheduler, sortUnits, StagedJobs, WorkerView,
  type ClientAccount, type Effect, type JobQueue, type SchedulingUnit
} from '../src/index.js'
import { createStage } from './support/stages.js'

const QUEUE: JobQueue = { name: 'q', host: 'jobs.example', pathPrefix: '/q/', service: 'work', priority: 1, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000 }

function createAccount (name: string, weight: number): ClientAccount {
  return { name, keyDigests: [`key of ${name}`], weight, cap: { millicores: 0, memoryMib: 0, accelerators: 0 }, priority: 0 }
}

function createUnit (key: string, unit: Partial<SchedulingUnit> = {}): SchedulingUnit {
  return {
    key,
    job: key,
    occurrence: 0,
    stage: 0,
    spec: createStage(),
    payload: '',
    queue: QUEUE,
    objectiveAt: 10_000,
    remainingMs: 500,
    worthlessAt: 30_000,
    waiting: [0],
    suspects: new Set(),
    placedCounts: new Map(),
    ...unit
  }
}

function createView (id: string): WorkerView {
  const view = WorkerView.create({
    id,
    incarnation: 1,
    address: `${id}:1`,
    service: 'work',
    availabilityZone: 'zone',
    rack: 'rack',
    labels: [],
    capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
    isDraining: false,
    hasLeft: false
  }, 0)
  view.hasAcceptedToken = true
  return view
}

/** Fills a worker with running tasks of 4 cores that may be preempted. */
function fill (view: WorkerView, count: number, longRunning = false): void {
  for (let index = 0; index < count; index++) {
    const ref = { job: 'running', occurrence: 0, stage: 0, index }
    view.add({ ...createRun(ref, `running/0/0/${index}`, 1, createStage({ checkpoints: true, longRunning }), 2, 0), status: RunStatus.running })
  }
}

describe('work beyond the weight of an account', () => {
  describe('the sliding window', () => {
    it('owes an account its weight times the window, and again as the window moves on', () => {
      const owed = OwedJobs.create(5_000)
      const account = createAccount('hot', 2)
      let count = 0
      for (let now = 0; now < 20_000; now += 10) {
        if (owed.isBeyondWeight(account, now)) continue
        owed.record('hot', false, now)
        count += 1
      }
      // Counting surplus jobs as well would leave an account that sends too much with nothing after its first window.
      assert.equal(count, 40)
    })

    it('owes an account with a small weight one job in the time that its weight takes for it', () => {
      const owed = OwedJobs.create(5_000)
      const account = createAccount('small', 0.1)
      owed.record('small', false, 0)
      assert.deepEqual([1, 9_999, 10_000].map(now => owed.isBeyondWeight(account, now)), [true, true, false])
    })

    it('owes nothing without a weight, and everything to jobs without an account', () => {
      const owed = OwedJobs.create(5_000)
      assert.equal(owed.isBeyondWeight(createAccount('none', 0), 0), true)
      assert.equal(owed.isBeyondWeight(undefined, 0), false)
    })
  })

  describe('the acceptance of a job', () => {
    function submit (scheduler: Scheduler, id: string, key: string, now: number): readonly Effect[] {
      return scheduler.handle({ kind: 'acceptJob', call: 1, host: 'jobs.example', path: `/q/${id}`, keyDigest: key, spec: { payload: '', stages: [createStage()] } }, now).effects
    }

    function createScheduler (accounts: ClientAccount[] | undefined): Scheduler {
      const scheduler = Scheduler.create([StagedJobs.create()])
      scheduler.startLeading(0)
      scheduler.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [QUEUE], retired: [], services: [], ...(accounts === undefined ? {} : { accounts }), document: '' } }, 0)
      return scheduler
    }

    function listBeyond (scheduler: Scheduler): string[] {
      return [...scheduler.state.jobs.values()].filter(job => job.isBeyondWeight === true).map(job => job.id)
    }

    it('stores the decision, and a new leader counts on from the jobs in the state', () => {
      const first = createScheduler([createAccount('a', 0.4), createAccount('b', 0.4)])
      for (const id of ['1', '2', '3']) submit(first, id, 'key of a', 1_000)
      assert.deepEqual(listBeyond(first), ['3'])
      const second = Scheduler.create([StagedJobs.create()], structuredClone(first.state))
      second.startLeading(2_000)
      submit(second, '4', 'key of a', 2_000)
      submit(second, '5', 'key of b', 2_000)
      submit(second, '6', 'key of a', 6_001)
      assert.deepEqual(listBeyond(second), ['3', '4'])
    })

    it('has no effect in a cell without accounts', () => {
      const scheduler = createScheduler(undefined)
      for (let index = 0; index < 50; index++) submit(scheduler, `job-${index}`, 'key of a', 1_000)
      assert.deepEqual(listBeyond(scheduler), [])
    })
  })

  describe('the order', () => {
    it('is after all owed work of any priority, and before work without value', () => {
      const bulk = createUnit('bulk', { queue: { ...QUEUE, priority: 9 } })
      const late = createUnit('late', { objectiveAt: 1_100 })
      const surplus = createUnit('surplus', { queue: { ...QUEUE, priority: 0 }, isBeyondWeight: true })
      const worthless = createUnit('worthless', { objectiveAt: 500, worthlessAt: 1_200 })
      assert.deepEqual(sortUnits([worthless, surplus, late, bulk], 1_000).map(({ key }) => key), ['late', 'bulk', 'surplus', 'worthless'])
    })
  })

  describe('the placement', () => {
    function createPass (views: WorkerView[]): PlacementPass {
      return PlacementPass.create(views, AdmissionTickets.create(), 1_000)
    }

    it('neither reserves capacity nor preempts, also for a gang that is due', () => {
      const view = createView('w')
      fill(view, 3)
      const due = { spec: createStage({ taskCount: 4, gang: true }), waiting: [0, 1, 2, 3], objectiveAt: 1_600, isBeyondWeight: true }
      const pass = createPass([view])
      pass.place(createUnit('surplus', due))
      assert.deepEqual([pass.reservedWorkers.size, pass.preemptions.length, pass.placements.length], [0, 0, 0])
      const owed = createPass([view])
      owed.place(createUnit('owed', { ...due, isBeyondWeight: false }))
      assert.ok(owed.preemptions.length > 0, 'the same gang preempts when it is owed')
    })

    it('reserves nothing for a gang without value in a cell with accounts', () => {
      const view = createView('w')
      fill(view, 3)
      const gang = { spec: createStage({ taskCount: 4, gang: true }), waiting: [0, 1, 2, 3], objectiveAt: 500, worthlessAt: 1_200 }
      const reserved = [{ account: 'a' }, { account: 'a', worthlessAt: 9_000 }, {}].map(facts => {
        const pass = createPass([view])
        pass.place(createUnit('worthless', { ...gang, ...facts }))
        return pass.reservedWorkers.size
      })
      // With value, and without accounts, the gang reserves as before.
      assert.deepEqual(reserved, [0, 1, 1])
    })

    it('leaves a headroom free for owed work that arrives next', () => {
      const views = [createView('v'), createView('w')]
      fill(views[0], 4)
      const pass = createPass(views)
      const spec = createStage({ taskCount: 8, resources: { millicores: 2_000, memoryMib: 1_024, accelerators: 0 } })
      pass.place(createUnit('surplus', { spec, waiting: [0, 1, 2, 3, 4, 5, 6, 7], isBeyondWeight: true }))
      // A fifth of 32 cores is 6.4, and 16 are free.
      assert.equal(pass.placements.length, 4)
    })

    it('starts in a cell nine tenths full of long-running services, which is unused otherwise', () => {
      const views = Array.from({ length: 10 }, (_, index) => createView(`w${index}`))
      for (const view of views.slice(1)) fill(view, 4, true)
      const pass = createPass(views)
      pass.place(createUnit('surplus', { isBeyondWeight: true }))
      assert.equal(pass.placements.length, 1)
    })

    it('starts a gang that needs more than the cell has beside the headroom', () => {
      const pass = createPass([createView('w')])
      pass.place(createUnit('surplus', { spec: createStage({ taskCount: 4, gang: true }), waiting: [0, 1, 2, 3], isBeyondWeight: true }))
      assert.equal(pass.placements.length, 4)
    })
  })
})
