/**
 * The log in memory: the newest snapshot, the entries after it and a few before
 * it for lagging followers, and the membership in force at each index.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { EntryKind, type LogEntry, type Member, type Snapshot } from '../../types/raft.js'
import { decodeMembers } from './members.js'

interface MembershipAtIndex {
  index: number
  members: Member[]
}

export interface LogContent {
  /** Membership before the first entry. */
  members: Member[]
  snapshot?: Snapshot
  entries: LogEntry[]
}

export class RaftLog {
  private entries: LogEntry[] = []
  /** Index of the entry just before the first one kept. */
  private baseIndex = 0
  /** Term of the entry at `baseIndex`. */
  private baseTerm = 0
  /** Memberships in order of the entries that set them; the first one covers the start of the log. */
  private memberships: MembershipAtIndex[]
  private newestSnapshot: Snapshot | undefined

  private constructor (members: Member[]) {
    this.memberships = [{ index: 0, members }]
  }

  static create (content: LogContent): RaftLog {
    const log = new RaftLog(content.members)
    if (content.snapshot !== undefined) log.reset(content.snapshot)
    log.append(content.entries)
    return log
  }

  get snapshot (): Snapshot | undefined {
    return this.newestSnapshot
  }

  get lastIndex (): number {
    return this.baseIndex + this.entries.length
  }

  get lastTerm (): number {
    return this.termAt(this.lastIndex) ?? 0
  }

  /** Lowest index whose entry is still in memory. */
  get firstIndex (): number {
    return this.baseIndex + 1
  }

  /** Newest membership in the log, committed or not. */
  get members (): Member[] {
    return this.memberships[this.memberships.length - 1].members
  }

  /** Index of the entry that set the newest membership. */
  get membersIndex (): number {
    return this.memberships[this.memberships.length - 1].index
  }

  /** Membership in force at an index; empty if it was compacted or the group is not formed. */
  membersAt (index: number): Member[] {
    const effective = this.memberships.findLast(membership => membership.index <= index)
    return effective?.members ?? []
  }

  /** Sets the membership before the first entry, when the group is formed. */
  setInitialMembers (members: Member[]): void {
    this.memberships = [{ index: 0, members }]
  }

  /** Term of the entry at an index; undefined if the entry is compacted or not written yet. */
  termAt (index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm
    return this.entryAt(index)?.term
  }

  entryAt (index: number): LogEntry | undefined {
    return this.entries[index - this.baseIndex - 1]
  }

  /** Entries from an index on, up to `maxBytes`; at least one entry if there is any. */
  slice (from: number, maxBytes: number): LogEntry[] {
    const selected: LogEntry[] = []
    let bytes = 0
    for (let index = from; index <= this.lastIndex; index++) {
      const entry = this.entries[index - this.baseIndex - 1]
      bytes += entry.data.length
      if (selected.length > 0 && bytes > maxBytes) break
      selected.push(entry)
    }
    return selected
  }

  /** Appends entries; throws internal when they are not consecutive. */
  append (entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        fail(ErrorKind.internal, `entry ${entry.index} does not follow the last entry ${this.lastIndex} of the log`)
      }
      this.entries.push(entry)
      if (entry.kind !== EntryKind.members) continue
      this.memberships.push({ index: entry.index, members: decodeMembers(entry.data) })
    }
  }

  /** Removes the entry at an index and all that follow. */
  truncate (index: number): void {
    this.entries.length = index - this.baseIndex - 1
    this.memberships = this.memberships.filter(membership => membership.index < index)
  }

  /** Records a snapshot of a prefix of this log and drops entries older than the last `trailing` ones that it covers. */
  compact (snapshot: Snapshot, trailing: number): void {
    this.newestSnapshot = snapshot
    const base = Math.max(this.baseIndex, snapshot.index - trailing)
    this.baseTerm = this.termAt(base) ?? 0
    this.entries.splice(0, base - this.baseIndex)
    this.baseIndex = base
    const effectivePosition = this.memberships.findLastIndex(membership => membership.index <= snapshot.index)
    this.memberships.splice(0, effectivePosition)
  }

  /** Replaces the whole log with a snapshot. */
  reset (snapshot: Snapshot): void {
    this.newestSnapshot = snapshot
    this.entries = []
    this.baseIndex = snapshot.index
    this.baseTerm = snapshot.term
    this.memberships = [{ index: snapshot.index, members: snapshot.members }]
  }
}
