/**
 * Repair of the membership: the leader's decisions on controllers that offer
 * themselves as members.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { MemberCandidate, MemberFacts, Replica, ReplicaStatus } from '@flamingorouter/controllers'
import { NoopLog, MembershipRepair, RuntimeLog, type LogFields, type RepairAction } from '../src/index.js'

/** Ids that differ only after a tilde share an address: a controller that lost its disk returns with a new id at its old address. */
function createMember (id: string, role: MemberFacts['role'] = 'voter'): MemberFacts {
  return { id, address: `${id.split('~')[0]}:1`, availabilityZone: 'zone', role }
}

function createStatus (members: MemberFacts[], responsive: string[]): ReplicaStatus {
  return { id: 'one', term: 1, role: 'leader', leader: 'one', commitIndex: 1, lastIndex: 1, members, matchIndex: {}, responsiveMembers: responsive, fault: '', missingInitialMembers: [] }
}

function createOffer (id: string): MemberCandidate {
  const { address, availabilityZone } = createMember(id)
  return { id, address, availabilityZone }
}

/** A replica without the lease, so that a tick tracks silent members and changes nothing. */
function createReplica (status: ReplicaStatus): Replica {
  return { status: () => status, holdsLease: () => false } as unknown as Replica
}

/** Ticks with the same status every 500 ms and returns the decision at the end. */
function decideAfter (status: ReplicaStatus, offers: string[], untilMs: number): RepairAction | undefined {
  const repair = MembershipRepair.create(3, NoopLog.create())
  for (let now = 0; now <= untilMs; now += 500) {
    for (const id of offers) repair.recordOffer(createOffer(id), now)
    repair.tick(createReplica(status), now)
  }
  return repair.decide(status, untilMs)
}

const THREE_VOTERS = ['one', 'two', 'three'].map(id => createMember(id))

describe('repair of the membership', () => {
  it('changes nothing in a complete group when a spare offers itself', () => {
    assert.equal(decideAfter(createStatus(THREE_VOTERS, ['one', 'two', 'three']), ['four'], 10_000), undefined)
  })

  it('removes a member at once when a controller with a new id, as after the loss of its disk, offers itself at its address', () => {
    const status = createStatus(THREE_VOTERS, ['one', 'two'])
    assert.deepEqual(decideAfter(status, ['three~new'], 0), { kind: 'remove', id: 'three' })
  })

  it('adds a controller as a learner when a voter is missing', () => {
    const status = createStatus(THREE_VOTERS.slice(0, 2), ['one', 'two'])
    assert.deepEqual(decideAfter(status, ['four'], 0), { kind: 'add', facts: createMember('four', 'learner') })
  })

  it('replaces a silent voter only after the silence limit, and adds the new one first', () => {
    const status = createStatus(THREE_VOTERS, ['one', 'two'])
    assert.equal(decideAfter(status, ['four'], 2_000), undefined)
    assert.equal(decideAfter(status, ['four'], 4_000)?.kind, 'add')
    const grown = createStatus([...THREE_VOTERS, createMember('four')], ['one', 'two', 'four'])
    assert.deepEqual(decideAfter(grown, [], 4_000), { kind: 'remove', id: 'three' })
  })

  // A controller that lost its disk twice within the validity of an offer was added again under the id of the first loss.
  it('adds the newest controller at an address, not one that offered itself there before', () => {
    const repair = MembershipRepair.create(3, NoopLog.create())
    repair.recordOffer(createOffer('three~first'), 0)
    repair.recordOffer(createOffer('three~second'), 500)
    const status = createStatus(THREE_VOTERS.slice(0, 2), ['one', 'two'])
    assert.deepEqual(repair.decide(status, 600), { kind: 'add', facts: createMember('three~second', 'learner') })
  })

  it('removes a learner whose address is taken by a newer controller', () => {
    const repair = MembershipRepair.create(3, NoopLog.create())
    repair.recordOffer(createOffer('three~first'), 0)
    repair.recordOffer(createOffer('three~second'), 500)
    const status = createStatus([...THREE_VOTERS.slice(0, 2), createMember('three~first', 'learner')], ['one', 'two'])
    assert.deepEqual(repair.decide(status, 600), { kind: 'remove', id: 'three~first' })
  })

  // A leader that was held up after the addition removed the learner at once, for its silence as a member before.
  it('counts the silence of a controller anew when it is added again', () => {
    const repair = MembershipRepair.create(3, NoopLog.create())
    const without = createStatus(THREE_VOTERS.slice(0, 2), ['one', 'two'])
    const silent = createStatus([...without.members, createMember('three', 'learner')], ['one', 'two'])
    repair.tick(createReplica(silent), 0)
    repair.tick(createReplica(without), 4_000)
    repair.tick(createReplica(silent), 4_500)
    assert.equal(repair.decide(silent, 4_500), undefined)
  })

  // A controller that offers itself and cannot be reached was added again and again, and no other one.
  it('adds another controller before one that was added and stayed silent', async () => {
    const repair = MembershipRepair.create(3, NoopLog.create())
    const without = createStatus(THREE_VOTERS.slice(0, 2), ['one', 'two'])
    const silent = createStatus([...without.members, createMember('four', 'learner')], ['one', 'two'])
    const changes: string[] = []
    const replica = {
      status: () => changes.length === 0 ? silent : without,
      holdsLease: () => true,
      removeMember: async (id: string) => { changes.push(`remove ${id}`) },
      addMember: async ({ id }: MemberFacts) => { changes.push(`add ${id}`) }
    } as unknown as Replica
    for (let now = 0; now <= 6_000 && changes.length < 2; now += 500) {
      for (const id of ['four', 'five']) repair.recordOffer(createOffer(id), now)
      repair.tick(replica, now)
      await new Promise(resolve => { setImmediate(resolve) })
    }
    assert.deepEqual(changes, ['remove four', 'add five'])
  })

  it('logs how long a learner took to become a voter', () => {
    const lines: LogFields[] = []
    const log = new (class extends RuntimeLog {
      override info (event: string, fields: LogFields = {}): void { lines.push({ event, ...fields }) }
      override warn (): void {}
      override error (): void {}
    })()
    const repair = MembershipRepair.create(3, log)
    const others = THREE_VOTERS.slice(0, 2)
    for (const [now, role] of [[0, 'learner'], [500, 'learner'], [700, 'voter'], [900, 'voter']] as const) {
      repair.tick(createReplica(createStatus([...others, createMember('three', role)], ['one', 'two', 'three'])), now)
    }
    assert.deepEqual(lines, [{ event: 'member_promoted', member: 'three', tookMs: 700 }])
  })

  it('removes a learner that is silent', () => {
    const status = createStatus([...THREE_VOTERS.slice(0, 2), createMember('four', 'learner')], ['one', 'two'])
    assert.deepEqual(decideAfter(status, [], 4_000), { kind: 'remove', id: 'four' })
  })
})
