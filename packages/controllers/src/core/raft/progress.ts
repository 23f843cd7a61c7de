/**
 * Replication progress of one member, as tracked by the leader.
 */

import type { RaftTiming, Snapshot } from '../../types/raft.js'

export interface SnapshotUpload {
  snapshot: Snapshot
  /** Bytes that the member has confirmed. */
  offset: number
  /** Bytes sent; those after `offset` are on their way. */
  sentOffset: number
  /** Time at which the last part of the snapshot was sent. */
  dataSentAt: number
}

export class Progress {
  /** Index of the next entry to send. */
  nextIndex: number
  /** Highest index that the member has acknowledged as durable. */
  matchIndex = 0
  /** True until the member has confirmed where its log matches; after that, entries are pipelined. */
  isProbing = true
  /** Time of the last answer; initially the time of creation. */
  lastAnswerAt: number
  /** Number of ticks of the leader since the last answer. */
  ticksSinceAnswer = 0
  /**
   * Latest send time, on the leader's clock, that an answer echoed. The member
   * cannot have started its vote hold-off earlier, so the lease counts from here.
   */
  leaseStartAt = -Infinity
  /** Disk identity that the member answers with. */
  disk: string
  /** Snapshot that is being sent instead of entries; undefined if none is. */
  upload: SnapshotUpload | undefined
  /** Bytes of entries sent and not yet acknowledged. */
  bytesInFlight = 0

  private constructor (disk: string, lastIndex: number, now: number) {
    this.disk = disk
    this.nextIndex = lastIndex + 1
    this.lastAnswerAt = now
  }

  static create (disk: string, lastIndex: number, now: number): Progress {
    return new Progress(disk, lastIndex, now)
  }

  /** Records an answer; `sentAt` is the send time of the request, which the answer echoes. */
  recordAnswer (sentAt: number, now: number): void {
    this.lastAnswerAt = now
    this.ticksSinceAnswer = 0
    this.leaseStartAt = Math.max(this.leaseStartAt, sentAt)
  }

  /**
   * True when the member has not answered for an election timeout. Ticks count as well as time: answers that arrive during
   * a long turn of the event loop are only read after it.
   */
  isSilent (now: number, { electionMs, heartbeatMs }: RaftTiming): boolean {
    return now - this.lastAnswerAt > electionMs && this.ticksSinceAnswer * heartbeatMs > electionMs
  }

  /**
   * Records that the member has received the first `offset` bytes of the snapshot, as it answered to a request of `sentAt`.
   * A link keeps the order of messages, so parts that the member does not have by then, though they were sent before that
   * request, are lost and have to be sent again. Parts that are only late are not.
   */
  recordReceivedBytes (offset: number, sentAt: number): void {
    const { upload } = this
    if (upload === undefined) return
    upload.offset = offset
    if (sentAt > upload.dataSentAt || offset > upload.sentOffset) upload.sentOffset = offset
  }

  /** Records that the member's log is durable up to `index`, which acknowledges `bytes` of entries. */
  recordAcceptance (index: number, bytes: number): void {
    this.bytesInFlight = Math.max(0, this.bytesInFlight - bytes)
    this.matchIndex = Math.max(this.matchIndex, index)
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1)
    this.isProbing = false
    if (this.upload !== undefined && this.upload.snapshot.index <= this.matchIndex) this.upload = undefined
  }

  /** Goes back to `index` after the member refused a request whose previous index was `refusedIndex`. */
  recordRefusal (refusedIndex: number, index: number): void {
    // Ignores a late refusal of entries that the member has accepted since.
    if (refusedIndex <= this.matchIndex) return
    this.nextIndex = Math.max(this.matchIndex, Math.min(index, refusedIndex - 1)) + 1
    this.isProbing = true
    this.bytesInFlight = 0
  }

  /**
   * Probes a silent member again, because pipelined entries may be lost. Before the member has acknowledged any entry,
   * the end of the leader's log at the start of the term remains the better guess; a refusal corrects it.
   */
  restartProbe (): void {
    this.isProbing = true
    this.bytesInFlight = 0
    if (this.matchIndex > 0) this.nextIndex = this.matchIndex + 1
  }
}
