/**
 * Replays of a cell whose callers compete for too little: one of 20 client accounts
 * sends 5 to 8 times its usual rate for 4 s. The jobs of the other accounts are the
 * same with and without the burst.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { computeMeanWait, type JobWait } from '../../../bench/support/account-load.js'
import { createAccounts, FULL_CELL, FULL_CELL_SHAPE, heatAccount } from '../../../bench/support/load-patterns.js'
import { StagedJobSimulation, type JobClass } from '../../../bench/support/staged-job-simulation.js'

/** Weights leave this room above the usual rates, since arrivals are random. */
const WEIGHT_HEADROOM = 1.6

interface Scenario { classes?: readonly JobClass[], hot?: readonly string[], factor?: number, withoutLeader?: { fromMs: number, toMs: number }, leavesAfterMs?: number }

function replay ({ classes = FULL_CELL, hot = [], factor = 8, withoutLeader, leavesAfterMs }: Scenario): StagedJobSimulation {
  const usual = createAccounts(classes, WEIGHT_HEADROOM)
  const accounts = hot.reduce((accounts, name) => heatAccount(accounts, name, factor), usual)
    .map(account => hot.includes(account.name) && leavesAfterMs !== undefined ? { ...account, leavesAfterMs } : account)
  return StagedJobSimulation.run(classes, { ...FULL_CELL_SHAPE, seed: 1, durationMs: 16_000, burst: () => 1, sharedBy: accounts, ...(withoutLeader === undefined ? {} : { withoutLeader }) })
}

/** Mean wait of the other accounts for what was submitted during the burst and shortly after it. */
function computeOthersWait (simulation: StagedJobSimulation, hot: readonly string[], isOwedOnly: boolean): number {
  const isDuringBurst = ({ submittedAt, isBeyondWeight }: JobWait): boolean => submittedAt > 6_000 && submittedAt < 14_000 && !(isOwedOnly && isBeyondWeight)
  return computeMeanWait([...simulation.accountReports].filter(([account]) => !hot.includes(account)).map(([, report]) => report), isDuringBurst)
}

/** Fails if the others wait a tenth longer or shorter in the second replay than in the first. */
function assertOthersUnaffected (usual: StagedJobSimulation, burst: StagedJobSimulation, hot: readonly string[], isOwedOnly = false): void {
  const [before, after] = [usual, burst].map(simulation => computeOthersWait(simulation, hot, isOwedOnly))
  assert.ok(Math.abs(after / before - 1) < 0.1, `${before} ms usually, ${after} ms in the burst`)
}

describe('a hot account in a full cell', () => {
  const usual = replay({})
  for (const [name, description, factor] of [['account-0', 'the largest account', 8], ['account-4', 'an account of middle size', 5], ['account-19', 'a small account', 8]] as const) {
    it(`changes the waiting time of the others by less than a tenth: ${description}, ${factor} times its usual rate`, () => {
      assertOthersUnaffected(usual, replay({ hot: [name], factor }), [name])
    })
  }

  it('does so when its callers leave after a second, whose jobs count as owed although they are cancelled', () => {
    assertOthersUnaffected(usual, replay({ hot: ['account-0'], leavesAfterMs: 1_000 }), ['account-0'])
  })

  describe('when all jobs are gangs, which reserve capacity while they wait', () => {
    const classes = FULL_CELL.map(jobClass => ({ ...jobClass, gangShare: 1 }))
    const [quiet, burst] = [replay({ classes }), replay({ classes, hot: ['account-0'] })]

    it('changes the wait of what is owed to the others by less than a tenth', () => {
      assertOthersUnaffected(quiet, burst, ['account-0'], true)
    })

    it('changes the wait of all jobs of the others by less than a tenth', { todo: 'KNOWN-RED.txt, entry 18' }, () => {
      assertOthersUnaffected(quiet, burst, ['account-0'])
    })
  })

  describe('with two more hot accounts and a second without a leader, after which the window is counted again', () => {
    const withoutLeader = { fromMs: 7_000, toMs: 8_000 }
    const hot = ['account-0', 'account-4', 'account-19']
    const [quiet, burst] = [replay({ withoutLeader }), replay({ hot, withoutLeader })]

    it('changes the wait of what is owed to the others by less than a tenth', () => {
      assertOthersUnaffected(quiet, burst, hot, true)
    })

    it('changes the wait of all jobs of the others by less than a tenth', { todo: 'KNOWN-RED.txt, entry 18' }, () => {
      assertOthersUnaffected(quiet, burst, hot)
    })
  })
})
