/**
 * Elections: the pre-vote, which asks whether an election could be won before
 * any term is raised, the vote itself, and granting votes to others.
 */

import type { VoteAnswer, VoteRequest } from '../../types/raft.js'
import { findMember, isVoter, quorumOf } from './members.js'
import type { RaftState } from './state.js'

type Phase = 'idle' | 'preVote' | 'vote'

export class Candidate {
  private phase: Phase = 'idle'
  private granted = new Set<string>()
  private transfer = false

  private constructor (private readonly state: RaftState, private readonly won: () => void) {}

  /** `won` is called when a quorum has voted for this replica. */
  static create (state: RaftState, won: () => void): Candidate {
    return new Candidate(state, won)
  }

  get isRunning (): boolean {
    return this.phase !== 'idle'
  }

  stop (): void {
    this.phase = 'idle'
    this.granted.clear()
  }

  /** Asks whether the others would vote for this replica in the next term. */
  startPreVote (): void {
    this.phase = 'preVote'
    this.state.leader = ''
    this.granted = new Set([this.state.id])
    this.transfer = false
    this.ask()
    this.count()
  }

  /** Raises the term and asks for votes; `transfer` says that the leader wanted it. */
  startVote (transfer: boolean): void {
    const { state } = this
    this.phase = 'vote'
    this.granted = new Set()
    this.transfer = transfer
    state.leader = ''
    state.persist({ term: state.term + 1, vote: voteFor(state.id, state.disk) })
    const term = state.term
    state.afterSync(() => {
      if (this.phase !== 'vote' || state.term !== term) return
      this.granted.add(state.id)
      this.ask()
      this.count()
    })
  }

  answer (from: string, answer: VoteAnswer): void {
    if (this.phase === 'idle' || answer.pre !== (this.phase === 'preVote') || !answer.granted) return
    if (answer.term !== (answer.pre ? this.state.term + 1 : this.state.term)) return
    // A vote counts only under the disk that the membership knows.
    if (findMember(this.state.log.members, from)?.disk !== answer.disk) return
    this.granted.add(from)
    this.count()
  }

  /** False for a member that asks under another disk than it is bound to. */
  isKnown (from: string, request: VoteRequest): boolean {
    const member = findMember(this.state.log.members, from)
    return member === undefined || member.disk === '' || member.disk === request.disk
  }

  /** Whether a request may get the vote, but for the term and the vote given in it. */
  private isEligible (from: string, request: VoteRequest): boolean {
    const { log } = this.state
    if (!this.isKnown(from, request)) return false
    if (request.lastTerm !== log.lastTerm) return request.lastTerm > log.lastTerm
    return request.lastIndex >= log.lastIndex
  }

  grantPreVote (from: string, request: VoteRequest): void {
    const { state } = this
    const granted = request.term > state.term && this.isEligible(from, request)
    state.send(from, request.disk, { kind: 'voteAnswer', pre: true, granted }, granted ? request.term : state.term)
  }

  /** Answers a request of the present term. Returns true when the vote was given. */
  grantVote (from: string, request: VoteRequest): boolean {
    const { state } = this
    const vote = voteFor(from, request.disk)
    const granted = (state.vote === '' || state.vote === vote) && this.isEligible(from, request)
    if (granted && state.vote === '') state.persist({ vote })
    const term = state.term
    state.afterSync(() => {
      if (state.term === term) state.send(from, request.disk, { kind: 'voteAnswer', pre: false, granted })
    })
    return granted
  }

  private ask (): void {
    const { state } = this
    const pre = this.phase === 'preVote'
    for (const member of state.log.members) {
      if (!isVoter(member) || member.id === state.id) continue
      state.send(member.id, member.disk, {
        kind: 'voteRequest',
        pre,
        transfer: this.transfer,
        lastIndex: state.log.lastIndex,
        lastTerm: state.log.lastTerm
      }, pre ? state.term + 1 : state.term)
    }
  }

  private count (): void {
    const voters = this.state.log.members.filter(isVoter)
    const granted = voters.filter(voter => this.granted.has(voter.id)).length
    if (granted < quorumOf(voters.length)) return
    if (this.phase === 'preVote') return this.startVote(false)
    this.stop()
    this.won()
  }
}

function voteFor (id: string, disk: string): string {
  return `${id}/${disk}`
}
