/**
 * Single faults and operations of a group of replicas, in fake time.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isFailure } from '@flamingorouter/scheduler'
import { createCoverage, type Coverage } from './support/checker.js'
import { Cluster, factsOf } from './support/cluster.js'
import { SNAPSHOT_EVERY, TIMING, type TestNode } from './support/node.js'

const ELECTED_MS = 2000

interface Group {
  cluster: Cluster
  leader: TestNode
  others: TestNode[]
  coverage: Coverage
}

async function form (seed: number): Promise<Group> {
  const coverage = createCoverage()
  const cluster = await Cluster.create(seed, coverage)
  assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTED_MS))
  const leader = cluster.leader!
  const others = ['a', 'b', 'c'].map(id => cluster.node(id)).filter(node => node !== leader)
  await cluster.run(100)
  return { cluster, leader, others, coverage }
}

describe('a group of replicas', () => {
  it('stays at one leader and one term while nothing fails', async () => {
    const { cluster, leader, coverage } = await form(1)
    const { term } = leader.replica!.status()
    await cluster.run(5000)
    assert.equal(cluster.leader, leader)
    assert.equal(leader.replica!.status().term, term)
    assert.equal(coverage.elections, 1)
  })

  it('forms only once all first members were there, and names those it waits for', async () => {
    const cluster = await Cluster.create(13, createCoverage())
    await cluster.run(5)
    cluster.crash(cluster.node('c'))
    await cluster.run(ELECTED_MS)
    assert.equal(cluster.leader, undefined)
    assert.ok(cluster.node('a').replica!.status().waitingFor.includes('c'))
    cluster.start(cluster.node('c'))
    assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTED_MS))
    assert.deepEqual(cluster.leader!.replica!.status().waitingFor, [])
  })

  it('keeps its leader when a member that was cut off comes back', async () => {
    const { cluster, leader, others } = await form(2)
    cluster.isolate(others[0].id)
    await cluster.run(3000)
    cluster.heal()
    await cluster.run(1000)
    assert.equal(cluster.leader, leader)
    assert.equal(leader.replica!.status().term, 1)
  })

  describe('its leader', () => {
    it('may not decide when it wakes from a pause longer than its lease', async () => {
      const { cluster, leader } = await form(3)
      leader.isPaused = true
      await cluster.run(TIMING.electionMs * 2)
      assert.equal(leader.replica!.holdsLease(), false)
      cluster.resume(leader)
      await cluster.run(1000)
      assert.ok(cluster.leader !== undefined)
    })

    it('loses its lease within an election timeout when it only hears and is not heard', async () => {
      const { cluster, leader, others } = await form(4)
      for (const other of others) cluster.cutWay(leader.id, other.id)
      assert.ok(await cluster.runUntil(() => !leader.replica!.holdsLease(), TIMING.electionMs * 2))
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTED_MS))
      assert.notEqual(cluster.leader, leader)
    })

    it('steps down when it is heard but hears nobody', async () => {
      const { cluster, leader, others } = await form(11)
      for (const other of others) cluster.cutWay(other.id, leader.id)
      assert.ok(await cluster.runUntil(() => leader.replica!.status().role !== 'leader', ELECTED_MS))
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTED_MS))
      assert.notEqual(cluster.leader, leader)
    })

    it('hands over without an election timeout', async () => {
      const { cluster, leader, others } = await form(5)
      leader.replica!.transferLeadership(others[1].id)
      assert.throws(() => leader.replica!.propose(new Uint8Array()), { kind: 'notLeader' })
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, TIMING.electionMs))
      assert.equal(cluster.leader, others[1])
    })

    it('takes no snapshot while it hands over, as its state may be ahead of the log', async () => {
      const { cluster, leader, others } = await form(21)
      cluster.cutWay(leader.id, others[0].id)
      for (let count = 0; count < SNAPSHOT_EVERY; count += 1) leader.propose()
      leader.replica!.transferLeadership(others[0].id)
      const isCommitted = (): boolean => leader.raft.state.commitIndex >= SNAPSHOT_EVERY
      assert.ok(await cluster.runUntil(isCommitted, TIMING.electionMs))
      await cluster.run(TIMING.heartbeatMs)
      assert.equal(leader.raft.isTransferring, true)
      assert.equal(leader.raft.state.log.snapshot, undefined)
    })
  })

  describe('membership', () => {
    it('replaces a member that lost its disk, and survives the loss of another', async () => {
      const { cluster, leader, others } = await form(6)
      const [lost, second] = others
      leader.propose()
      cluster.loseDisk(lost)
      cluster.start(lost)
      await cluster.run(500)
      assert.equal(lost.replica!.status().role, 'learner')
      assert.equal(lost.replica!.status().lastIndex, 0)
      await finished(cluster, leader.replica!.removeMember(lost.id))
      await finished(cluster, leader.replica!.addMember(factsOf(lost.id)))
      assert.ok(await cluster.runUntil(() => lost.replica!.status().role === 'follower', ELECTED_MS))
      cluster.crash(second)
      const before = cluster.checker.acknowledged
      leader.propose()
      assert.ok(await cluster.runUntil(() => cluster.checker.acknowledged > before, ELECTED_MS))
    })

    it('keeps a learner from counting before it has caught up', async () => {
      const { cluster, leader, others } = await form(12)
      cluster.isolate('d')
      await finished(cluster, leader.replica!.addMember(factsOf('d')))
      cluster.crash(others[0])
      const before = cluster.checker.acknowledged
      leader.propose()
      assert.ok(await cluster.runUntil(() => cluster.checker.acknowledged > before, ELECTED_MS))
      assert.equal(leader.replica!.status().members.find(member => member.id === 'd')?.role, 'learner')
    })

    it('refuses the removal of the last spare voter, of the leader, and a second change', async () => {
      const { cluster, leader, others } = await form(7)
      const refused = { kind: 'failedPrecondition' }
      await assert.rejects(leader.replica!.removeMember(others[0].id), { ...refused, message: /add a replacement first/ })
      await assert.rejects(leader.replica!.removeMember(leader.id), { ...refused, message: /transfer leadership first/ })
      const added = leader.replica!.addMember(factsOf('d'))
      await assert.rejects(leader.replica!.addMember(factsOf('e')), { ...refused, message: /in progress/ })
      await finished(cluster, added)
      assert.ok(await cluster.runUntil(() => cluster.node('d').replica!.status().role === 'follower', ELECTED_MS))
      // The promotion is a change as well.
      await cluster.run(100)
      await finished(cluster, leader.replica!.removeMember(others[0].id))
    })

    it('refuses a removal that would leave too few voters that answer', async () => {
      const { cluster, leader, others } = await form(8)
      cluster.crash(others[0])
      await cluster.run(TIMING.electionMs * 2)
      await assert.rejects(leader.replica!.removeMember(others[1].id), (thrown: unknown) => {
        return isFailure(thrown) && thrown.kind === 'failedPrecondition' && thrown.message.includes('too few')
      })
    })
  })

  describe('a disk that fails', () => {
    it('stops a follower from acknowledging and voting, while the others go on', async () => {
      const { cluster, leader, others, coverage } = await form(9)
      others[0].disk!.isFailing = true
      leader.propose()
      await cluster.run(500)
      assert.equal(coverage.faults, 1)
      assert.match(others[0].replica!.status().fault, /no space left/)
      assert.equal(cluster.leader, leader)
      cluster.crash(others[1])
      await cluster.run(3000)
      assert.equal(cluster.leader, undefined)
    })

    it('stops a leader from leading', async () => {
      const { cluster, leader } = await form(10)
      leader.disk!.isFailing = true
      leader.propose()
      await cluster.run(50)
      assert.equal(leader.replica!.holdsLease(), false)
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTED_MS))
      assert.notEqual(cluster.leader, leader)
    })
  })
})

/** Runs the cluster until an operation is done; throws what it throws. */
async function finished (cluster: Cluster, operation: Promise<void>): Promise<void> {
  let isDone = false
  const watched = operation.finally(() => { isDone = true })
  await cluster.runUntil(() => isDone, ELECTED_MS)
  assert.ok(isDone, 'the operation does not end')
  await watched
}
