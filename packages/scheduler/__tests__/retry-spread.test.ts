/**
 * Callers that are refused while there is no leader. With one delay for all of them they return at the same moment,
 * and a time without a leader that is longer than their attempts last loses their jobs.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LARGE_FLEET, LARGE_FLEET_SHAPE } from '../../../bench/support/load-patterns.js'
import { StagedJobSimulation } from '../../../bench/support/staged-job-simulation.js'
import { computeRetryAfterMs } from '../src/index.js'

const DRAWS = [0, 0.25, 0.5, 0.75, 1]

describe('the delay after which a refused caller may come back', () => {
  it('is spread over the time that the next leader needs', () => {
    assert.deepEqual(DRAWS.map(fraction => computeRetryAfterMs(1_000, fraction)), [500, 875, 1_250, 1_625, 2_000])
  })

  it('is spread over more while there is no leader for longer, up to a limit', () => {
    assert.deepEqual([0, 2_000, 3_000, 4_000, 60_000].map(leaderlessMs => computeRetryAfterMs(leaderlessMs, 1)), [2_000, 2_000, 3_000, 4_000, 4_000])
  })

  it('is never so short that the caller returns before an election can be over', () => {
    for (const leaderlessMs of [0, 1_000, 60_000]) assert.ok(computeRetryAfterMs(leaderlessMs, 0) >= 500)
  })
})

describe('callers of a large cell', () => {
  function replay (toMs: number, retryAfterMs: (leaderlessMs: number, fraction: number) => number): StagedJobSimulation {
    return StagedJobSimulation.run(LARGE_FLEET, { ...LARGE_FLEET_SHAPE, seed: 1, durationMs: 12_000, burst: () => 1, withoutLeader: { fromMs: 2_500, toMs, retryAfterMs } })
  }

  function findPeak (simulation: StagedJobSimulation): number {
    return Math.max(...simulation.callers.returned.filter(count => count !== undefined))
  }

  describe('after 4 s without a leader', () => {
    it('do not come back all at once', () => {
      const [fixed, spread] = [findPeak(replay(6_500, () => 1_000)), findPeak(replay(6_500, computeRetryAfterMs))]
      assert.ok(spread < fixed / 2, `${spread} calls return in a quarter of a second with the spread, ${fixed} without it`)
    })
  })

  describe('after 5.5 s without a leader', () => {
    it('have all been served with the spread, and not without it', () => {
      const [fixed, spread] = [replay(8_000, () => 1_000).callers.givenUp, replay(8_000, computeRetryAfterMs).callers.givenUp]
      assert.equal(spread, 0)
      assert.ok(fixed > 0, 'the load needs no spread')
    })
  })
})
