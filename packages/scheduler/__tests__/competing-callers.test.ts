/**
 * Replays of a cell whose callers compete for too little: one of 20 client accounts
 * sends 5 to 8 times its usual rate for 4 s. The jobs of the other accounts are the
 * same with and without the burst.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { computeMeanWait, type JobWait } from '../../../bench/support/account-load.js'
import { createAccounts, FULL_CELL, FULL_CELL_SHAPE, heatAccount } from '../../../bench/support/load-patterns.js'
import { StagedJobSimulation } from '../../../bench/support/staged-job-simulation.js'

/** Weights leave this room above the usual rates, since arrivals are random. */
const WEIGHT_HEADROOM = 1.6

function replay (name: string, factor: number): StagedJobSimulation {
  const accounts = heatAccount(createAccounts(FULL_CELL, WEIGHT_HEADROOM), name, factor)
  return StagedJobSimulation.run(FULL_CELL, { ...FULL_CELL_SHAPE, seed: 1, durationMs: 16_000, burst: () => 1, accounts })
}

/** Mean wait of the other accounts for what was submitted during the burst and shortly after it. */
function computeOthersWait (simulation: StagedJobSimulation, name: string): number {
  const isDuringBurst = ({ submittedAt }: JobWait): boolean => submittedAt > 6_000 && submittedAt < 14_000
  return computeMeanWait([...simulation.accountReports].filter(([account]) => account !== name).map(([, report]) => report), isDuringBurst)
}

describe('a hot account in a full cell', () => {
  const usual = replay('account-0', 1)
  for (const [name, description, factor] of [['account-0', 'the largest account', 8], ['account-4', 'an account of middle size', 5], ['account-19', 'a small account', 8]] as const) {
    it(`changes the waiting time of the others by less than a tenth: ${description}, ${factor} times its usual rate`, () => {
      const before = computeOthersWait(usual, name)
      const after = computeOthersWait(replay(name, factor), name)
      assert.ok(Math.abs(after / before - 1) < 0.1, `${before} ms usually, ${after} ms in the burst`)
    })
  }
})
