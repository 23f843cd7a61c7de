/**
 * Steps that inject faults into controllers and entries, and end them.
 */

import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { waitFor } from '../support/real-cell.js'
import type { CellWorld } from '../support/world.js'

const NEW_LEADER_TIMEOUT_MS = 15_000

async function findLeader (world: CellWorld): Promise<string> {
  await waitFor('a controller leads', NEW_LEADER_TIMEOUT_MS, () => world.cell.findLeader() !== undefined)
  return world.cell.findLeader() as string
}

async function waitForOtherLeader (world: CellWorld, previousLeader: string): Promise<void> {
  await waitFor(`a controller other than ${previousLeader} leads`, NEW_LEADER_TIMEOUT_MS, () => world.cell.findLeader() !== previousLeader)
}

When('the leader is killed', async function (this: CellWorld) {
  const leader = await findLeader(this)
  await this.cell.kill(leader)
  await waitForOtherLeader(this, leader)
})

When('the leader is frozen', async function (this: CellWorld) {
  const leader = await findLeader(this)
  this.cell.freeze(leader)
  await waitForOtherLeader(this, leader)
})

When('the leader is cut off', async function (this: CellWorld) {
  const leader = await findLeader(this)
  this.cell.isolate(leader)
  await waitForOtherLeader(this, leader)
})

When('the network faults end', function (this: CellWorld) {
  this.cell.clearFaults()
})

When('frozen processes resume', function (this: CellWorld) {
  for (const { name, isFrozen } of this.cell.processes.values()) {
    if (isFrozen) this.cell.resume(name)
  }
})

When('{int} s pass', async function (this: CellWorld, seconds: number) {
  await new Promise(resolve => { setTimeout(resolve, seconds * 1_000) })
})

When('the leader is stopped as planned', async function (this: CellWorld) {
  const leader = await findLeader(this)
  assert.equal(await this.cell.stop(leader), 0)
  await waitForOtherLeader(this, leader)
})

When('{string} is stopped as planned', async function (this: CellWorld, name: string) {
  assert.equal(await this.cell.stop(name), 0)
})

Then('every request is done', function (this: CellWorld) {
  assert.deepEqual(this.outcomes.filter(({ kind }) => kind !== 'done'), [])
})
