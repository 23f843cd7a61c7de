/**
 * The fault soak: `npm run soak -- --seeds 50 --from 1 --seconds 15`. Prints one
 * line for each seed and every broken promise with the faults that led to it;
 * without --from it takes fresh seeds, and --regressions plays those that failed
 * once.
 */

import { readFileSync } from 'node:fs'
import { command, flag, number, option, run } from 'cmd-ts'
import { createPlan, describeFault } from './plan.js'
import { Soak } from './run.js'

interface Regression { seed: number, seconds: number, cause: string }

const MS_PER_SECOND = 1_000

/** Seeds drawn by the time of day lie above those that are named by hand. */
const FRESH_SEED = 1_000_000

const soak = command({
  name: 'soak',
  args: {
    seeds: option({ type: number, long: 'seeds', defaultValue: () => 1 }),
    from: option({ type: number, long: 'from', defaultValue: () => FRESH_SEED + Math.floor(Date.now() / MS_PER_SECOND) % FRESH_SEED }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 15 }),
    controllers: option({ type: number, long: 'controllers', defaultValue: () => 3 }),
    entries: option({ type: number, long: 'entries', defaultValue: () => 2 }),
    workers: option({ type: number, long: 'workers', defaultValue: () => 3 }),
    regressions: flag({ long: 'regressions' })
  },
  handler: async ({ seeds, from, seconds, controllers, entries, workers, regressions }) => {
    const listed = JSON.parse(readFileSync(new URL('regressions.json', import.meta.url), 'utf8')) as Regression[]
    const chosen = regressions ? listed : Array.from({ length: seeds }, (_, index) => ({ seed: from + index, seconds, cause: '' }))
    let broken = 0
    for (const each of chosen) {
      const plan = createPlan(each.seed, { controllers, entries, workers, durationMs: each.seconds * MS_PER_SECOND })
      const { faults, requests, batches, taskRuns } = await Soak.run(plan)
      process.stdout.write(`seed ${each.seed}: ${plan.faults.length} faults, ${requests} requests, ${batches} batches, ${taskRuns} task runs, ${faults.length} broken\n`)
      if (faults.length === 0) continue
      broken += 1
      process.stdout.write([...faults, ...plan.faults.map(describeFault)].map(line => `  ${line}\n`).join(''))
    }
    process.stdout.write(`${chosen.length} seeds, ${broken} with a broken promise\n`)
    process.exitCode = broken === 0 ? 0 : 1
  }
})

await run(soak, process.argv.slice(2))
