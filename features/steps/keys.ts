/**
 * Steps for the mutual authentication of processes by TLS keys.
 */

import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { PeerCertificateAuthority } from '../support/peer-keys.js'
import { isReady, RealCell } from '../support/real-cell.js'
import type { CellWorld } from '../support/world.js'

const UNTRUSTED_ENTRY = 'entry-9'

Given('a cell of {int} controllers and {int} entries with keys', async function (this: CellWorld, controllers: number, entries: number) {
  const authority = await PeerCertificateAuthority.create()
  const otherAuthority = await PeerCertificateAuthority.create()
  const settings = async (name: string, folder: string): Promise<Record<string, unknown>> =>
    await (name === UNTRUSTED_ENTRY ? otherAuthority : authority).issueKeys(name, folder)
  this.cell = await RealCell.start({ controllers, entries, settings })
})

When('an entry with keys of another authority starts', async function (this: CellWorld) {
  await this.cell.addEntry(UNTRUSTED_ENTRY)
  await this.cell.launch(UNTRUSTED_ENTRY)
})

Then('it is not ready after {int} s', async function (this: CellWorld, seconds: number) {
  await new Promise(resolve => { setTimeout(resolve, seconds * 1_000) })
  const { port, output } = this.cell.getProcess(UNTRUSTED_ENTRY)
  assert.ok(output.some(line => line.includes('event=started')), 'the entry did not log event=started')
  assert.equal(await isReady(`127.0.0.1:${port}`), false)
  this.cell.removeProcess(UNTRUSTED_ENTRY)
})
