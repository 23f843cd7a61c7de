/**
 * Elections: the pre-vote, which checks whether an election could be won
 * without raising the term, the vote itself, and granting votes to others.
 */

import { DropReason, type VoteAnswer, type VoteRequest } from '../../types/raft.js'
import { findMember, isVoter, quorumSize } from './members.js'
import type { RaftState } from './raft-state.js'

type Phase = 'idle' | 'preVote' | 'vote'

export class Candidate {
  private phase: Phase = 'idle'
  private grantedBy = new Set<string>()
  private isTransfer = false

  private constructor (private readonly state: RaftState, private readonly onElected: () => void) {}

  /** Calls `onElected` when a quorum has voted for this replica. */
  static create (state: RaftState, onElected: () => void): Candidate {
    return new Candidate(state, onElected)
  }

  get isRunning (): boolean {
    return this.phase !== 'idle'
  }

  stop (): void {
    this.phase = 'idle'
    this.grantedBy.clear()
  }

  /** Starts a pre-vote: asks the other voters whether they would vote for this replica in the next term. */
  startPreVote (): void {
    this.phase = 'preVote'
    this.state.leader = ''
    this.grantedBy = new Set([this.state.id])
    this.isTransfer = false
    this.requestVotes()
    this.countVotes()
  }

  /**
   * Raises the term and requests votes once the term and this replica's own vote
   * are durable. `isTransfer` is true when the leader initiated the election.
   */
  startVote (isTransfer: boolean): void {
    const { state } = this
    this.phase = 'vote'
    this.grantedBy = new Set()
    this.isTransfer = isTransfer
    state.leader = ''
    state.persist({ term: state.term + 1, vote: formatVote(state.id, state.disk) })
    const term = state.term
    state.afterSync(() => {
      if (this.phase !== 'vote' || state.term !== term) return
      this.grantedBy.add(state.id)
      this.requestVotes()
      this.countVotes()
    })
  }

  /** Counts a granted vote of the current phase and term; ignores any other answer. */
  handleVoteAnswer (from: string, answer: VoteAnswer): void {
    if (this.phase === 'idle' || answer.pre !== (this.phase === 'preVote') || !answer.granted) return
    if (answer.term !== (answer.pre ? this.state.term + 1 : this.state.term)) return
    // A vote counts only if its disk identity is the one that the membership binds the voter to.
    const member = findMember(this.state.log.members, from)
    if (member?.disk !== answer.disk) return this.state.drop(from, answer.kind, member === undefined ? DropReason.notMember : DropReason.senderDisk)
    this.grantedBy.add(from)
    this.countVotes()
  }

  /** False for a member whose request carries another disk identity than the member is bound to. */
  hasExpectedDisk (from: string, request: VoteRequest): boolean {
    const member = findMember(this.state.log.members, from)
    return member === undefined || member.disk === '' || member.disk === request.disk
  }

  /** True when the requester's disk and log allow granting the vote; the term and earlier votes are not checked here. */
  private isEligible (from: string, request: VoteRequest): boolean {
    const { log } = this.state
    if (!this.hasExpectedDisk(from, request)) return false
    if (request.lastTerm !== log.lastTerm) return request.lastTerm > log.lastTerm
    return request.lastIndex >= log.lastIndex
  }

  /** Answers a pre-vote request. Changes no state: a granted pre-vote does not restrict later votes. */
  handlePreVoteRequest (from: string, request: VoteRequest): void {
    const { state } = this
    const granted = request.term > state.term && this.isEligible(from, request)
    state.send(from, request.disk, { kind: 'voteAnswer', pre: true, granted }, granted ? request.term : state.term)
  }

  /** Answers a vote request of the current term once the vote is durable. Returns true if the vote is granted. */
  handleVoteRequest (from: string, request: VoteRequest): boolean {
    const { state } = this
    const vote = formatVote(from, request.disk)
    const granted = (state.vote === '' || state.vote === vote) && this.isEligible(from, request)
    if (granted && state.vote === '') state.persist({ vote })
    const term = state.term
    state.afterSync(() => {
      if (state.term === term) state.send(from, request.disk, { kind: 'voteAnswer', pre: false, granted })
    })
    return granted
  }

  private requestVotes (): void {
    const { state } = this
    const pre = this.phase === 'preVote'
    for (const member of state.log.members) {
      if (!isVoter(member) || member.id === state.id) continue
      state.send(member.id, member.disk, {
        kind: 'voteRequest',
        pre,
        transfer: this.isTransfer,
        lastIndex: state.log.lastIndex,
        lastTerm: state.log.lastTerm
      }, pre ? state.term + 1 : state.term)
    }
  }

  private countVotes (): void {
    const voters = this.state.log.members.filter(isVoter)
    const granted = voters.filter(voter => this.grantedBy.has(voter.id)).length
    if (granted < quorumSize(voters.length)) return
    if (this.phase === 'preVote') return this.startVote(false)
    this.stop()
    this.onElected()
  }
}

function formatVote (id: string, disk: string): string {
  return `${id}/${disk}`
}
