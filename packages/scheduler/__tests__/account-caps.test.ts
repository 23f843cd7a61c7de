/**
 * Caps of client accounts: what an account has running on all workers together never
 * exceeds its cap, whatever happens to its runs, and a unit that waits for its cap holds
 * up no other work.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { AccountTotals, AccountUsage, createRun, WorkerView, type ClientAccount, type Effect, type JobQueue, type Resources, type Run, type StageSpec } from '../src/index.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'
import { createStage } from './support/stages.js'

/** Cores of one task of `createStage`. */
const TASK_CORES = 4

const QUEUE: JobQueue = { name: 'q', host: 'jobs.example', pathPrefix: '/q/', service: 'work', priority: 1, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000 }
const URGENT: JobQueue = { ...QUEUE, name: 'urgent', pathPrefix: '/urgent/', priority: 0 }
const BULK: JobQueue = { ...QUEUE, name: 'bulk', pathPrefix: '/bulk/', priority: 2, stretch: 6 }
const ADMITTED: JobQueue = { ...QUEUE, name: 'admitted', pathPrefix: '/admitted/', admission: { decideMs: 10, perWorkerMs: 1, validMs: 1_000 } }

function createCap (cores: number): Resources {
  return { millicores: cores * 1_000, memoryMib: 0, accelerators: 0 }
}

/** An account whose only key has its name as digest. */
function createAccount (name: string, cores: number): ClientAccount {
  return { name, keyDigests: [name], weight: 1, cap: createCap(cores), priority: 0 }
}

/** A leader with some workers of 16 cores and some accounts. */
class CapLeader {
  private version = 1

  private constructor (readonly leader: ScriptedLeader) {}

  static create (workers: string[], ...accounts: ClientAccount[]): CapLeader {
    const cell = new CapLeader(ScriptedLeader.create({ accountOverage: 0.1 }))
    cell.configure(...accounts)
    for (const worker of workers) cell.leader.addWorker(worker)
    return cell
  }

  configure (...accounts: ClientAccount[]): readonly Effect[] {
    this.version += 1
    return this.leader.handle({ kind: 'configureCell', call: 1, cell: { version: this.version, queues: [QUEUE, URGENT, BULK, ADMITTED], retired: [], services: [], accounts, document: '' } })
  }

  submit (id: string, account: string, stage: Partial<StageSpec> = {}, queue = 'q'): readonly Effect[] {
    return this.leader.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: `/${queue}/${id}`, keyDigest: account, spec: { payload: '', stages: [createStage(stage)] } })
  }

  /** Submits a job and lets the next passes run; returns the starts. */
  startsOf (id: string, account: string, stage: Partial<StageSpec> = {}, queue = 'q'): string[] {
    return listStarts([...this.submit(id, account, stage, queue), ...this.leader.advance(300)])
  }

  /** Confirms the start of a run, and lists it as running. */
  confirm (worker: string, ...tasks: string[]): void {
    for (const task of tasks) this.leader.answer(worker, 'start', task, 1, 'done')
    this.leader.list(worker, { running: tasks.map(task => createReportedRun(task, 1)) })
  }
}

function listStarts (effects: readonly Effect[]): string[] {
  return listOrders(effects).filter(order => order.startsWith('start'))
}

function findRefusal (effects: readonly Effect[]): { error: string, message: string } | undefined {
  const refusal = effects.find(effect => effect.kind === 'refuse')
  return refusal?.kind === 'refuse' ? refusal : undefined
}

describe('the cap of a client account', () => {
  describe('counts in full', () => {
    it('starts that are not confirmed, on all workers together', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', 2 * TASK_CORES))
      assert.equal(cell.startsOf('a', 'one', { taskCount: 8 }).length, 2)
      assert.equal(cell.startsOf('b', 'one').length, 0)
    })

    it('runs whose start was answered with no more than silence', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', TASK_CORES))
      assert.equal(cell.startsOf('a', 'one').length, 1)
      const [worker] = [...cell.leader.state.jobs.get('a')?.occurrences.get(0)?.[0] ?? []].map(task => task.worker)
      cell.leader.answer(worker, 'start', 'a/0/0/0', 1, 'unknown', { unanswered: 3 })
      assert.equal(cell.startsOf('b', 'one').length, 0)
    })

    it('runs being stopped, until a list shows that they have ended', () => {
      const cell = CapLeader.create(['w1'], createAccount('one', TASK_CORES))
      cell.startsOf('a', 'one')
      cell.confirm('w1', 'a/0/0/0')
      cell.leader.handle({ kind: 'cancelJob', call: 4, host: 'jobs.example', path: '/q/a', keyDigest: 'one' })
      assert.equal(cell.startsOf('b', 'one').length, 0)
      cell.leader.answer('w1', 'stop', 'a/0/0/0', 1, 'done')
      assert.deepEqual(listStarts(cell.leader.advance(300)), [])
      assert.deepEqual(listStarts([...cell.leader.list('w1'), ...cell.leader.advance(300)]), ['start b/0/0/0 run 1 on w1'])
    })

    it('runs of a silent worker, until they have certainly lapsed', () => {
      const cell = CapLeader.create(['w1'], createAccount('one', TASK_CORES))
      cell.startsOf('a', 'one', { longRunning: true })
      cell.confirm('w1', 'a/0/0/0')
      cell.leader.handle({ kind: 'workerSilent', id: 'w1', incarnation: 1, isClosed: false })
      cell.leader.addWorker('w2')
      assert.equal(cell.startsOf('b', 'one').length, 0)
      cell.leader.handle({ kind: 'cancelJob', call: 4, host: 'jobs.example', path: '/q/a', keyDigest: 'one' })
      assert.deepEqual(listStarts(cell.leader.advance(300)), [])
      const lapsed = cell.leader.handle({ kind: 'workerLapsed', id: 'w1', incarnation: 1, loss: 'leaseExpired', reason: '' })
      assert.deepEqual(listStarts([...lapsed, ...cell.leader.advance(300)]), ['start b/0/0/0 run 1 on w2'])
    })

    it('runs that a former leader placed, before the next one places anything', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', 2 * TASK_CORES))
      cell.submit('a', 'one', { taskCount: 12 })
      cell.leader.replaceLeader()
      assert.deepEqual(listStarts([...cell.leader.addWorker('w3'), ...cell.leader.advance(300)]), [])
    })

    it('runs of a job that closed long ago, also at the next leader', () => {
      const cell = CapLeader.create(['w1'], createAccount('one', TASK_CORES))
      cell.startsOf('a', 'one')
      cell.confirm('w1', 'a/0/0/0')
      cell.leader.handle({ kind: 'workerSilent', id: 'w1', incarnation: 1, isClosed: false })
      cell.leader.handle({ kind: 'cancelJob', call: 4, host: 'jobs.example', path: '/q/a', keyDigest: 'one' })
      cell.leader.advance(301_000)
      cell.leader.replaceLeader()
      cell.leader.addWorker('w2')
      assert.equal(cell.startsOf('b', 'one').length, 0)
      cell.leader.handle({ kind: 'workerLapsed', id: 'w1', incarnation: 1, loss: 'leaseExpired', reason: '' })
      cell.leader.advance(100)
      assert.equal(cell.leader.state.jobs.has('a'), false)
    })

    it('runs of a former incarnation that its successor may still have', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', TASK_CORES))
      cell.submit('a', 'one')
      const { worker } = [...cell.leader.state.jobs.get('a')?.occurrences.get(0)?.[0] ?? []][0]
      cell.leader.report(worker, 2)
      assert.equal(cell.startsOf('b', 'one').length, 0)
    })

    it('runs that the replicated state does not place, until they have ended', () => {
      const cell = CapLeader.create([], createAccount('one', TASK_CORES))
      cell.submit('a', 'one')
      cell.leader.report('w1')
      cell.leader.list('w1', { running: [createReportedRun('a/0/0/0', 1)] })
      cell.leader.addWorker('w2')
      assert.equal(cell.startsOf('b', 'one').length, 0)
    })

    it('such runs of best-effort tasks, which use no processor capacity of their worker', () => {
      const cell = CapLeader.create([], createAccount('one', TASK_CORES))
      cell.submit('a', 'one', { fills: true })
      cell.leader.report('w1')
      cell.leader.list('w1', { running: [createReportedRun('a/0/0/0', 1)] })
      cell.leader.addWorker('w2')
      assert.equal(cell.startsOf('b', 'one').length, 0)
    })

    it('such runs on the former incarnation of a worker, until its successor has listed its runs', () => {
      const cell = CapLeader.create([], createAccount('one', TASK_CORES))
      cell.submit('a', 'one')
      cell.leader.report('w1')
      cell.leader.list('w1', { running: [createReportedRun('a/0/0/0', 1)] })
      cell.leader.addWorker('w2')
      cell.leader.report('w1', 2)
      assert.equal(cell.startsOf('b', 'one').length, 0)
    })

    it('every dimension that it limits, and no other', () => {
      const account = { ...createAccount('one', 0), cap: { millicores: 0, memoryMib: 8_192, accelerators: 0 } }
      const cell = CapLeader.create(['w1', 'w2'], account, createAccount('unlimited', 0))
      assert.equal(cell.startsOf('a', 'one', { taskCount: 8 }).length, 2)
      assert.equal(cell.startsOf('b', 'unlimited', { taskCount: 6 }).length, 6)
    })

    it('the placements of one pass', () => {
      const cell = CapLeader.create([], createAccount('one', 2 * TASK_CORES))
      for (const id of ['a', 'b', 'c']) cell.submit(id, 'one')
      assert.equal(listStarts([...cell.leader.addWorker('w1'), ...cell.leader.advance(300)]).length, 2)
    })
  })

  describe('of a gang', () => {
    it('lets it start as a whole or not at all', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', 3 * TASK_CORES))
      assert.equal(cell.startsOf('a', 'one', { taskCount: 2 }).length, 2)
      assert.equal(cell.startsOf('b', 'one', { taskCount: 2, gang: true }).length, 0)
      assert.equal(cell.startsOf('c', 'one').length, 1)
    })

    it('refuses it with the reason if it is wider than the cap and the overage, since it would never start', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', 10))
      const { error, message } = findRefusal(cell.submit('a', 'one', { taskCount: 3, gang: true })) ?? { error: '', message: '' }
      assert.equal(error, 'infeasible')
      assert.match(message, /stage 0.*12000.*one.*11000/)
      assert.equal(cell.leader.state.jobs.has('a'), false)
      assert.equal(findRefusal(cell.submit('b', 'one', { taskCount: 3 })), undefined)
    })

    it('refuses a single task that is wider, for the same reason', () => {
      const cell = CapLeader.create(['w1'], createAccount('one', 3))
      assert.equal(findRefusal(cell.submit('a', 'one'))?.error, 'infeasible')
    })

    it('lets one that is wider than the cap alone start within the overage', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', 7.5))
      assert.equal(cell.startsOf('a', 'one', { taskCount: 2, gang: true }).length, 2)
      assert.equal(cell.startsOf('b', 'one', { resources: createCap(0.1) }).length, 0)
    })
  })

  describe('that a unit waits for', () => {
    it('reserves nothing: other accounts use the capacity at once', () => {
      const cell = CapLeader.create(['w1'], createAccount('one', 2 * TASK_CORES), createAccount('two', 0))
      assert.equal(cell.startsOf('a', 'one').length, 1)
      assert.equal(cell.startsOf('gang', 'one', { taskCount: 2, gang: true }, 'urgent').length, 0)
      assert.equal(cell.startsOf('b', 'two', { taskCount: 3 }).length, 3)
    })

    it('preempts nothing, while the same unit of an account with room does', () => {
      for (const [cores, isPreempting] of [[TASK_CORES, false], [2 * TASK_CORES, true]] as const) {
        const cell = CapLeader.create(['w1'], createAccount('one', cores), createAccount('two', 0))
        cell.startsOf('a', 'one', { longRunning: true })
        cell.startsOf('b', 'two', { taskCount: 3, checkpoints: true, estimateMs: 20_000 }, 'bulk')
        cell.confirm('w1', 'a/0/0/0', 'b/0/0/0', 'b/0/0/1', 'b/0/0/2')
        const orders = listOrders([...cell.submit('c', 'one', {}, 'urgent'), ...cell.leader.advance(300)])
        assert.equal(orders.some(order => order.startsWith('stop b/')), isPreempting)
      }
    })

    it('asks the admission service nothing, whose entries other units need', () => {
      const cell = CapLeader.create(['w1'], createAccount('one', TASK_CORES))
      cell.leader.handle({ kind: 'advisorsChanged', entries: ['e1', 'e2', 'e3', 'e4', 'e5'] })
      cell.startsOf('a', 'one')
      const effects = [...cell.submit('b', 'one', {}, 'admitted'), ...cell.leader.advance(300)]
      assert.deepEqual(effects.filter(({ kind }) => kind === 'askAdmission'), [])
    })

    it('blocks no other unit, even if more units wait than one pass considers', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', TASK_CORES), createAccount('two', 0))
      for (let index = 0; index < 300; index++) cell.submit(`burst-${index}`, 'one', { estimateMs: 60_000 }, 'urgent')
      cell.leader.advance(300)
      assert.deepEqual(cell.startsOf('a', 'two').length, 1)
    })

    it('blocks none in the pass in which the cap is reached', () => {
      const cell = CapLeader.create([], createAccount('one', TASK_CORES), createAccount('two', 0))
      for (let index = 0; index < 300; index++) cell.submit(`burst-${index}`, 'one', { estimateMs: 60_000 }, 'urgent')
      cell.submit('a', 'two')
      const starts = listStarts(cell.leader.addWorker('w1'))
      assert.equal(starts.length, 2)
      assert.ok(starts.some(start => start.startsWith('start a/')))
    })
  })

  describe('while capacity is released for a unit', () => {
    it('is kept for that unit, so that what is stopped for it is not stopped in vain', () => {
      const cell = CapLeader.create([], createAccount('one', TASK_CORES), createAccount('two', 0))
      cell.leader.report('w1', 1, { labels: ['x'] })
      cell.leader.list('w1')
      cell.startsOf('a', 'two', { taskCount: 4 })
      cell.confirm('w1', 'a/0/0/0', 'a/0/0/1', 'a/0/0/2', 'a/0/0/3')
      cell.leader.handle({ kind: 'cancelJob', call: 4, host: 'jobs.example', path: '/q/a', keyDigest: 'two' })
      cell.startsOf('b', 'one', { requiredLabel: 'x' }, 'urgent')
      cell.leader.addWorker('w2')
      assert.equal(cell.startsOf('c', 'one').length, 0)
      for (let index = 0; index < 4; index++) cell.leader.answer('w1', 'stop', `a/0/0/${index}`, 1, 'done')
      assert.deepEqual(listStarts([...cell.leader.list('w1'), ...cell.leader.advance(300)]), ['start b/0/0/0 run 1 on w1'])
    })
  })

  describe('that is lowered', () => {
    it('stops no run, and nothing more starts until there is room', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', 4 * TASK_CORES))
      cell.startsOf('a', 'one', { taskCount: 6 })
      assert.deepEqual(listOrders([...cell.configure(createAccount('one', TASK_CORES)), ...cell.leader.advance(300)]), [])
      const placed = cell.leader.state.jobs.get('a')?.occurrences.get(0)?.[0].map(({ worker }) => worker).filter(worker => worker !== '') ?? []
      for (const [index, worker] of placed.entries()) {
        cell.leader.answer(worker, 'start', `a/0/0/${index}`, 1, 'done')
        const isRoom = index === placed.length - 1
        const effects = [...cell.leader.listEnd(worker, `a/0/0/${index}`, 1, 'done'), ...cell.leader.advance(100)]
        assert.equal(listStarts(effects).length, isRoom ? 1 : 0)
      }
    })

    it('by the removal of the account stays as it was for the jobs that it has', () => {
      const cell = CapLeader.create(['w1', 'w2'], createAccount('one', TASK_CORES), createAccount('two', 0))
      cell.startsOf('a', 'one', { taskCount: 12 })
      assert.deepEqual(listOrders([...cell.configure(createAccount('two', 0)), ...cell.leader.advance(300)]), [])
      cell.leader.replaceLeader()
      assert.deepEqual(listStarts([...cell.leader.addWorker('w3'), ...cell.leader.advance(300)]), [])
    })
  })

  describe('that is lowered below a gang that was accepted', () => {
    it('does not refuse a repeat of its submission, whose first answer may have been lost', () => {
      const cell = CapLeader.create([], createAccount('one', 3 * TASK_CORES))
      cell.submit('a', 'one', { taskCount: 3, gang: true })
      cell.configure(createAccount('one', TASK_CORES))
      assert.equal(findRefusal(cell.submit('a', 'one', { taskCount: 3, gang: true })), undefined)
    })
  })

  describe('that is raised', () => {
    it('lets waiting units start at once', () => {
      const cell = CapLeader.create(['w1'], createAccount('one', TASK_CORES))
      cell.startsOf('a', 'one', { taskCount: 3 })
      assert.equal(listStarts(cell.configure(createAccount('one', 2 * TASK_CORES))).length, 1)
    })
  })

  describe('in the arithmetic of one pass', () => {
    it('admits exactly what fits under it, for any runs and any order of charges', () => {
      const amounts = fc.record({ millicores: fc.integer({ min: 0, max: 8 }), memoryMib: fc.integer({ min: 0, max: 8 }), accelerators: fc.integer({ min: 0, max: 2 }) })
      const demands = fc.array(fc.record({ resources: amounts, count: fc.integer({ min: 1, max: 4 }), isGang: fc.boolean() }), { maxLength: 12 })
      fc.assert(fc.property(amounts, fc.array(amounts, { maxLength: 4 }), demands, (cap, running, requested) => {
        const view = createView('w')
        for (const [index, resources] of running.entries()) view.add(createChargedRun(`j/0/0/${index}`, 'one', resources))
        const usage = AccountUsage.create({ accounts: [{ ...createAccount('one', 0), cap }] }, AccountTotals.create().update(new Map([['w', view]])), 0)
        const used = running.reduce((sum, amount) => addTo(sum, amount, 1), createCap(0))
        for (const { resources, count, isGang } of requested) {
          const isRoomFor = (times: number): boolean => isUnder(addTo(used, resources, times), cap)
          const admitted = isGang ? (usage.canStart('one', resources, count) ? count : 0) : usage.countStartable('one', resources, count)
          const expected = isGang ? (isRoomFor(count) ? count : 0) : [4, 3, 2, 1, 0].find(times => times <= count && (times === 0 || isRoomFor(times)))
          assert.equal(admitted, expected)
          usage.charge('one', resources, admitted)
          Object.assign(used, addTo(used, resources, admitted))
        }
      }), { seed: 20261204, numRuns: 500 })
    })

    it('knows the sum of all runs after any additions, removals and replaced views, although it reads only what changed', () => {
      const resources = fc.record({ millicores: fc.double({ min: 0, max: 8, noNaN: true }), memoryMib: fc.constant(1), accelerators: fc.constant(0) })
      const change = fc.record({ worker: fc.integer({ min: 0, max: 3 }), task: fc.integer({ min: 0, max: 5 }), account: fc.constantFrom('one', 'two', undefined), resources, kind: fc.constantFrom('add', 'remove', 'replace', 'forget', 'update') })
      fc.assert(fc.property(fc.array(change, { maxLength: 40 }), changes => {
        const views = new Map<string, WorkerView>()
        const totals = AccountTotals.create()
        for (const { worker, task, account, resources, kind } of changes) {
          const id = `w${worker}`
          const view = views.get(id) ?? createView(id)
          views.set(id, kind === 'replace' ? createView(id) : view)
          if (kind === 'forget') views.delete(id)
          if (kind === 'add') view.add(createChargedRun(`j/0/0/${task}`, account, resources))
          if (kind === 'remove') view.remove(`j/0/0/${task}`)
          if (kind === 'update') totals.update(views)
        }
        const actual = totals.update(views)
        for (const name of ['one', 'two']) {
          const charges = [...views.values()].flatMap(view => [...view.runs.values()]).flatMap(({ charge }) => charge?.account === name ? [charge.resources] : [])
          const expected = charges.reduce((sum, amount) => addTo(sum, amount, 1), createCap(0))
          const { millicores, memoryMib } = actual.get(name) ?? createCap(0)
          assert.equal(memoryMib, expected.memoryMib)
          assert.ok(Math.abs(millicores - expected.millicores) < 1e-9)
        }
      }), { seed: 20261204, numRuns: 500 })
    })
  })
})

function createView (id: string): WorkerView {
  return WorkerView.create({ id, incarnation: 1, address: `${id}:1`, service: '', availabilityZone: '', rack: '', labels: [], capacity: createCap(0), isDraining: false, hasLeft: false }, 0)
}

function createChargedRun (task: string, account: string | undefined, resources: Resources): Run {
  const run = createRun({ job: 'j', occurrence: 0, stage: 0, index: 0 }, task, 1, createStage({ resources }), 0, 0)
  return account === undefined ? run : { ...run, charge: { account, resources } }
}

function addTo (sum: Resources, amount: Resources, times: number): Resources {
  return { millicores: sum.millicores + amount.millicores * times, memoryMib: sum.memoryMib + amount.memoryMib * times, accelerators: sum.accelerators + amount.accelerators * times }
}

function isUnder (amount: Resources, cap: Resources): boolean {
  return (['millicores', 'memoryMib', 'accelerators'] as const).every(dimension => cap[dimension] === 0 || amount[dimension] <= cap[dimension])
}
