/**
 * The Raft protocol as a deterministic state machine: its inputs are messages,
 * ticks and proposals, its outputs messages and writes. It has no clock and
 * performs no I/O, so that tests can simulate both. Follows Ongaro and Ousterhout
 * (2014); pre-vote, check quorum, leases and leadership transfer follow Ongaro's
 * thesis. All times are in milliseconds of one monotonic clock.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { DropReason, EntryKind, type Member, type Message, type Snapshot, type VoteRequest } from '../../types/raft.js'
import type { MemberFacts, ReplicaStatus } from '../../types/replica.js'
import { Candidate } from './candidate.js'
import { Follower } from './follower.js'
import { Formation } from './formation.js'
import { Leader } from './leader.js'
import { MembershipChanger } from './membership-changer.js'
import { RaftState, type RaftStateOptions } from './raft-state.js'

export interface RaftOptions extends RaftStateOptions {
  /** Initial members of the group; empty for a controller that joins one. */
  bootstrap: readonly MemberFacts[]
  now: number
}

export class Raft {
  readonly state: RaftState
  private readonly follower: Follower
  private readonly candidate: Candidate
  private readonly formation: Formation
  private leader: Leader | undefined
  private membership: MembershipChanger | undefined
  private now: number

  private constructor (options: RaftOptions, onSnapshotInstalled: (snapshot: Snapshot) => void) {
    this.now = options.now
    this.state = RaftState.create(options)
    this.follower = Follower.create(this.state, onSnapshotInstalled, this.now)
    this.candidate = Candidate.create(this.state, () => { this.becomeLeader() })
    this.formation = Formation.create(this.state, options.bootstrap)
  }

  /** Calls `onSnapshotInstalled` with each snapshot of a leader that replaced the log. */
  static create (options: RaftOptions, onSnapshotInstalled: (snapshot: Snapshot) => void): Raft {
    return new Raft(options, onSnapshotInstalled)
  }

  get role (): ReplicaStatus['role'] {
    if (this.leader !== undefined) return 'leader'
    if (this.candidate.isRunning) return 'candidate'
    return this.state.isVoter ? 'follower' : 'learner'
  }

  /** True when this replica leads and has committed the first entry of its term. */
  get isLeading (): boolean {
    return this.leader?.isReady === true
  }

  get isTransferring (): boolean {
    return this.leader?.isTransferring === true
  }

  /** Ids of the initial members that are still missing for the group to form. */
  get missingInitialMembers (): string[] {
    return this.formation.missingInitialMembers
  }

  /** True while this replica leads and no other replica can have been elected. */
  holdsLease (now: number): boolean {
    return this.leader?.holdsLease(now) === true
  }

  matchIndexOf (member: Member): number {
    return this.leader?.matchIndexOf(member) ?? 0
  }

  /** Ids of the members that answered within the last election timeout, and of the leader; empty unless this replica leads. */
  listResponsiveMembers (now: number): string[] {
    const { leader } = this
    if (leader === undefined) return []
    return this.state.log.members.filter(member => leader.hasRecentAnswer(member, now)).map(member => member.id)
  }

  /** Time since this replica last heard from a leader, in milliseconds. */
  leaderSilentMs (now: number): number {
    return this.follower.leaderSilentMs(now)
  }

  /** Returns true when the tick starts an election. */
  tick (now: number): boolean {
    this.now = now
    if (this.leader !== undefined) {
      this.leader.tick(now)
      this.membership?.tick(now)
      return false
    }
    if (!this.state.isFormed) {
      this.formation.tick(now)
      return false
    }
    if (!this.state.isVoter || !this.follower.isElectionDue(now)) return false
    this.follower.restartElectionTimer(now)
    this.candidate.startPreVote()
    return true
  }

  /** Sends the heartbeats of a leader that are due, in the middle of a turn. */
  sustain (now: number): void {
    this.leader?.sustain(now)
  }

  /** Sends entries proposed since the last call. */
  flush (now: number): void {
    this.leader?.flush(now)
  }

  /** Appends an entry and returns its index; throws notLeader unless this replica is ready to lead. */
  propose (data: Uint8Array): number {
    const leader = this.requireLeader()
    return leader.propose(EntryKind.data, data)
  }

  addMember (facts: MemberFacts, now: number): number {
    this.requireLeader()
    return this.membership!.add(facts, now)
  }

  removeMember (id: string, now: number): number {
    this.requireLeader()
    return this.membership!.remove(id, now)
  }

  transferLeadership (to: string | undefined, now: number): void {
    this.now = now
    this.requireLeader().startTransfer(to, now)
  }

  /**
   * Replaces the entries up to `index` with a snapshot of the state that they
   * produced; the last `trailing` of them stay in the log for lagging followers.
   */
  compact (index: number, data: Uint8Array, trailing: number): void {
    const { state } = this
    const term = state.log.termAt(index)
    if (term === undefined) fail(ErrorKind.internal, `entry ${index} of the snapshot is not in the log`)
    const snapshot: Snapshot = { index, term, members: state.log.membersAt(index), data }
    state.log.compact(snapshot, trailing)
    state.saveSnapshot(snapshot, true)
  }

  /** Reports that all writes up to `sequence` are durable; `lastIndex` is the last entry among them, or 0. */
  completeSync (sequence: number, lastIndex: number, now: number): void {
    this.now = now
    const durableIndexBefore = this.state.durableIndex
    this.state.completeSync(sequence, lastIndex)
    if (this.leader !== undefined) this.leader.advanceCommitIndex()
    else if (this.state.durableIndex > durableIndexBefore) this.follower.acknowledgeSynced()
  }

  /** Processes a validated message. Messages addressed to another disk identity are dropped. */
  receive (from: string, message: Message, now: number): void {
    this.now = now
    if (message.toDisk !== '' && message.toDisk !== this.state.disk) return this.state.drop(from, message.kind, DropReason.receiverDisk)
    switch (message.kind) {
      case 'greeting': return this.formation.handleGreeting(from, message)
      case 'voteRequest': return this.handleVoteRequest(from, message)
      case 'appendRequest':
      case 'snapshotRequest': return this.handleLeaderMessage(from, message)
    }
    if (!this.state.isFormed) return
    // A granted pre-vote carries the term of an election that has not started, and must not raise this replica's term.
    const isGrantedPreVote = message.kind === 'voteAnswer' && message.pre && message.granted
    if (!isGrantedPreVote && message.term < this.state.term) return
    if (!isGrantedPreVote && message.term > this.state.term) this.becomeFollower(message.term)
    switch (message.kind) {
      case 'voteAnswer': return this.candidate.handleVoteAnswer(from, message)
      case 'appendAnswer': return this.leader?.handleAppendAnswer(from, message, now)
      case 'snapshotAnswer': return this.leader?.handleSnapshotAnswer(from, message, now)
      case 'timeoutNow': if (this.state.isVoter && this.leader === undefined) this.candidate.startVote(true)
    }
  }

  private requireLeader (): Leader {
    const { leader } = this
    if (leader === undefined || !leader.isReady || leader.isTransferring) {
      fail(ErrorKind.notLeader, 'this controller does not lead')
    }
    return leader
  }

  private handleVoteRequest (from: string, request: VoteRequest): void {
    const { state } = this
    if (!state.isFormed) return
    // A replica that leads or was recently in contact with a leader grants no vote: the lease depends on it.
    const isHoldingOff = this.leader !== undefined || this.follower.hasRecentLeaderContact(this.now)
    if (isHoldingOff && !request.transfer) return
    if (request.pre) return this.candidate.handlePreVoteRequest(from, request)
    if (!this.candidate.hasExpectedDisk(from, request)) return state.drop(from, request.kind, DropReason.senderDisk)
    if (request.term > state.term) this.becomeFollower(request.term)
    if (request.term < state.term) {
      state.send(from, request.disk, { kind: 'voteAnswer', pre: false, granted: false })
      return
    }
    if (this.candidate.handleVoteRequest(from, request)) this.follower.restartElectionTimer(this.now)
  }

  private handleLeaderMessage (from: string, message: Extract<Message, { kind: 'appendRequest' | 'snapshotRequest' }>): void {
    const { state } = this
    if (message.term < state.term) {
      // The sender only has to learn the term. It may have restarted since and lead this term under another clock, in
      // which the time of sending means nothing, so the answer must not count towards its lease.
      state.send(from, message.disk, { kind: 'voteAnswer', pre: false, granted: false })
      return
    }
    if (message.term > state.term || this.role === 'candidate') this.becomeFollower(message.term)
    if (this.leader !== undefined) fail(ErrorKind.internal, `${from} and this controller both lead term ${message.term}`)
    this.follower.handleLeaderContact(from, this.now)
    if (message.kind === 'appendRequest') this.follower.handleAppend(from, message)
    else this.follower.handleSnapshotChunk(from, message)
  }

  private becomeFollower (term: number): void {
    const { state } = this
    if (term > state.term) state.persist({ term, vote: '' })
    state.leader = ''
    this.candidate.stop()
    this.leader = undefined
    this.membership = undefined
    this.follower.restartElectionTimer(this.now)
  }

  private becomeLeader (): void {
    this.leader = Leader.create(this.state, now => { this.now = now; this.becomeFollower(this.state.term) }, this.now)
    this.membership = MembershipChanger.create(this.state, this.leader)
  }
}
