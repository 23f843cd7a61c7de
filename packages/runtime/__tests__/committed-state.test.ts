/**
 * The state from which a process acknowledges orders without the leader: it must never hold what is not committed, since an
 * acknowledgement is not taken back.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { JobEvent } from '@flamingorouter/controllers'
import { Group, type Process } from './support/controller-group.js'

function configure (version: number): JobEvent {
  return { kind: 'configureCell', cell: { version, queues: [], retired: [], services: [], document: '' } }
}

function readVersions (processes: readonly Process[]): Array<number | undefined> {
  return processes.map(({ controller }) => controller.committedState?.cell?.version)
}

describe('the committed state of controllers', () => {
  let group: Group
  let leader: Process

  beforeEach(async () => {
    group = await Group.create()
    await group.run(2_000)
    leader = group.leader ?? assert.fail('no controller leads')
  })

  it('holds an order at each follower soon after the leader has acknowledged it', async () => {
    const answer = group.order(leader, configure(41))
    assert.deepEqual(readVersions(group.followers), [undefined, undefined])
    await group.run(200)
    await answer
    assert.deepEqual(readVersions(group.followers), [41, 41])
  })

  it('is unknown at the leader, whose state is ahead of the log', async () => {
    const answer = group.order(leader, configure(41))
    assert.equal(leader.controller.state.cell?.version, 41)
    assert.equal(leader.controller.committedState, undefined)
    await group.run(200)
    await answer
  })

  it('never holds an order that a leader decided while it was cut off', async () => {
    const { id } = leader.replica.status()
    group.cutOff.add(id)
    const answer = group.order(leader, configure(41)).then(() => 'acknowledged', () => 'lost')
    const seen = new Set<number | undefined>()
    for (let round = 0; round < 400; round++) {
      if (round === 200) group.cutOff.delete(id)
      await group.run(10)
      for (const version of readVersions([leader, ...group.followers])) seen.add(version)
    }
    assert.notEqual(group.leader, leader)
    assert.equal(await answer, 'lost')
    assert.deepEqual([...seen], [undefined])
  })
})
