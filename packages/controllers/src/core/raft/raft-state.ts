/**
 * State shared by the roles of a replica: term, vote, log, durability, and the
 * messages and writes that a step produces. It has no clock and performs no I/O.
 */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { DropReason, MessageBody, LogEntry, HardState, Member, Message, MessageDrop, Snapshot, RaftTiming, StorageWrite } from '../../types/raft.js'
import { findMember } from './members.js'
import type { RaftLog } from './raft-log.js'

export interface OutgoingMessage {
  to: string
  message: Message
}

/** An action that runs once the write with this sequence number is durable. */
interface DeferredAction {
  sequence: number
  run: () => void
}

export interface RaftStateOptions {
  hardState: HardState
  log: RaftLog
  timing: RaftTiming
  seed: number
}

export class RaftState {
  /** Id of the current leader; empty when unknown. */
  leader = ''
  commitIndex: number
  /** Index of the last entry that is durable on this replica's disk. */
  durableIndex: number
  /** Messages to send; the replica empties the list after each step. */
  messages: OutgoingMessage[] = []
  /** Messages that were dropped; the replica empties the list after each step. */
  drops: MessageDrop[] = []
  /** Writes to make durable, in order; the replica empties the list and reports their completion. */
  writes: StorageWrite[] = []
  /** Sequence number of the newest write that was queued. */
  private sequence = 0
  /** Sequence number of the newest write that is durable. */
  private durableSequence = 0
  /** Sequence number of the newest write that replaced entries. */
  private lastReplacementSequence = 0
  private deferred: DeferredAction[] = []

  private constructor (
    readonly log: RaftLog,
    readonly timing: RaftTiming,
    private currentHardState: HardState,
    private readonly random: RandomGenerator
  ) {
    this.commitIndex = log.snapshot?.index ?? 0
    this.durableIndex = log.lastIndex
  }

  static create (options: RaftStateOptions): RaftState {
    return new RaftState(options.log, options.timing, options.hardState, xoroshiro128plus(options.seed))
  }

  get id (): string {
    return this.currentHardState.id
  }

  get disk (): string {
    return this.currentHardState.disk
  }

  get term (): number {
    return this.currentHardState.term
  }

  get vote (): string {
    return this.currentHardState.vote
  }

  get hardState (): HardState {
    return this.currentHardState
  }

  /** True once the group is formed and this replica has received a membership. */
  get isFormed (): boolean {
    return this.log.members.length > 0
  }

  /** This replica's entry in the newest membership; undefined if absent or, for a voter, bound to another disk. */
  get self (): Member | undefined {
    const member = findMember(this.log.members, this.id)
    if (member === undefined) return undefined
    return member.disk === this.disk || member.role === 'learner' ? member : undefined
  }

  get isVoter (): boolean {
    return this.self?.role === 'voter'
  }

  /** Draws a random time until the next election, between one and two election timeouts, in milliseconds. */
  drawElectionTimeoutMs (): number {
    return this.timing.electionMs + uniformInt(this.random, 0, this.timing.electionMs)
  }

  /** Queues a message; an empty `toDisk` addresses any disk identity. */
  send (to: string, toDisk: string, body: MessageBody, term: number = this.term): void {
    this.messages.push({ to, message: { ...body, term, disk: this.disk, toDisk } as Message })
  }

  /** Records that a message of `peer` is not processed any further. */
  drop (peer: string, kind: Message['kind'], reason: DropReason): void {
    this.drops.push({ peer, kind, reason })
  }

  /** Changes the hard state and queues its write. */
  persist (change: Partial<HardState>): void {
    this.currentHardState = { ...this.currentHardState, ...change }
    this.writes.push({ kind: 'hardState', sequence: ++this.sequence, hardState: this.currentHardState })
  }

  /** Appends entries to the log and queues their write. */
  append (entries: LogEntry[]): void {
    if (entries.length === 0) return
    this.log.append(entries)
    this.writes.push({ kind: 'append', sequence: ++this.sequence, entries })
  }

  /** Truncates the log at the index of the first entry and appends the entries. `entries` must not be empty. */
  replaceSuffix (entries: LogEntry[]): void {
    const index = entries[0].index
    this.log.truncate(index)
    this.durableIndex = Math.min(this.durableIndex, index - 1)
    this.append(entries)
    this.lastReplacementSequence = this.sequence
  }

  /** Queues the write of a snapshot. Unless `keepLog` is set, the snapshot replaces the whole log on disk. */
  saveSnapshot (snapshot: Snapshot, keepLog: boolean): void {
    const firstIndex = this.log.firstIndex
    this.writes.push({ kind: 'snapshot', sequence: ++this.sequence, snapshot, keepLog, firstIndex })
    if (!keepLog) this.lastReplacementSequence = this.sequence
  }

  /** Runs an action once all writes queued so far are durable; at once if they already are. */
  afterSync (run: () => void): void {
    if (this.durableSequence === this.sequence) return run()
    this.deferred.push({ sequence: this.sequence, run })
  }

  /** Records that all writes up to `sequence` are durable, and runs the actions that waited for them. */
  completeSync (sequence: number, lastIndex: number): void {
    this.durableSequence = sequence
    // An older write may contain entries that a newer write has replaced in the meantime.
    if (sequence >= this.lastReplacementSequence) this.durableIndex = Math.max(this.durableIndex, lastIndex)
    const ready = this.deferred.filter(deferred => deferred.sequence <= sequence)
    this.deferred = this.deferred.filter(deferred => deferred.sequence > sequence)
    for (const deferred of ready) deferred.run()
  }
}
