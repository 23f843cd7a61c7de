/**
 * A replica: the state machine of the log joined to a disk, a transport and a
 * clock. Everything runs on the one loop; while a write is being synced more
 * writes gather, and the next sync takes them all.
 */

import { ErrorKind, Failure, fail, toFailure } from '@flamingorouter/scheduler'
import { EntryKind, type Snapshot, type Timing } from '../types/raft.js'
import type { MemberFacts, ReplicaOwner, ReplicaStatus } from '../types/replica.js'
import type { Clock } from './clock.js'
import { RaftLog } from './raft/log.js'
import { checkMessage } from './raft/messages.js'
import { Raft } from './raft/raft.js'
import type { Disk } from './storage/disk.js'
import { Store } from './storage/store.js'
import type { Transport } from './transport.js'

export interface ReplicaOptions {
  id: string
  group: string
  disk: Disk
  /** Random identity for the data folder, used only if the folder is new. */
  newDisk: string
  /** First members; read on the first start only, and empty for a controller that joins a group. */
  bootstrap: MemberFacts[]
  transport: Transport
  owner: ReplicaOwner
  clock: Clock
  /** Seeds the election timeouts. */
  seed: number
  timing: Timing
  /** Entries after which a snapshot is taken. */
  snapshotEvery: number
  /** Size at which a new segment of the log is begun, in bytes. */
  segmentBytes?: number
}

/** Somebody who waits for an entry to be committed. */
interface Waiter {
  index: number
  resolve: () => void
  reject: (failure: Failure) => void
}

interface HeldSnapshot {
  index: number
  data: Uint8Array
}

export class Replica {
  private readonly raft: Raft
  private readonly owner: ReplicaOwner
  private readonly clock: Clock
  private deliveredIndex = 0
  /** Term in which the owner was told that it leads; 0 when it does not. */
  private leadingTerm = 0
  private waiters: Waiter[] = []
  /** A snapshot taken ahead of the commitment of its last entry. */
  private held: HeldSnapshot | undefined
  private toRestore: Snapshot | undefined
  private isWriting = false
  private isDraining = false
  private isClosed = false
  private fault: Failure | undefined

  private constructor (private readonly options: ReplicaOptions, private readonly store: Store) {
    this.owner = options.owner
    this.clock = options.clock
    const { hardState, snapshot, entries } = store
    const log = RaftLog.create({ members: hardState.members, snapshot, entries })
    const { timing, seed, bootstrap } = options
    const now = this.clock.now()
    this.raft = Raft.create({ hardState, log, timing, seed, bootstrap, now }, snapshot => { this.toRestore = snapshot })
    this.toRestore = snapshot
  }

  /**
   * Opens the data folder and takes part in the group. Throws dataLoss for a
   * damaged folder and failedPrecondition for one of another group or controller.
   */
  static async open (options: ReplicaOptions): Promise<Replica> {
    const store = await Store.open(options)
    const replica = new Replica(options, store)
    replica.drain()
    return replica
  }

  /** Takes a message that another replica gave to its transport; throws invalidArgument for a malformed one. */
  receive (from: string, message: unknown): void {
    const checked = checkMessage(message)
    this.step(now => { this.raft.receive(from, checked, now) })
  }

  /** To be called every 10 to 20 ms. */
  tick (): void {
    this.step(now => { this.raft.tick(now) })
    this.snapshotIfDue()
  }

  /** Appends an entry and returns its index; throws notLeader unless `leading` was told and holds. */
  propose (entry: Uint8Array): number {
    if (!this.isLeading()) fail(ErrorKind.notLeader, 'this controller does not lead')
    const index = this.raft.propose(entry)
    // All that is proposed in one turn of the loop goes out together.
    queueMicrotask(() => { this.drain() })
    return index
  }

  /** True while this replica leads and no other can. Asks the clock, so that a paused process finds out. */
  holdsLease (): boolean {
    return this.isLeading() && this.raft.holdsLease(this.clock.now())
  }

  status (): ReplicaStatus {
    const { state } = this.raft
    const members = state.log.members
    const matchIndex: Record<string, number> = {}
    if (this.raft.role === 'leader') {
      for (const member of members) matchIndex[member.id] = this.raft.matchIndexOf(member)
    }
    return {
      id: state.id,
      term: state.term,
      role: this.fault === undefined ? this.raft.role : 'follower',
      leader: this.fault === undefined ? state.leader : '',
      commitIndex: state.commitIndex,
      lastIndex: state.log.lastIndex,
      members: members.map(({ id, address, availabilityZone, role }) => ({ id, address, availabilityZone, role })),
      matchIndex,
      heard: this.raft.heardAt(this.clock.now()),
      fault: this.fault?.message ?? '',
      waitingFor: this.raft.waitingFor
    }
  }

  /**
   * Adds a member, which catches up as a learner and is then promoted by itself.
   * Resolves when the addition is committed; rejects with notLeader, alreadyExists,
   * failedPrecondition, or unavailable when leadership was lost meanwhile.
   */
  async addMember (facts: MemberFacts): Promise<void> {
    this.requireLeading()
    await this.committed(this.raft.addMember(facts, this.clock.now()))
  }

  /** Removes a member; refused with failedPrecondition when the group would be stopped or left without a spare. */
  async removeMember (id: string): Promise<void> {
    this.requireLeading()
    await this.committed(this.raft.removeMember(id, this.clock.now()))
  }

  /**
   * Hands leadership to a member, or to the most advanced one. Proposals are
   * refused from here on; `following` is told when it is over, at the latest
   * after one election timeout.
   */
  transferLeadership (to?: string): void {
    this.requireLeading()
    this.step(now => { this.raft.transferLeadership(to, now) })
  }

  /** Takes no part any more. What was not synced may be lost. */
  async close (): Promise<void> {
    this.isClosed = true
    await this.store.close()
  }

  private get isStopped (): boolean {
    return this.isClosed || this.fault !== undefined
  }

  private isLeading (): boolean {
    const { raft } = this
    return !this.isStopped && this.leadingTerm !== 0 && raft.isLeading && raft.state.term === this.leadingTerm &&
      !raft.isTransferring
  }

  private requireLeading (): void {
    if (!this.isLeading()) fail(ErrorKind.notLeader, 'this controller does not lead')
  }

  private committed (index: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.waiters.push({ index, resolve, reject })
      this.drain()
    })
  }

  private step (act: (now: number) => void): void {
    if (this.isStopped) return
    try {
      act(this.clock.now())
    } catch (thrown) {
      const failure = toFailure(thrown)
      if (failure.kind !== ErrorKind.internal && failure.kind !== ErrorKind.dataLoss) throw failure
      return this.stop(failure)
    }
    this.drain()
  }

  /** Hands on what the last step left: messages, writes, committed entries and the change of role. */
  private drain (): void {
    if (this.isDraining || this.isStopped) return
    this.isDraining = true
    try {
      this.raft.flush(this.clock.now())
      this.sendMessages()
      this.followIfLost()
      this.deliver()
      this.leadIfReady()
    } finally {
      this.isDraining = false
    }
    this.persist().catch((thrown: unknown) => { this.stop(toFailure(thrown)) })
  }

  private sendMessages (): void {
    const { state } = this.raft
    const messages = state.messages
    state.messages = []
    for (const { to, message } of messages) this.options.transport.send(to, message)
  }

  private followIfLost (): void {
    const { raft } = this
    if (this.leadingTerm === 0 || (raft.isLeading && raft.state.term === this.leadingTerm)) return
    this.follow(raft.state.leader)
  }

  private follow (leader: string): void {
    this.leadingTerm = 0
    this.held = undefined
    const waiters = this.waiters
    this.waiters = []
    for (const waiter of waiters) {
      waiter.reject(Failure.create(ErrorKind.unavailable, 'leadership was lost before the change was committed'))
    }
    this.owner.following(leader)
    const { snapshot } = this.raft.state.log
    this.restore(snapshot?.index ?? 0, snapshot?.data ?? new Uint8Array())
  }

  private restore (index: number, data: Uint8Array): void {
    this.toRestore = undefined
    this.deliveredIndex = index
    this.owner.restored(index, data)
  }

  private deliver (): void {
    const { state } = this.raft
    if (this.toRestore !== undefined) this.restore(this.toRestore.index, this.toRestore.data)
    while (this.deliveredIndex < state.commitIndex) {
      const entry = state.log.entryAt(++this.deliveredIndex)
      if (entry === undefined) fail(ErrorKind.internal, `committed entry ${this.deliveredIndex} is not in the log`)
      if (entry.kind !== EntryKind.data) continue
      this.owner.committed(entry.index, entry.data, entry.term === this.leadingTerm)
    }
    const done = this.waiters.filter(waiter => waiter.index <= state.commitIndex)
    if (done.length === 0) return
    this.waiters = this.waiters.filter(waiter => waiter.index > state.commitIndex)
    for (const waiter of done) waiter.resolve()
  }

  private leadIfReady (): void {
    const { raft } = this
    if (!raft.isLeading || this.leadingTerm !== 0) return
    this.leadingTerm = raft.state.term
    this.owner.leading(this.leadingTerm)
  }

  private async persist (): Promise<void> {
    const { state } = this.raft
    if (this.isWriting) return
    this.isWriting = true
    while (state.writes.length > 0 && !this.isStopped) {
      const writes = state.writes
      state.writes = []
      const lastIndex = await this.store.write(writes)
      if (this.isStopped) return
      this.step(now => { this.raft.synced(writes[writes.length - 1].sequence, lastIndex, now) })
    }
    this.isWriting = false
  }

  private snapshotIfDue (): void {
    if (this.isStopped) return
    const { state, role } = this.raft
    this.keepIfCommitted()
    const since = state.commitIndex - (state.log.snapshot?.index ?? 0)
    if (this.held !== undefined || since < this.options.snapshotEvery) return
    const isLeading = this.leadingTerm !== 0
    // A replica between two roles may hold entries that its owner has not seen.
    if (isLeading !== (role === 'leader')) return
    // What the owner decides during a transfer is refused, and its state is ahead of the log.
    if (this.raft.isTransferring) return
    this.held = { index: isLeading ? state.log.lastIndex : this.deliveredIndex, data: this.owner.snapshot() }
    this.keepIfCommitted()
  }

  private keepIfCommitted (): void {
    const { held } = this
    if (held === undefined || held.index > this.raft.state.commitIndex) return
    this.held = undefined
    this.raft.compact(held.index, held.data, this.options.snapshotEvery >> 1)
    this.drain()
  }

  /** Takes no part any more, after a failure of the disk or of a check. */
  private stop (failure: Failure): void {
    if (this.isStopped) return
    this.fault = failure
    if (this.leadingTerm !== 0) this.follow('')
    this.owner.faulted?.(failure)
  }
}
