/**
 * The transfer of a snapshot to a learner over a slow link. Each heartbeat and each answer sent the same chunk again, faster
 * than the link carried them, so that a learner did not catch up while the group was short of a voter, and the next lost
 * disks ended it (KNOWN-RED 40).
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { Raft, RaftLog, type HardState, type Member, type Message, type RaftTiming } from '../src/index.js'

const TIMING: RaftTiming = Object.freeze({ heartbeatMs: 60, electionMs: 300, driftMs: 30 })
const STEP_MS = 5
const SNAPSHOT_BYTES = 1_500_000
const SNAPSHOT_INDEX = 10
const DELAY_MS = 5

/** Bytes on their way at most, which a closed link may lose (docs/REPLICATION.md), with the part that exceeds the limit. */
const WINDOW_BYTES = 1024 * 1024 + 128 * 1024

/** Size of a message without the data in it. */
const ENVELOPE_BYTES = 200

/** Size of an entry; the leader proposes one in each turn. */
const ENTRY_BYTES = 100

/** Time within which a controller that is back has to be taken in, in milliseconds; the shortest that a deployment states. */
const CATCH_UP_MS = 4_000

const LEARNER_ID = 'learner'

function createMember (id: string): Member {
  return { id, disk: `${id}1`, address: `${id}:1`, availabilityZone: 'zone', role: 'voter' }
}

const VOTERS = ['leader', 'second', 'third'].map(createMember)

function createRaft (id: string, members: Member[], log: RaftLog): Raft {
  const hardState: HardState = { group: 'test', id, disk: `${id}1`, term: 1, vote: '', members, disks: {} }
  return Raft.create({ hardState, log, timing: TIMING, seed: 1, bootstrap: [], now: 0 }, () => {})
}

function createVoter ({ id }: Member): Raft {
  const snapshot = { index: SNAPSHOT_INDEX, term: 1, members: VOTERS, data: Buffer.alloc(SNAPSHOT_BYTES) }
  return createRaft(id, VOTERS, RaftLog.create({ members: VOTERS, snapshot, entries: [] }))
}

/** A leader with two other voters, to which it proposes entries, a learner, and the link to the learner. */
class Transfer {
  now = 0
  /** Bytes of the snapshot that were sent, with those that were sent again. */
  dataBytes = 0
  /** Length of the turns of the leader, in milliseconds; it reads and sends at the end of each. */
  turnMs = STEP_MS
  private readonly leader: Raft
  private readonly rafts: Raft[]
  /** Messages on their way, in the order in which they were sent. */
  private inTransit: Array<{ to: string, from: string, arrivesAt: number, message: Message }> = []
  /** Time at which the link to the learner has carried all that was sent over it. */
  private idleAt = 0

  private constructor (private readonly bytesPerMs: number) {
    this.rafts = [...VOTERS.map(createVoter), createRaft(LEARNER_ID, [], RaftLog.create({ members: [], entries: [] }))]
    this.leader = this.rafts[0]
    this.runUntil(() => this.leader.isLeading)
    this.leader.addMember({ id: LEARNER_ID, address: 'learner:1', availabilityZone: 'zone', role: 'learner' }, this.now)
  }

  static create (bytesPerMs: number): Transfer {
    return new Transfer(bytesPerMs)
  }

  get isVoter (): boolean {
    return this.leader.state.log.members.some(({ id, role }) => id === LEARNER_ID && role === 'voter')
  }

  /** Loses what is on its way to and from the learner, as when a link closes. */
  loseMessages (): void {
    this.inTransit = this.inTransit.filter(({ to, from }) => to !== LEARNER_ID && from !== LEARNER_ID)
    this.idleAt = this.now
  }

  /** Lets time pass until `isDone`, but no longer than the time for catching up. */
  runUntil (isDone: () => boolean): void {
    for (const end = this.now + CATCH_UP_MS; this.now < end && !isDone();) this.step()
  }

  private step (): void {
    this.now += STEP_MS
    const isTurnOver = this.now % this.turnMs === 0
    const due = this.inTransit.filter(({ to, arrivesAt }) => arrivesAt <= this.now && (to !== this.leader.state.id || isTurnOver))
    this.inTransit = this.inTransit.filter(message => !due.includes(message))
    for (const { to, from, message } of due) this.rafts.find(({ state }) => state.id === to)?.receive(from, message, this.now)
    if (isTurnOver) this.leader.tick(this.now)
    if (isTurnOver && this.leader.isLeading) this.leader.propose(Buffer.alloc(ENTRY_BYTES))
    for (const raft of this.rafts) this.processOutput(raft)
  }

  private processOutput (raft: Raft): void {
    const { state } = raft
    const last = state.writes.splice(0).at(-1)
    if (last !== undefined) raft.completeSync(last.sequence, state.log.lastIndex, this.now)
    raft.flush(this.now)
    for (const { to, message } of state.messages.splice(0)) this.send(state.id, to, message)
  }

  private send (from: string, to: string, message: Message): void {
    const bytes = message.kind === 'snapshotRequest' ? message.data.length : 0
    this.dataBytes += bytes
    if (to === LEARNER_ID) this.idleAt = Math.max(this.idleAt, this.now) + (bytes + ENVELOPE_BYTES) / this.bytesPerMs
    this.inTransit.push({ to, from, message, arrivesAt: (to === LEARNER_ID ? this.idleAt : this.now) + DELAY_MS })
  }
}

describe('the transfer of a snapshot', () => {
  let transfer: Transfer

  for (const [name, bytesPerMs] of [['slow', 800], ['fast', 25_000]] as const) {
    describe(`over a ${name} link`, () => {
      beforeEach(() => { transfer = Transfer.create(bytesPerMs) })

      it('ends within the time for catching up, and sends each byte once', () => {
        transfer.runUntil(() => transfer.isVoter)
        assert.ok(transfer.isVoter, `${transfer.dataBytes} bytes were sent in ${transfer.now} ms`)
        assert.equal(transfer.dataBytes, SNAPSHOT_BYTES)
      })

      it('goes on from what the learner has after the link has closed', () => {
        transfer.runUntil(() => transfer.dataBytes >= SNAPSHOT_BYTES / 2)
        transfer.loseMessages()
        transfer.runUntil(() => transfer.isVoter)
        assert.ok(transfer.isVoter, `${transfer.dataBytes} bytes were sent in ${transfer.now} ms`)
        assert.ok(transfer.dataBytes <= SNAPSHOT_BYTES + WINDOW_BYTES, `${transfer.dataBytes} bytes`)
      })
    })
  }

  it('ends within the time for catching up when the turns of the leader are almost as long as its lease', () => {
    transfer = Transfer.create(25_000)
    transfer.turnMs = 250
    transfer.runUntil(() => transfer.isVoter)
    assert.ok(transfer.isVoter, `${transfer.dataBytes} bytes were sent in ${transfer.now} ms`)
  })
})
