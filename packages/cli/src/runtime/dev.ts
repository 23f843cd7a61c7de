/**
 * Runs a small cell in this process, to try out the system without settings.
 */

import { NoopLog } from '@flamingorouter/runtime'
import { Demo } from '../dev/demo.js'
import { SmallCell } from '../dev/small-cell.js'

const WORKER_COUNT = 6
const RUNNER_COUNT = 3
const SERVICE = 'dispatch'

export interface DevOptions {
  /** Runs workloads of every kind and requests, prints the results and ends. */
  demo: boolean
  /** Port of the first entry; 0 selects a free port. */
  port: number
}

export async function runDev (options: DevOptions): Promise<void> {
  const port = options.demo ? 0 : options.port
  const cell = await SmallCell.start({ workers: WORKER_COUNT, runners: RUNNER_COUNT, service: SERVICE, port, log: NoopLog.create() })
  console.log(`a cell with 3 controllers, 2 entries, ${WORKER_COUNT} workers and ${RUNNER_COUNT} runners is listening on ${cell.endpoints.join(' and ')}`)
  if (!options.demo) return await serveUntilSignal(cell)
  const isComplete = await Demo.create(cell).run()
  await cell.stop()
  if (!isComplete) process.exitCode = 1
}

async function serveUntilSignal (cell: SmallCell): Promise<void> {
  const [endpoint] = cell.endpoints
  const flags = `--endpoints ${endpoint}`
  console.log([
    'Try:',
    `  npm run -s cli -- status ${flags}`,
    `  npm run -s cli -- apply examples/workloads/batch.json ${flags}`,
    `  npm run -s cli -- call ${SERVICE} --payload hello ${flags}`,
    `  npm run -s cli -- audit ${flags}`,
    'Press Ctrl-C to stop the cell.'
  ].join('\n'))
  await new Promise<void>(resolve => {
    process.once('SIGINT', () => { resolve() })
    process.once('SIGTERM', () => { resolve() })
  })
  await cell.stop()
}
