/**
 * Single faults and operations of a group of replicas, in simulated time.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isFailure } from '@flamingorouter/scheduler'
import { createCoverage, type Coverage } from './support/checker.js'
import { Cluster, factsOf } from './support/cluster.js'
import { SNAPSHOT_EVERY, TIMING, type TestNode } from './support/node.js'

/** Time within which an election must succeed, in simulated milliseconds. */
const ELECTION_LIMIT_MS = 2000

interface Group {
  cluster: Cluster
  leader: TestNode
  others: TestNode[]
  coverage: Coverage
}

async function formGroup (seed: number): Promise<Group> {
  const coverage = createCoverage()
  const cluster = await Cluster.create(seed, coverage)
  assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTION_LIMIT_MS))
  const leader = cluster.leader!
  const others = ['a', 'b', 'c'].map(id => cluster.node(id)).filter(node => node !== leader)
  await cluster.run(100)
  return { cluster, leader, others, coverage }
}

describe('a group of replicas', () => {
  it('keeps one leader and one term while nothing fails', async () => {
    const { cluster, leader, coverage } = await formGroup(1)
    const { term } = leader.replica!.status()
    await cluster.run(5000)
    assert.equal(cluster.leader, leader)
    assert.equal(leader.replica!.status().term, term)
    assert.equal(coverage.elections, 1)
  })

  it('forms only once all initial members have participated, and lists the missing ones until then', async () => {
    const cluster = await Cluster.create(13, createCoverage())
    await cluster.run(5)
    cluster.crash(cluster.node('c'))
    await cluster.run(ELECTION_LIMIT_MS)
    assert.equal(cluster.leader, undefined)
    assert.ok(cluster.node('a').replica!.status().missingInitialMembers.includes('c'))
    cluster.start(cluster.node('c'))
    assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTION_LIMIT_MS))
    assert.deepEqual(cluster.leader!.replica!.status().missingInitialMembers, [])
  })

  // The seeds leave a member that gets the leader's first entry before the last greeting that it needs.
  for (const seed of [58, 106, 185, 290]) {
    it(`elects another leader when one is lost right after two of three members formed the group (seed ${seed})`, async () => {
      const cluster = await Cluster.create(seed, createCoverage())
      cluster.lossPercent = 60
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, 60_000))
      const first = cluster.leader!
      cluster.heal()
      await cluster.run(100)
      cluster.crash(first)
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined && cluster.leader !== first, ELECTION_LIMIT_MS))
    })
  }

  it('keeps its leader and term when a partitioned member reconnects', async () => {
    const { cluster, leader, others } = await formGroup(2)
    cluster.isolate(others[0].id)
    await cluster.run(3000)
    cluster.heal()
    await cluster.run(1000)
    assert.equal(cluster.leader, leader)
    assert.equal(leader.replica!.status().term, 1)
  })

  describe('its leader', () => {
    it('holds no lease when it resumes after a pause longer than the lease', async () => {
      const { cluster, leader } = await formGroup(3)
      leader.isPaused = true
      await cluster.run(TIMING.electionMs * 2)
      assert.equal(leader.replica!.holdsLease(), false)
      cluster.resume(leader)
      await cluster.run(1000)
      assert.ok(cluster.leader !== undefined)
    })

    it('loses its lease and is replaced when it can receive but not send', async () => {
      const { cluster, leader, others } = await formGroup(4)
      for (const other of others) cluster.blockMessages(leader.id, other.id)
      assert.ok(await cluster.runUntil(() => !leader.replica!.holdsLease(), TIMING.electionMs * 2))
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTION_LIMIT_MS))
      assert.notEqual(cluster.leader, leader)
    })

    it('steps down and is replaced when it can send but not receive', async () => {
      const { cluster, leader, others } = await formGroup(11)
      for (const other of others) cluster.blockMessages(other.id, leader.id)
      assert.ok(await cluster.runUntil(() => leader.replica!.status().role !== 'leader', ELECTION_LIMIT_MS))
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTION_LIMIT_MS))
      assert.notEqual(cluster.leader, leader)
    })

    it('transfers leadership within an election timeout', async () => {
      const { cluster, leader, others } = await formGroup(5)
      leader.replica!.transferLeadership(others[1].id)
      assert.throws(() => leader.replica!.propose(new Uint8Array()), { kind: 'notLeader' })
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, TIMING.electionMs))
      assert.equal(cluster.leader, others[1])
    })

    it('takes no snapshot during a leadership transfer, when its state may be ahead of the log', async () => {
      const { cluster, leader, others } = await formGroup(21)
      cluster.blockMessages(leader.id, others[0].id)
      for (let count = 0; count < SNAPSHOT_EVERY; count += 1) leader.propose()
      leader.replica!.transferLeadership(others[0].id)
      const isCommitted = (): boolean => leader.raft.state.commitIndex >= SNAPSHOT_EVERY
      assert.ok(await cluster.runUntil(isCommitted, TIMING.electionMs))
      await cluster.run(TIMING.heartbeatMs)
      assert.equal(leader.raft.isTransferring, true)
      assert.equal(leader.raft.state.log.snapshot, undefined)
    })
  })

  describe('in membership changes', () => {
    it('replaces a member that lost its disk, and tolerates the loss of another afterwards', async () => {
      const { cluster, leader, others } = await formGroup(6)
      const [lost, second] = others
      leader.propose()
      cluster.loseDisk(lost)
      cluster.start(lost)
      await cluster.run(500)
      assert.equal(lost.replica!.status().role, 'learner')
      assert.equal(lost.replica!.status().lastIndex, 0)
      await runUntilSettled(cluster, leader.replica!.removeMember(lost.id))
      await runUntilSettled(cluster, leader.replica!.addMember(factsOf(lost.id)))
      assert.ok(await cluster.runUntil(() => lost.replica!.status().role === 'follower', ELECTION_LIMIT_MS))
      cluster.crash(second)
      const acknowledgedBefore = cluster.checker.acknowledged
      leader.propose()
      assert.ok(await cluster.runUntil(() => cluster.checker.acknowledged > acknowledgedBefore, ELECTION_LIMIT_MS))
    })

    it('does not count a learner towards the quorum before it has caught up', async () => {
      const { cluster, leader, others } = await formGroup(12)
      cluster.isolate('d')
      await runUntilSettled(cluster, leader.replica!.addMember(factsOf('d')))
      cluster.crash(others[0])
      const acknowledgedBefore = cluster.checker.acknowledged
      leader.propose()
      assert.ok(await cluster.runUntil(() => cluster.checker.acknowledged > acknowledgedBefore, ELECTION_LIMIT_MS))
      assert.equal(leader.replica!.status().members.find(member => member.id === 'd')?.role, 'learner')
    })

    it('refuses to remove the last spare voter or the leader, and a second change at the same time', async () => {
      const { cluster, leader, others } = await formGroup(7)
      const refused = { kind: 'failedPrecondition' }
      await assert.rejects(leader.replica!.removeMember(others[0].id), { ...refused, message: /add a replacement first/ })
      await assert.rejects(leader.replica!.removeMember(leader.id), { ...refused, message: /transfer leadership first/ })
      const added = leader.replica!.addMember(factsOf('d'))
      await assert.rejects(leader.replica!.addMember(factsOf('e')), { ...refused, message: /in progress/ })
      await runUntilSettled(cluster, added)
      assert.ok(await cluster.runUntil(() => cluster.node('d').replica!.status().role === 'follower', ELECTION_LIMIT_MS))
      // The promotion is a membership change too, and must be committed before the next one is accepted.
      await cluster.run(100)
      await runUntilSettled(cluster, leader.replica!.removeMember(others[0].id))
    })

    it('refuses a removal that would leave fewer responsive voters than a quorum', async () => {
      const { cluster, leader, others } = await formGroup(8)
      cluster.crash(others[0])
      await cluster.run(TIMING.electionMs * 2)
      await assert.rejects(leader.replica!.removeMember(others[1].id), (thrown: unknown) => {
        return isFailure(thrown) && thrown.kind === 'failedPrecondition' && thrown.message.includes('too few')
      })
    })
  })

  describe('a failing disk', () => {
    it('stops a follower from acknowledging and voting, while the others continue', async () => {
      const { cluster, leader, others, coverage } = await formGroup(9)
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
      const { cluster, leader } = await formGroup(10)
      leader.disk!.isFailing = true
      leader.propose()
      await cluster.run(50)
      assert.equal(leader.replica!.holdsLease(), false)
      assert.ok(await cluster.runUntil(() => cluster.leader !== undefined, ELECTION_LIMIT_MS))
      assert.notEqual(cluster.leader, leader)
    })
  })
})

/** Runs the cluster until an operation settles; rejects with its failure. */
async function runUntilSettled (cluster: Cluster, operation: Promise<void>): Promise<void> {
  let isSettled = false
  const settled = operation.finally(() => { isSettled = true })
  await cluster.runUntil(() => isSettled, ELECTION_LIMIT_MS)
  assert.ok(isSettled, 'the operation did not settle within the election limit')
  await settled
}
