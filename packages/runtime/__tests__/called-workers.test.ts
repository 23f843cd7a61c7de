/**
 * Staged jobs on workers that are called: no task runs twice at once, no worker
 * holds more than it has, stages keep their order, and every job ends, whatever
 * becomes of calls, workers and leaders.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createStage } from '../../scheduler/__tests__/support/stages.js'
import { CalledCell } from './support/called-cell.js'

/** Schedules that a run in CI plays. */
const SCHEDULES = 40

function submitMixture (cell: CalledCell, count: number): string[] {
  const ids: string[] = []
  for (let index = 0; index < count; index++) {
    const id = `job-${index}`
    const two = [createStage({ taskCount: 1 + cell.pick(8) }), createStage({ taskCount: 2, dependsOn: [0] })]
    const gang = [createStage({ taskCount: 2 + cell.pick(3), gang: true })]
    cell.submit(id, index % 3 === 0 ? 'urgent' : 'bulk', index % 4 === 0 ? gang : two)
    ids.push(id)
  }
  return ids
}

describe('staged jobs on workers that are called', () => {
  describe('without faults', () => {
    it('run every stage in turn and end', async () => {
      const cell = await CalledCell.start()
      const ids = submitMixture(cell, 12)
      await cell.time.runUntil(20_000)
      cell.assertCompleted(ids)
    })

    it('start only where the admission service allows it', async () => {
      const cell = await CalledCell.start({ hasAdmission: true })
      const ids = submitMixture(cell, 12)
      await cell.time.runUntil(20_000)
      cell.assertCompleted(ids)
    })

    it('stop all runs of a job that is cancelled', async () => {
      const cell = await CalledCell.start()
      cell.submit('job-1', 'bulk', [createStage({ taskCount: 8 })])
      await cell.time.runUntil(650)
      cell.cancel('job-1', 'bulk')
      await cell.time.runUntil(1_400)
      assert.equal(cell.phaseOf('job-1'), 'cancelled')
      assert.ok(cell.journal.every(({ to }) => to < 1_200), 'a run went on after the cancellation')
    })
  })

  describe('a worker that crashes', () => {
    it('loses its runs, which start elsewhere', async () => {
      const cell = await CalledCell.start()
      const ids = submitMixture(cell, 8)
      await cell.time.runUntil(700)
      cell.crashWorker('worker-0')
      cell.crashWorker('worker-1')
      await cell.time.runUntil(30_000)
      cell.assertCompleted(ids)
    })
  })

  describe('a worker that is cut off and runs on', () => {
    it('is left alone until its lease has lapsed on its own clock', async () => {
      const cell = await CalledCell.start()
      const ids = submitMixture(cell, 8)
      await cell.time.runUntil(700)
      const model = cell.models.get('worker-0')
      cell.cut('worker-0')
      await cell.time.runUntil(12_000)
      if (model !== undefined) model.isCut = false
      await cell.time.runUntil(30_000)
      cell.assertCompleted(ids)
    })
  })

  describe('a worker that is gone for good', () => {
    it('gives its tasks up within the longest lease', async () => {
      const cell = await CalledCell.start()
      const ids = submitMixture(cell, 8)
      await cell.time.runUntil(700)
      cell.cut('worker-0')
      await cell.time.runUntil(10_000)
      cell.assertCompleted(ids)
    })
  })

  describe('generated schedules of lost and late calls, crashes, cuts and new leaders', () => {
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      it(`keep every promise with seed ${seed}`, async () => {
        const cell = await CalledCell.start({ seed, workers: 5, lostRequests: 20, lostAnswers: 30, lateOrders: 20, hasAdmission: seed % 2 === 0 })
        const ids = submitMixture(cell, 14)
        for (let at = 1_000; at < 16_000; at += 1_000) {
          await cell.time.runUntil(at)
          const worker = `worker-${cell.pick(5)}`
          const model = cell.models.get(worker)
          if (cell.isChance(200)) cell.crashWorker(worker)
          else if (cell.isChance(250) && model !== undefined) {
            model.isCut = true
            cell.time.after(1_000 + cell.pick(9_000), () => { model.isCut = false })
          }
          if (cell.isChance(200)) cell.lead()
        }
        cell.plan.lostAnswers = 0
        cell.plan.lostRequests = 0
        cell.plan.lateOrders = 0
        await cell.time.runUntil(90_000)
        cell.check()
        for (const id of ids) assert.ok(['completed', 'failed'].includes(cell.phaseOf(id) ?? ''), `seed ${seed}: ${id} is ${cell.phaseOf(id)}`)
      })
    }
  })
})
