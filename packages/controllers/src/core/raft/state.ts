/**
 * What the roles of a replica share: term, vote, log, what is durable, and the
 * messages and writes that a step leaves behind. No clock, no input or output.
 */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { Body, Entry, HardState, Member, Message, Snapshot, Timing, Write } from '../../types/raft.js'
import { findMember } from './members.js'
import type { RaftLog } from './log.js'

export interface Outgoing {
  to: string
  message: Message
}

interface Deferred {
  sequence: number
  run: () => void
}

export interface StateOptions {
  hardState: HardState
  log: RaftLog
  timing: Timing
  seed: number
}

export class RaftState {
  leader = ''
  commitIndex: number
  /** Last index that is durable here. */
  durableIndex: number
  messages: Outgoing[] = []
  writes: Write[] = []
  private sequence = 0
  private durableSequence = 0
  /** Sequence of the newest write that replaced entries. */
  private replacedSequence = 0
  private deferred: Deferred[] = []

  private constructor (
    readonly log: RaftLog,
    readonly timing: Timing,
    private hard: HardState,
    private readonly random: RandomGenerator
  ) {
    this.commitIndex = log.snapshot?.index ?? 0
    this.durableIndex = log.lastIndex
  }

  static create (options: StateOptions): RaftState {
    return new RaftState(options.log, options.timing, options.hardState, xoroshiro128plus(options.seed))
  }

  get id (): string {
    return this.hard.id
  }

  get disk (): string {
    return this.hard.disk
  }

  get term (): number {
    return this.hard.term
  }

  get vote (): string {
    return this.hard.vote
  }

  get hardState (): HardState {
    return this.hard
  }

  /** True once a membership is known. */
  get isFormed (): boolean {
    return this.log.members.length > 0
  }

  /** This replica in the newest membership, if it is there with this disk. */
  get self (): Member | undefined {
    const member = findMember(this.log.members, this.id)
    if (member === undefined) return undefined
    return member.disk === this.disk || member.role === 'learner' ? member : undefined
  }

  get isVoter (): boolean {
    return this.self?.role === 'voter'
  }

  /** Milliseconds until the next election, between one and two election timeouts. */
  electionTimeout (): number {
    return this.timing.electionMs + uniformInt(this.random, 0, this.timing.electionMs)
  }

  send (to: string, toDisk: string, body: Body, term: number = this.term): void {
    this.messages.push({ to, message: { ...body, term, disk: this.disk, toDisk } as Message })
  }

  persist (change: Partial<HardState>): void {
    this.hard = { ...this.hard, ...change }
    this.writes.push({ kind: 'hardState', sequence: ++this.sequence, hardState: this.hard })
  }

  append (entries: Entry[]): void {
    if (entries.length === 0) return
    this.log.append(entries)
    this.writes.push({ kind: 'append', sequence: ++this.sequence, entries })
  }

  /** Replaces the entries from the index of the first one on. */
  replace (entries: Entry[]): void {
    const index = entries[0].index
    this.log.truncate(index)
    this.durableIndex = Math.min(this.durableIndex, index - 1)
    this.append(entries)
    this.replacedSequence = this.sequence
  }

  /** Records a snapshot; unless `keepLog`, the log on disk ends with it. */
  saveSnapshot (snapshot: Snapshot, keepLog: boolean): void {
    const firstIndex = this.log.firstIndex
    this.writes.push({ kind: 'snapshot', sequence: ++this.sequence, snapshot, keepLog, firstIndex })
    if (!keepLog) this.replacedSequence = this.sequence
  }

  /** Runs an action once all that was written so far is durable. */
  afterSync (run: () => void): void {
    if (this.durableSequence === this.sequence) return run()
    this.deferred.push({ sequence: this.sequence, run })
  }

  /** All writes up to a sequence are durable; the last entry among them has the given index. */
  synced (sequence: number, lastIndex: number): void {
    this.durableSequence = sequence
    // An older write may hold entries that a newer one replaces.
    if (sequence >= this.replacedSequence) this.durableIndex = Math.max(this.durableIndex, lastIndex)
    const ready = this.deferred.filter(deferred => deferred.sequence <= sequence)
    this.deferred = this.deferred.filter(deferred => deferred.sequence > sequence)
    for (const deferred of ready) deferred.run()
  }
}
