/**
 * Properties of the replicated log over generated schedules of faults.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createCoverage } from './support/checker.js'
import { runSchedule, schedule } from './support/schedule.js'

const SCHEDULES = 500
const SEED = 1

describe('replication', () => {
  it(`keeps its promises over ${SCHEDULES} generated schedules of faults`, async () => {
    const coverage = createCoverage()
    const property = fc.asyncProperty(schedule, async generated => { await runSchedule(generated, coverage) })
    await fc.assert(property, { seed: SEED, numRuns: SCHEDULES, endOnFailure: true })
    // A schedule that reaches nothing proves nothing.
    for (const [what, count] of Object.entries(coverage)) assert.ok(count >= SCHEDULES / 20, `${what}: ${count}`)
  })
})
