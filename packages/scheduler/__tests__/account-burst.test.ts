/**
 * A replay of the burst that caps are for: one account sends 8 times its usual rate for
 * 4 s, which is more than the cell has room for, while another account goes on as usual.
 */

import assert from 'node:assert/strict'
import { before, describe, it } from 'node:test'
import { StagedJobSimulation, type JobClass } from '../../../bench/support/staged-job-simulation.js'
import type { ClientAccount } from '../src/index.js'

const WORKERS = 40
const WORKER_MILLICORES = 16_000
const BURST_FROM_MS = 4_000
const BURST_TO_MS = 8_000
const BURST_FACTOR = 8

/** Half of the cell. */
const CAP_MILLICORES = WORKERS * WORKER_MILLICORES / 2

function createClass (name: string, jobsPerSecond: number): JobClass {
  const queue = { name, host: 'jobs.example', pathPrefix: `/${name}/`, service: 'service', priority: 0, attemptLimit: 3, stretch: 1.5, targetMs: 250, timeoutMs: 3_000 }
  return { queue, account: name, jobsPerSecond, credit: 1, stages: 1, tasksPerStage: 3, taskMs: 640, maxTaskMs: 3_000, millicores: 2_500, memoryMib: 1_024, gangShare: 0.3, checkpointShare: 0, failureShare: 0, allowedShare: 1 }
}

/** The weights exceed all that is sent, and nearly all of the shares are those of the account that bursts, so that nothing but its cap limits it. */
const WEIGHTS: Readonly<Record<string, number>> = Object.freeze({ steady: 1_000, bursting: 100_000 })

function createAccount (name: string, millicores: number): ClientAccount {
  return { name, keyDigests: [name], weight: WEIGHTS[name], cap: { millicores, memoryMib: 0, accelerators: 0 }, priority: 0 }
}

/** Replays the load with a cap of the account that bursts, and returns the share of the jobs of the other that end in time. */
function replay (cap: number, factor: number): number {
  const simulation = StagedJobSimulation.run([createClass('steady', 30), createClass('bursting', 25)], {
    seed: 1,
    workers: WORKERS,
    workerMillicores: WORKER_MILLICORES,
    workerMemoryMib: 32_768,
    entries: 8,
    stopMs: 100,
    durationMs: 12_000,
    accounts: [createAccount('steady', 0), createAccount('bursting', cap)],
    burst: (queue, now) => queue === 'bursting' && now >= BURST_FROM_MS && now < BURST_TO_MS ? factor : 1
  })
  const { inTime, jobs } = simulation.reports.get('steady') ?? assert.fail('no report')
  return inTime / jobs
}

describe('a burst of one account', () => {
  let usual: number

  before(() => {
    usual = replay(CAP_MILLICORES, 1)
  })

  it('makes less than a tenth of the jobs of another account late if it has a cap', () => {
    const withCap = replay(CAP_MILLICORES, BURST_FACTOR)
    assert.ok(withCap > 0.9 * usual, `${withCap} in time, ${usual} without the burst`)
  })

  it('makes more of them late if it has none', () => {
    const withoutCap = replay(0, BURST_FACTOR)
    assert.ok(withoutCap < 0.9 * usual, `${withoutCap} in time, ${usual} without the burst`)
  })
})
