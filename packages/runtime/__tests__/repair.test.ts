/**
 * Repair of the membership: what the leader does with controllers that offer
 * themselves.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { MemberFacts, Replica, ReplicaStatus } from '@flamingorouter/controllers'
import { QuietLog, Repair, type RepairAction } from '../src/index.js'

function createMember (id: string, role: MemberFacts['role'] = 'voter'): MemberFacts {
  return { id, address: `${id.split('~')[0]}:1`, availabilityZone: 'zone', role }
}

function createStatus (members: MemberFacts[], heard: string[]): ReplicaStatus {
  return { id: 'one', term: 1, role: 'leader', leader: 'one', commitIndex: 1, lastIndex: 1, members, matchIndex: {}, heard, fault: '', waitingFor: [] }
}

/** Looks at the same status at several times and returns the last decision. */
function decideAfter (status: ReplicaStatus, offers: string[], untilMs: number): RepairAction | undefined {
  const repair = Repair.create(3, QuietLog.create())
  const replica = { status: () => status, holdsLease: () => false } as unknown as Replica
  for (let now = 0; now <= untilMs; now += 500) {
    for (const id of offers) repair.offer({ id, address: `${id.split('~')[0]}:1`, availabilityZone: 'zone' }, now)
    repair.tick(replica, now)
  }
  return repair.decide(status, untilMs)
}

const THREE = ['one', 'two', 'three'].map(id => createMember(id))

describe('repair of the membership', () => {
  it('leaves a whole group alone, and a spare waiting', () => {
    assert.equal(decideAfter(createStatus(THREE, ['one', 'two', 'three']), ['four'], 10_000), undefined)
  })

  it('replaces at once the member whose disk was lost', () => {
    const status = createStatus(THREE, ['one', 'two'])
    assert.deepEqual(decideAfter(status, ['three~new'], 0), { kind: 'remove', id: 'three' })
  })

  it('takes in a controller where a voter is missing', () => {
    const status = createStatus(THREE.slice(0, 2), ['one', 'two'])
    assert.deepEqual(decideAfter(status, ['four'], 0), { kind: 'add', facts: createMember('four', 'learner') })
  })

  it('replaces a silent voter only after a while, the new one first', () => {
    const status = createStatus(THREE, ['one', 'two'])
    assert.equal(decideAfter(status, ['four'], 2_000), undefined)
    assert.equal(decideAfter(status, ['four'], 4_000)?.kind, 'add')
    const grown = createStatus([...THREE, createMember('four')], ['one', 'two', 'four'])
    assert.deepEqual(decideAfter(grown, [], 4_000), { kind: 'remove', id: 'three' })
  })

  it('gives up a learner that is gone', () => {
    const status = createStatus([...THREE.slice(0, 2), createMember('four', 'learner')], ['one', 'two'])
    assert.deepEqual(decideAfter(status, [], 4_000), { kind: 'remove', id: 'four' })
  })
})
