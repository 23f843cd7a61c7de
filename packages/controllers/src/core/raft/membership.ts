/**
 * Changes of the membership, one member at a time (Ongaro's thesis, chapter 4):
 * a new member first catches up as a learner, and is promoted by itself.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { EntryKind, type Member } from '../../types/raft.js'
import type { MemberFacts } from '../../types/replica.js'
import type { Leader } from './leader.js'
import { encodeMembers, findMember, isVoter, quorumOf } from './members.js'
import type { RaftState } from './state.js'

/** One round of catching up (thesis, 4.2.1). */
interface Round {
  id: string
  targetIndex: number
  startedAt: number
}

export class Membership {
  private round: Round | undefined

  private constructor (private readonly state: RaftState, private readonly leader: Leader) {}

  static create (state: RaftState, leader: Leader): Membership {
    return new Membership(state, leader)
  }

  /** Adds a learner. Returns the index of the change. */
  add (facts: MemberFacts, now: number): number {
    this.refuseSecondChange()
    const { members } = this.state.log
    if (findMember(members, facts.id) !== undefined) {
      fail(ErrorKind.alreadyExists, `${facts.id} is a member already; remove it first if it lost its disk`)
    }
    const learner = members.find(member => !isVoter(member))
    if (learner !== undefined) {
      fail(ErrorKind.failedPrecondition, `${learner.id} is still catching up; one member is added at a time`)
    }
    return this.change([...members, { ...facts, role: 'learner', disk: '' }], now)
  }

  /** Removes a member. Returns the index of the change. */
  remove (id: string, now: number): number {
    this.refuseSecondChange()
    const { members } = this.state.log
    const member = findMember(members, id)
    if (member === undefined) fail(ErrorKind.notFound, `${id} is not a member`)
    if (id === this.state.id) fail(ErrorKind.failedPrecondition, `${id} leads; transfer leadership first`)
    if (isVoter(member)) this.refuseUnsafeRemoval(member, now)
    return this.change(members.filter(other => other.id !== id), now)
  }

  /** Promotes a learner that has caught up. */
  tick (now: number): void {
    const { state, leader } = this
    const learner = state.log.members.find(member => !isVoter(member))
    if (learner === undefined || !leader.isReady || leader.isTransferring) return
    if (state.log.membersIndex > state.commitIndex) return
    if (this.round?.id !== learner.id) this.startRound(learner, now)
    if (this.round === undefined || leader.matchIndexOf(learner) < this.round.targetIndex) return
    const isQuick = now - this.round.startedAt <= state.timing.electionMs
    if (!isQuick) return this.startRound(learner, now)
    const disk = leader.progressOf(learner.id)?.disk ?? ''
    if (disk === '' || !leader.isHeard(learner, now)) return
    this.round = undefined
    const promoted: Member = { ...learner, role: 'voter', disk }
    this.change(state.log.members.map(member => member.id === learner.id ? promoted : member), now)
  }

  private startRound (learner: Member, now: number): void {
    this.round = { id: learner.id, targetIndex: this.state.log.lastIndex, startedAt: now }
  }

  private change (members: Member[], now: number): number {
    const index = this.leader.propose(EntryKind.members, encodeMembers(members))
    this.leader.refreshMembers(now)
    this.leader.advance()
    return index
  }

  private refuseSecondChange (): void {
    const { state, leader } = this
    if (!leader.isReady || leader.isTransferring) fail(ErrorKind.notLeader, 'this controller does not lead yet or any more')
    if (state.log.membersIndex > state.commitIndex) {
      fail(ErrorKind.failedPrecondition, 'another change of the membership is in progress')
    }
  }

  /** Refuses what would stop the group, or take away its last spare controller. */
  private refuseUnsafeRemoval (member: Member, now: number): void {
    const voters = this.state.log.members.filter(isVoter)
    const rest = voters.filter(voter => voter.id !== member.id)
    const before = this.spare(voters, now)
    const after = this.spare(rest, now)
    if (rest.length === 0) fail(ErrorKind.failedPrecondition, `${member.id} is the last voter`)
    if (after < 0) {
      fail(ErrorKind.failedPrecondition,
        `without ${member.id} too few of the remaining ${rest.length} voters answer; bring one back first`)
    }
    if (after === 0 && before > 0) {
      fail(ErrorKind.failedPrecondition,
        `without ${member.id} the loss of one more controller would stop the group; add a replacement first`)
    }
  }

  /** How many voters that answer may be lost before a quorum is. */
  private spare (voters: readonly Member[], now: number): number {
    return voters.filter(voter => this.leader.isHeard(voter, now)).length - quorumOf(voters.length)
  }
}
