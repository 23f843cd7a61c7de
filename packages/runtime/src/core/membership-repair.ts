/**
 * Automatic repair of the membership. A controller that is not a member offers
 * itself to the leader with each heartbeat: one that lost its disk, one at a new
 * address, or a spare. When a voter is silent or missing, the leader adds the
 * controller as a learner, which is promoted once it has caught up; the silent
 * voter is removed after that.
 */

import type { MemberCandidate, MemberFacts, Replica, ReplicaStatus } from '@flamingorouter/controllers'
import { toFailure } from '@flamingorouter/scheduler'
import type { RuntimeLog } from './runtime-log.js'

/** Silence after which a voter is replaced if a candidate is available, or a learner is removed, in milliseconds. */
const SILENCE_LIMIT_MS = 3_000

/** How long an offer remains valid, in milliseconds. */
const OFFER_VALIDITY_MS = 2_000

/** One change of the membership. */
export type RepairAction =
  | { kind: 'add', facts: MemberFacts }
  | { kind: 'remove', id: string }

export class MembershipRepair {
  /**
   * Latest offer from each address; `arrivedAt` is monotonic time in milliseconds. An offer replaces that of the controller
   * that served the address before, which no longer exists.
   */
  private readonly offers = new Map<string, { candidate: MemberCandidate, arrivedAt: number }>()
  /** Monotonic time in milliseconds since which a member has been silent, by controller id. */
  private readonly silentSince = new Map<string, number>()
  /** Monotonic time in milliseconds since which a member has been a learner, by controller id. */
  private readonly learnerSince = new Map<string, number>()
  private isActing = false

  private constructor (private readonly wantedVoters: number, private readonly log: RuntimeLog) {}

  /** `wantedVoters` is the number of voters that the repair maintains. */
  static create (wantedVoters: number, log: RuntimeLog): MembershipRepair {
    return new MembershipRepair(wantedVoters, log)
  }

  /** Records an offer that arrived at `now`, in monotonic milliseconds. */
  recordOffer (candidate: MemberCandidate, now: number): void {
    this.offers.set(candidate.address, { candidate, arrivedAt: now })
  }

  /** Called periodically with the monotonic time in milliseconds; makes one change at a time, and only on the leader. */
  tick (replica: Replica, now: number): void {
    const status = replica.status()
    if (status.role !== 'leader') {
      this.silentSince.clear()
      this.learnerSince.clear()
      return
    }
    this.updateSilence(status, now)
    this.logPromotions(status, now)
    if (this.isActing || !replica.holdsLease()) return
    const action = this.decide(status, now)
    if (action === undefined) return
    this.isActing = true
    this.applyAction(replica, action)
      .catch((thrown: unknown) => { this.log.warn('repair_refused', { action: action.kind, error: toFailure(thrown).message }) })
      .finally(() => { this.isActing = false })
  }

  /** Returns the next change of the membership; undefined when none is needed or possible. */
  decide (status: ReplicaStatus, now: number): RepairAction | undefined {
    const { members } = status
    const candidates = [...this.offers.values()]
      .filter(offer => now - offer.arrivedAt < OFFER_VALIDITY_MS && members.every(member => member.id !== offer.candidate.id))
      .map(offer => offer.candidate)
    const voters = members.filter(member => member.role === 'voter')
    // A candidate at a member's address replaced that member, for example after the loss of its disk.
    const conflicting = members.find(member => candidates.some(candidate => candidate.address === member.address))
    if (conflicting !== undefined && conflicting.id !== status.id) return { kind: 'remove', id: conflicting.id }
    const silentVoter = voters.find(voter => voter.id !== status.id && now - (this.silentSince.get(voter.id) ?? now) > SILENCE_LIMIT_MS)
    if (voters.length > this.wantedVoters) {
      const surplus = silentVoter ?? voters.findLast(voter => voter.id !== status.id)
      return surplus === undefined ? undefined : { kind: 'remove', id: surplus.id }
    }
    const learner = members.find(member => member.role === 'learner')
    if (learner !== undefined) {
      const isGone = now - (this.silentSince.get(learner.id) ?? now) > SILENCE_LIMIT_MS
      return isGone ? { kind: 'remove', id: learner.id } : undefined
    }
    const candidate = candidates[0]
    if (candidate === undefined || (silentVoter === undefined && voters.length >= this.wantedVoters)) return undefined
    return { kind: 'add', facts: { ...candidate, role: 'learner' } }
  }

  private forgetOffer (id: string): void {
    for (const [address, { candidate }] of this.offers) {
      if (candidate.id === id) this.offers.delete(address)
    }
  }

  private updateSilence (status: ReplicaStatus, now: number): void {
    for (const id of this.silentSince.keys()) {
      if (status.members.every(member => member.id !== id)) this.silentSince.delete(id)
    }
    for (const { id } of status.members) {
      if (status.responsiveMembers.includes(id)) this.silentSince.delete(id)
      else if (!this.silentSince.has(id)) this.silentSince.set(id, now)
    }
  }

  private logPromotions (status: ReplicaStatus, now: number): void {
    for (const [id, since] of this.learnerSince) {
      const role = status.members.find(member => member.id === id)?.role
      if (role === 'learner') continue
      this.learnerSince.delete(id)
      if (role === 'voter') this.log.info('member_promoted', { member: id, tookMs: Math.round(now - since) })
    }
    for (const { id, role } of status.members) {
      if (role === 'learner' && !this.learnerSince.has(id)) this.learnerSince.set(id, now)
    }
  }

  private async applyAction (replica: Replica, action: RepairAction): Promise<void> {
    if (action.kind === 'add') await replica.addMember(action.facts)
    else await replica.removeMember(action.id)
    // The next offer of a controller that was removed comes after those of the others.
    if (action.kind === 'remove') this.forgetOffer(action.id)
    this.log.info('membership_repaired', { action: action.kind, member: action.kind === 'add' ? action.facts.id : action.id })
  }
}
