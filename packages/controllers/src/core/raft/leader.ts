/**
 * The leader's side: replication to each member, commitment, the lease, the
 * check that a quorum still answers, and handing leadership over.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import {
  EntryKind, type AppendAnswer, type Member, type SnapshotAnswer
} from '../../types/raft.js'
import { findMember, isVoter, quorumValue } from './members.js'
import { Progress } from './progress.js'
import type { RaftState } from './state.js'

/** Bytes of entries in one message; one entry may be larger. */
const MESSAGE_BYTES = 512 * 1024
/** Bytes of entries sent to one member ahead of its answers. */
const IN_FLIGHT_BYTES = 4 * 1024 * 1024
/** Bytes of a snapshot in one message. */
const PART_BYTES = 256 * 1024

interface Transfer {
  to: string
  deadline: number
}

export class Leader {
  private readonly progress = new Map<string, Progress>()
  /** Index of the entry without content that opens the term. */
  private readonly startIndex: number
  private transfer: Transfer | undefined
  private heartbeatAt: number

  private constructor (
    private readonly state: RaftState,
    private readonly stepDown: (now: number) => void,
    now: number
  ) {
    state.leader = state.id
    this.heartbeatAt = now
    this.refreshMembers(now)
    this.startIndex = this.propose(EntryKind.noop, new Uint8Array())
    this.broadcast(now)
    this.advance()
  }

  static create (state: RaftState, stepDown: (now: number) => void, now: number): Leader {
    return new Leader(state, stepDown, now)
  }

  /** True once all entries of earlier terms are committed. */
  get isReady (): boolean {
    return this.state.commitIndex >= this.startIndex
  }

  get isTransferring (): boolean {
    return this.transfer !== undefined
  }

  progressOf (id: string): Progress | undefined {
    return this.progress.get(id)
  }

  /** True while no other replica can have been elected. */
  holdsLease (now: number): boolean {
    if (!this.isReady || this.isTransferring) return false
    const { electionMs, driftMs } = this.state.timing
    return now < this.promisedAt(now) + electionMs - driftMs
  }

  /** Appends an entry; `flush` sends it. */
  propose (kind: EntryKind, data: Uint8Array): number {
    const { state } = this
    const index = state.log.lastIndex + 1
    state.append([{ index, term: state.term, kind, data }])
    return index
  }

  tick (now: number): void {
    if (now - this.contactAt(now) > this.state.timing.electionMs) return this.stepDown(now)
    if (this.transfer !== undefined && now >= this.transfer.deadline) return this.stepDown(now)
    if (now - this.heartbeatAt >= this.state.timing.heartbeatMs) this.broadcast(now)
  }

  /** Sends what was proposed to the members that keep up. */
  flush (now: number): void {
    for (const [id, progress] of this.progress) this.pump(id, progress, now)
  }

  /** More of this replica's own log is durable. */
  advance (): void {
    const { state } = this
    const index = quorumValue(this.voters().map(voter => this.matchIndexOf(voter)))
    // Entries of earlier terms are committed only along with one of this term.
    if (index > state.commitIndex && state.log.termAt(index) === state.term) state.commitIndex = index
  }

  /** Starts to hand leadership over: nothing is proposed any more, and the lease is given up. */
  startTransfer (to: string | undefined, now: number): void {
    const target = to === undefined ? this.mostAdvanced() : findMember(this.state.log.members, to)
    if (target === undefined || !isVoter(target) || target.id === this.state.id) {
      fail(ErrorKind.failedPrecondition, to === undefined ? 'there is no other voter' : `${to} is not another voter`)
    }
    this.transfer = { to: target.id, deadline: now + this.state.timing.electionMs }
    this.finishTransfer(now)
  }

  appendAnswered (from: string, answer: AppendAnswer, now: number): void {
    const progress = this.progressFor(from, answer.disk, now)
    if (progress === undefined) return
    progress.contacted(answer.sentAt, now)
    if (answer.accepted) {
      progress.accepted(answer.index, this.bytesBetween(progress.matchIndex, answer.index))
      this.advance()
    } else {
      progress.refused(answer.refusedIndex, answer.index)
      if (progress.isProbing) this.sendAppend(from, progress, now)
    }
    this.finishTransfer(now)
  }

  snapshotAnswered (from: string, answer: SnapshotAnswer, now: number): void {
    const progress = this.progressFor(from, answer.disk, now)
    if (progress === undefined) return
    progress.contacted(answer.sentAt, now)
    if (progress.upload?.snapshot.index !== answer.index) return
    progress.upload.offset = answer.offset
    this.sendPart(from, progress, now)
  }

  /** Creates and drops progress after the membership changed. */
  refreshMembers (now: number): void {
    const { members, lastIndex } = this.state.log
    for (const id of this.progress.keys()) {
      if (findMember(members, id) === undefined) this.progress.delete(id)
    }
    for (const member of members) {
      if (member.id === this.state.id || this.progress.has(member.id)) continue
      this.progress.set(member.id, Progress.create(member.disk, lastIndex, now))
    }
  }

  /** True when a member answered within an election timeout. */
  isHeard (member: Member, now: number): boolean {
    if (member.id === this.state.id) return true
    const progress = this.progress.get(member.id)
    return progress !== undefined && now - progress.contactAt <= this.state.timing.electionMs
  }

  /** Durable index of a member, as far as this leader knows. */
  matchIndexOf (member: Member): number {
    if (member.id === this.state.id) return this.state.durableIndex
    return this.progress.get(member.id)?.matchIndex ?? 0
  }

  private voters (): Member[] {
    return this.state.log.members.filter(isVoter)
  }

  /** Latest time at which a quorum of the voters had answered. */
  private contactAt (now: number): number {
    return quorumValue(this.voters().map(voter => {
      return voter.id === this.state.id ? now : this.progress.get(voter.id)?.contactAt ?? 0
    }))
  }

  /** Latest time from which on a quorum has promised to elect nobody else. */
  private promisedAt (now: number): number {
    return quorumValue(this.voters().map(voter => {
      return voter.id === this.state.id ? now : this.progress.get(voter.id)?.promisedAt ?? -Infinity
    }))
  }

  private mostAdvanced (): Member | undefined {
    const others = this.voters().filter(voter => voter.id !== this.state.id)
    return others.sort((a, b) => this.matchIndexOf(b) - this.matchIndexOf(a))[0]
  }

  /** Progress of a member, provided that the answer came from the disk that counts. */
  private progressFor (from: string, disk: string, now: number): Progress | undefined {
    const member = findMember(this.state.log.members, from)
    const progress = this.progress.get(from)
    if (member === undefined || progress === undefined) return undefined
    if (isVoter(member)) return member.disk === disk ? progress : undefined
    if (progress.disk === disk) return progress
    // A learner that answers for the first time, or anew with an empty disk.
    const renewed = Progress.create(disk, this.state.log.lastIndex, now)
    this.progress.set(from, renewed)
    return undefined
  }

  private bytesBetween (after: number, upTo: number): number {
    let bytes = 0
    for (let index = after + 1; index <= upTo; index++) bytes += this.state.log.entryAt(index)?.data.length ?? 0
    return bytes
  }

  private broadcast (now: number): void {
    this.heartbeatAt = now
    for (const [id, progress] of this.progress) {
      const { electionMs } = this.state.timing
      const isSilent = now - progress.contactAt > electionMs
      if (isSilent) progress.restartProbe()
      if (progress.upload === undefined) this.sendAppend(id, progress, now)
      // Parts are large; a silent member gets fewer.
      else if (!isSilent || now - progress.sentAt >= electionMs) this.sendPart(id, progress, now)
    }
  }

  private pump (id: string, progress: Progress, now: number): void {
    if (progress.isProbing || progress.upload !== undefined) return
    while (progress.nextIndex <= this.state.log.lastIndex && progress.bytesInFlight < IN_FLIGHT_BYTES) {
      this.sendAppend(id, progress, now)
      if (progress.upload !== undefined) return
    }
  }

  private sendAppend (id: string, progress: Progress, now: number): void {
    const { state } = this
    const previousIndex = progress.nextIndex - 1
    const previousTerm = state.log.termAt(previousIndex)
    if (previousTerm === undefined) return this.startUpload(id, progress, now)
    const entries = progress.bytesInFlight < IN_FLIGHT_BYTES ? state.log.slice(progress.nextIndex, MESSAGE_BYTES) : []
    state.send(id, this.diskOf(id, progress), {
      kind: 'appendRequest', previousIndex, previousTerm, entries, commitIndex: state.commitIndex, sentAt: now
    })
    progress.sentAt = now
    if (progress.isProbing) return
    progress.nextIndex += entries.length
    for (const entry of entries) progress.bytesInFlight += entry.data.length
  }

  private startUpload (id: string, progress: Progress, now: number): void {
    const { snapshot } = this.state.log
    if (snapshot === undefined) fail(ErrorKind.internal, `entry ${progress.nextIndex} is neither in the log nor in a snapshot`)
    progress.upload = { snapshot, offset: 0 }
    this.sendPart(id, progress, now)
  }

  private sendPart (id: string, progress: Progress, now: number): void {
    if (progress.upload === undefined) return
    const { snapshot, offset } = progress.upload
    this.state.send(id, this.diskOf(id, progress), {
      kind: 'snapshotRequest',
      index: snapshot.index,
      lastTerm: snapshot.term,
      members: snapshot.members,
      offset,
      totalBytes: snapshot.data.length,
      data: snapshot.data.subarray(offset, offset + PART_BYTES),
      sentAt: now
    })
    progress.sentAt = now
  }

  private diskOf (id: string, progress: Progress): string {
    return findMember(this.state.log.members, id)?.disk || progress.disk
  }

  private finishTransfer (now: number): void {
    if (this.transfer === undefined) return
    const { state } = this
    const progress = this.progress.get(this.transfer.to)
    if (progress?.matchIndex !== state.log.lastIndex) return
    state.send(this.transfer.to, progress.disk, { kind: 'timeoutNow' })
    this.stepDown(now)
  }
}
