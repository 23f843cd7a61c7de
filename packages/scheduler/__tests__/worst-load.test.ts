/**
 * Replays of the load at its worst: more work than a large cell has room for, with a
 * burst of short urgent jobs, one of long wide gangs, and a time without a leader.
 */

import assert from 'node:assert/strict'
import { before, describe, it } from 'node:test'
import { burstOfBoth, LARGE_FLEET, LARGE_FLEET_SHAPE, scaleLoad } from '../../../bench/support/load-patterns.js'
import { StagedJobSimulation, type QueueReport } from '../../../bench/support/staged-job-simulation.js'

describe('a large cell with more work than room', () => {
  let simulation: StagedJobSimulation

  before(() => {
    simulation = StagedJobSimulation.run(scaleLoad(LARGE_FLEET, 1.3), {
      ...LARGE_FLEET_SHAPE, seed: 1, durationMs: 34_000, burst: burstOfBoth, withoutLeader: { fromMs: 2_500, toMs: 3_300 }
    })
  })

  function getReport (queue: string): QueueReport {
    return simulation.reports.get(queue) ?? assert.fail(`no report of ${queue}`)
  }

  function computeEarnedShare (queue: string): number {
    const { earnedCredit, possibleCredit } = getReport(queue)
    return earnedCredit / possibleCredit
  }

  it('serves long wide gangs about as well as bulk tasks, although only those fit anywhere, and gives up neither', () => {
    const [gangs, bulk] = [computeEarnedShare('rebuild'), computeEarnedShare('recon')]
    assert.ok(Math.abs(gangs - bulk) < 0.1, `gangs earned ${gangs} of their credit, bulk tasks ${bulk}`)
  })

  it('lets next to no job end so late that its result has no value', () => {
    const reports = [...simulation.reports.values()]
    const worthless = reports.reduce((sum, { jobs, inTime, late }) => sum + jobs - inTime - late, 0)
    const jobs = reports.reduce((sum, report) => sum + report.jobs, 0)
    assert.ok(worthless <= jobs / 1_000, `${worthless} of ${jobs} jobs`)
  })

  it('stops fewer than one run in ten for other work', () => {
    assert.ok(simulation.stops < simulation.starts / 10, `${simulation.stops} of ${simulation.starts} runs`)
  })
})
