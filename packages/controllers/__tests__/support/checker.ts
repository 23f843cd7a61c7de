/**
 * Checks the guarantees of the replicated log from the outside: by the messages
 * sent, the callbacks of owners and the contents of the logs.
 */

import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import type { LogEntry, HardState, Member, Message } from '../../src/index.js'

/** How often each kind of event occurred. */
export interface Coverage {
  elections: number
  /** Entries that at least one owner applied. */
  commits: number
  /** Snapshots that an owner restored. */
  restores: number
  snapshotsTaken: number
  snapshotsSent: number
  membersAdded: number
  membersRemoved: number
  promotions: number
  transfers: number
  stepDowns: number
  crashes: number
  disksLost: number
  /** Members that were added again after they lost their disk. */
  replacements: number
  /** Replicas that stopped after a fault. */
  faults: number
  /** Checks of the cluster at which a node held the lease. */
  leaseReads: number
  /** Schedules after which the healed cluster committed an entry. */
  liveEnds: number
}

export function createCoverage (): Coverage {
  return {
    elections: 0,
    commits: 0,
    restores: 0,
    snapshotsTaken: 0,
    snapshotsSent: 0,
    membersAdded: 0,
    membersRemoved: 0,
    promotions: 0,
    transfers: 0,
    stepDowns: 0,
    crashes: 0,
    disksLost: 0,
    replacements: 0,
    faults: 0,
    leaseReads: 0,
    liveEnds: 0
  }
}

const INITIAL_VOTER_COUNT = 3

/** State of an owner: the last applied index and a digest of all applied entries in order. */
export interface Applied {
  index: number
  digest: string
}

export const NOTHING_APPLIED: Applied = Object.freeze({ index: 0, digest: '' })

export function apply (applied: Applied, index: number, entry: Uint8Array): Applied {
  return { index, digest: createHash('sha1').update(applied.digest).update(entry).digest('base64') }
}

export class Checker {
  /** Highest index of an entry that the leader that proposed it has seen committed. */
  acknowledged = 0
  private readonly countedMemberships = new WeakSet<readonly Member[]>()
  private readonly countedVoters = new Set<string>()
  private readonly leaderByTerm = new Map<number, string>()
  private readonly digestByIndex = new Map<number, string>([[0, '']])
  private readonly checkedEntries = new WeakSet<LogEntry>()
  private readonly entriesByIndex = new Map<number, Map<number, string>>()

  private constructor (readonly coverage: Coverage) {}

  static create (coverage: Coverage): Checker {
    return new Checker(coverage)
  }

  /** Checks election safety, one leader per term; only leaders send entries and snapshots. */
  checkSent (from: string, message: Message): void {
    if (message.kind === 'timeoutNow') this.coverage.transfers += 1
    if (message.kind === 'snapshotRequest') this.coverage.snapshotsSent += 1
    if (message.kind !== 'appendRequest' && message.kind !== 'snapshotRequest') return
    const sender = `${from}/${message.disk}`
    const leader = this.leaderByTerm.get(message.term)
    assert.ok(leader === undefined || leader === sender, `${leader} and ${sender} lead term ${message.term}`)
    if (leader === undefined) this.coverage.elections += 1
    this.leaderByTerm.set(message.term, sender)
  }

  /** Checks that the term, and a granted vote, are durable before the message is sent. */
  checkVote (message: Message, to: string, readHardState: () => HardState | undefined): void {
    if ((message.kind !== 'voteRequest' && message.kind !== 'voteAnswer') || message.pre) return
    if (message.kind === 'voteAnswer' && !message.granted) return
    const durable = readHardState()
    assert.ok(durable !== undefined && durable.term >= message.term, `term ${message.term} is not durable`)
    if (durable.term > message.term || message.kind === 'voteRequest') return
    assert.ok(durable.vote.startsWith(`${to}/`), `the vote of term ${message.term} for ${to} is not durable`)
  }

  /** Checks that all owners apply the same committed entries in the same order. */
  checkApplied (state: Applied, isOwn: boolean): void {
    const digest = this.digestByIndex.get(state.index)
    assert.ok(digest === undefined || digest === state.digest, `entry ${state.index} was applied after different entries`)
    if (digest === undefined) this.coverage.commits += 1
    this.digestByIndex.set(state.index, state.digest)
    if (isOwn) this.acknowledged = Math.max(this.acknowledged, state.index)
  }

  /** Checks that a snapshot contains committed entries only. */
  checkRestored (state: Applied): void {
    assert.equal(this.digestByIndex.get(state.index), state.digest, `the snapshot at ${state.index} differs from the committed state`)
    this.coverage.restores += 1
  }

  /** Checks log matching: entries with the same index and term are the same and follow an entry of the same term. */
  checkLog (entries: Iterable<LogEntry>, previousTerm: number): void {
    let term = previousTerm
    for (const entry of entries) {
      if (this.checkedEntries.has(entry)) {
        term = entry.term
        continue
      }
      this.checkedEntries.add(entry)
      const text = `${term} ${entry.kind} ${Buffer.from(entry.data).toString('base64')}`
      const byTerm = this.entriesByIndex.get(entry.index) ?? new Map<number, string>()
      const other = byTerm.get(entry.term)
      assert.ok(other === undefined || other === text, `entry ${entry.index} of term ${entry.term} differs between logs`)
      byTerm.set(entry.term, text)
      this.entriesByIndex.set(entry.index, byTerm)
      term = entry.term
    }
  }

  /** Counts the voters of a committed membership that were promoted since the group was formed. */
  recordMembership (members: readonly Member[]): void {
    if (this.countedMemberships.has(members)) return
    this.countedMemberships.add(members)
    for (const { role, id, disk } of members) {
      const key = `${id}/${disk}`
      if (role !== 'voter' || this.countedVoters.has(key)) continue
      this.countedVoters.add(key)
      if (this.countedVoters.size > INITIAL_VOTER_COUNT) this.coverage.promotions += 1
    }
  }

  /** Checks linearizable reads: at most one lease holder, which has applied every acknowledged entry. */
  checkLeaseHolders (holders: Array<{ id: string, appliedIndex: number }>): void {
    const ids = holders.map(holder => holder.id).join(' and ')
    assert.ok(holders.length <= 1, `${ids} hold the lease at once`)
    for (const { id, appliedIndex } of holders) {
      this.coverage.leaseReads += 1
      assert.ok(appliedIndex >= this.acknowledged, `${id} would read at index ${appliedIndex}, but index ${this.acknowledged} was acknowledged`)
    }
  }
}
