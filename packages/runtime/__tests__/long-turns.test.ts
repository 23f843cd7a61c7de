/**
 * A leader whose turns of the event loop are long, because many workers answer at the same moment. Handling an event
 * takes virtual time, in which the other controllers go on and the leader reads nothing.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { JobEvent } from '@flamingorouter/controllers'
import { ErrorKind, toFailure, type Event } from '@flamingorouter/scheduler'
import { Group, STEP_MS } from './support/controller-group.js'

const WORKER_COUNT = 250

function configure (version: number): JobEvent {
  return { kind: 'configureCell', cell: { version, queues: [], retired: [], services: [], document: '' } }
}

function createListing (index: number): Event {
  return { kind: 'workerListed', id: `worker-${index}`, incarnation: 1, sentAt: 0, clockMs: 0, running: [], ended: [], isTruncated: false }
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
    const answer = group.order(leader, configure(1)).then(() => { acknowledgedAt = group.now })
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

describe('calls to a leader whose lease has run out in the middle of a turn', () => {
  let group: Group

  beforeEach(async () => {
    group = await Group.create()
    await group.run(2_000)
    group.listingMs = 2
  })

  /** Keeps the leader busy for longer than its lease. */
  function feedTurn (): NonNullable<Group['leader']> {
    const leader = group.leader ?? assert.fail('no controller leads')
    for (let index = 0; index < WORKER_COUNT; index++) leader.dispatcher.feed(createListing(index))
    assert.equal(leader.controller.isAuthoritative, false, 'the lease has not run out')
    return leader
  }

  it('are answered once it has read the answers of the other members, instead of being told that it does not lead', async () => {
    const leader = feedTurn()
    const answers = Promise.all([configure(1), configure(2)].map(async order => await group.order(leader, order)))
    const heartbeat = group.heartbeat(leader)
    await group.run(10 * STEP_MS)
    assert.equal((await answers).length, 2)
    assert.equal((await heartbeat as { term: number }).term, leader.replica.status().term)
  })

  it('are told that it does not lead once it has been deposed', async () => {
    group.cutOff.add(group.leader?.replica.status().id ?? '')
    const leader = feedTurn()
    const answer = group.order(leader, configure(1)).then(() => 'answered', (thrown: unknown) => toFailure(thrown).kind)
    await group.run(2_000)
    assert.notEqual(group.leader, leader)
    assert.equal(await answer, ErrorKind.notLeader)
  })
})
