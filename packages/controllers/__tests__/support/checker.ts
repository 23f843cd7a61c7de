/**
 * The promises of the replicated log, checked from the outside: by what is sent,
 * what owners are told and what the logs hold.
 */

import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import type { Entry, HardState, Member, Message } from '../../src/index.js'

export interface Coverage {
  elections: number
  commits: number
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
  replacements: number
  faults: number
  leaseReads: number
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

const FIRST_VOTERS = 3

/** State of an owner: which entries were applied, in which order. */
export interface Applied {
  index: number
  digest: string
}

export const NOTHING_APPLIED: Applied = Object.freeze({ index: 0, digest: '' })

export function apply (applied: Applied, index: number, entry: Uint8Array): Applied {
  return { index, digest: createHash('sha1').update(applied.digest).update(entry).digest('base64') }
}

export class Checker {
  /** Highest index that a leader acknowledged to a client. */
  acknowledged = 0
  private readonly memberships = new WeakSet<readonly Member[]>()
  private readonly voters = new Set<string>()
  private readonly leaders = new Map<number, string>()
  private readonly digests = new Map<number, string>([[0, '']])
  private readonly seen = new WeakSet<Entry>()
  private readonly stored = new Map<number, Map<number, string>>()

  private constructor (readonly coverage: Coverage) {}

  static create (coverage: Coverage): Checker {
    return new Checker(coverage)
  }

  /** One leader per term: only a leader appends. */
  sent (from: string, message: Message): void {
    if (message.kind === 'timeoutNow') this.coverage.transfers += 1
    if (message.kind === 'snapshotRequest') this.coverage.snapshotsSent += 1
    if (message.kind !== 'appendRequest' && message.kind !== 'snapshotRequest') return
    const sender = `${from}/${message.disk}`
    const leader = this.leaders.get(message.term)
    assert.ok(leader === undefined || leader === sender, `${leader} and ${sender} lead term ${message.term}`)
    if (leader === undefined) this.coverage.elections += 1
    this.leaders.set(message.term, sender)
  }

  /** A vote was given, or asked for, with this hard state on the disk: it must outlast a crash. */
  voted (message: Message, to: string, onDisk: () => HardState | undefined): void {
    if ((message.kind !== 'voteRequest' && message.kind !== 'voteAnswer') || message.pre) return
    if (message.kind === 'voteAnswer' && !message.granted) return
    const durable = onDisk()
    assert.ok(durable !== undefined && durable.term >= message.term, `term ${message.term} is not durable`)
    if (durable.term > message.term || message.kind === 'voteRequest') return
    assert.ok(durable.vote.startsWith(`${to}/`), `the vote of term ${message.term} for ${to} is not durable`)
  }

  /** No committed entry changes, and all are applied once and in order. */
  applied (state: Applied, isOwn: boolean): void {
    const digest = this.digests.get(state.index)
    assert.ok(digest === undefined || digest === state.digest, `entry ${state.index} was applied after other ones`)
    if (digest === undefined) this.coverage.commits += 1
    this.digests.set(state.index, state.digest)
    if (isOwn) this.acknowledged = Math.max(this.acknowledged, state.index)
  }

  /** A snapshot holds committed entries only. */
  restored (state: Applied): void {
    assert.equal(this.digests.get(state.index), state.digest, `the snapshot at ${state.index} is not of the committed state`)
    this.coverage.restores += 1
  }

  /** Logs agree: the same index and term mean the same entry after the same entries. */
  logged (entries: Iterable<Entry>, previousTerm: number): void {
    let term = previousTerm
    for (const entry of entries) {
      if (this.seen.has(entry)) {
        term = entry.term
        continue
      }
      this.seen.add(entry)
      const text = `${term} ${entry.kind} ${Buffer.from(entry.data).toString('base64')}`
      const byTerm = this.stored.get(entry.index) ?? new Map<number, string>()
      const other = byTerm.get(entry.term)
      assert.ok(other === undefined || other === text, `entry ${entry.index} of term ${entry.term} differs between logs`)
      byTerm.set(entry.term, text)
      this.stored.set(entry.index, byTerm)
      term = entry.term
    }
  }

  /** Takes note of a committed membership. */
  members (members: readonly Member[]): void {
    if (this.memberships.has(members)) return
    this.memberships.add(members)
    for (const { role, id, disk } of members) {
      const key = `${id}/${disk}`
      if (role !== 'voter' || this.voters.has(key)) continue
      this.voters.add(key)
      if (this.voters.size > FIRST_VOTERS) this.coverage.promotions += 1
    }
  }

  /** Reads are linearizable: whoever may answer alone has applied all that was acknowledged. */
  mayRead (holders: Array<{ id: string, appliedIndex: number }>): void {
    const ids = holders.map(holder => holder.id).join(' and ')
    assert.ok(holders.length <= 1, `${ids} hold the lease at once`)
    for (const { id, appliedIndex } of holders) {
      this.coverage.leaseReads += 1
      assert.ok(appliedIndex >= this.acknowledged, `${id} reads at ${appliedIndex}, but ${this.acknowledged} was acknowledged`)
    }
  }
}
