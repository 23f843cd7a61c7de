/**
 * The cap of a client account under faults: by the journals of the workers, all runs of
 * the account together never exceed its cap, also when calls are lost or late, workers
 * crash or are cut off, and leaders are replaced in a burst.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createStage } from '../../scheduler/__tests__/support/stages.js'
import { runSchedule } from './support/fault-schedule.js'
import { SCHEDULE_GROUPS, type ScheduleGroupName } from './support/schedule-groups.js'
import { SimulatedCell } from './support/simulated-cell.js'
import type { RunInterval } from './support/run-journal.js'

/** Six tasks of `createStage`; the widest gang of a generated schedule has four. */
const CAP_MILLICORES = 24_000

/** The failure that each group guards against, and the number of its schedules in one test run. */
const GUARDS = {
  knownFaults: { failure: 'lost, late and overtaking calls', count: 20 },
  restarts: { failure: 'workers that restart under their id', count: 15 },
  strayCalls: { failure: 'a call to a former incarnation that the next one carries out', count: 15 },
  longTasks: { failure: 'runs that outlive the lease of a worker that is cut off', count: 8 },
  newLeaders: { failure: 'a new leader that does not know the orders of the one before', count: 8 }
} as const satisfies Partial<Record<ScheduleGroupName, { failure: string, count: number }>>

/** Seeds that failed before the parts were merged, which changed the schedules, and pass since. */
const REGRESSION_SEEDS = {
  lateLeases: [55],
  strayLateStarts: [10, 28]
} as const satisfies Partial<Record<ScheduleGroupName, readonly number[]>>

/** Seeds that fail: over the cap by a late lease, and the faults of KNOWN-RED.txt, entries 10 and 11, in schedules that a cap changes. */
const KNOWN_RED_SEEDS = {
  lateLeases: [3, 13, 26, 39],
  strayLateStarts: [17],
  longTasks: [50]
} as const satisfies Partial<Record<ScheduleGroupName, readonly number[]>>

/** The most that all runs together had at the start of any of them, in millicores. */
function findPeak (journal: readonly RunInterval[]): { millicores: number, at: number } {
  let peak = { millicores: 0, at: 0 }
  for (const { from } of journal) {
    const active = journal.filter(other => other.from <= from && other.to > from)
    const millicores = active.reduce((sum, { resources }) => sum + resources.millicores, 0)
    if (millicores > peak.millicores) peak = { millicores, at: from }
  }
  return peak
}

function assertUnderCap (cell: SimulatedCell): void {
  const { millicores, at } = findPeak(cell.journal)
  assert.ok(millicores <= CAP_MILLICORES, `seed ${cell.plan.seed}: the account had ${millicores} of ${CAP_MILLICORES} millicores at ${at}`)
}

describe('the cap of a client account', () => {
  it('is used in full by a burst, and never exceeded', async () => {
    const cell = await SimulatedCell.start({ accountCap: CAP_MILLICORES })
    for (let index = 0; index < 12; index++) cell.submit(`job-${index}`, 'bulk', [createStage({ taskCount: 5 })])
    await cell.time.runUntil(30_000)
    assert.equal(findPeak(cell.journal).millicores, CAP_MILLICORES)
    cell.assertCompleted(Array.from({ length: 12 }, (_, index) => `job-${index}`))
  })

  it('holds when the leader is replaced every 150 ms in a burst', async () => {
    const cell = await SimulatedCell.start({ accountCap: CAP_MILLICORES })
    for (let index = 0; index < 12; index++) cell.submit(`job-${index}`, 'bulk', [createStage({ taskCount: 5 })])
    await cell.time.runUntil(cell.time.now + 20)
    for (let change = 0; change < 20; change++) {
      await cell.time.runUntil(cell.time.now + 150)
      cell.replaceLeader()
    }
    await cell.time.runUntil(60_000)
    assertUnderCap(cell)
    cell.assertCompleted(Array.from({ length: 12 }, (_, index) => `job-${index}`))
  })

  for (const [name, { failure, count }] of Object.entries(GUARDS)) {
    describe(`holds with ${failure}`, () => {
      for (let seed = 1; seed <= count; seed++) {
        it(`in the group ${name} (seed ${seed})`, async () => {
          const group = SCHEDULE_GROUPS[name as keyof typeof GUARDS]
          const cell = await runSchedule({ ...group, plan: { ...group.plan, accountCap: CAP_MILLICORES }, jobsEndAt: 2 * group.jobsEndAt }, seed)
          assertUnderCap(cell)
        })
      }
    })
  }

  describe('holds in schedules that failed once', () => {
    for (const [name, seeds] of Object.entries(REGRESSION_SEEDS)) {
      for (const seed of seeds) {
        it(`in the group ${name} (seed ${seed})`, async () => {
          const group = SCHEDULE_GROUPS[name as keyof typeof REGRESSION_SEEDS]
          const cell = await runSchedule({ ...group, plan: { ...group.plan, accountCap: CAP_MILLICORES }, jobsEndAt: 2 * group.jobsEndAt }, seed)
          assertUnderCap(cell)
        })
      }
    }
  })

  describe('does not hold, or the schedule fails otherwise, with known and open faults', () => {
    for (const [name, seeds] of Object.entries(KNOWN_RED_SEEDS)) {
      for (const seed of seeds) {
        it(`in the group ${name} (seed ${seed})`, { todo: 'KNOWN-RED.txt, entry 23' }, async () => {
          const group = SCHEDULE_GROUPS[name as keyof typeof KNOWN_RED_SEEDS]
          const cell = await runSchedule({ ...group, plan: { ...group.plan, accountCap: CAP_MILLICORES }, jobsEndAt: 2 * group.jobsEndAt }, seed)
          assertUnderCap(cell)
        })
      }
    }
  })
})
