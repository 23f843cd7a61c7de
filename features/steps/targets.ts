/**
 * Steps that inject faults into the connections between targets and entries, and
 * make a runner leave.
 */

import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { waitFor } from '../support/real-cell.js'
import { SLOTS_PER_RUNNER } from '../support/cell-harness.js'
import type { CellWorld } from '../support/world.js'

const STOP_TIMEOUT_MS = 10_000

Given('{int} workers behind proxies', async function (this: CellWorld, count: number) {
  await this.startWorkers(count, true)
})

When('the worker {string} is disconnected', function (this: CellWorld, name: string) {
  for (const proxy of this.listProxies(name)) proxy.setFault({ refusesConnections: true })
})

When('the network faults of the worker {string} end', function (this: CellWorld, name: string) {
  for (const proxy of this.listProxies(name)) proxy.clearFault()
})

When('answers of the worker {string} are dropped', function (this: CellWorld, name: string) {
  this.getCommandProxy(name).setFault({ dropsToClient: true })
})

When('commands to the worker {string} are delayed by {int} ms', function (this: CellWorld, name: string, delayMs: number) {
  this.getCommandProxy(name).setFault({ delayMs })
})

Then('the worker {string} runs no tasks', async function (this: CellWorld, name: string) {
  const worker = this.workers.find(({ core }) => core.name === name)
  await waitFor(`${name} runs no tasks`, STOP_TIMEOUT_MS, () => worker?.core.runningCount === 0)
})

When('a runner leaves', function (this: CellWorld) {
  this.pendingWork.push(this.runners[0].leave('planned stop'))
})

Then('after it left, the runner began at most the requests in flight at that time, and the others began more requests than one runner has slots', function (this: CellWorld) {
  const [leavingRunner] = this.runners
  assert.ok(leavingRunner.inFlightAtLeave >= 0)
  const begun = this.journal.records.filter(({ event, at }) => event === 'begin' && at > leavingRunner.leftAt)
  const begunByLeavingRunner = begun.filter(({ runner }) => runner === 'runner-1')
  assert.ok(begunByLeavingRunner.length <= leavingRunner.inFlightAtLeave, `the runner began ${begunByLeavingRunner.length} requests after it left, with ${leavingRunner.inFlightAtLeave} in flight`)
  assert.ok(begun.length - begunByLeavingRunner.length > SLOTS_PER_RUNNER, 'the other runners began no more requests than the slots of one runner')
})
