/**
 * Membership changes, one member at a time (Ongaro's thesis, chapter 4): a new
 * member first catches up as a learner and is then promoted automatically.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { EntryKind, type Member } from '../../types/raft.js'
import type { MemberFacts } from '../../types/replica.js'
import type { Leader } from './leader.js'
import { encodeMembers, findMember, isVoter, quorumSize } from './members.js'
import type { RaftState } from './raft-state.js'

/** One round in which a learner replicates all entries that the log held at its start (thesis, 4.2.1). */
interface CatchUpRound {
  id: string
  targetIndex: number
  startedAt: number
}

export class MembershipChanger {
  private catchUpRound: CatchUpRound | undefined

  private constructor (private readonly state: RaftState, private readonly leader: Leader) {}

  static create (state: RaftState, leader: Leader): MembershipChanger {
    return new MembershipChanger(state, leader)
  }

  /**
   * Adds a learner. Returns the index of the entry. Throws notLeader before the
   * leader is ready or during a transfer, alreadyExists for a member, and
   * failedPrecondition while another change or learner is pending.
   */
  add (facts: MemberFacts, now: number): number {
    this.requireNoPendingChange()
    const { members } = this.state.log
    if (findMember(members, facts.id) !== undefined) {
      fail(ErrorKind.alreadyExists, `${facts.id} is already a member; remove it first if it lost its disk`)
    }
    const learner = members.find(member => !isVoter(member))
    if (learner !== undefined) {
      fail(ErrorKind.failedPrecondition, `${learner.id} is still catching up; one member is added at a time`)
    }
    return this.proposeMembers([...members, { ...facts, role: 'learner', disk: '' }], now)
  }

  /**
   * Removes a member. Returns the index of the entry. Throws notLeader before the
   * leader is ready or during a transfer, notFound for an unknown member, and
   * failedPrecondition if the member leads, its removal is unsafe, or another change
   * is pending.
   */
  remove (id: string, now: number): number {
    this.requireNoPendingChange()
    const { members } = this.state.log
    const member = findMember(members, id)
    if (member === undefined) fail(ErrorKind.notFound, `${id} is not a member`)
    if (id === this.state.id) fail(ErrorKind.failedPrecondition, `${id} is the leader; transfer leadership first`)
    if (isVoter(member)) this.requireSafeRemoval(member, now)
    return this.proposeMembers(members.filter(other => other.id !== id), now)
  }

  /**
   * Promotes the learner when it has completed a round within one election
   * timeout; a slower round is followed by another one. Only then is the
   * learner close enough to the leader that its vote does not stall commitment.
   */
  tick (now: number): void {
    const { state, leader } = this
    const learner = state.log.members.find(member => !isVoter(member))
    if (learner === undefined || !leader.isReady || leader.isTransferring) return
    if (state.log.membersIndex > state.commitIndex) return
    if (this.catchUpRound?.id !== learner.id) this.startRound(learner, now)
    if (this.catchUpRound === undefined || leader.matchIndexOf(learner) < this.catchUpRound.targetIndex) return
    const isShortRound = now - this.catchUpRound.startedAt <= state.timing.electionMs
    if (!isShortRound) return this.startRound(learner, now)
    const disk = leader.progressOf(learner.id)?.disk ?? ''
    if (disk === '' || !leader.hasRecentAnswer(learner, now)) return
    this.catchUpRound = undefined
    const promoted: Member = { ...learner, role: 'voter', disk }
    this.proposeMembers(state.log.members.map(member => member.id === learner.id ? promoted : member), now)
  }

  private startRound (learner: Member, now: number): void {
    this.catchUpRound = { id: learner.id, targetIndex: this.state.log.lastIndex, startedAt: now }
  }

  private proposeMembers (members: Member[], now: number): number {
    const index = this.leader.propose(EntryKind.members, encodeMembers(members))
    this.leader.refreshProgress(now)
    this.leader.advanceCommitIndex()
    return index
  }

  private requireNoPendingChange (): void {
    const { state, leader } = this
    if (!leader.isReady || leader.isTransferring) fail(ErrorKind.notLeader, 'this controller does not lead, or leadership is changing')
    if (state.log.membersIndex > state.commitIndex) {
      fail(ErrorKind.failedPrecondition, 'another membership change is in progress')
    }
  }

  /** Throws failedPrecondition when a removal would cost the group its quorum or its last spare voter. */
  private requireSafeRemoval (member: Member, now: number): void {
    const voters = this.state.log.members.filter(isVoter)
    const remaining = voters.filter(voter => voter.id !== member.id)
    const spareBefore = this.countSpareVoters(voters, now)
    const spareAfter = this.countSpareVoters(remaining, now)
    if (remaining.length === 0) fail(ErrorKind.failedPrecondition, `${member.id} is the last voter`)
    if (spareAfter < 0) {
      fail(ErrorKind.failedPrecondition,
        `without ${member.id} too few of the remaining ${remaining.length} voters answer; bring one back first`)
    }
    if (spareAfter === 0 && spareBefore > 0) {
      fail(ErrorKind.failedPrecondition,
        `without ${member.id} the loss of one more controller would stop the group; add a replacement first`)
    }
  }

  /** Number of responsive voters beyond the quorum; negative when there is no quorum. */
  private countSpareVoters (voters: readonly Member[], now: number): number {
    return voters.filter(voter => this.leader.hasRecentAnswer(voter, now)).length - quorumSize(voters.length)
  }
}
