/**
 * A leader of staged jobs: its answers to callers and operators, what it does while its
 * orders wait, tickets, completed jobs and the load summary.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  Scheduler, StagedJobs, summarizeCellLoad, RunEndCause, type Answer, type CellConfiguration, type Event, type StageSpec
} from '../src/index.js'
import { createQueue, createView, listStarts } from './support/staged-cells.js'
import { createStage } from './support/stages.js'

describe('a leader of staged jobs', () => {
  describe('operators and callers', () => {
    function createLeader (): { ask: (event: Event) => Answer | string } {
      const scheduler = Scheduler.create([StagedJobs.create()])
      scheduler.startLeading(0)
      return {
        ask: event => {
          const [effect] = scheduler.handle(event, 1).effects.filter(({ kind }) => kind === 'reply' || kind === 'refuse')
          if (effect.kind === 'reply') return effect.answer
          return effect.kind === 'refuse' ? effect.error : ''
        }
      }
    }

    function createCell (version: number, queues = [createQueue()]): CellConfiguration {
      return { version, queues, retired: [], services: [{ name: 'work', standby: false }], document: `document ${version}` }
    }

    const jobCall = { call: 1, host: 'jobs.example', path: '/q/id' }
    const spec = { payload: '', stages: [createStage()] }

    it('read the configuration with the highest version, even if a lower or equal one arrives later', () => {
      const { ask } = createLeader()
      ask({ kind: 'configureCell', call: 1, cell: createCell(5) })
      ask({ kind: 'configureCell', call: 1, cell: createCell(3) })
      ask({ kind: 'configureCell', call: 1, cell: { ...createCell(5), document: 'other content' } })
      assert.deepEqual(ask({ kind: 'readCell', call: 1 }), { kind: 'cell', version: 5, document: 'document 5' })
    })

    it('get unavailable while there is no configuration', () => {
      assert.equal(createLeader().ask({ kind: 'acceptJob', ...jobCall, spec }), 'unavailable')
    })

    it('submit a job idempotently, read and cancel it, and get no phase for an unknown job', () => {
      const { ask } = createLeader()
      ask({ kind: 'configureCell', call: 1, cell: createCell(1) })
      assert.equal(ask({ kind: 'acceptJob', ...jobCall, path: '/other/id', spec }), 'notFound')
      assert.deepEqual(ask({ kind: 'acceptJob', ...jobCall, spec }), { kind: 'jobAccepted' })
      assert.deepEqual(ask({ kind: 'acceptJob', ...jobCall, spec }), { kind: 'jobAccepted' })
      assert.deepEqual(ask({ kind: 'readJob', ...jobCall, path: '/q/' }), { kind: 'jobsWaiting', count: 1 })
      assert.deepEqual(ask({ kind: 'cancelJob', ...jobCall }), { kind: 'job', phase: 'cancelled', isStarted: false })
      assert.deepEqual(ask({ kind: 'readJob', ...jobCall, path: '/q/nobody' }), { kind: 'job', phase: undefined, isStarted: false })
      assert.deepEqual(ask({ kind: 'readJob', ...jobCall, path: '/q/' }), { kind: 'jobsWaiting', count: 0 })
    })

    it('get notFound for a live job at the path of a removed queue', () => {
      const { ask } = createLeader()
      ask({ kind: 'configureCell', call: 1, cell: createCell(1) })
      ask({ kind: 'acceptJob', ...jobCall, spec })
      ask({ kind: 'configureCell', call: 1, cell: createCell(2, [createQueue({ name: 'new', pathPrefix: '/new/' })]) })
      assert.equal(ask({ kind: 'readJob', ...jobCall }), 'notFound')
    })

    it('get invalidArgument for a job with more tasks or occurrences than the state of a replica can hold', () => {
      const { ask } = createLeader()
      ask({ kind: 'configureCell', call: 1, cell: createCell(1) })
      const submit = (stages: StageSpec[], recurrence?: { count: number, firstMs: number, intervalMs: number }): Answer | string => ask({ kind: 'acceptJob', ...jobCall, spec: { payload: '', stages, recurrence } })
      for (const taskCount of [10_001, 2 ** 32, Number.MAX_SAFE_INTEGER]) assert.equal(submit([createStage({ taskCount })]), 'invalidArgument')
      assert.equal(submit([createStage({ taskCount: 6_000 }), createStage({ taskCount: 6_000 })]), 'invalidArgument')
      assert.equal(submit([createStage()], { count: 1e12, firstMs: 0, intervalMs: 0 }), 'invalidArgument')
    })

    it('get invalidArgument for a job id that cannot be part of the name of a task', () => {
      const { ask } = createLeader()
      ask({ kind: 'configureCell', call: 1, cell: createCell(1) })
      for (const id of ['a/b', 'a.b', 'a b', 'x'.repeat(129)]) {
        assert.equal(ask({ kind: 'acceptJob', call: 1, host: 'jobs.example', path: `/q/${id}`, spec: { payload: '', stages: [createStage()] } }), 'invalidArgument')
      }
    })

    it('get invalidArgument for a job with a stage that does not depend on earlier stages only', () => {
      const { ask } = createLeader()
      ask({ kind: 'configureCell', call: 1, cell: createCell(1) })
      assert.equal(ask({ kind: 'acceptJob', ...jobCall, spec: { payload: '', stages: [createStage({ dependsOn: [0] })] } }), 'invalidArgument')
    })
  })

  describe('a leader that sends its orders more slowly than it decides', () => {
    it('places urgent work before earlier, less urgent work that is not placed yet', () => {
      const scheduler = Scheduler.create([StagedJobs.create()])
      scheduler.startLeading(0)
      const queues = [createQueue({ name: 'bulk', pathPrefix: '/bulk/', priority: 2 }), createQueue({ name: 'urgent', pathPrefix: '/urgent/', priority: 0 })]
      scheduler.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues, retired: [], services: [], document: '' } }, 0)
      scheduler.handle({ kind: 'workerReported', call: 2, worker: createView('one').worker }, 0)
      scheduler.handle({ kind: 'workerListed', id: 'one', incarnation: 1, sentAt: 0, running: [], ended: [], isTruncated: false }, 0)
      const submit = (queue: string, now: number): string[] => {
        const spec = { payload: '', stages: [createStage({ taskCount: 4 })] }
        return listStarts(scheduler.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: `/${queue}/${queue}`, spec }, now).effects)
      }
      scheduler.handle({ kind: 'orderBacklogChanged', isBacklogged: true }, 100)
      assert.deepEqual(submit('bulk', 200), [])
      assert.deepEqual(submit('urgent', 300), [])
      const { effects } = scheduler.handle({ kind: 'orderBacklogChanged', isBacklogged: false }, 400)
      assert.deepEqual(listStarts(effects), ['urgent/0/0/0', 'urgent/0/0/1', 'urgent/0/0/2', 'urgent/0/0/3'])
    })
  })

  describe('tickets that arrive after a long query', () => {
    it('are valid for their full time from the answer on', () => {
      const scheduler = Scheduler.create([StagedJobs.create()])
      scheduler.startLeading(0)
      const queue = createQueue({ admission: { decideMs: 600, perWorkerMs: 6, validMs: 2_500 } })
      scheduler.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [queue], retired: [], services: [], document: '' } }, 0)
      scheduler.handle({ kind: 'advisorsChanged', entries: ['entry'] }, 0)
      const { worker } = createView('one')
      scheduler.handle({ kind: 'workerReported', call: 2, worker }, 0)
      scheduler.handle({ kind: 'workerListed', id: 'one', incarnation: 1, sentAt: 0, running: [], ended: [], isTruncated: false }, 0)
      const stage = createStage({ resources: { millicores: 16_000, memoryMib: 1_024, accelerators: 0 }, estimateMs: 3_000 })
      scheduler.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: '/q/job', spec: { payload: '', stages: [stage] } }, 0)
      scheduler.handle({ kind: 'workerSilent', id: 'one', incarnation: 1, isClosed: true }, 600)
      const tickets = [{ worker: 'one', ticket: 'ticket' }]
      scheduler.handle({ kind: 'admissionAnswered', entry: 'entry', stage: 'job/0/0', workers: ['one'], tickets, askedAt: 0, isAnswered: true }, 1_200)
      scheduler.handle({ kind: 'workerReported', call: 4, worker }, 2_900)
      const { effects } = scheduler.handle({ kind: 'workerListed', id: 'one', incarnation: 1, sentAt: 3_000, running: [], ended: [], isTruncated: false }, 3_000)
      assert.deepEqual(effects.map(({ kind }) => kind), ['startRun'])
    })
  })

  describe('a completed job', () => {
    it('keeps no record of its tasks, which would hold up the leader at each snapshot', () => {
      const scheduler = Scheduler.create([StagedJobs.create()])
      scheduler.startLeading(0)
      scheduler.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [createQueue()], retired: [], services: [], document: '' } }, 0)
      scheduler.handle({ kind: 'workerReported', call: 2, worker: createView('one').worker }, 0)
      scheduler.handle({ kind: 'workerListed', id: 'one', incarnation: 1, sentAt: 0, running: [], ended: [], isTruncated: false }, 0)
      const call = { call: 3, host: 'jobs.example', path: '/q/job' }
      const spec = { payload: '', stages: [createStage({ taskCount: 2 })] }
      const tasks = listStarts(scheduler.handle({ kind: 'acceptJob', ...call, spec }, 10).effects)
      const ended = tasks.map((task, index) => ({ number: index + 1, task, run: 1, cause: RunEndCause.done, checkpoint: '' }))
      scheduler.handle({ kind: 'workerListed', id: 'one', incarnation: 1, sentAt: 20, running: [], ended, isTruncated: false }, 20)
      assert.equal(scheduler.state.jobs.get('job')?.occurrences.size, 0)
      const { effects } = scheduler.handle({ kind: 'readJob', ...call }, 30)
      assert.deepEqual(effects, [{ kind: 'reply', call: 3, answer: { kind: 'job', phase: 'completed', isStarted: true } }])
      assert.deepEqual(listStarts(scheduler.handle({ kind: 'acceptJob', ...call, spec }, 40).effects), [])
    })
  })

  describe('the load of a cell', () => {
    it('counts the capacity of workers that are not draining, the placed tasks, and the waiting tasks that may start', () => {
      const scheduler = Scheduler.create([StagedJobs.create()])
      scheduler.startLeading(0)
      scheduler.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [createQueue()], retired: [], services: [], document: '' } }, 0)
      for (const [id, isDraining] of [['one', false], ['two', true]] as const) {
        scheduler.handle({ kind: 'workerReported', call: 2, worker: { ...createView(id).worker, isDraining } }, 0)
      }
      scheduler.handle({ kind: 'workerListed', id: 'one', incarnation: 1, sentAt: 0, running: [], ended: [], isTruncated: false }, 0)
      const stages = [createStage({ taskCount: 5 }), createStage({ taskCount: 9, dependsOn: [0] })]
      scheduler.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: '/q/job', spec: { payload: '', stages } }, 0)
      assert.deepEqual(summarizeCellLoad(scheduler.state), {
        workers: 1,
        capacityMillicores: 16_000,
        placedMillicores: 16_000,
        capacityMemoryMib: 65_536,
        placedMemoryMib: 16_384,
        placed: { q: 4 },
        waiting: { q: 1 }
      })
    })
  })
})
