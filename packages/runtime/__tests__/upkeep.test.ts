/**
 * Waves of upkeep and best-effort work beside serving tasks, in virtual time over
 * the real decisions, with orders that are lost or carried out late and leaders
 * that are replaced.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createStage } from '../../scheduler/__tests__/support/stages.js'
import { CalledCell } from './support/called-cell.js'

const WAVE_MS = 20_000
const CAP = 2

/** Within which a tail over its target must come down, in milliseconds. */
const HARM_MS = 4_000

/** Work in a steady stream, and a step that serves and may miss one of its tasks. */
function keepBusy (cell: CalledCell): void {
  cell.submit('serving', 'urgent', [createStage({ taskCount: 4, longRunning: true, disruptionBudget: 1 })])
  let number = 0
  const stream = (): void => {
    cell.submit(`work-${number++}`, 'bulk', [createStage({ taskCount: 3, estimateMs: 1_500 })])
    if (number < 60) cell.time.after(250, stream)
  }
  stream()
}

/** The most tasks of the serving step that outages cut off while so many others were not at work. */
function mostAway (cell: CalledCell): number {
  const serving = cell.journal.filter(({ task }) => task.startsWith('serving'))
  return Math.max(0, ...cell.vms.outages.map(({ vm, from }) => {
    const cut = serving.filter(({ worker, to }) => to === from && vm.endsWith(worker.slice(0, worker.indexOf('#')))).length
    const atWork = serving.filter(interval => interval.from < from && interval.to > from).length
    return cut === 0 ? 0 : 4 - atWork
  }))
}

describe('a wave of upkeep', () => {
  it('is over in time, under its cap, with no serving step short of more than it may miss', async () => {
    const cell = await CalledCell.start()
    keepBusy(cell)
    await cell.time.runUntil(3_000)
    cell.startWave(CAP, WAVE_MS)
    await cell.time.runUntil(3_000 + WAVE_MS)
    cell.check()
    assert.ok(cell.isWaveOver())
    assert.equal(cell.vms.outages.length, 6)
    assert.ok(cell.vms.mostDown() <= CAP)
    assert.ok(mostAway(cell) <= 1)
  })

  for (let seed = 1; seed <= 12; seed++) {
    it(`keeps its cap when orders are lost or late, workers crash and leaders change (seed ${seed})`, async () => {
      const cell = await CalledCell.start({ seed, lostUpkeep: 150, lateUpkeep: 300, lostAnswers: 20 })
      keepBusy(cell)
      await cell.time.runUntil(3_000)
      cell.startWave(CAP, WAVE_MS)
      for (let at = 3_500; at < 60_000; at += 500 + cell.pick(4_000)) {
        await cell.time.runUntil(at)
        if (cell.isChance(300)) cell.lead()
        else cell.crashWorker(`worker-${cell.pick(6)}`)
      }
      await cell.time.runUntil(80_000)
      cell.check()
      assert.ok(cell.isWaveOver())
      assert.equal(cell.vms.outages.length, 6)
      assert.ok(cell.vms.mostDown() <= CAP, `${cell.vms.mostDown()} were down`)
    })
  }

  it('lets what runs on a VM end first, while there is time', async () => {
    const cell = await CalledCell.start()
    cell.submit('work', 'urgent', [createStage({ taskCount: 6, perWorkerLimit: 1, estimateMs: 2_000 })])
    await cell.time.runUntil(800)
    cell.startWave(CAP, WAVE_MS)
    await cell.time.runUntil(800 + WAVE_MS)
    assert.ok(cell.isWaveOver())
    assert.ok(cell.journal.every(({ how }) => how === 'done'))
  })

  it('passes over a VM that does not exist', async () => {
    const cell = await CalledCell.start()
    cell.feed({ kind: 'startUpkeepWave', call: 99, id: 1, vms: ['nowhere'], cap: 1, durationMs: 5_000 })
    await cell.time.runUntil(5_000)
    assert.ok(cell.isWaveOver())
  })
})

describe('best-effort work beside serving tasks', () => {
  it('is slowed before it harms them for long, and works on', async () => {
    const cell = await CalledCell.start({ workers: 1 })
    cell.submit('serving', 'urgent', [createStage({ longRunning: true, targetMs: 100 })])
    await cell.time.runUntil(2_000)
    cell.submit('filling', 'bulk', [createStage({ taskCount: 4, fills: true, longRunning: true })])
    let overSince = Infinity
    for (let at = 2_000; at < 30_000; at += 100) {
      await cell.time.runUntil(at)
      const isOver = (cell.models.get('worker-0')?.tailShare ?? 0) > 1
      overSince = isOver ? Math.min(overSince, at) : Infinity
      assert.ok(at - overSince < HARM_MS, `over its target from ${overSince}`)
    }
    const tailShare = cell.models.get('worker-0')?.tailShare ?? 0
    assert.ok(tailShare > 0.5 && tailShare < 1, `the tail is at ${tailShare} of the target`)
  })
})
