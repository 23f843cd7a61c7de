/**
 * A leader whose turns of the event loop are long, because many workers answer at the same moment. Handling an event
 * takes virtual time, in which the other controllers go on and the leader reads nothing.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { Event } from '@flamingorouter/scheduler'
import { Group, STEP_MS } from './support/controller-group.js'

const WORKER_COUNT = 250

function createListing (index: number): Event {
  return { kind: 'workerListed', id: `worker-${index}`, incarnation: 1, sentAt: 0, clockMs: 0, running: [], ended: [] }
}

describe('a leader to which all workers answer in one turn', () => {
  let group: Group

  beforeEach(async () => {
    group = await Group.create()
    await group.run(2_000)
    group.elections = 0
  })

  for (const listingMs of [1, 2, 4]) {
    it(`is not deposed and keeps its lease, at ${listingMs} ms for each worker`, async () => {
      const { leader } = group
      assert.ok(leader !== undefined, 'no controller leads')
      group.listingMs = listingMs
      const startedAt = group.now
      for (let index = 0; index < WORKER_COUNT; index++) leader.dispatcher.feed(createListing(index))
      assert.equal(Math.round(group.now - startedAt), WORKER_COUNT * listingMs)
      await group.run(STEP_MS)
      assert.equal(leader.controller.isAuthoritative, true)
      await group.run(1_000)
      assert.equal(group.elections, 0)
      assert.equal(group.leader, leader)
    })
  }
})

/** Lets promises go on, as between the callbacks of two connections, without ending the turn. */
async function completePromises (): Promise<void> {
  for (let round = 0; round < 20; round++) await Promise.resolve()
}

describe('an order of an operator to a leader that goes from one long turn to the next', () => {
  it('is acknowledged after the turn in which it arrives', async () => {
    const group = await Group.create()
    await group.run(2_000)
    const { leader } = group
    assert.ok(leader !== undefined, 'no controller leads')
    group.listingMs = 1
    const arrivedAt = group.now
    let acknowledgedAt = Infinity
    const answer = group.order(leader, { kind: 'configureCell', cell: { version: 1, queues: [], retired: [], services: [], document: '' } }).then(() => { acknowledgedAt = group.now })
    for (let turn = 0; turn < 3; turn++) {
      for (let index = 0; index < WORKER_COUNT; index++) {
        leader.dispatcher.feed(createListing(index))
        await completePromises()
      }
      // The leader reads what has arrived, and the next turn begins.
      await group.run(STEP_MS)
    }
    await answer
    const turnMs = WORKER_COUNT * group.listingMs
    assert.ok(acknowledgedAt - arrivedAt <= turnMs + 2 * STEP_MS, `acknowledged ${acknowledgedAt - arrivedAt} ms after its arrival, in turns of ${turnMs} ms`)
  })
})
