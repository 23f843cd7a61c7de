/**
 * A replica: connects the Raft state machine to a disk, a transport and a clock.
 * Everything runs on one event loop. Writes that arrive while another one is
 * being synced are made durable together by the next sync (group commit).
 */

import { ErrorKind, Failure, fail, toFailure } from '@flamingorouter/scheduler'
import { EntryKind, type MessageDrop, type Snapshot, type RaftTiming } from '../types/raft.js'
import type { MemberFacts, ReplicaOwner, ReplicaStatus } from '../types/replica.js'
import type { Clock } from './clock.js'
import { RaftLog } from './raft/raft-log.js'
import { checkMessage } from './raft/check-message.js'
import { Raft } from './raft/raft.js'
import type { Disk } from './storage/disk.js'
import { Store } from './storage/store.js'
import type { Transport } from './transport.js'

export interface ReplicaOptions {
  id: string
  group: string
  disk: Disk
  /** Random identity to give to the data folder if it is new. */
  newDiskId: string
  /** Initial members; used only until the group is formed, and empty for a controller that joins one. */
  bootstrap: MemberFacts[]
  transport: Transport
  owner: ReplicaOwner
  clock: Clock
  /** Seeds the election timeouts. */
  seed: number
  timing: RaftTiming
  /** Number of committed entries after which a snapshot is taken. */
  snapshotEvery: number
  /** Called for each received message that the replica does not process, as when it carries another disk identity; for logs and metrics only. */
  handleDrop?: (drop: MessageDrop) => void
  /** Size at which a new log segment is started, in bytes. */
  segmentBytes?: number
}

/** A membership change that waits until the entry at its index is committed. */
interface CommitWaiter {
  index: number
  resolve: () => void
  reject: (failure: Failure) => void
}

interface PendingSnapshot {
  index: number
  data: Uint8Array
}

export class Replica {
  private readonly raft: Raft
  private readonly owner: ReplicaOwner
  private readonly clock: Clock
  private appliedIndex = 0
  /** Term in which the owner was notified that it leads; 0 while it does not lead. */
  private leadingTerm = 0
  private waiters: CommitWaiter[] = []
  /** A snapshot that waits for the commit of its last entry: a leader's state is ahead of the commit index. */
  private pendingSnapshot: PendingSnapshot | undefined
  /** A snapshot that the owner has to load before further entries. */
  private snapshotToRestore: Snapshot | undefined
  private isWriting = false
  private isProcessingOutput = false
  private isClosed = false
  private fault: Failure | undefined

  private constructor (private readonly options: ReplicaOptions, private readonly store: Store) {
    this.owner = options.owner
    this.clock = options.clock
    const { hardState, snapshot, entries } = store
    const log = RaftLog.create({ members: hardState.members, snapshot, entries })
    const { timing, seed, bootstrap } = options
    const now = this.clock.now()
    this.raft = Raft.create({ hardState, log, timing, seed, bootstrap, now }, snapshot => { this.snapshotToRestore = snapshot })
    this.snapshotToRestore = snapshot
  }

  /**
   * Opens the data folder and starts to participate in the group. Throws dataLoss
   * for a damaged folder and failedPrecondition for one of another group or
   * controller.
   */
  static async open (options: ReplicaOptions): Promise<Replica> {
    const store = await Store.open(options)
    const replica = new Replica(options, store)
    replica.processOutput()
    return replica
  }

  /** Processes a message of another replica; throws invalidArgument for a malformed one. */
  receive (from: string, message: unknown): void {
    const checked = checkMessage(message)
    this.step(now => { this.raft.receive(from, checked, now) })
  }

  /** Advances timers and takes snapshots. Must be called every 10 to 20 ms. */
  tick (): void {
    this.step(now => {
      if (this.raft.tick(now)) this.owner.startElection?.(this.raft.state.term, this.raft.leaderSilentMs(now))
    })
    this.takeSnapshotIfDue()
  }

  /**
   * Sends the heartbeats that are due, and nothing else. A leader calls it between two pieces of work of one turn of the
   * event loop, so that a long turn is not taken for the loss of the leader.
   */
  sustain (): void {
    if (this.isStopped || this.isProcessingOutput) return
    this.raft.sustain(this.clock.now())
    this.sendMessages()
  }

  /**
   * Appends an entry and returns its index. Throws notLeader before the owner was
   * notified that it leads, after leadership is lost, and during a leadership transfer.
   */
  propose (entry: Uint8Array): number {
    if (!this.isLeading()) fail(ErrorKind.notLeader, 'this controller does not lead')
    const index = this.raft.propose(entry)
    // Entries proposed in one turn of the event loop are sent together.
    queueMicrotask(() => { this.processOutput() })
    return index
  }

  /** True while this replica leads and no other can. Reads the clock, so that a resumed process notices an expired lease. */
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
      responsiveMembers: this.raft.listResponsiveMembers(this.clock.now()),
      fault: this.fault?.message ?? '',
      missingInitialMembers: this.raft.missingInitialMembers
    }
  }

  /**
   * Adds a member, which catches up as a learner and is then promoted automatically.
   * Resolves when the addition is committed; rejects with notLeader, alreadyExists,
   * failedPrecondition, or unavailable when leadership was lost meanwhile.
   */
  async addMember (facts: MemberFacts): Promise<void> {
    this.requireLeading()
    await this.waitForCommit(this.raft.addMember(facts, this.clock.now()))
  }

  /**
   * Removes a member. Resolves when the removal is committed; rejects with notLeader,
   * notFound, unavailable when leadership was lost meanwhile, or failedPrecondition if
   * the member leads, another change is pending, or the group would lose its quorum
   * or its last spare voter.
   */
  async removeMember (id: string): Promise<void> {
    this.requireLeading()
    await this.waitForCommit(this.raft.removeMember(id, this.clock.now()))
  }

  /**
   * Transfers leadership to a member, or to the most advanced voter. Proposals are
   * refused from here on. The owner's `stopLeading` is called at the end, at the
   * latest after one election timeout.
   */
  transferLeadership (to?: string): void {
    this.requireLeading()
    this.step(now => { this.raft.transferLeadership(to, now) })
  }

  /** Stops participating in the group. Writes that are not synced yet may be lost. */
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

  private waitForCommit (index: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.waiters.push({ index, resolve, reject })
      this.processOutput()
    })
  }

  /** Runs one input through the state machine; an internal or dataLoss failure stops the replica. */
  private step (act: (now: number) => void): void {
    if (this.isStopped) return
    try {
      act(this.clock.now())
    } catch (thrown) {
      const failure = toFailure(thrown)
      if (failure.kind !== ErrorKind.internal && failure.kind !== ErrorKind.dataLoss) throw failure
      return this.stop(failure)
    }
    this.processOutput()
  }

  /** Processes the output of the last step: messages, role changes, committed entries and writes. */
  private processOutput (): void {
    if (this.isProcessingOutput || this.isStopped) return
    this.isProcessingOutput = true
    try {
      this.raft.flush(this.clock.now())
      this.sendMessages()
      this.reportDrops()
      this.stopLeadingIfLost()
      this.applyCommitted()
      this.startLeadingIfReady()
    } finally {
      this.isProcessingOutput = false
    }
    this.persist().catch((thrown: unknown) => { this.stop(toFailure(thrown)) })
  }

  private sendMessages (): void {
    const { state } = this.raft
    const messages = state.messages
    state.messages = []
    for (const { to, message } of messages) this.options.transport.send(to, message)
  }

  private reportDrops (): void {
    const { state } = this.raft
    if (state.drops.length === 0) return
    const drops = state.drops
    state.drops = []
    for (const drop of drops) this.options.handleDrop?.(drop)
  }

  private stopLeadingIfLost (): void {
    const { raft } = this
    if (this.leadingTerm === 0 || (raft.isLeading && raft.state.term === this.leadingTerm)) return
    this.stopLeading(raft.state.leader)
  }

  private stopLeading (leader: string): void {
    this.leadingTerm = 0
    this.pendingSnapshot = undefined
    const waiters = this.waiters
    this.waiters = []
    for (const waiter of waiters) {
      waiter.reject(Failure.create(ErrorKind.unavailable, 'leadership was lost before the change was committed'))
    }
    this.owner.stopLeading(leader)
    const { snapshot } = this.raft.state.log
    this.restoreSnapshot(snapshot?.index ?? 0, snapshot?.data ?? new Uint8Array())
  }

  private restoreSnapshot (index: number, data: Uint8Array): void {
    this.snapshotToRestore = undefined
    this.appliedIndex = index
    this.owner.restoreSnapshot(index, data)
  }

  private applyCommitted (): void {
    const { state } = this.raft
    if (this.snapshotToRestore !== undefined) this.restoreSnapshot(this.snapshotToRestore.index, this.snapshotToRestore.data)
    while (this.appliedIndex < state.commitIndex) {
      const entry = state.log.entryAt(++this.appliedIndex)
      if (entry === undefined) fail(ErrorKind.internal, `committed entry ${this.appliedIndex} is not in the log`)
      if (entry.kind !== EntryKind.data) continue
      this.owner.applyEntry(entry.index, entry.data, entry.term === this.leadingTerm)
    }
    const done = this.waiters.filter(waiter => waiter.index <= state.commitIndex)
    if (done.length === 0) return
    this.waiters = this.waiters.filter(waiter => waiter.index > state.commitIndex)
    for (const waiter of done) waiter.resolve()
  }

  private startLeadingIfReady (): void {
    const { raft } = this
    if (!raft.isLeading || this.leadingTerm !== 0) return
    this.leadingTerm = raft.state.term
    this.owner.startLeading(this.leadingTerm)
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
      this.step(now => { this.raft.completeSync(writes[writes.length - 1].sequence, lastIndex, now) })
    }
    this.isWriting = false
  }

  private takeSnapshotIfDue (): void {
    if (this.isStopped) return
    const { state, role } = this.raft
    this.compactIfCommitted()
    const entriesSinceSnapshot = state.commitIndex - (state.log.snapshot?.index ?? 0)
    if (this.pendingSnapshot !== undefined || entriesSinceSnapshot < this.options.snapshotEvery) return
    const isLeading = this.leadingTerm !== 0
    // While the owner has not been notified of a change of the role, the log may contain entries that it has not applied.
    if (isLeading !== (role === 'leader')) return
    // Proposals are refused during a transfer, so the owner's state may be ahead of the log.
    if (this.raft.isTransferring) return
    this.pendingSnapshot = { index: isLeading ? state.log.lastIndex : this.appliedIndex, data: this.owner.encodeSnapshot() }
    this.compactIfCommitted()
  }

  private compactIfCommitted (): void {
    const { pendingSnapshot: pending } = this
    if (pending === undefined || pending.index > this.raft.state.commitIndex) return
    this.pendingSnapshot = undefined
    // Half as many entries as between two snapshots stay in the log, for followers that lag behind.
    this.raft.compact(pending.index, pending.data, this.options.snapshotEvery >> 1)
    this.processOutput()
  }

  /** Stops participating in the group after a failed disk operation or consistency check. */
  private stop (failure: Failure): void {
    if (this.isStopped) return
    this.fault = failure
    if (this.leadingTerm !== 0) this.stopLeading('')
    this.owner.handleFault?.(failure)
  }
}
