/**
 * A leader that takes over a backlog, in virtual time: what it does until the first start.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LARGE_FLEET, LARGE_FLEET_SHAPE, scaleLoad, UNEVEN_CELL, UNEVEN_CELL_SHAPE } from '../../../bench/support/load-patterns.js'
import { StagedJobSimulation } from '../../../bench/support/staged-job-simulation.js'
import { Scheduler, StagedJobs, type CalledWorker, type Effect, type JobQueue } from '../src/index.js'
import { createStage } from './support/stages.js'

const WORKERS = 246
const JOBS = 200

/** Objective of an urgent job of the uneven cell with tasks of mean length: 1.5 times 680 ms, and 250 ms. */
const URGENT_OBJECTIVE_MS = 1_270

const QUEUE: JobQueue = {
  name: 'urgent',
  host: 'jobs.example',
  pathPrefix: '/urgent/',
  service: 'work',
  priority: 0,
  attemptLimit: 2,
  stretch: 1.5,
  targetMs: 250,
  timeoutMs: 3_000,
  admission: { decideMs: 0, perWorkerMs: 0.7, validMs: 2_500 }
}

function createWorker (index: number): CalledWorker {
  return {
    id: `worker-${index}`,
    incarnation: 1,
    address: `worker-${index}:1`,
    service: 'work',
    availabilityZone: 'zone',
    rack: 'rack',
    labels: [],
    capacity: { millicores: 32_000, memoryMib: 65_536, accelerators: 0 },
    isDraining: false,
    hasLeft: false
  }
}

/** The state that a former leader left: known workers, and jobs of which nothing was placed. */
function createFormerLeader (): Scheduler {
  const scheduler = Scheduler.create([StagedJobs.create()])
  scheduler.startLeading(0)
  scheduler.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [QUEUE], retired: [], services: [], document: '' } }, 0)
  for (let index = 0; index < WORKERS; index++) scheduler.handle({ kind: 'workerReported', call: 2, worker: createWorker(index) }, 0)
  for (let index = 0; index < JOBS; index++) {
    scheduler.handle({ kind: 'acceptJob', call: 3, host: QUEUE.host, path: `/urgent/job-${index}`, spec: { payload: '', stages: [createStage({ taskCount: 3, estimateMs: 680 })] } }, 0)
  }
  return scheduler
}

function countKind (effects: readonly Effect[], kind: Effect['kind']): number {
  return effects.filter(effect => effect.kind === kind).length
}

describe('a leader that takes over a backlog', () => {
  describe('once the first entries are known', () => {
    it('asks for tickets at once, not after the pause that follows a pass without entries', () => {
      const scheduler = Scheduler.create([StagedJobs.create()], createFormerLeader().state)
      scheduler.startLeading(1_000)
      scheduler.handle({ kind: 'tick' }, 1_000)
      scheduler.handle({ kind: 'workerListed', id: 'worker-0', incarnation: 1, sentAt: 1_000, running: [], ended: [], isTruncated: false }, 1_100)
      const entries = Array.from({ length: 35 }, (_, index) => `entry-${index}`)
      const { effects } = scheduler.handle({ kind: 'advisorsChanged', entries }, 1_101)
      assert.equal(countKind(effects, 'askAdmission'), entries.length)
    })

    it('keeps the pause between passes when more entries follow', () => {
      const scheduler = Scheduler.create([StagedJobs.create()], createFormerLeader().state)
      scheduler.startLeading(1_000)
      scheduler.handle({ kind: 'tick' }, 1_000)
      assert.equal(countKind(scheduler.handle({ kind: 'advisorsChanged', entries: ['entry-0'] }, 1_001).effects, 'askAdmission'), 1)
      assert.equal(countKind(scheduler.handle({ kind: 'advisorsChanged', entries: ['entry-0', 'entry-1'] }, 1_002).effects, 'askAdmission'), 0)
    })
  })

  describe('of calls that waited at entries', () => {
    it('starts first what can still be in time, not what waited longest', () => {
      const scheduler = Scheduler.create([StagedJobs.create()])
      const open = { ...QUEUE, admission: undefined }
      scheduler.startLeading(0)
      scheduler.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [open], retired: [], services: [], document: '' } }, 0)
      scheduler.handle({ kind: 'workerReported', call: 2, worker: createWorker(0) }, 0)
      // The objective is 1,270 ms after the submission, of which the run takes 680 ms.
      for (const heldMs of [1_000, 300]) {
        const stage = createStage({ taskCount: 1, estimateMs: 680, resources: { millicores: 20_000, memoryMib: 1_024, accelerators: 0 } })
        scheduler.handle({ kind: 'acceptJob', call: 3, host: open.host, path: `/urgent/held-${heldMs}`, spec: { payload: '', stages: [stage] }, heldMs }, 1_000)
      }
      const { effects } = scheduler.handle({ kind: 'workerListed', id: 'worker-0', incarnation: 1, sentAt: 1_000, running: [], ended: [], isTruncated: false }, 1_100)
      assert.deepEqual(effects.flatMap(effect => effect.kind === 'startRun' ? [effect.task] : []), ['held-300/0/0/0'])
    })

    it('has more urgent jobs in time in a full cell than by the time of acceptance', () => {
      const countInTime = (reportsHeldTime: boolean): number => {
        const simulation = StagedJobSimulation.run(scaleLoad(LARGE_FLEET, 1.3), {
          ...LARGE_FLEET_SHAPE, seed: 2, durationMs: 10_000, burst: () => 1, withoutLeader: { fromMs: 2_500, toMs: 5_000 }, reportsHeldTime
        })
        return simulation.reports.get('lookup')?.inTime ?? 0
      }
      const [held, accepted] = [countInTime(true), countInTime(false)]
      assert.ok(held > accepted, `${held} by the time of submission, ${accepted} by that of acceptance`)
    })
  })

  describe('half a second after the loss of the former one', () => {
    for (const seed of [1, 2, 3]) {
      it(`starts each urgent job within the objective of its queue, since no query waits behind one of the former leader (seed ${seed})`, () => {
        const simulation = StagedJobSimulation.run(UNEVEN_CELL, { ...UNEVEN_CELL_SHAPE, seed, durationMs: 10_000, burst: () => 1, withoutLeader: { fromMs: 5_000, toMs: 5_500 } })
        const longestMs = simulation.longestWaitMs.get('urgent') ?? Infinity
        assert.ok(longestMs <= URGENT_OBJECTIVE_MS, `an urgent job waited ${longestMs} ms for its first start`)
      })
    }
  })

  describe('a second after the loss of the former one, as long as the next one took in a traced play', () => {
    for (const seed of [1, 2, 3]) {
      it(`starts each urgent job within the objective of its queue (seed ${seed})`, { todo: 'KNOWN-RED.txt, entry 19' }, () => {
        const simulation = StagedJobSimulation.run(UNEVEN_CELL, { ...UNEVEN_CELL_SHAPE, seed, durationMs: 10_000, burst: () => 1, withoutLeader: { fromMs: 5_000, toMs: 6_000 } })
        const longestMs = simulation.longestWaitMs.get('urgent') ?? Infinity
        assert.ok(longestMs <= URGENT_OBJECTIVE_MS, `an urgent job waited ${longestMs} ms for its first start`)
      })
    }
  })

  describe('before a worker has answered under the new fence', () => {
    it('starts nothing there, although tickets for it are valid', () => {
      const scheduler = Scheduler.create([StagedJobs.create()], createFormerLeader().state)
      scheduler.startLeading(1_000)
      const [query] = scheduler.handle({ kind: 'advisorsChanged', entries: ['entry-0'] }, 1_001).effects.filter(effect => effect.kind === 'askAdmission')
      assert.ok(query !== undefined && query.kind === 'askAdmission')
      const { entry, stage, workers } = query
      const tickets = workers.map(worker => ({ worker, ticket: 'ticket' }))
      const answered = scheduler.handle({ kind: 'admissionAnswered', entry, stage, workers, tickets, askedAt: 1_001, isAnswered: true }, 1_100)
      assert.equal(countKind(answered.effects, 'startRun'), 0)
      const listed = scheduler.handle({ kind: 'workerListed', id: workers[0], incarnation: 1, sentAt: 1_100, running: [], ended: [], isTruncated: false }, 1_200)
      const starts = listed.effects.flatMap(effect => effect.kind === 'startRun' ? [effect.worker.id] : [])
      assert.deepEqual(starts, Array.from({ length: 3 }, () => workers[0]))
    })
  })
})
