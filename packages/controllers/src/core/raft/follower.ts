/**
 * The follower's side: accepting entries and snapshots of a leader, and the
 * vote hold-off. A follower grants no vote for one election timeout after contact
 * with a leader, except in a leadership transfer; the leader's lease depends on this.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { AppendRequest, LogEntry, Snapshot, SnapshotRequest } from '../../types/raft.js'
import type { RaftState } from './raft-state.js'

interface SnapshotDownload {
  from: string
  term: number
  index: number
  chunks: Uint8Array[]
  /** Bytes received so far. */
  bytes: number
}

export class Follower {
  /**
   * Time of the last message of a leader. Initially the start time, because the
   * replica may have been in contact with a leader just before a restart.
   */
  private leaderContactAt: number
  private electionDueAt: number
  /** Highest index known to match the log of the leader of `matchTerm`. */
  private matchIndex = 0
  private matchTerm = -1
  /** Sender and send time of the leader's last request; acknowledgements go to the sender and echo the time. */
  private lastRequest = { to: '', toDisk: '', sentAt: 0 }
  private download: SnapshotDownload | undefined

  private constructor (
    private readonly state: RaftState,
    private readonly onSnapshotInstalled: (snapshot: Snapshot) => void,
    now: number
  ) {
    this.leaderContactAt = now
    this.electionDueAt = now + state.drawElectionTimeoutMs()
  }

  /** Calls `onSnapshotInstalled` with each snapshot that replaces the log. `now` is in milliseconds. */
  static create (state: RaftState, onSnapshotInstalled: (snapshot: Snapshot) => void, now: number): Follower {
    return new Follower(state, onSnapshotInstalled, now)
  }

  /** True within one election timeout of the last contact with a leader; votes are withheld during that time. */
  hasRecentLeaderContact (now: number): boolean {
    return now - this.leaderContactAt < this.state.timing.electionMs
  }

  /** Time since the last contact with a leader, in milliseconds. */
  leaderSilentMs (now: number): number {
    return now - this.leaderContactAt
  }

  isElectionDue (now: number): boolean {
    return now >= this.electionDueAt
  }

  restartElectionTimer (now: number): void {
    this.electionDueAt = now + this.state.drawElectionTimeoutMs()
  }

  /** Records contact with the leader of the current term and restarts the election timer. */
  handleLeaderContact (leader: string, now: number): void {
    this.state.leader = leader
    this.leaderContactAt = now
    this.restartElectionTimer(now)
    if (this.matchTerm === this.state.term) return
    this.matchTerm = this.state.term
    this.matchIndex = this.state.commitIndex
  }

  /** Stores the entries of a request and acknowledges what is durable, or rejects it with an index to retry from. */
  handleAppend (from: string, request: AppendRequest): void {
    const { state } = this
    this.lastRequest = { to: from, toDisk: request.disk, sentAt: request.sentAt }
    const lastIndex = request.previousIndex + request.entries.length
    if (!this.hasMatchingPrevious(request)) return this.rejectAppend(request)
    this.storeEntries(request.entries)
    this.matchIndex = Math.max(this.matchIndex, lastIndex)
    state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex, this.matchIndex))
    this.acknowledge()
  }

  /** Acknowledges entries that became durable after the request that carried them was answered. */
  acknowledgeSynced (): void {
    if (this.lastRequest.to !== '' && this.matchTerm === this.state.term) this.acknowledge()
  }

  /**
   * Stores one chunk of a snapshot and installs the snapshot when it is complete.
   * A chunk at an unexpected offset is dropped; the answer names the offset to
   * continue from. A snapshot of entries that are in the log or committed here already is only
   * acknowledged.
   */
  handleSnapshotChunk (from: string, request: SnapshotRequest): void {
    const { state } = this
    this.lastRequest = { to: from, toDisk: request.disk, sentAt: request.sentAt }
    // Raft paper, section 7: a log that contains the last entry of the snapshot is kept. The chunk is late, and entries
    // after that one may be acknowledged and committed.
    if (state.log.termAt(request.index) === request.lastTerm) state.commitIndex = Math.max(state.commitIndex, request.index)
    if (request.index <= state.commitIndex) {
      this.matchIndex = Math.max(this.matchIndex, state.commitIndex)
      return this.acknowledge()
    }
    const download = this.findOrStartDownload(from, request)
    if (request.offset === download.bytes) {
      download.chunks.push(request.data)
      download.bytes += request.data.length
    }
    if (download.bytes < request.totalBytes) {
      state.send(from, request.disk, {
        kind: 'snapshotAnswer', index: request.index, offset: download.bytes, sentAt: request.sentAt
      })
      return
    }
    this.download = undefined
    this.installSnapshot({
      index: request.index, term: request.lastTerm, members: request.members, data: Buffer.concat(download.chunks)
    })
    this.acknowledge()
  }

  /** Returns the download in progress, or starts a new one if the snapshot, its sender or the term changed. */
  private findOrStartDownload (from: string, request: SnapshotRequest): SnapshotDownload {
    const { download } = this
    if (download?.from === from && download.term === request.term && download.index === request.index) return download
    const started: SnapshotDownload = { from, term: request.term, index: request.index, chunks: [], bytes: 0 }
    this.download = started
    return started
  }

  private installSnapshot (snapshot: Snapshot): void {
    const { state } = this
    state.log.reset(snapshot)
    state.durableIndex = 0
    state.saveSnapshot(snapshot, false)
    state.commitIndex = snapshot.index
    this.matchIndex = snapshot.index
    this.onSnapshotInstalled(snapshot)
  }

  /** The log matching check of the Raft paper; committed entries always match. */
  private hasMatchingPrevious (request: AppendRequest): boolean {
    const { log, commitIndex } = this.state
    if (request.previousIndex <= commitIndex) return true
    return log.termAt(request.previousIndex) === request.previousTerm
  }

  /**
   * Appends the entries that are missing from the log and replaces conflicting
   * ones. Throws dataLoss when a committed entry conflicts.
   */
  private storeEntries (entries: readonly LogEntry[]): void {
    const { state } = this
    const firstNew = entries.findIndex(entry => entry.index >= state.log.firstIndex &&
      state.log.termAt(entry.index) !== entry.term)
    if (firstNew < 0) return
    const newEntries = entries.slice(firstNew)
    if (newEntries[0].index > state.log.lastIndex) return state.append(newEntries)
    if (newEntries[0].index <= state.commitIndex) fail(ErrorKind.dataLoss, `committed entry ${newEntries[0].index} conflicts with the log of the leader`)
    state.replaceSuffix(newEntries)
  }

  private acknowledge (): void {
    const { state, lastRequest: answered } = this
    const index = Math.min(this.matchIndex, state.durableIndex)
    state.send(answered.to, answered.toDisk, {
      kind: 'appendAnswer', accepted: true, index, refusedIndex: 0, sentAt: answered.sentAt
    })
  }

  private rejectAppend (request: AppendRequest): void {
    const { state } = this
    state.send(this.lastRequest.to, this.lastRequest.toDisk, {
      kind: 'appendAnswer',
      accepted: false,
      index: this.findRetryIndex(request.previousIndex),
      refusedIndex: request.previousIndex,
      sentAt: request.sentAt
    })
  }

  /** Highest index that may match the leader: skips all entries of the conflicting term at once. */
  private findRetryIndex (index: number): number {
    const { log, commitIndex } = this.state
    if (index > log.lastIndex) return log.lastIndex
    const term = log.termAt(index)
    let retryIndex = index - 1
    while (retryIndex > commitIndex && log.termAt(retryIndex) === term) retryIndex -= 1
    return Math.max(retryIndex, commitIndex)
  }
}
