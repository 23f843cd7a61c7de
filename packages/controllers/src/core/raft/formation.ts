/**
 * Forms the group on its first start. Each initial member durably binds every
 * member id to the first disk identity that it receives for the id, and only
 * then reports it to the others. The group is formed once all initial members
 * report the same bindings. A member that loses its disk afterwards can neither
 * form a second group nor vote in the first.
 */

import type { Greeting } from '../../types/raft.js'
import type { MemberFacts } from '../../types/replica.js'
import type { RaftState } from './raft-state.js'

export class Formation {
  /** Bindings of member ids to disk identities that each initial member last reported. */
  private readonly reportedDisks = new Map<string, Record<string, string>>()
  private lastGreetingAt = -Infinity

  private constructor (private readonly state: RaftState, private readonly initialMembers: readonly MemberFacts[]) {}

  /** `initialMembers` is empty for a controller that joins an existing group. */
  static create (state: RaftState, initialMembers: readonly MemberFacts[]): Formation {
    const formation = new Formation(state, initialMembers)
    if (formation.isForming && state.hardState.disks[state.id] === undefined) formation.bindDisk(state.id, state.disk)
    formation.formIfAgreed()
    return formation
  }

  /**
   * True while this replica is an initial member of a group that it has not formed yet. Its log may have entries: the
   * others may form the group and elect a leader before the last greeting that it needs arrives.
   */
  private get isForming (): boolean {
    const { state } = this
    return !state.isFormed && this.initialMembers.some(member => member.id === state.id)
  }

  /** Ids of initial members that have not reported the same bindings yet; empty once the group is formed. */
  get missingInitialMembers (): string[] {
    if (!this.isForming) return []
    return this.initialMembers.map(member => member.id).filter(id => !this.hasConfirmedDisks(id))
  }

  /** Greets the other initial members once per heartbeat interval until the group is formed. */
  tick (now: number): void {
    if (!this.isForming || now - this.lastGreetingAt < this.state.timing.heartbeatMs) return
    this.lastGreetingAt = now
    for (const member of this.initialMembers) this.sendGreeting(member.id)
    this.formIfAgreed()
  }

  /** Records the bindings of another initial member. A replica that has formed the group answers, so that the sender can form it too. */
  handleGreeting (from: string, greeting: Greeting): void {
    if (this.initialMembers.every(member => member.id !== from)) return
    if (this.isForming) {
      if (this.state.hardState.disks[from] === undefined) this.bindDisk(from, greeting.disk)
      this.reportedDisks.set(from, greeting.disks)
      this.formIfAgreed()
    }
    if (!greeting.formed && !this.isForming) this.sendGreeting(from)
  }

  private sendGreeting (to: string): void {
    const { state } = this
    if (to === state.id) return
    const disks = state.hardState.disks
    const formed = state.isFormed
    state.afterSync(() => state.send(to, '', { kind: 'greeting', formed, disks }))
  }

  private bindDisk (id: string, disk: string): void {
    this.state.persist({ disks: { ...this.state.hardState.disks, [id]: disk } })
  }

  private formIfAgreed (): void {
    if (!this.isForming || this.missingInitialMembers.length > 0) return
    const { state } = this
    const members = this.initialMembers.map(member => ({
      ...member, role: 'voter' as const, disk: state.hardState.disks[member.id]
    }))
    state.persist({ members })
    state.log.setInitialMembers(members)
  }

  /** True when an initial member reported exactly the bindings that this replica holds. */
  private hasConfirmedDisks (id: string): boolean {
    const { state } = this
    const ownDisks = state.hardState.disks
    const reportedDisks = id === state.id ? ownDisks : this.reportedDisks.get(id)
    return reportedDisks !== undefined && this.initialMembers.every(member => {
      return ownDisks[member.id] !== undefined && reportedDisks[member.id] === ownDisks[member.id]
    })
  }
}
