/**
 * Repair of the membership without a person. A controller that is no member
 * offers itself to the leader with each heartbeat: one that lost its disk, one
 * at a new address, or a spare. The leader takes it in as a learner, which is
 * promoted once it has caught up, when a voter is missing or its place is free.
 */

import type { MemberCandidate, MemberFacts, Replica, ReplicaStatus } from '@flamingorouter/controllers'
import { toFailure } from '@flamingorouter/scheduler'
import type { RuntimeLog } from './runtime-log.js'

/** After how long a silent voter is replaced if another controller offers itself, in milliseconds. */
const REPLACE_AFTER_MS = 3_000

/** How long an offer counts, in milliseconds. */
const OFFER_MS = 2_000

export type RepairAction =
  | { kind: 'add', facts: MemberFacts }
  | { kind: 'remove', id: string }

export class Repair {
  private readonly offers = new Map<string, { candidate: MemberCandidate, at: number }>()
  private readonly silentSince = new Map<string, number>()
  private isActing = false

  private constructor (private readonly wantedVoters: number, private readonly log: RuntimeLog) {}

  static create (wantedVoters: number, log: RuntimeLog): Repair {
    return new Repair(wantedVoters, log)
  }

  offer (candidate: MemberCandidate, now: number): void {
    this.offers.set(candidate.id, { candidate, at: now })
  }

  /** Called regularly; acts while this replica leads. */
  tick (replica: Replica, now: number): void {
    const status = replica.status()
    if (status.role !== 'leader') {
      this.silentSince.clear()
      return
    }
    this.noteSilence(status, now)
    if (this.isActing || !replica.holdsLease()) return
    const action = this.decide(status, now)
    if (action === undefined) return
    this.isActing = true
    this.act(replica, action)
      .catch((thrown: unknown) => { this.log.warn('repair_refused', { action: action.kind, error: toFailure(thrown).message }) })
      .finally(() => { this.isActing = false })
  }

  /** The next change of the membership; undefined when it is whole. */
  decide (status: ReplicaStatus, now: number): RepairAction | undefined {
    const { members } = status
    const candidates = [...this.offers.values()]
      .filter(offer => now - offer.at < OFFER_MS && members.every(member => member.id !== offer.candidate.id))
      .map(offer => offer.candidate)
    const voters = members.filter(member => member.role === 'voter')
    const emptied = members.find(member => candidates.some(candidate => candidate.address === member.address))
    if (emptied !== undefined && emptied.id !== status.id) return { kind: 'remove', id: emptied.id }
    const silent = voters.find(voter => voter.id !== status.id && now - (this.silentSince.get(voter.id) ?? now) > REPLACE_AFTER_MS)
    if (voters.length > this.wantedVoters) {
      const surplus = silent ?? voters.findLast(voter => voter.id !== status.id)
      return surplus === undefined ? undefined : { kind: 'remove', id: surplus.id }
    }
    const learner = members.find(member => member.role === 'learner')
    if (learner !== undefined) {
      const isGone = now - (this.silentSince.get(learner.id) ?? now) > REPLACE_AFTER_MS
      return isGone ? { kind: 'remove', id: learner.id } : undefined
    }
    const candidate = candidates[0]
    if (candidate === undefined || (silent === undefined && voters.length >= this.wantedVoters)) return undefined
    return { kind: 'add', facts: { ...candidate, role: 'learner' } }
  }

  private noteSilence (status: ReplicaStatus, now: number): void {
    for (const { id } of status.members) {
      if (status.heard.includes(id)) this.silentSince.delete(id)
      else if (!this.silentSince.has(id)) this.silentSince.set(id, now)
    }
  }

  private async act (replica: Replica, action: RepairAction): Promise<void> {
    if (action.kind === 'add') await replica.addMember(action.facts)
    else await replica.removeMember(action.id)
    this.log.info('membership_repaired', { action: action.kind, member: action.kind === 'add' ? action.facts.id : action.id })
  }
}
