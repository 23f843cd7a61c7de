/**
 * Rules of the Raft state machine that generated schedules exercise too rarely,
 * tested message by message.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  checkMessage, DropReason, EntryKind, Raft, RaftLog,
  type MessageBody, type LogEntry, type HardState, type Member, type Message, type RaftTiming
} from '../src/index.js'

const TIMING: RaftTiming = Object.freeze({ heartbeatMs: 30, electionMs: 200, driftMs: 80 })
const AFTER_ELECTION_TIMEOUT_MS = 2 * TIMING.electionMs

function createMember (id: string): Member {
  return { id, disk: `${id}1`, address: `${id}:1`, availabilityZone: id, role: 'voter' }
}

const MEMBERS = ['a', 'b', 'c'].map(createMember)

function createEntry (index: number, term: number): LogEntry {
  return { index, term, kind: EntryKind.data, data: Buffer.from(`${index} ${term}`) }
}

/** Replica a of three members, in `term`, with one log entry of each of the given terms. */
function createRaft (term: number, ...terms: number[]): Raft {
  const hardState: HardState = { group: 'test', id: 'a', disk: 'a1', term, vote: '', members: MEMBERS, disks: {} }
  const log = RaftLog.create({ members: MEMBERS, entries: terms.map((entryTerm, position) => createEntry(position + 1, entryTerm)) })
  return Raft.create({ hardState, log, timing: TIMING, seed: 1, bootstrap: [], now: 0 }, () => {})
}

function createMessage (term: number, body: MessageBody, disk: string, toDisk = 'a1'): Message {
  return { ...body, term, disk, toDisk } as Message
}

/** Reports all queued writes as durable and returns the messages sent since the last call. */
function sync (raft: Raft, now: number): Message[] {
  const { state } = raft
  const writes = state.writes.splice(0)
  const last = writes.at(-1)
  if (last !== undefined) raft.completeSync(last.sequence, state.log.lastIndex, now)
  return state.messages.splice(0).map(({ message }) => message)
}

const PRE_VOTE: MessageBody = { kind: 'voteAnswer', pre: true, granted: true }
const VOTE: MessageBody = { kind: 'voteAnswer', pre: false, granted: true }

/** Elects the replica with its own vote and that of b. */
function elect (raft: Raft, voterDisk = 'b1'): void {
  const term = raft.state.term + 1
  raft.tick(AFTER_ELECTION_TIMEOUT_MS)
  raft.receive('b', createMessage(term, PRE_VOTE, 'b1'), AFTER_ELECTION_TIMEOUT_MS)
  sync(raft, AFTER_ELECTION_TIMEOUT_MS)
  raft.receive('b', createMessage(term, VOTE, voterDisk), AFTER_ELECTION_TIMEOUT_MS)
}

function createAcceptance (index: number, sentAt = AFTER_ELECTION_TIMEOUT_MS): MessageBody {
  return { kind: 'appendAnswer', accepted: true, index, refusedIndex: 0, sentAt }
}

describe('the Raft state machine', () => {
  describe('commitment', () => {
    it('covers an entry of an earlier term only together with one of the current term', () => {
      const raft = createRaft(3, 1, 2)
      elect(raft)
      assert.equal(raft.role, 'leader')
      sync(raft, AFTER_ELECTION_TIMEOUT_MS)
      raft.receive('b', createMessage(4, createAcceptance(2), 'b1'), AFTER_ELECTION_TIMEOUT_MS)
      raft.receive('c', createMessage(4, createAcceptance(2), 'c1'), AFTER_ELECTION_TIMEOUT_MS)
      assert.equal(raft.state.commitIndex, 0)
      raft.receive('b', createMessage(4, createAcceptance(3), 'b1'), AFTER_ELECTION_TIMEOUT_MS)
      assert.equal(raft.state.commitIndex, 3)
    })

    it('does not go beyond the entries that a follower knows to match the leader', () => {
      const raft = createRaft(2, 1, 1, 1)
      const append: MessageBody = {
        kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [], commitIndex: 3, sentAt: 0
      }
      raft.receive('b', createMessage(2, append, 'b1'), 1)
      assert.equal(raft.state.commitIndex, 1)
    })
  })

  describe('the lease', () => {
    function createLeader (): Raft {
      const raft = createRaft(3, 1)
      elect(raft)
      sync(raft, AFTER_ELECTION_TIMEOUT_MS)
      raft.receive('b', createMessage(4, createAcceptance(2), 'b1'), AFTER_ELECTION_TIMEOUT_MS + 50)
      return raft
    }

    it('starts when the request is sent and ends earlier than the vote hold-off, by the largest clock drift', () => {
      const raft = createLeader()
      const end = AFTER_ELECTION_TIMEOUT_MS + TIMING.electionMs - TIMING.driftMs
      assert.equal(raft.holdsLease(end - 1), true)
      assert.equal(raft.holdsLease(end), false)
    })

    it('is not extended by the answer to a late request of the process that led before a restart, whose clock was another one', () => {
      const raft = createLeader()
      const follower = createRaft(4, 1)
      const late: MessageBody = {
        kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [], commitIndex: 0, sentAt: 1_000_000
      }
      follower.receive('b', createMessage(3, late, 'b1'), 1)
      const answers = sync(follower, 1)
      assert.deepEqual(answers.map(answer => answer.term), [4])
      for (const answer of answers) raft.receive('b', { ...answer, disk: 'b1', toDisk: 'a1' }, AFTER_ELECTION_TIMEOUT_MS + 51)
      assert.equal(raft.holdsLease(AFTER_ELECTION_TIMEOUT_MS + TIMING.electionMs - TIMING.driftMs), false)
    })

    it('is given up when a leadership transfer starts', () => {
      const raft = createLeader()
      raft.propose(new Uint8Array())
      raft.transferLeadership('b', AFTER_ELECTION_TIMEOUT_MS + 51)
      assert.equal(raft.role, 'leader')
      assert.equal(raft.holdsLease(AFTER_ELECTION_TIMEOUT_MS + 51), false)
    })
  })

  describe('a leader whose process is stalled', () => {
    const ELECTED_AT = AFTER_ELECTION_TIMEOUT_MS
    const STALL_MS = TIMING.electionMs + 2 * TIMING.heartbeatMs

    function createLeader (): Raft {
      const raft = createRaft(3, 1, 2)
      elect(raft)
      sync(raft, ELECTED_AT)
      raft.receive('b', createMessage(4, createAcceptance(3), 'b1'), ELECTED_AT)
      return raft
    }

    it('does not step down before it can read the answers that arrived during the stall', () => {
      const raft = createLeader()
      raft.tick(ELECTED_AT + STALL_MS)
      assert.equal(raft.role, 'leader')
      raft.receive('b', createMessage(4, createAcceptance(3, ELECTED_AT + STALL_MS), 'b1'), ELECTED_AT + STALL_MS)
      raft.tick(ELECTED_AT + STALL_MS + TIMING.electionMs)
      assert.equal(raft.role, 'leader')
    })

    it('holds no lease after the stall until a quorum answers', () => {
      const raft = createLeader()
      assert.equal(raft.holdsLease(ELECTED_AT + 1), true)
      raft.tick(ELECTED_AT + STALL_MS)
      assert.equal(raft.holdsLease(ELECTED_AT + STALL_MS), false)
    })

    it('steps down when each of its turns is so slow that it cannot renew the lease', () => {
      const raft = createLeader()
      for (let turn = 1; turn <= 4; turn++) {
        const now = ELECTED_AT + turn * TIMING.electionMs
        raft.tick(now)
        raft.receive('b', createMessage(4, createAcceptance(3, now - TIMING.electionMs), 'b1'), now)
      }
      assert.notEqual(raft.role, 'leader')
    })

    it('steps down when a quorum stays silent after the stall, also while every turn of its event loop is slow', () => {
      for (const tickMs of [10, 2 * TIMING.heartbeatMs]) {
        const raft = createLeader()
        raft.tick(ELECTED_AT + STALL_MS)
        const ticks = Math.ceil(2 * TIMING.electionMs / Math.min(tickMs, TIMING.heartbeatMs))
        for (let tick = 1; tick <= ticks; tick++) raft.tick(ELECTED_AT + STALL_MS + tick * tickMs)
        assert.notEqual(raft.role, 'leader', `ticks every ${tickMs} ms`)
      }
    })
  })

  describe('a leader in a long turn', () => {
    const ELECTED_AT = AFTER_ELECTION_TIMEOUT_MS

    /** Times at which a leader that is in one turn from its election on sends heartbeats to c. */
    function listHeartbeats (turnMs: number): number[] {
      const raft = createRaft(3, 1, 2)
      elect(raft)
      sync(raft, ELECTED_AT)
      raft.receive('b', createMessage(4, createAcceptance(3), 'b1'), ELECTED_AT)
      raft.tick(ELECTED_AT)
      raft.state.messages = []
      const times: number[] = []
      for (let now = ELECTED_AT; now <= ELECTED_AT + turnMs; now++) {
        raft.sustain(now)
        for (const { to } of raft.state.messages.splice(0)) if (to === 'c') times.push(now - ELECTED_AT)
      }
      assert.equal(raft.role, 'leader')
      return times
    }

    it('sends heartbeats at their interval', () => {
      const times = listHeartbeats(2 * TIMING.electionMs)
      assert.deepEqual(times, Array.from({ length: Math.floor(2 * TIMING.electionMs / TIMING.heartbeatMs) }, (_, index) => (index + 1) * TIMING.heartbeatMs))
    })

    it('falls silent in a turn that does not end, so that another replica can lead', () => {
      const times = listHeartbeats(10 * TIMING.electionMs)
      assert.ok(times[times.length - 1] <= 3 * TIMING.electionMs, `the last heartbeat was sent after ${times[times.length - 1]} ms`)
    })
  })

  describe('a member that does not answer', () => {
    const ELECTED_AT = AFTER_ELECTION_TIMEOUT_MS
    const ENTRY_BYTES = 1_000
    const ENTRY_COUNT = 50

    /** A leader whose followers have answered once; from then on b answers and c does not. */
    function createLeader (): Raft {
      const raft = createRaft(3, 1, 2)
      elect(raft)
      sync(raft, ELECTED_AT)
      raft.receive('b', createMessage(4, createAcceptance(3), 'b1'), ELECTED_AT)
      return raft
    }

    /** Lets the leader run for a second, in which it proposes entries; returns the bytes of entries that it sent to c. */
    function countBytesToSilentMember (raft: Raft): number {
      let bytes = 0
      for (let now = ELECTED_AT + 10; now <= ELECTED_AT + 1_000; now += 10) {
        if (now <= ELECTED_AT + 10 * ENTRY_COUNT) raft.propose(new Uint8Array(ENTRY_BYTES))
        raft.tick(now)
        raft.flush(now)
        const { writes } = raft.state
        if (writes.length > 0) raft.completeSync(writes.splice(0).at(-1)!.sequence, raft.state.log.lastIndex, now)
        for (const { to, message } of raft.state.messages.splice(0)) {
          if (to === 'c' && message.kind === 'appendRequest') bytes += message.entries.reduce((sum, entry) => sum + entry.data.length, 0)
        }
        raft.receive('b', createMessage(4, createAcceptance(raft.state.log.lastIndex, now), 'b1'), now)
      }
      assert.equal(raft.role, 'leader')
      return bytes
    }

    it('is not sent the log with every heartbeat', () => {
      const bytes = countBytesToSilentMember(createLeader())
      assert.ok(bytes <= ENTRY_COUNT * ENTRY_BYTES, `${bytes} bytes were sent`)
    })

    it('is not sent what it has acknowledged before its answers stopped', () => {
      const raft = createLeader()
      raft.receive('c', createMessage(4, createAcceptance(3), 'c1'), ELECTED_AT)
      const bytes = countBytesToSilentMember(raft)
      assert.ok(bytes <= ENTRY_COUNT * ENTRY_BYTES, `${bytes} bytes were sent`)
    })

    it('gets no more than a mebibyte and one message in one turn when it begins to catch up', () => {
      const raft = createLeader()
      for (let entry = 0; entry < 8_000; entry++) raft.propose(new Uint8Array(ENTRY_BYTES))
      const now = ELECTED_AT + 10
      sync(raft, now)
      raft.receive('c', createMessage(4, createAcceptance(3, now), 'c1'), now)
      raft.flush(now)
      const bytes = raft.state.messages.splice(0).reduce((sum, { to, message }) => {
        return sum + (to === 'c' && message.kind === 'appendRequest' ? message.entries.reduce((total, { data }) => total + data.length, 0) : 0)
      }, 0)
      assert.ok(bytes > 0 && bytes <= (1_024 + 128) * 1_024, `${bytes} bytes were sent`)
    })

    it('gets all entries once it answers again', () => {
      const raft = createLeader()
      countBytesToSilentMember(raft)
      const now = ELECTED_AT + 1_060
      const receive = (body: MessageBody): Message[] => {
        raft.receive('c', createMessage(4, body, 'c1'), now)
        raft.flush(now)
        return raft.state.messages.splice(0).map(({ message }) => message)
      }
      receive({ kind: 'appendAnswer', accepted: false, index: 2, refusedIndex: raft.state.log.lastIndex, sentAt: now })
      const sent = receive(createAcceptance(3, now)).flatMap(message => message.kind === 'appendRequest' ? message.entries.map(({ index }) => index) : [])
      assert.deepEqual([sent[0], sent.at(-1)], [4, raft.state.log.lastIndex])
    })
  })

  describe('a message with the wrong disk identity', () => {
    it('is not counted as a vote', () => {
      const raft = createRaft(3, 1)
      elect(raft, 'b2')
      assert.equal(raft.role, 'candidate')
    })

    it('is not counted as an acknowledgement', () => {
      const raft = createRaft(3, 1)
      elect(raft)
      sync(raft, AFTER_ELECTION_TIMEOUT_MS)
      raft.receive('b', createMessage(4, createAcceptance(2), 'b2'), AFTER_ELECTION_TIMEOUT_MS)
      assert.equal(raft.state.commitIndex, 0)
    })

    it('gets no vote when it requests one', () => {
      const raft = createRaft(3, 1)
      const voteRequest: MessageBody = { kind: 'voteRequest', pre: false, transfer: false, lastIndex: 9, lastTerm: 3 }
      raft.receive('b', createMessage(4, voteRequest, 'b2'), AFTER_ELECTION_TIMEOUT_MS)
      assert.deepEqual(sync(raft, AFTER_ELECTION_TIMEOUT_MS), [])
      raft.receive('b', createMessage(4, voteRequest, 'b1'), AFTER_ELECTION_TIMEOUT_MS)
      const answers = sync(raft, AFTER_ELECTION_TIMEOUT_MS)
      assert.deepEqual(answers.map(answer => answer.kind === 'voteAnswer' && answer.granted), [true])
    })

    it('is dropped when the wrong identity is that of the receiver', () => {
      const raft = createRaft(3, 1)
      const append: MessageBody = {
        kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [createEntry(2, 4)], commitIndex: 0, sentAt: 0
      }
      raft.receive('b', createMessage(4, append, 'b1', 'a0'), 1)
      assert.equal(raft.state.term, 3)
      assert.equal(raft.state.log.lastIndex, 1)
    })
  })

  describe('the vote hold-off', () => {
    it('applies for one election timeout after a restart, except to a leadership transfer', () => {
      const createVoteRequest = (transfer: boolean): MessageBody => ({ kind: 'voteRequest', pre: false, transfer, lastIndex: 9, lastTerm: 3 })
      const raft = createRaft(3, 1)
      raft.receive('b', createMessage(4, createVoteRequest(false), 'b1'), TIMING.electionMs - 1)
      assert.equal(raft.state.term, 3)
      raft.receive('b', createMessage(4, createVoteRequest(true), 'b1'), TIMING.electionMs - 1)
      assert.equal(raft.state.vote, 'b/b1')
    })

    it('is renewed by each message of the leader', () => {
      const raft = createRaft(4, 1)
      const append: MessageBody = {
        kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [], commitIndex: 0, sentAt: 0
      }
      raft.receive('c', createMessage(4, append, 'c1'), AFTER_ELECTION_TIMEOUT_MS)
      const voteRequest: MessageBody = { kind: 'voteRequest', pre: false, transfer: false, lastIndex: 9, lastTerm: 3 }
      raft.receive('b', createMessage(5, voteRequest, 'b1'), AFTER_ELECTION_TIMEOUT_MS + TIMING.electionMs - 1)
      assert.equal(raft.state.term, 4)
    })
  })

  it('takes a snapshot with the membership of its index, not a later one', () => {
    const raft = createRaft(3, 1)
    elect(raft)
    sync(raft, AFTER_ELECTION_TIMEOUT_MS)
    raft.receive('b', createMessage(4, createAcceptance(2), 'b1'), AFTER_ELECTION_TIMEOUT_MS)
    raft.propose(new Uint8Array())
    raft.addMember({ ...createMember('d'), role: 'learner' }, AFTER_ELECTION_TIMEOUT_MS)
    sync(raft, AFTER_ELECTION_TIMEOUT_MS)
    raft.receive('b', createMessage(4, createAcceptance(3), 'b1'), AFTER_ELECTION_TIMEOUT_MS)
    raft.compact(3, new Uint8Array(), 0)
    const { log } = raft.state
    assert.deepEqual(log.snapshot?.members.map(({ id }) => id), ['a', 'b', 'c'])
    assert.deepEqual(log.members.map(({ id }) => id), ['a', 'b', 'c', 'd'])
  })

  it('keeps the entries that a follower has acknowledged when a late chunk of a snapshot of earlier entries arrives', () => {
    const raft = createRaft(4, 1)
    const append: MessageBody = {
      kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [createEntry(2, 4), createEntry(3, 4)], commitIndex: 0, sentAt: 2
    }
    raft.receive('b', createMessage(4, append, 'b1'), 2)
    const acknowledged = sync(raft, 2).map(answer => answer.kind === 'appendAnswer' ? answer.index : 0)
    assert.equal(acknowledged.at(-1), 3)
    const late: MessageBody = {
      kind: 'snapshotRequest', index: 2, lastTerm: 4, members: MEMBERS, offset: 0, totalBytes: 1, data: Buffer.from('s'), sentAt: 1
    }
    raft.receive('b', createMessage(4, late, 'b1'), 3)
    sync(raft, 3)
    assert.equal(raft.state.log.lastIndex, 3)
    assert.equal(raft.state.commitIndex, 2)
  })

  describe('a message that has no effect', () => {
    // An answer under the id of a former member left no trace, so that a wrong name, a wrong disk and a lost link looked the same.
    it('is reported with the reason', () => {
      const raft = createRaft(3, 1, 2)
      elect(raft)
      sync(raft, AFTER_ELECTION_TIMEOUT_MS)
      assert.deepEqual(raft.state.drops.splice(0), [])
      raft.receive('former', createMessage(4, createAcceptance(3), 'b1'), AFTER_ELECTION_TIMEOUT_MS)
      raft.receive('b', createMessage(4, createAcceptance(3), 'b2'), AFTER_ELECTION_TIMEOUT_MS)
      raft.receive('b', createMessage(4, createAcceptance(3), 'b1', 'a2'), AFTER_ELECTION_TIMEOUT_MS)
      assert.deepEqual(raft.state.drops.map(({ peer, reason }) => [peer, reason]), [
        ['former', DropReason.notMember], ['b', DropReason.senderDisk], ['b', DropReason.receiverDisk]
      ])
      assert.equal(raft.state.commitIndex, 0)
    })
  })

  it('refuses malformed messages', () => {
    const good: MessageBody = {
      kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [createEntry(2, 4)], commitIndex: 0, sentAt: 0
    }
    assert.ok(checkMessage(createMessage(4, good, 'b1')))
    const bad: unknown[] = [
      undefined, 7, 'text', {}, { kind: 'toString' }, { ...good }, createMessage(-1, good, 'b1'), createMessage(1.5, good, 'b1'),
      createMessage(4, { ...good, entries: [createEntry(3, 4)] }, 'b1'),
      createMessage(4, { ...good, entries: [{ ...createEntry(2, 4), data: 'text' as unknown as Uint8Array }] }, 'b1'),
      createMessage(4, { ...good, sentAt: NaN }, 'b1')
    ]
    for (const value of bad) assert.throws(() => checkMessage(value), { kind: 'invalidArgument' })
  })

  it('does not count a replaced entry as durable when the older write of its index completes', () => {
    const raft = createRaft(2, 1)
    const append = (term: number): MessageBody => ({
      kind: 'appendRequest', previousIndex: 1, previousTerm: 1, entries: [createEntry(2, term)], commitIndex: 0, sentAt: 0
    })
    raft.receive('b', createMessage(2, append(2), 'b1'), 1)
    const older = raft.state.writes.splice(0).at(-1)!
    raft.receive('c', createMessage(3, append(3), 'c1'), 2)
    raft.completeSync(older.sequence, 2, 3)
    assert.equal(raft.state.durableIndex, 1)
    sync(raft, 4)
    assert.equal(raft.state.durableIndex, 2)
  })
})
