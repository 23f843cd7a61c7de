/**
 * Steps that start a cell and its targets, and the checks after each scenario.
 */

import assert from 'node:assert/strict'
import { After, AfterStep, Given, setDefaultTimeout, Status } from '@cucumber/cucumber'
import { RealCell } from '../support/real-cell.js'
import type { CellWorld } from '../support/world.js'

const STEP_TIMEOUT_MS = 60_000

/** Lines of each process that are shown when a scenario fails. */
const SHOWN_LINES = 40

setDefaultTimeout(STEP_TIMEOUT_MS)

Given('a cell of {int} controllers and {int} entries', async function (this: CellWorld, controllers: number, entries: number) {
  this.cell = await RealCell.start({ controllers, entries })
})

Given('{int} workers', async function (this: CellWorld, count: number) {
  await this.startWorkers(count)
})

Given('{int} runners of {string}', async function (this: CellWorld, count: number, service: string) {
  await this.startRunners(count, service)
})

Given('{int} runners of {string} that take {int} ms', async function (this: CellWorld, count: number, service: string, workMs: number) {
  await this.startRunners(count, service, workMs)
})

AfterStep(function (this: CellWorld, { result }) {
  if (result.status !== Status.FAILED) return
  for (const { name, output } of this.cell?.processes.values() ?? []) {
    const shown = [name, ...output.slice(-SHOWN_LINES)].join('\n')
    this.log(shown)
    // The formatter of CI leaves attachments out.
    process.stdout.write(`${shown}\n`)
  }
})

After(async function (this: CellWorld, { result }) {
  const faults = this.findFaults()
  await this.close()
  if (result?.status === Status.PASSED) assert.deepEqual(faults, [])
})
