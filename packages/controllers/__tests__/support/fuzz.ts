/**
 * Runs many generated schedules: `npm run fuzz -- --runs N --seed S`. Stops at the
 * first violation and prints it with the command that reproduces it.
 */

import { parseArgs } from 'node:util'
import fc from 'fast-check'
import { createCoverage } from './checker.js'
import { runSchedule, schedule, type Schedule } from './schedule.js'

const REPORT_EVERY = 500

const { values } = parseArgs({
  options: { runs: { type: 'string', default: '1000' }, seed: { type: 'string', default: '1' } }
})
const runs = Number(values.runs)
const seed = Number(values.seed)

const coverage = createCoverage()
const startedAt = performance.now()
let completed = 0

function report (): void {
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1)
  console.log(`schedules=${completed} seed=${seed} seconds=${seconds} ${JSON.stringify(coverage)}`)
}

async function runOne (generated: Schedule): Promise<void> {
  await runSchedule(generated, coverage)
  completed += 1
  if (completed % REPORT_EVERY === 0) report()
}

const details = await fc.check(fc.asyncProperty(schedule, runOne), { seed, numRuns: runs, endOnFailure: true })
report()
if (details.failed) {
  console.log(`violation after ${completed} schedules: ${String(details.errorInstance)}`)
  console.log(`repeat: npm run fuzz -- --runs ${completed + 1} --seed ${seed}`)
  process.exitCode = 1
} else {
  console.log('violations=0')
}
