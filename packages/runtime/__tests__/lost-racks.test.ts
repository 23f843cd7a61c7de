/**
 * Generated schedules in which several workers crash together under gangs, or are lost for good around changes of the
 * leader: what is left of the cell must get to work again.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createStage } from '../../scheduler/__tests__/support/stages.js'
import { SimulatedCell } from './support/simulated-cell.js'

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1)
const WORKERS = 9

/** A task that needs most of a worker. */
const WIDE = { resources: { millicores: 12_000, memoryMib: 1_024, accelerators: 0 }, estimateMs: 3_000 }

/** A task for which there is no room beside one that fills a worker. */
const WHOLE = { resources: { millicores: 16_000, memoryMib: 1_024, accelerators: 0 }, estimateMs: 3_000 }

/** Time after which work that can run has ended, in milliseconds: crashed workers are back after up to 3 s, and a run takes up to 4.5 s. */
const END_MS = 30_000

/** Time after which a worker that the leader never reached is forgotten, in milliseconds. */
const FORGOTTEN_MS = 9_500

/** Crashes all workers on which tasks of a job run. */
function crashWorkersOf (cell: SimulatedCell, job: string): void {
  const tasks = [...cell.durableState.jobs.get(job)?.occurrences.values() ?? []].flat(2)
  for (const { worker } of tasks) {
    if (worker !== '') cell.crashWorker(worker)
  }
}

describe('gangs whose workers crash together', () => {
  for (const seed of SEEDS) {
    // Guards against a gang that waits for ever because more of its tasks are suspected than may start at a time.
    it(`complete, with single tasks beside them (seed ${seed})`, async () => {
      const cell = await SimulatedCell.start({ seed, workers: WORKERS, jitterMs: 40, refusedConnections: 700, hasLongPolling: true, hasGangBreaks: true })
      const gangs = ['gang-0', 'gang-1', 'gang-2']
      for (const id of gangs) cell.submit(id, 'bulk', [createStage({ ...WIDE, gang: true, taskCount: 2 + cell.drawInteger(4) })])
      const singles = Array.from({ length: 12 }, (_, index) => `single-${index}`)
      for (const id of singles) cell.submit(id, 'urgent', [createStage({ resources: { millicores: 1_000, memoryMib: 64, accelerators: 0 }, estimateMs: 2_000 })])
      await cell.time.runUntil(cell.time.now + 150 + cell.drawInteger(250))
      for (const id of gangs.slice(0, 1 + cell.drawInteger(2))) crashWorkersOf(cell, id)
      await cell.time.runUntil(cell.time.now + cell.drawInteger(3_000))
      if (cell.drawChance(400)) cell.replaceLeader()
      await cell.time.runUntil(cell.time.now + END_MS)
      cell.assertCompleted([...gangs, ...singles])
    })
  }
})

describe('workers that are lost for good around a change of the leader', () => {
  for (const seed of SEEDS) {
    // Guards against lost workers that count as capacity for ever, for which a gang then keeps all others idle.
    it(`hold back nothing (seed ${seed})`, async () => {
      const cell = await SimulatedCell.start({ seed, workers: WORKERS, jitterMs: 40, refusedConnections: 700, hasLongPolling: true })
      for (const host of ['worker-0', 'worker-4']) {
        cell.loseWorker(host)
        await cell.time.runUntil(cell.time.now + cell.drawInteger(1_500))
        cell.replaceLeader()
      }
      await cell.time.runUntil(cell.time.now + FORGOTTEN_MS)
      assert.equal(cell.durableState.calledWorkers.size, WORKERS - 2)
      cell.submit('impossible', 'urgent', [createStage({ ...WHOLE, gang: true, taskCount: WORKERS - 1 })])
      const plain = Array.from({ length: 10 }, (_, index) => `plain-${index}`)
      for (const id of plain) cell.submit(id, 'bulk', [createStage()])
      await cell.time.runUntil(cell.time.now + 3_000)
      cell.assertCompleted(plain)
    })
  }
})
