/**
 * Steps for configuration changes and the audit trail.
 */

import assert from 'node:assert/strict'
import { create } from '@bufbuild/protobuf'
import { Then, When } from '@cucumber/cucumber'
import { toFailure } from '@flamingorouter/scheduler'
import {
  GetConfigurationRequestSchema, GetConfigurationStatusRequestSchema, ListAuditRequestSchema, OperatorService,
  PutConfigurationRequestSchema, type PutConfigurationRequest
} from '@flamingorouter/schema'
import { waitFor } from '../support/real-cell.js'
import type { CellWorld } from '../support/world.js'

const READY_TIMEOUT_MS = 10_000
const IN_FORCE_TIMEOUT_MS = 30_000

function createChange (requestId: string, name: string, version: number, value: number): PutConfigurationRequest {
  return create(PutConfigurationRequestSchema, {
    requestId, name, expectedVersion: BigInt(version), document: JSON.stringify({ value })
  })
}

async function putConfiguration (world: CellWorld, change: PutConfigurationRequest): Promise<string> {
  try {
    const { version } = await world.call(OperatorService.method.putConfiguration, change)
    return `version ${version}`
  } catch (thrown) {
    return toFailure(thrown).kind
  }
}

When('an operator puts the document {string} with version {int} and value {int}',
  async function (this: CellWorld, name: string, version: number, value: number) {
    this.lastChange = createChange('change-1', name, version, value)
    this.operatorAnswers.push(await putConfiguration(this, this.lastChange))
  })

When('the operator sends the same change again', async function (this: CellWorld) {
  assert.ok(this.lastChange)
  this.operatorAnswers.push(await putConfiguration(this, this.lastChange))
})

When('two operators put the document {string} with version {int} concurrently', async function (this: CellWorld, name: string, version: number) {
  this.operatorAnswers.push(...await Promise.all([
    putConfiguration(this, createChange('change-1', name, version, 1)),
    putConfiguration(this, createChange('change-2', name, version, 2))
  ]))
})

Then('one change is accepted and the other is refused with a conflict', function (this: CellWorld) {
  assert.deepEqual([...this.operatorAnswers].sort(), ['conflict', 'version 1'])
})

Then('the audit trail has both changes', async function (this: CellWorld) {
  const { entries } = await this.call(OperatorService.method.listAudit, create(ListAuditRequestSchema, { subject: 'document limits' }))
  const summaries = entries.map(({ requestId, refusal }) => `${requestId} ${refusal}`).sort()
  assert.equal(summaries.length, 2)
  assert.deepEqual(entries.map(({ refusal }) => refusal).sort(), ['', 'conflict'])
  assert.deepEqual(summaries.map(summary => summary.split(' ')[0]), ['change-1', 'change-2'])
  assert.ok(entries[0].number < entries[1].number)
})

Then('both answers have version {int}', function (this: CellWorld, version: number) {
  assert.deepEqual(this.operatorAnswers, [`version ${version}`, `version ${version}`])
})

Then('the document {string} has version {int}', async function (this: CellWorld, name: string, version: number) {
  const answer = await this.call(OperatorService.method.getConfiguration, create(GetConfigurationRequestSchema, { name }))
  assert.equal(Number(answer.version), version)
})

Then('every process has the configuration in force', async function (this: CellWorld) {
  await waitFor('every process has the configuration in force', IN_FORCE_TIMEOUT_MS, async () =>
    (await this.call(OperatorService.method.getConfigurationStatus, create(GetConfigurationStatusRequestSchema))).inForce)
})

When('the entry {string} is cut off from the controllers', function (this: CellWorld, name: string) {
  this.cell.isolate(name)
})

Then('the entry {string} is not ready and refuses calls', async function (this: CellWorld, name: string) {
  const address = `127.0.0.1:${this.cell.getProcess(name).port}`
  assert.equal((await fetch(`http://${address}/readyz`)).status, 503)
  const call = this.client.call(address, OperatorService.method.listAudit, create(ListAuditRequestSchema))
  await assert.rejects(call, thrown => toFailure(thrown).kind === 'unavailable')
})

Then('the entry {string} is ready and has the newest version', async function (this: CellWorld, name: string) {
  const address = `127.0.0.1:${this.cell.getProcess(name).port}`
  await waitFor(`${name} is ready`, READY_TIMEOUT_MS, async () => (await fetch(`http://${address}/readyz`)).ok)
  const status = await this.call(OperatorService.method.getConfigurationStatus, create(GetConfigurationStatusRequestSchema))
  assert.equal(status.processes.find(({ process }) => process === name)?.version, status.version)
})
