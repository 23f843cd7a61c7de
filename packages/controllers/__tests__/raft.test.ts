/**
 * Rules of the state machine that a schedule reaches too rarely, message by message.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  checkMessage, EntryKind, Raft, RaftLog,
  type Body, type Entry, type HardState, type Member, type Message, type Timing
} from '../src/index.js'

const TIMING: Timing = Object.freeze({ heartbeatMs: 30, electionMs: 200, driftMs: 80 })
const LATE = 2 * TIMING.electionMs

function member (id: string): Member {
  return { id, disk: `${id}1`, address: `${id}:1`, availabilityZone: id, role: 'voter' }
}

const MEMBERS = ['a', 'b', 'c'].map(member)

function entry (index: number, term: number): Entry {
  return { index, term, kind: EntryKind.data, data: Buffer.from(`${index} ${term}`) }
}

/** Replica a of three, in a term, with a log whose entries have the given terms. */
function createRaft (term: number, ...terms: number[]): Raft {
  const hardState: HardState = { group: 'test', id: 'a', disk: 'a1', term, vote: '', members: MEMBERS, disks: {} }
  const log = RaftLog.create({ members: MEMBERS, entries: terms.map((of, position) => entry(position + 1, of)) })
  return Raft.create({ hardState, log, timing: TIMING, seed: 1, bootstrap: [], now: 0 }, () => {})
}

function message (term: number, body: Body, disk: string, toDisk = 'a1'): Message {
  return { ...body, term, disk, toDisk } as Message
}

/** Makes all writes durable and returns the messages sent since. */
function sync (raft: Raft, now: number): Message[] {
  const { state } = raft
  const writes = state.writes.splice(0)
  const last = writes.at(-1)
  if (last !== undefined) raft.synced(last.sequence, state.log.lastIndex, now)
  return state.messages.splice(0).map(({ message }) => message)
}

const PRE_VOTE: Body = { kind: 'voteAnswer', pre: true, granted: true }
const VOTE: Body = { kind: 'voteAnswer', pre: false, granted: true }

/** Elects the replica by the votes of itself and b. */
function elect (raft: Raft, voterDisk = 'b1'): void {
  const term = raft.state.term + 1
  raft.tick(LATE)
  raft.receive('b', message(term, PRE_VOTE, 'b1'), LATE)
  sync(raft, LATE)
  raft.receive('b', message(term, VOTE, voterDisk), LATE)
}

function accepted (index: number): Body {
  return { kind: 'appendAnswer', accepted: true, index, refusedIndex: 0, sentAt: LATE }
}

describe('the state machine', () => {
  describe('commitment', () => {
    it('does not count an entry of an earlier term, only along with one of its own', () => {
      const raft = createRaft(3, 1, 2)
      elect(raft)
      assert.equal(raft.role, 'leader')
      sync(raft, LATE)
      raft.receive('b', message(4, accepted(2), 'b1'), LATE)
      raft.receive('c', message(4, accepted(2), 'c1'), LATE)
      assert.equal(raft.state.commitIndex, 0)
      raft.receive('b', message(4, accepted(3), 'b1'), LATE)
      assert.equal(raft.state.commitIndex, 3)
    })

    it('goes no further than the entries that agree with the leader', () => {
      const raft = createRaft(2, 1, 1, 1)
      const append: Body = {
        kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [], commitIndex: 3, sentAt: 0
      }
      raft.receive('b', message(2, append, 'b1'), 1)
      assert.equal(raft.state.commitIndex, 1)
    })
  })

  describe('the lease', () => {
    function createLeader (): Raft {
      const raft = createRaft(3, 1)
      elect(raft)
      sync(raft, LATE)
      raft.receive('b', message(4, accepted(2), 'b1'), LATE + 50)
      return raft
    }

    it('runs from the request on, and ends a drift before the promise does', () => {
      const raft = createLeader()
      const end = LATE + TIMING.electionMs - TIMING.driftMs
      assert.equal(raft.holdsLease(end - 1), true)
      assert.equal(raft.holdsLease(end), false)
    })

    it('is given up before leadership is handed over', () => {
      const raft = createLeader()
      raft.propose(new Uint8Array())
      raft.transferLeadership('b', LATE + 51)
      assert.equal(raft.role, 'leader')
      assert.equal(raft.holdsLease(LATE + 51), false)
    })
  })

  describe('disks', () => {
    it('counts no vote that was given under another disk', () => {
      const raft = createRaft(3, 1)
      elect(raft, 'b2')
      assert.equal(raft.role, 'candidate')
    })

    it('counts no acknowledgement under another disk', () => {
      const raft = createRaft(3, 1)
      elect(raft)
      sync(raft, LATE)
      raft.receive('b', message(4, accepted(2), 'b2'), LATE)
      assert.equal(raft.state.commitIndex, 0)
    })

    it('gives no vote to a member that asks under another disk', () => {
      const raft = createRaft(3, 1)
      const ask: Body = { kind: 'voteRequest', pre: false, transfer: false, lastIndex: 9, lastTerm: 3 }
      raft.receive('b', message(4, ask, 'b2'), LATE)
      assert.deepEqual(sync(raft, LATE), [])
      raft.receive('b', message(4, ask, 'b1'), LATE)
      const answers = sync(raft, LATE)
      assert.deepEqual(answers.map(answer => answer.kind === 'voteAnswer' && answer.granted), [true])
    })

    it('takes no message that was meant for another disk', () => {
      const raft = createRaft(3, 1)
      const append: Body = {
        kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [entry(2, 4)], commitIndex: 0, sentAt: 0
      }
      raft.receive('b', message(4, append, 'b1', 'a0'), 1)
      assert.equal(raft.state.term, 3)
      assert.equal(raft.state.log.lastIndex, 1)
    })
  })

  describe('the promise to a leader', () => {
    it('holds after a restart for one election timeout, but for a transfer', () => {
      const ask = (transfer: boolean): Body => ({ kind: 'voteRequest', pre: false, transfer, lastIndex: 9, lastTerm: 3 })
      const raft = createRaft(3, 1)
      raft.receive('b', message(4, ask(false), 'b1'), TIMING.electionMs - 1)
      assert.equal(raft.state.term, 3)
      raft.receive('b', message(4, ask(true), 'b1'), TIMING.electionMs - 1)
      assert.equal(raft.state.vote, 'b/b1')
    })

    it('is made anew by each message of the leader', () => {
      const raft = createRaft(4, 1)
      const append: Body = {
        kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [], commitIndex: 0, sentAt: 0
      }
      raft.receive('c', message(4, append, 'c1'), LATE)
      const ask: Body = { kind: 'voteRequest', pre: false, transfer: false, lastIndex: 9, lastTerm: 3 }
      raft.receive('b', message(5, ask, 'b1'), LATE + TIMING.electionMs - 1)
      assert.equal(raft.state.term, 4)
    })
  })

  it('takes a snapshot with the membership of its index, not a later one', () => {
    const raft = createRaft(3, 1)
    elect(raft)
    sync(raft, LATE)
    raft.receive('b', message(4, accepted(2), 'b1'), LATE)
    raft.propose(new Uint8Array())
    raft.addMember({ ...member('d'), role: 'learner' }, LATE)
    sync(raft, LATE)
    raft.receive('b', message(4, accepted(3), 'b1'), LATE)
    raft.compact(3, new Uint8Array(), 0)
    const { log } = raft.state
    assert.deepEqual(log.snapshot?.members.map(({ id }) => id), ['a', 'b', 'c'])
    assert.deepEqual(log.members.map(({ id }) => id), ['a', 'b', 'c', 'd'])
  })

  it('refuses malformed messages', () => {
    const good: Body = {
      kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [entry(2, 4)], commitIndex: 0, sentAt: 0
    }
    assert.ok(checkMessage(message(4, good, 'b1')))
    const bad: unknown[] = [
      undefined, 7, 'text', {}, { kind: 'toString' }, { ...good }, message(-1, good, 'b1'), message(1.5, good, 'b1'),
      message(4, { ...good, entries: [entry(3, 4)] }, 'b1'),
      message(4, { ...good, entries: [{ ...entry(2, 4), data: 'text' as unknown as Uint8Array }] }, 'b1'),
      message(4, { ...good, sentAt: NaN }, 'b1')
    ]
    for (const value of bad) assert.throws(() => checkMessage(value), { kind: 'invalidArgument' })
  })

  it('does not take what an older write made durable for what replaced it', () => {
    const raft = createRaft(2, 1)
    const append = (term: number): Body => ({
      kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [entry(2, term)], commitIndex: 0, sentAt: 0
    })
    raft.receive('b', message(2, append(2), 'b1'), 1)
    const older = raft.state.writes.splice(0).at(-1)!
    raft.receive('c', message(3, append(3), 'c1'), 2)
    raft.synced(older.sequence, 2, 3)
    assert.equal(raft.state.durableIndex, 1)
    sync(raft, 4)
    assert.equal(raft.state.durableIndex, 2)
  })
})
