/**
 * The leader's side: replication to each member, commitment, the lease, check
 * quorum (stepping down when a quorum no longer answers), and leadership
 * transfer.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import {
  DropReason, EntryKind, type AppendAnswer, type Member, type SnapshotAnswer
} from '../../types/raft.js'
import { findMember, isVoter, highestQuorumValue } from './members.js'
import { Progress, type SnapshotUpload } from './progress.js'
import type { RaftState } from './raft-state.js'

/** Limit on the bytes of entries or of a snapshot in one message; a single larger entry is sent alone. */
const MESSAGE_LIMIT_BYTES = 128 * 1024
/** No further entries and no further parts of a snapshot are sent to a member while at least this many bytes to it are not acknowledged. */
const IN_FLIGHT_LIMIT_BYTES = 1024 * 1024

/**
 * Number of election timeouts without a lease after which a leader steps down. A leader whose answers always arrive too
 * late grants nothing; another controller may have more processor time.
 */
const LEASELESS_LIMIT_FACTOR = 3

interface LeadershipTransfer {
  to: string
  /** Time at which the transfer is given up and the leader steps down, in milliseconds. */
  deadline: number
}

export class Leader {
  private readonly progressById = new Map<string, Progress>()
  /** Index of the no-op entry that the leader appends at the start of its term. */
  private readonly termStartIndex: number
  private transfer: LeadershipTransfer | undefined
  private lastHeartbeatAt: number
  private lastTickAt: number
  /** Time of the last contact with a quorum, as of the last tick. */
  private quorumContactAt = -Infinity
  /** Time since the last contact with a quorum in which this process was stalled and could not read answers, in milliseconds. */
  private stalledMs = 0
  /** Time at which this leader last held the lease; initially the start of its term. */
  private leaseHeldAt: number

  private constructor (
    private readonly state: RaftState,
    private readonly stepDown: (now: number) => void,
    now: number
  ) {
    state.leader = state.id
    this.lastHeartbeatAt = now
    this.lastTickAt = now
    this.leaseHeldAt = now
    this.refreshProgress(now)
    this.termStartIndex = this.propose(EntryKind.noop, new Uint8Array())
    this.broadcast(now)
    this.advanceCommitIndex()
  }

  static create (state: RaftState, stepDown: (now: number) => void, now: number): Leader {
    return new Leader(state, stepDown, now)
  }

  /** True once the no-op entry of this term, and with it every entry of earlier terms, is committed. */
  get isReady (): boolean {
    return this.state.commitIndex >= this.termStartIndex
  }

  get isTransferring (): boolean {
    return this.transfer !== undefined
  }

  progressOf (id: string): Progress | undefined {
    return this.progressById.get(id)
  }

  /**
   * True while no other replica can have been elected: a quorum withholds its
   * votes for one election timeout, less the possible clock drift.
   */
  holdsLease (now: number): boolean {
    if (!this.isReady || this.isTransferring) return false
    const { electionMs, driftMs } = this.state.timing
    return now < this.findQuorumLeaseStart(now) + electionMs - driftMs
  }

  /** Appends an entry and returns its index; `flush` sends it. */
  propose (kind: EntryKind, data: Uint8Array): number {
    const { state } = this
    const index = state.log.lastIndex + 1
    state.append([{ index, term: state.term, kind, data }])
    return index
  }

  /**
   * Steps down when a quorum has not answered for an election timeout, when the lease could not be renewed for several,
   * or when a transfer timed out; otherwise sends heartbeats when due.
   */
  tick (now: number): void {
    const { electionMs } = this.state.timing
    if (this.updateQuorumSilence(now) > electionMs) return this.stepDown(now)
    this.recordLease(now)
    if (now - this.leaseHeldAt > LEASELESS_LIMIT_FACTOR * electionMs) return this.stepDown(now)
    if (this.transfer !== undefined && now >= this.transfer.deadline) return this.stepDown(now)
    for (const progress of this.progressById.values()) progress.ticksSinceAnswer += 1
    this.sendDueHeartbeats(now)
  }

  /**
   * Sends heartbeats if they are due, in the middle of a turn of the event loop. Unlike a tick it draws no conclusion from the
   * answers that this process has not read yet. A turn that never ends must not keep the others from electing a leader, so
   * after a time in which a leader without a lease would step down none are sent.
   */
  sustain (now: number): void {
    if (now - this.lastTickAt <= LEASELESS_LIMIT_FACTOR * this.state.timing.electionMs) this.sendDueHeartbeats(now)
  }

  private sendDueHeartbeats (now: number): void {
    if (now - this.lastHeartbeatAt >= this.state.timing.heartbeatMs) this.broadcast(now)
  }

  /**
   * Time for which a quorum has been silent, in milliseconds. The time between two ticks counts as one heartbeat interval
   * at most: after a stall of this process, timers run before the answers that arrived meanwhile are read. The lease
   * does not depend on this, so a leader that kept its role by it grants nothing until a quorum answers.
   */
  private updateQuorumSilence (now: number): number {
    const contactAt = this.findQuorumContactTime(now)
    if (contactAt !== this.quorumContactAt) this.stalledMs = 0
    this.quorumContactAt = contactAt
    this.stalledMs += Math.max(0, now - this.lastTickAt - this.state.timing.heartbeatMs)
    this.lastTickAt = now
    return now - contactAt - this.stalledMs
  }

  private recordLease (now: number): void {
    if (this.holdsLease(now)) this.leaseHeldAt = now
  }

  /** Sends proposed entries to every member that is neither probed nor receiving a snapshot. */
  flush (now: number): void {
    for (const [id, progress] of this.progressById) this.sendPending(id, progress, now)
  }

  /** Recomputes the commit index after a member's durable index advanced. */
  advanceCommitIndex (): void {
    const { state } = this
    const index = highestQuorumValue(this.listVoters().map(voter => this.matchIndexOf(voter)))
    // Entries of earlier terms are committed only together with one of this term (Raft paper, 5.4.2).
    if (index > state.commitIndex && state.log.termAt(index) === state.term) state.commitIndex = index
  }

  /**
   * Starts a leadership transfer: proposals are refused and the lease is given up
   * from here on. Without `to`, the most advanced voter is chosen. Throws
   * failedPrecondition when there is no such voter.
   */
  startTransfer (to: string | undefined, now: number): void {
    const successor = to === undefined ? this.findMostAdvancedVoter() : findMember(this.state.log.members, to)
    if (successor === undefined || !isVoter(successor) || successor.id === this.state.id) {
      fail(ErrorKind.failedPrecondition, to === undefined ? 'there is no other voter' : `${to} is not a voter, or leads already`)
    }
    this.transfer = { to: successor.id, deadline: now + this.state.timing.electionMs }
    this.finishTransferIfCaughtUp(now)
  }

  handleAppendAnswer (from: string, answer: AppendAnswer, now: number): void {
    const progress = this.findAnsweringProgress(from, answer, now)
    if (progress === undefined) return
    progress.recordAnswer(answer.sentAt, now)
    this.recordLease(now)
    if (answer.accepted) {
      progress.recordAcceptance(answer.index, this.countBytesBetween(progress.matchIndex, answer.index))
      this.advanceCommitIndex()
    } else {
      progress.recordRefusal(answer.refusedIndex, answer.index)
      if (progress.isProbing) this.sendAppend(from, progress, now)
    }
    this.finishTransferIfCaughtUp(now)
  }

  handleSnapshotAnswer (from: string, answer: SnapshotAnswer, now: number): void {
    const progress = this.findAnsweringProgress(from, answer, now)
    if (progress === undefined) return
    progress.recordAnswer(answer.sentAt, now)
    const { upload } = progress
    if (upload?.snapshot.index !== answer.index) return
    progress.recordReceivedBytes(answer.offset, answer.sentAt)
    this.sendSnapshot(from, progress, upload, now)
  }

  /** Creates progress for added members and deletes that of removed ones. */
  refreshProgress (now: number): void {
    const { members, lastIndex } = this.state.log
    for (const id of this.progressById.keys()) {
      if (findMember(members, id) === undefined) this.progressById.delete(id)
    }
    for (const member of members) {
      if (member.id === this.state.id || this.progressById.has(member.id)) continue
      this.progressById.set(member.id, Progress.create(member.disk, lastIndex, now))
    }
  }

  /** True when a member answered within the last election timeout; always true for the leader itself. */
  hasRecentAnswer (member: Member, now: number): boolean {
    if (member.id === this.state.id) return true
    const progress = this.progressById.get(member.id)
    return progress !== undefined && now - progress.lastAnswerAt <= this.state.timing.electionMs
  }

  /** Highest index that a member has acknowledged as durable; 0 if none. */
  matchIndexOf (member: Member): number {
    if (member.id === this.state.id) return this.state.durableIndex
    return this.progressById.get(member.id)?.matchIndex ?? 0
  }

  private listVoters (): Member[] {
    return this.state.log.members.filter(isVoter)
  }

  /** Time of the most recent contact with a quorum of the voters, in milliseconds. */
  private findQuorumContactTime (now: number): number {
    return highestQuorumValue(this.listVoters().map(voter => {
      return voter.id === this.state.id ? now : this.progressById.get(voter.id)?.lastAnswerAt ?? 0
    }))
  }

  /** Latest time such that a quorum of the voters began their vote hold-offs at or after it; -Infinity until a quorum has answered. */
  private findQuorumLeaseStart (now: number): number {
    return highestQuorumValue(this.listVoters().map(voter => {
      return voter.id === this.state.id ? now : this.progressById.get(voter.id)?.leaseStartAt ?? -Infinity
    }))
  }

  private findMostAdvancedVoter (): Member | undefined {
    const others = this.listVoters().filter(voter => voter.id !== this.state.id)
    return others.sort((a, b) => this.matchIndexOf(b) - this.matchIndexOf(a))[0]
  }

  /** Progress of a member; undefined unless the answer carries the disk identity that the member is bound to. */
  private findAnsweringProgress (from: string, { kind, disk }: AppendAnswer | SnapshotAnswer, now: number): Progress | undefined {
    const { state } = this
    const member = findMember(state.log.members, from)
    const progress = this.progressById.get(from)
    if (member === undefined || progress === undefined) {
      state.drop(from, kind, DropReason.notMember)
      return undefined
    }
    if (isVoter(member)) {
      if (member.disk === disk) return progress
      state.drop(from, kind, DropReason.senderDisk)
      return undefined
    }
    if (progress.disk === disk) return progress
    // A learner answered for the first time, or with a new, empty disk: start over.
    const renewed = Progress.create(disk, state.log.lastIndex, now)
    this.progressById.set(from, renewed)
    return undefined
  }

  private countBytesBetween (after: number, upTo: number): number {
    let bytes = 0
    for (let index = after + 1; index <= upTo; index++) bytes += this.state.log.entryAt(index)?.data.length ?? 0
    return bytes
  }

  private broadcast (now: number): void {
    this.lastHeartbeatAt = now
    for (const [id, progress] of this.progressById) {
      if (progress.isSilent(now, this.state.timing)) progress.restartProbe()
      if (progress.upload === undefined) this.sendAppend(id, progress, now)
      else this.sendSnapshotPart(id, progress, progress.upload, 0, now)
    }
  }

  /** Sends entries to a member up to the limit of bytes in flight. */
  private sendPending (id: string, progress: Progress, now: number): void {
    if (progress.isProbing || progress.upload !== undefined) return
    while (progress.nextIndex <= this.state.log.lastIndex && progress.bytesInFlight < IN_FLIGHT_LIMIT_BYTES) {
      this.sendAppend(id, progress, now)
      if (progress.upload !== undefined) return
    }
  }

  /**
   * Sends the next entries, possibly none as a heartbeat; starts a snapshot if the entries were compacted. A probe carries
   * no entries: repeated with each heartbeat to a member that is slow to answer, they would delay its answers further.
   */
  private sendAppend (id: string, progress: Progress, now: number): void {
    const { state } = this
    const previousIndex = progress.nextIndex - 1
    const previousTerm = state.log.termAt(previousIndex)
    if (previousTerm === undefined) return this.startSnapshotUpload(id, progress, now)
    const hasRoom = !progress.isProbing && progress.bytesInFlight < IN_FLIGHT_LIMIT_BYTES
    const entries = hasRoom ? state.log.slice(progress.nextIndex, MESSAGE_LIMIT_BYTES) : []
    state.send(id, this.diskOf(id, progress), {
      kind: 'appendRequest', previousIndex, previousTerm, entries, commitIndex: state.commitIndex, sentAt: now
    })
    progress.nextIndex += entries.length
    for (const entry of entries) progress.bytesInFlight += entry.data.length
  }

  private startSnapshotUpload (id: string, progress: Progress, now: number): void {
    const { snapshot } = this.state.log
    if (snapshot === undefined) fail(ErrorKind.internal, `entry ${progress.nextIndex} is in neither the log nor a snapshot`)
    progress.upload = { snapshot, offset: 0, sentOffset: 0, dataSentAt: -Infinity }
    this.sendSnapshot(id, progress, progress.upload, now)
  }

  /** Sends further parts of a snapshot up to the limit of bytes in flight. */
  private sendSnapshot (id: string, progress: Progress, upload: SnapshotUpload, now: number): void {
    const totalBytes = upload.snapshot.data.length
    while (upload.sentOffset < totalBytes && upload.sentOffset - upload.offset < IN_FLIGHT_LIMIT_BYTES) {
      this.sendSnapshotPart(id, progress, upload, MESSAGE_LIMIT_BYTES, now)
    }
  }

  /** Sends the next part of a snapshot, of at most `limit` bytes; an empty one as a heartbeat, whose answer tells what the member has. */
  private sendSnapshotPart (id: string, progress: Progress, upload: SnapshotUpload, limit: number, now: number): void {
    const { snapshot, sentOffset } = upload
    const data = snapshot.data.subarray(sentOffset, sentOffset + limit)
    this.state.send(id, this.diskOf(id, progress), {
      kind: 'snapshotRequest',
      index: snapshot.index,
      lastTerm: snapshot.term,
      members: snapshot.members,
      offset: sentOffset,
      totalBytes: snapshot.data.length,
      data,
      sentAt: now
    })
    if (data.length === 0) return
    upload.sentOffset += data.length
    upload.dataSentAt = now
  }

  private diskOf (id: string, progress: Progress): string {
    return findMember(this.state.log.members, id)?.disk || progress.disk
  }

  /** Tells the transfer target to start an election and steps down, once the target holds the whole log. */
  private finishTransferIfCaughtUp (now: number): void {
    if (this.transfer === undefined) return
    const { state } = this
    const progress = this.progressById.get(this.transfer.to)
    if (progress?.matchIndex !== state.log.lastIndex) return
    state.send(this.transfer.to, progress.disk, { kind: 'timeoutNow' })
    this.stepDown(now)
  }
}
