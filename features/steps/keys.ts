/**
 * Steps about keys between processes.
 */

import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { PeerAuthority } from '../support/peer-keys.js'
import { isReady, RealCell } from '../support/real-cell.js'
import type { CellWorld } from '../support/world.js'

const STRANGER = 'entry-9'

Given('a cell of {int} controllers and {int} entries with keys', async function (this: CellWorld, controllers: number, entries: number) {
  const authority = await PeerAuthority.create()
  const foreign = await PeerAuthority.create()
  const settings = async (name: string, folder: string): Promise<Record<string, unknown>> =>
    await (name === STRANGER ? foreign : authority).issue(name, folder)
  this.cell = await RealCell.start({ controllers, entries, settings })
})

When('an entry with keys of another authority starts', async function (this: CellWorld) {
  await this.cell.declareEntry(STRANGER)
  await this.cell.launch(STRANGER)
})

Then('it is not ready after {int} s', async function (this: CellWorld, seconds: number) {
  await new Promise(resolve => { setTimeout(resolve, seconds * 1_000) })
  const { port, output } = this.cell.get(STRANGER)
  assert.ok(output.some(line => line.includes('event=started')), 'it runs')
  assert.equal(await isReady(`127.0.0.1:${port}`), false)
  this.cell.forget(STRANGER)
})
