/**
 * Command line of the fault soak test: `npm run soak -- --seeds 50 --from 1 --seconds 15`.
 * Prints one line per seed and, for a seed that violates an invariant, each
 * violation followed by the planned faults. Without --from the first seed is derived
 * from the current time; --regressions replays the seeds of regressions.json.
 */

import { readFileSync } from 'node:fs'
import { command, flag, number, option, run } from 'cmd-ts'
import { createPlan, describeFault } from './plan.js'
import { Soak } from './run.js'

interface Regression { seed: number, seconds: number, cause: string }

const MS_PER_SECOND = 1_000

/** Lower bound of seeds derived from the current time, and the size of their range; seeds given by hand are smaller. */
const MIN_GENERATED_SEED = 1_000_000

const soak = command({
  name: 'soak',
  args: {
    seeds: option({ type: number, long: 'seeds', defaultValue: () => 1 }),
    from: option({ type: number, long: 'from', defaultValue: () => MIN_GENERATED_SEED + Math.floor(Date.now() / MS_PER_SECOND) % MIN_GENERATED_SEED }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 15 }),
    controllers: option({ type: number, long: 'controllers', defaultValue: () => 3 }),
    entries: option({ type: number, long: 'entries', defaultValue: () => 2 }),
    workers: option({ type: number, long: 'workers', defaultValue: () => 3 }),
    regressions: flag({ long: 'regressions' })
  },
  handler: async ({ seeds, from, seconds, controllers, entries, workers, regressions }) => {
    const regressionRuns = JSON.parse(readFileSync(new URL('regressions.json', import.meta.url), 'utf8')) as Regression[]
    const selectedRuns = regressions ? regressionRuns : Array.from({ length: seeds }, (_, index) => ({ seed: from + index, seconds, cause: '' }))
    let violatingSeeds = 0
    for (const selected of selectedRuns) {
      const plan = createPlan(selected.seed, { controllers, entries, workers, durationMs: selected.seconds * MS_PER_SECOND })
      const { violations, requests, batches, taskRuns } = await Soak.run(plan)
      process.stdout.write(`seed ${selected.seed}: ${plan.faults.length} faults, ${requests} requests, ${batches} batches, ${taskRuns} task runs, ${violations.length} violations\n`)
      if (violations.length === 0) continue
      violatingSeeds += 1
      process.stdout.write([...violations, ...plan.faults.map(describeFault)].map(line => `  ${line}\n`).join(''))
    }
    process.stdout.write(`${selectedRuns.length} seeds, ${violatingSeeds} with violations\n`)
    process.exitCode = violatingSeeds === 0 ? 0 : 1
  }
})

await run(soak, process.argv.slice(2))
