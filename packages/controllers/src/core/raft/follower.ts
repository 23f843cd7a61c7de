/**
 * The follower's side: accepting entries and snapshots of a leader, and the
 * promise not to help another candidate for one election timeout after hearing
 * from the leader, on which the leader's lease rests.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { AppendRequest, Entry, Snapshot, SnapshotRequest } from '../../types/raft.js'
import type { RaftState } from './state.js'

interface Download {
  from: string
  term: number
  index: number
  parts: Uint8Array[]
  bytes: number
}

export class Follower {
  /** Time of the last message of a leader. A replica that just started may have promised something before. */
  private contactAt: number
  private electionAt: number
  /** Highest index known to agree with the leader of this term. */
  private agreedIndex = 0
  private agreedTerm = -1
  private answered = { to: '', toDisk: '', sentAt: 0 }
  private download: Download | undefined

  private constructor (
    private readonly state: RaftState,
    private readonly install: (snapshot: Snapshot) => void,
    now: number
  ) {
    this.contactAt = now
    this.electionAt = now + state.electionTimeout()
  }

  /** `install` is called with each snapshot that replaces the log. */
  static create (state: RaftState, install: (snapshot: Snapshot) => void, now: number): Follower {
    return new Follower(state, install, now)
  }

  /** True while the promise to the last leader holds. */
  isBound (now: number): boolean {
    return now - this.contactAt < this.state.timing.electionMs
  }

  isElectionDue (now: number): boolean {
    return now >= this.electionAt
  }

  restartElectionTimer (now: number): void {
    this.electionAt = now + this.state.electionTimeout()
  }

  /** A leader of the present term was heard. */
  heard (leader: string, now: number): void {
    this.state.leader = leader
    this.contactAt = now
    this.restartElectionTimer(now)
    if (this.agreedTerm === this.state.term) return
    this.agreedTerm = this.state.term
    this.agreedIndex = this.state.commitIndex
  }

  append (from: string, request: AppendRequest): void {
    const { state } = this
    this.answered = { to: from, toDisk: request.disk, sentAt: request.sentAt }
    const last = request.previousIndex + request.entries.length
    if (!this.isConnected(request)) return this.refuse(request)
    this.store(request.entries)
    this.agreedIndex = Math.max(this.agreedIndex, last)
    state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex, this.agreedIndex))
    this.answer()
  }

  /** More entries became durable; the leader has to know. */
  synced (): void {
    if (this.answered.to !== '' && this.agreedTerm === this.state.term) this.answer()
  }

  /** Takes one part of a snapshot, and installs it when it is whole. */
  receiveSnapshot (from: string, request: SnapshotRequest): void {
    const { state } = this
    this.answered = { to: from, toDisk: request.disk, sentAt: request.sentAt }
    if (request.index <= state.commitIndex) {
      this.agreedIndex = Math.max(this.agreedIndex, state.commitIndex)
      return this.answer()
    }
    const download = this.downloadFor(from, request)
    if (request.offset === download.bytes) {
      download.parts.push(request.data)
      download.bytes += request.data.length
    }
    if (download.bytes < request.totalBytes) {
      state.send(from, request.disk, {
        kind: 'snapshotAnswer', index: request.index, offset: download.bytes, sentAt: request.sentAt
      })
      return
    }
    this.download = undefined
    this.restore({
      index: request.index, term: request.lastTerm, members: request.members, data: Buffer.concat(download.parts)
    })
    this.answer()
  }

  private downloadFor (from: string, request: SnapshotRequest): Download {
    const { download } = this
    if (download?.from === from && download.term === request.term && download.index === request.index) return download
    const started: Download = { from, term: request.term, index: request.index, parts: [], bytes: 0 }
    this.download = started
    return started
  }

  private restore (snapshot: Snapshot): void {
    const { state } = this
    state.log.reset(snapshot)
    state.durableIndex = 0
    state.saveSnapshot(snapshot, false)
    state.commitIndex = snapshot.index
    this.agreedIndex = snapshot.index
    this.install(snapshot)
  }

  private isConnected (request: AppendRequest): boolean {
    const { log, commitIndex } = this.state
    if (request.previousIndex <= commitIndex) return true
    return log.termAt(request.previousIndex) === request.previousTerm
  }

  private store (entries: readonly Entry[]): void {
    const { state } = this
    const fresh = entries.findIndex(entry => entry.index >= state.log.firstIndex &&
      state.log.termAt(entry.index) !== entry.term)
    if (fresh < 0) return
    const rest = entries.slice(fresh)
    if (rest[0].index > state.log.lastIndex) return state.append(rest)
    if (rest[0].index <= state.commitIndex) fail(ErrorKind.dataLoss, `committed entry ${rest[0].index} would change`)
    state.replace(rest)
  }

  private answer (): void {
    const { state, answered } = this
    const index = Math.min(this.agreedIndex, state.durableIndex)
    state.send(answered.to, answered.toDisk, {
      kind: 'appendAnswer', accepted: true, index, refusedIndex: 0, sentAt: answered.sentAt
    })
  }

  private refuse (request: AppendRequest): void {
    const { state } = this
    state.send(this.answered.to, this.answered.toDisk, {
      kind: 'appendAnswer',
      accepted: false,
      index: this.goBack(request.previousIndex),
      refusedIndex: request.previousIndex,
      sentAt: request.sentAt
    })
  }

  /** The highest index that may agree: before the whole run of a term that does not. */
  private goBack (index: number): number {
    const { log, commitIndex } = this.state
    if (index > log.lastIndex) return log.lastIndex
    const term = log.termAt(index)
    let back = index - 1
    while (back > commitIndex && log.termAt(back) === term) back -= 1
    return Math.max(back, commitIndex)
  }
}
