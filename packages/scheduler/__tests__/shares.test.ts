/**
 * The order of units by weighted dominant shares of client accounts, in a contended cell.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  CellUse, createRun, createUnitOrder, RunStatus, WorkerView,
  type ClientAccount, type JobQueue, type SchedulingUnit
} from '../src/index.js'
import { createStage } from './support/stages.js'

const QUEUE: JobQueue = { name: 'q', host: 'jobs.example', pathPrefix: '/q/', service: 'work', priority: 1, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000 }

function createAccount (name: string, weight: number): ClientAccount {
  return { name, keyDigests: [name], weight, cap: { millicores: 0, memoryMib: 0, accelerators: 0 }, priority: 0 }
}

/** A unit of four tasks of 4 cores. */
function createUnit (key: string, account: string | undefined, objectiveAt: number, unit: Partial<SchedulingUnit> = {}): SchedulingUnit {
  return {
    key,
    job: key,
    occurrence: 0,
    stage: 0,
    spec: createStage({ taskCount: 4 }),
    payload: '',
    queue: QUEUE,
    account,
    objectiveAt,
    remainingMs: 500,
    worthlessAt: objectiveAt + 30_000,
    waiting: [0, 1, 2, 3],
    suspects: new Set(),
    placedCounts: new Map(),
    ...unit
  }
}

/** Workers of 16 cores; `running` names the account of each run of 4 cores, four to a worker. */
function createViews (count: number, running: readonly string[] = []): WorkerView[] {
  const views = Array.from({ length: count }, (_, index) => WorkerView.create({
    id: `w${index}`,
    incarnation: 1,
    address: `w${index}:1`,
    service: 'work',
    availabilityZone: 'zone',
    rack: 'rack',
    labels: [],
    capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
    isDraining: false,
    hasLeft: false
  }, 0))
  for (const view of views) view.hasAcceptedToken = true
  running.forEach((account, index) => {
    const stage = createStage()
    const ref = { job: `running-${index}`, occurrence: 0, stage: 0, index: 0 }
    views[index >> 2].add({ ...createRun(ref, `running-${index}/0/0/0`, 1, stage, 1, 0), status: RunStatus.running, charge: { account, resources: stage.resources } })
  })
  return views
}

function sort (accounts: ClientAccount[] | undefined, views: WorkerView[], units: SchedulingUnit[]): string[] {
  return createUnitOrder({ ...(accounts === undefined ? {} : { accounts }) }, views, CellUse.create(), 1_000).sort(units, 1_000).map(({ key }) => key)
}

describe('the shares of client accounts', () => {
  const accounts = [createAccount('large', 3), createAccount('small', 1)]

  describe('in a contended cell', () => {
    it('places an account that has its share after one that has not, although its work is due earlier', () => {
      // The small account has 3 of 4 workers with a quarter of the weight.
      const views = createViews(4, Array<string>(12).fill('small'))
      const units = [createUnit('due', 'small', 5_000), createUnit('later', 'large', 9_000)]
      assert.deepEqual(sort(accounts, views, units), ['later', 'due'])
    })

    it('counts what precedes a unit as placed, so that one pass does not give all room to the account that comes first', () => {
      const units = [createUnit('s1', 'small', 5_000), createUnit('s2', 'small', 5_001), createUnit('s3', 'small', 5_002), createUnit('l1', 'large', 9_000), createUnit('l2', 'large', 9_001)]
      assert.deepEqual(sort(accounts, createViews(4), units), ['s1', 'l1', 'l2', 's2', 's3'])
    })

    it('keeps the priority of the queues above the shares', () => {
      const views = createViews(4, Array<string>(12).fill('small'))
      const urgent = createUnit('urgent', 'small', 9_000, { queue: { ...QUEUE, priority: 0 } })
      assert.deepEqual(sort(accounts, views, [createUnit('bulk', 'large', 5_000), urgent]), ['urgent', 'bulk'])
    })

    it('lends the shares of idle accounts', () => {
      const views = createViews(4, Array<string>(8).fill('small'))
      const units = [createUnit('s1', 'small', 5_000), createUnit('anonymous', undefined, 6_000), createUnit('s2', 'small', 7_000)]
      // Half of the cell exceeds a quarter, but the large account neither runs nor waits.
      assert.deepEqual(sort(accounts, views, units), ['s1', 'anonymous', 's2'])
    })

    it('is contended in the service that is full, also while workers of another service are idle', () => {
      const views = createViews(4, Array<string>(12).fill('small'))
      const idle = createViews(12).map(view => {
        view.worker = { ...view.worker, id: `other-${view.id}`, service: 'other' }
        return view
      })
      const units = [createUnit('due', 'small', 5_000), createUnit('later', 'large', 9_000)]
      assert.deepEqual(sort([createAccount('large', 30), createAccount('small', 1)], [...views, ...idle], units), ['later', 'due'])
    })
  })

  it('keeps the present order while there is room for all', () => {
    const views = createViews(8, Array<string>(12).fill('small'))
    assert.deepEqual(sort(accounts, views, [createUnit('due', 'small', 5_000), createUnit('later', 'large', 9_000)]), ['due', 'later'])
  })

  it('keeps the present order in a cell without accounts', () => {
    const views = createViews(4, Array<string>(16).fill('small'))
    assert.deepEqual(sort(undefined, views, [createUnit('later', 'large', 9_000), createUnit('due', 'small', 5_000)]), ['due', 'later'])
  })
})
