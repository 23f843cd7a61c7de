/**
 * Forming the group on its first start. Each first member binds every id to the
 * first disk that it hears of under it, durably, before it tells the others. The
 * group is formed once all of them tell the same. A member that loses its disk
 * afterwards can neither form a second group nor vote in the first.
 */

import type { Greeting } from '../../types/raft.js'
import type { MemberFacts } from '../../types/replica.js'
import type { RaftState } from './state.js'

export class Formation {
  private readonly heard = new Map<string, Record<string, string>>()
  private greetedAt = -Infinity

  private constructor (private readonly state: RaftState, private readonly first: readonly MemberFacts[]) {}

  static create (state: RaftState, first: readonly MemberFacts[]): Formation {
    const formation = new Formation(state, first)
    if (formation.isWanted && state.hardState.disks[state.id] === undefined) formation.bind(state.id, state.disk)
    formation.formIfAgreed()
    return formation
  }

  /** True while the group is not formed here and this replica is one of its first members. */
  private get isWanted (): boolean {
    const { state } = this
    return !state.isFormed && state.log.lastIndex === 0 && this.first.some(member => member.id === state.id)
  }

  /** First members that have not told the same disks yet; empty once the group is formed. */
  get missing (): string[] {
    if (!this.isWanted) return []
    return this.first.map(member => member.id).filter(id => !this.isAgreed(id))
  }

  tick (now: number): void {
    if (!this.isWanted || now - this.greetedAt < this.state.timing.heartbeatMs) return
    this.greetedAt = now
    for (const member of this.first) this.greet(member.id)
    this.formIfAgreed()
  }

  receive (from: string, greeting: Greeting): void {
    if (this.first.every(member => member.id !== from)) return
    if (this.isWanted) {
      if (this.state.hardState.disks[from] === undefined) this.bind(from, greeting.disk)
      this.heard.set(from, greeting.disks)
      this.formIfAgreed()
    }
    if (!greeting.formed && !this.isWanted) this.greet(from)
  }

  private greet (to: string): void {
    const { state } = this
    if (to === state.id) return
    const disks = state.hardState.disks
    const formed = state.isFormed
    state.afterSync(() => state.send(to, '', { kind: 'greeting', formed, disks }))
  }

  private bind (id: string, disk: string): void {
    this.state.persist({ disks: { ...this.state.hardState.disks, [id]: disk } })
  }

  private formIfAgreed (): void {
    if (!this.isWanted || this.missing.length > 0) return
    const { state } = this
    const members = this.first.map(member => ({ ...member, role: 'voter' as const, disk: state.hardState.disks[member.id] }))
    state.persist({ members })
    state.log.form(members)
  }

  /** True when a first member told exactly the disks that this replica knows. */
  private isAgreed (id: string): boolean {
    const { state } = this
    const own = state.hardState.disks
    const told = id === state.id ? own : this.heard.get(id)
    return told !== undefined && this.first.every(member => {
      return own[member.id] !== undefined && told[member.id] === own[member.id]
    })
  }
}
