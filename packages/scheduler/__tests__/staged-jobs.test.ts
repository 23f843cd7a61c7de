/**
 * Decisions on staged jobs: routing, unit order, placement, admission tickets and
 * progress checks.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  criticalPathMs, findRoute, isTooSlow, remainingPathMs, PlacementPass, sortUnits, AdmissionTickets, WorkerView, createRun,
  type CellConfiguration, type StageSpec, type SchedulingUnit
} from '../src/index.js'
import { createQueue, createView } from './support/staged-cells.js'
import { createStage } from './support/stages.js'

function createUnit (unit: Partial<SchedulingUnit> = {}, stage: Partial<StageSpec> = {}): SchedulingUnit {
  const spec = createStage(stage)
  return {
    key: 'job/0/0',
    job: 'job',
    occurrence: 0,
    stage: 0,
    spec,
    payload: '',
    queue: createQueue(),
    objectiveAt: 10_000,
    worthlessAt: 30_000,
    remainingMs: spec.estimateMs,
    waiting: Array.from({ length: spec.taskCount }, (_, index) => index),
    suspects: new Set(),
    placedCounts: new Map(),
    ...unit
  }
}

/** A unit of the highest priority that has to start within 500 ms of cluster time 1,000. */
function createUrgent (unit: Partial<SchedulingUnit> = {}, stage: Partial<StageSpec> = {}): SchedulingUnit {
  return createUnit({ queue: createQueue({ priority: 0 }), objectiveAt: 2_000, ...unit }, stage)
}

/** Adds a running preemptible run to a worker; the objective of its job is at the given cluster time. */
function addPreemptible (view: WorkerView, task: string, millicores: number, objectiveAt: number): void {
  const stage = createStage({ checkpoints: true, resources: { millicores, memoryMib: 1_024, accelerators: 0 } })
  const ref = { job: task, occurrence: 0, stage: 0, index: 0 }
  view.add({ ...createRun(ref, task, 1, stage, 2, 0), status: 'running', objectiveAt })
}

function place (views: WorkerView[], units: SchedulingUnit[], tickets = AdmissionTickets.create()): PlacementPass {
  const pass = PlacementPass.create(views, tickets, 1_000)
  for (const unit of units) pass.place(unit)
  return pass
}

describe('staged jobs', () => {
  describe('routes', () => {
    const cell: CellConfiguration = {
      version: 1, queues: [createQueue({ name: 'short', pathPrefix: '/a/' }), createQueue({ name: 'long', pathPrefix: '/a/b/' })], retired: [], services: [], document: ''
    }

    it('are chosen by host and by the longest matching prefix', () => {
      assert.equal(findRoute(cell, 'JOBS.example', '/a/b/id')?.queue.name, 'long')
      assert.equal(findRoute(cell, 'jobs.example', '/a/id')?.jobId, 'id')
      assert.equal(findRoute(cell, 'other.example', '/a/id'), undefined)
    })
  })

  describe('the critical path', () => {
    it('includes the run time and one admission query for each stage on it', () => {
      const spec = { payload: '', stages: [createStage({ estimateMs: 1_000 }), createStage({ estimateMs: 500, dependsOn: [0] }), createStage({ estimateMs: 100 })] }
      assert.equal(remainingPathMs(spec, createQueue(), undefined, 1), 500)
      assert.equal(criticalPathMs(spec, createQueue({ admission: { decideMs: 10, perWorkerMs: 1, validMs: 1 } }), undefined), 1_580)
    })
  })

  describe('the order of units', () => {
    it('sorts by the priority of the queue, then by the objective, and lowers late work by one rank', () => {
      const urgent = createUnit({ key: 'urgent', queue: createQueue({ priority: 0 }) })
      const soon = createUnit({ key: 'soon', objectiveAt: 5_000 })
      const later = createUnit({ key: 'later' })
      const late = createUnit({ key: 'late', queue: createQueue({ priority: 0 }), objectiveAt: 900 })
      assert.deepEqual(sortUnits([late, later, soon, urgent], 1_000).map(({ key }) => key), ['urgent', 'soon', 'later', 'late'])
    })

    it('puts the unit first that has to start the earliest for its job to meet its objective', () => {
      const short = createUnit({ key: 'short', objectiveAt: 8_000, remainingMs: 500 })
      const long = createUnit({ key: 'long', objectiveAt: 9_000, remainingMs: 4_000 })
      const late = createUnit({ key: 'late', objectiveAt: 9_000, remainingMs: 8_500 })
      assert.deepEqual(sortUnits([late, short, long], 1_000).map(({ key }) => key), ['long', 'short', 'late'])
    })

    it('returns late work to its rank shortly before its result has no value', () => {
      const bulk = createUnit({ key: 'bulk', objectiveAt: 6_000, queue: createQueue({ priority: 2 }) })
      const late = createUnit({ key: 'late', objectiveAt: 900, remainingMs: 2_000, worthlessAt: 8_000 })
      assert.deepEqual(sortUnits([late, bulk], 1_000).map(({ key }) => key), ['bulk', 'late'])
      assert.deepEqual(sortUnits([late, bulk], 4_500).map(({ key }) => key), ['late', 'bulk'])
    })

    it('puts late work before work that is two ranks less urgent, and work without value last', () => {
      const late = createUnit({ key: 'late', queue: createQueue({ priority: 0 }), objectiveAt: 900 })
      const bulk = createUnit({ key: 'bulk', queue: createQueue({ priority: 2 }) })
      const worthless = createUnit({ key: 'worthless', queue: createQueue({ priority: 0 }), objectiveAt: 300, worthlessAt: 900 })
      assert.deepEqual(sortUnits([worthless, bulk, late], 1_000).map(({ key }) => key), ['late', 'bulk', 'worthless'])
    })
  })

  describe('placement', () => {
    it('places a small task by best fit, on the worker with the least free capacity', () => {
      const [placement] = place([createView('large'), createView('small', 5_000)], [createUnit()]).placements
      assert.equal(placement.view.id, 'small')
    })

    it('places a gang as a whole or not at all', () => {
      const gang = createUnit({}, { gang: true, taskCount: 5 })
      assert.equal(place([createView('one')], [gang]).placements.length, 0)
      assert.equal(place([createView('one'), createView('two')], [gang]).placements.length, 5)
    })

    it('never exceeds the capacity of a worker', () => {
      assert.equal(place([createView('one')], [createUnit({}, { taskCount: 9 })]).placements.length, 4)
    })

    it('respects the required label and the limit of tasks for each worker', () => {
      assert.equal(place([createView('one')], [createUnit({}, { requiredLabel: 'other' })]).placements.length, 0)
      assert.equal(place([createView('one')], [createUnit({}, { taskCount: 3, perWorkerLimit: 1 })]).placements.length, 1)
    })

    it('reserves capacity for a gang, so that less urgent work does not take it', () => {
      const view = createView('one')
      addPreemptible(view, 'bulk', 8_000, 2_000)
      const gang = createUnit({ key: 'gang' }, { gang: true, taskCount: 3 })
      const bulk = createUnit({ key: 'bulk', queue: createQueue({ priority: 2 }) })
      assert.equal(place([view], [gang, bulk]).placements.length, 0)
    })

    it('preempts a less urgent run that loses no progress and whose job has enough time left', () => {
      const view = createView('one')
      addPreemptible(view, 'bulk', 14_000, 60_000)
      const { preemptions, placements } = place([view], [createUrgent()])
      assert.equal(placements.length, 0)
      assert.deepEqual(preemptions.map(({ run }) => run.task), ['bulk'])
    })

    it('waits for capacity that is released anyway while a unit has time left, instead of a preemption', () => {
      const view = createView('one')
      addPreemptible(view, 'bulk', 14_000, 60_000)
      assert.equal(place([view], [createUrgent({ objectiveAt: 6_000 })]).preemptions.length, 0)
      assert.equal(place([view], [createUrgent({ objectiveAt: 3_400 })]).preemptions.length, 1)
    })

    it('preempts for a late unit only shortly before its result has no value', () => {
      const view = createView('one')
      addPreemptible(view, 'bulk', 14_000, 60_000)
      const preemptsUntil = (worthlessAt: number): number => place([view], [createUrgent({ objectiveAt: 900, worthlessAt })]).preemptions.length
      assert.deepEqual([5_000, 1_900, 1_400].map(preemptsUntil), [0, 1, 0])
    })

    it('preempts for all members of a gang or for none', () => {
      const views = ['one', 'two'].map(id => createView(id))
      for (const view of views) addPreemptible(view, `bulk-${view.id}`, 14_000, 60_000)
      const createGang = (taskCount: number): SchedulingUnit => createUrgent({}, { gang: true, taskCount, perWorkerLimit: 1 })
      assert.equal(place(views, [createGang(3)]).preemptions.length, 0)
      assert.equal(place(views, [createGang(2)]).preemptions.length, 2)
      // What was planned for the gang is taken back, so a later unit of the pass can use it.
      assert.equal(place(views, [createGang(3), createUrgent({ key: 'single' })]).preemptions.length, 1)
    })

    it('does not preempt a late run whose result would then have no value', () => {
      const view = createView('one')
      addPreemptible(view, 'bulk', 14_000, 900)
      const [run] = view.runs.values()
      for (const [worthlessAt, count] of [[5_000, 0], [60_000, 1], [1_100, 1]]) {
        run.worthlessAt = worthlessAt
        assert.equal(place([view], [createUrgent()]).preemptions.length, count, `without value from ${worthlessAt}`)
      }
    })

    it('does not preempt a run whose job would then miss its objective', () => {
      const view = createView('one')
      addPreemptible(view, 'bulk', 14_000, 3_000)
      assert.equal(place([view], [createUrgent()]).preemptions.length, 0)
    })
  })

  describe('the admission service', () => {
    const queue = createQueue({ admission: { decideMs: 10, perWorkerMs: 1, validMs: 2_000 } })

    it('gets at most one query at a time from each entry', () => {
      const tickets = AdmissionTickets.create()
      tickets.setEntries(['entry'])
      const units = [createUnit({ key: 'a', queue: { ...queue, priority: 0 } }), createUnit({ key: 'b', queue: { ...queue, priority: 0 } })]
      assert.deepEqual(place([createView('one')], units, tickets).queries.map(({ unit }) => unit.key), ['a'])
    })

    it('allows starts only with a ticket that is still valid', () => {
      const tickets = AdmissionTickets.create()
      tickets.setEntries(['entry'])
      tickets.recordQuery('job/0/0')
      tickets.recordAnswer('job/0/0', 'entry', ['one', 'two'], [{ worker: 'one', ticket: 't' }], 3_000)
      const views = [createView('one'), createView('two')]
      assert.deepEqual(place(views, [createUnit({ queue })], tickets).placements.map(({ view }) => view.id), ['one'])
      tickets.recordAnswer('job/0/0', 'entry', ['one'], [{ worker: 'one', ticket: 't' }], 1_100)
      assert.equal(place(views, [createUnit({ queue })], tickets).placements.length, 0)
    })

    it('is queried again only about workers that it granted', () => {
      const tickets = AdmissionTickets.create()
      tickets.setEntries(['entry'])
      tickets.recordQuery('job/0/0')
      tickets.recordAnswer('job/0/0', 'entry', ['one', 'two'], [{ worker: 'one', ticket: 't' }], 500)
      const { queries } = place([createView('one'), createView('two')], [createUnit({ queue: { ...queue, priority: 0 } })], tickets)
      assert.deepEqual(queries[0].workers, ['one'])
    })

    it('is queried by a new leader about workers that it has not listed yet, which get no work before', () => {
      const tickets = AdmissionTickets.create()
      tickets.setEntries(['entry'])
      const unlisted = createView('unlisted')
      unlisted.hasAcceptedToken = false
      const left = createView('left')
      left.hasAcceptedToken = false
      left.worker = { ...left.worker, isDraining: true }
      const unit = createUnit({ queue: { ...queue, priority: 0 } }, { taskCount: 2 })
      const pass = place([unlisted, left, createView('listed')], [unit], tickets)
      assert.deepEqual(pass.queries.map(({ workers }) => workers), [['listed', 'unlisted']])
      tickets.recordAnswer('job/0/0', 'entry', ['listed', 'unlisted'], ['listed', 'unlisted'].map(worker => ({ worker, ticket: 't' })), 3_000)
      const { placements } = place([unlisted, left, createView('listed')], [unit], tickets)
      assert.deepEqual([...new Set(placements.map(({ view }) => view.id))], ['listed'])
    })

    it('can always be queried for urgent work, however many less urgent units wait', () => {
      const tickets = AdmissionTickets.create()
      tickets.setEntries(Array.from({ length: 50 }, (_, index) => `entry-${index}`))
      const waiting = Array.from({ length: 100 }, (_, index) => createUnit({ key: `job-${index}/0/0`, queue }))
      assert.equal(place([createView('one')], waiting, tickets).queries.length, 40)
      const urgent = Array.from({ length: 10 }, (_, index) => createUnit({ key: `urgent-${index}/0/0`, queue: { ...queue, priority: 0 } }))
      const pass = PlacementPass.create([createView('one')], tickets, 1_000)
      for (const unit of urgent) pass.place(unit)
      assert.equal(pass.queries.length, 10)
    })

    it('has its answers forgotten with the job, also one that arrives afterwards', () => {
      const tickets = AdmissionTickets.create()
      tickets.setEntries(['entry'])
      tickets.recordQuery('job/0/0')
      tickets.recordQuery('other/0/0')
      tickets.forgetJob('job')
      for (const stage of ['job/0/0', 'other/0/0']) tickets.recordAnswer(stage, 'entry', ['one'], [{ worker: 'one', ticket: 't' }], 3_000)
      assert.equal(tickets.getStageTickets('job/0/0').granted.size, 0)
      assert.equal(tickets.getStageTickets('other/0/0').granted.size, 1)
    })
  })

  describe('the progress check', () => {
    const base = { baseAt: 0, basePercent: 0 }

    it('distinguishes a hanging or very slow run from a normal one', () => {
      assert.equal(isTooSlow(base, 0, 1_000, 1_000), true)
      assert.equal(isTooSlow(base, 9, 700, 1_000), true)
      assert.equal(isTooSlow(base, 30, 750, 1_000), false)
      assert.equal(isTooSlow(base, 0, 500, 1_000), false)
    })
  })
})
