/**
 * Steps that kill runners, delete workloads, and check the outcomes reported to
 * callers against the runs that the targets recorded.
 */

import assert from 'node:assert/strict'
import { create } from '@bufbuild/protobuf'
import { Then, When } from '@cucumber/cucumber'
import { toFailure } from '@flamingorouter/scheduler'
import { CallerService, DeleteWorkloadRequestSchema, OperatorService, SubmitRequestSchema } from '@flamingorouter/schema'
import { waitFor } from '../support/real-cell.js'
import type { CellWorld } from '../support/world.js'

const TASKS_END_TIMEOUT_MS = 20_000

Then('request {string} began {int} times', function (this: CellWorld, requestId: string, times: number) {
  const begins = this.journal.records.filter(record => record.requestId === requestId && record.event === 'begin')
  assert.equal(begins.length, times)
})

Then('request {string} with a different payload is refused with {string}', async function (this: CellWorld, requestId: string, kind: string) {
  const request = create(SubmitRequestSchema, {
    service: 'reconcile', requestId, idempotent: false, deadlineMs: 5_000, payload: new TextEncoder().encode('other')
  })
  await assert.rejects(this.client.call(this.selectEndpoint(), CallerService.method.submit, request),
    thrown => toFailure(thrown).kind === kind)
})

When('a runner is killed', async function (this: CellWorld) {
  const runner = this.runners.shift()
  assert.ok(runner)
  await runner.kill()
})

When('an operator deletes the workload {string}', async function (this: CellWorld, id: string) {
  const { version } = await this.readWorkload(id)
  await this.call(OperatorService.method.deleteWorkload, create(DeleteWorkloadRequestSchema, {
    requestId: `end-${id}`, id, expectedVersion: version
  }))
})

Then('no task of {string} was started', function (this: CellWorld, id: string) {
  assert.deepEqual(this.listTaskRuns().filter(({ task }) => task.startsWith(`${id}/`)), [])
})

Then('all tasks of {string} have ended', async function (this: CellWorld, id: string) {
  await waitFor(`all tasks of ${id} have ended`, TASKS_END_TIMEOUT_MS, () =>
    this.listTaskRuns().filter(({ task }) => task.startsWith(`${id}/`)).every(({ end }) => end > 0))
})
