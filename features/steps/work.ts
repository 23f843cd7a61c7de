/**
 * Steps in which operators apply workloads and callers send requests.
 */

import assert from 'node:assert/strict'
import { create } from '@bufbuild/protobuf'
import { Given, Then, When } from '@cucumber/cucumber'
import { ApplyWorkloadRequestSchema, OperatorService, TaskPhase, WorkloadKind } from '@flamingorouter/schema'
import { waitFor } from '../support/real-cell.js'
import type { CellWorld } from '../support/world.js'

const WORKLOAD_KINDS: Readonly<Record<string, WorkloadKind>> = {
  service: WorkloadKind.SERVICE,
  batch: WorkloadKind.BATCH,
  gang: WorkloadKind.GANG
}

const TASKS_TIMEOUT_MS = 40_000

async function applyWorkload (world: CellWorld, kind: string, name: string, taskCount: number, runMs: number, idempotent = true): Promise<void> {
  await world.call(OperatorService.method.applyWorkload, create(ApplyWorkloadRequestSchema, {
    requestId: `apply-${name}`,
    spec: {
      name,
      kind: WORKLOAD_KINDS[kind],
      firm: 'coastline',
      team: 'dispatch',
      taskCount,
      resources: { millicores: 1_000, memoryMib: 512, accelerators: 0 },
      urgency: 2,
      idempotent,
      retryLimit: 3,
      payload: new TextEncoder().encode(JSON.stringify({ runMs }))
    }
  }))
}

When('an operator applies the {word} {string} of {int} tasks that run {int} ms',
  async function (this: CellWorld, kind: string, name: string, count: number, runMs: number) {
    await applyWorkload(this, kind, name, count, runMs)
  })

When('an operator applies the {word} {string} of {int} tasks', async function (this: CellWorld, kind: string, name: string, count: number) {
  await applyWorkload(this, kind, name, count, 0)
})

Then('all tasks of {string} are running', async function (this: CellWorld, id: string) {
  await waitFor(`all tasks of ${id} are running`, TASKS_TIMEOUT_MS, async () =>
    (await this.readWorkload(id)).tasks.every(({ phase }) => phase === TaskPhase.RUNNING))
})

Then('all tasks of {string} succeed', async function (this: CellWorld, id: string) {
  await waitFor(`all tasks of ${id} succeed`, TASKS_TIMEOUT_MS, async () =>
    (await this.readWorkload(id)).tasks.every(({ phase }) => phase === TaskPhase.SUCCEEDED))
})

Then('the caller gets the complete answer to request {string} of {string}', async function (this: CellWorld, requestId: string, service: string) {
  const outcome = await this.submit(service, requestId, false)
  assert.deepEqual([outcome.kind, outcome.body], ['done', outcome.payload])
})

Given('callers send {int} requests a second to {string} for {int} s', function (this: CellWorld, rate: number, service: string, seconds: number) {
  const count = rate * seconds
  for (let index = 0; index < count; index += 1) {
    this.pendingWork.push(new Promise(resolve => { setTimeout(resolve, index * 1_000 / rate) })
      .then(() => this.submit(service, `request-${index}`, index % 2 === 0)))
  }
})

Given('callers that use only ready entries send {int} requests a second to {string} for {int} s',
  function (this: CellWorld, rate: number, service: string, seconds: number) {
    const count = rate * seconds
    for (let index = 0; index < count; index += 1) {
      this.pendingWork.push(new Promise(resolve => { setTimeout(resolve, index * 1_000 / rate) })
        .then(() => this.waitForReadyEndpoint())
        .then(endpoint => this.submit(service, `request-${index}`, index % 2 === 0, endpoint)))
    }
  })

Then('every request has a final outcome or an error', async function (this: CellWorld) {
  await Promise.all(this.pendingWork)
  assert.ok(this.outcomes.length > 0)
  assert.deepEqual(this.outcomes.filter(({ kind }) => kind === 'pending' || kind === 'none'), [])
})

Then('at least {int} percent of the requests are done', function (this: CellWorld, percent: number) {
  const done = this.outcomes.filter(({ kind }) => kind === 'done').length
  assert.ok(done * 100 >= this.outcomes.length * percent, `only ${done} of ${this.outcomes.length} requests are done`)
})
