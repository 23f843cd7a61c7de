/**
 * The log in memory: the newest snapshot, the entries after it and a few before
 * it for followers that lag, and the membership that each prefix stands for.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { EntryKind, type Entry, type Member, type Snapshot } from '../../types/raft.js'
import { decodeMembers } from './members.js'

interface Configuration {
  index: number
  members: Member[]
}

export interface LogContent {
  /** Membership before the first entry. */
  members: Member[]
  snapshot?: Snapshot
  entries: Entry[]
}

export class RaftLog {
  private entries: Entry[] = []
  /** Index and term just before the first entry kept. */
  private baseIndex = 0
  private baseTerm = 0
  private configurations: Configuration[]
  private newest: Snapshot | undefined

  private constructor (members: Member[]) {
    this.configurations = [{ index: 0, members }]
  }

  static create (content: LogContent): RaftLog {
    const log = new RaftLog(content.members)
    if (content.snapshot !== undefined) log.reset(content.snapshot)
    log.append(content.entries)
    return log
  }

  get snapshot (): Snapshot | undefined {
    return this.newest
  }

  get lastIndex (): number {
    return this.baseIndex + this.entries.length
  }

  get lastTerm (): number {
    return this.termAt(this.lastIndex) ?? 0
  }

  /** Lowest index whose entry is kept. */
  get firstIndex (): number {
    return this.baseIndex + 1
  }

  /** Newest membership in the log, committed or not. */
  get members (): Member[] {
    return this.configurations[this.configurations.length - 1].members
  }

  /** Index of the entry that set the newest membership. */
  get membersIndex (): number {
    return this.configurations[this.configurations.length - 1].index
  }

  membersAt (index: number): Member[] {
    const found = this.configurations.findLast(configuration => configuration.index <= index)
    return found?.members ?? []
  }

  /** Sets the membership before the first entry, when the group is formed. */
  form (members: Member[]): void {
    this.configurations = [{ index: 0, members }]
  }

  /** Term of an entry; undefined when the log does not hold it. */
  termAt (index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm
    return this.entryAt(index)?.term
  }

  entryAt (index: number): Entry | undefined {
    return this.entries[index - this.baseIndex - 1]
  }

  /** Entries from an index on, at least one if there is any, up to a number of bytes. */
  slice (from: number, maxBytes: number): Entry[] {
    const found: Entry[] = []
    let bytes = 0
    for (let index = from; index <= this.lastIndex; index++) {
      const entry = this.entries[index - this.baseIndex - 1]
      bytes += entry.data.length
      if (found.length > 0 && bytes > maxBytes) break
      found.push(entry)
    }
    return found
  }

  append (entries: readonly Entry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        fail(ErrorKind.internal, `entry ${entry.index} does not follow ${this.lastIndex}`)
      }
      this.entries.push(entry)
      if (entry.kind !== EntryKind.members) continue
      this.configurations.push({ index: entry.index, members: decodeMembers(entry.data) })
    }
  }

  /** Removes the entries from an index on. */
  truncate (index: number): void {
    this.entries.length = index - this.baseIndex - 1
    this.configurations = this.configurations.filter(configuration => configuration.index < index)
  }

  /** Takes a snapshot of a prefix of this log and drops what is older than `trailing` entries before it. */
  compact (snapshot: Snapshot, trailing: number): void {
    this.newest = snapshot
    const base = Math.max(this.baseIndex, snapshot.index - trailing)
    this.baseTerm = this.termAt(base) ?? 0
    this.entries.splice(0, base - this.baseIndex)
    this.baseIndex = base
    const inForce = this.configurations.findLastIndex(configuration => configuration.index <= snapshot.index)
    this.configurations.splice(0, inForce)
  }

  /** Replaces the whole log by a snapshot. */
  reset (snapshot: Snapshot): void {
    this.newest = snapshot
    this.entries = []
    this.baseIndex = snapshot.index
    this.baseTerm = snapshot.term
    this.configurations = [{ index: snapshot.index, members: snapshot.members }]
  }
}
