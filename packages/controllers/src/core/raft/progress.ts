/**
 * What a leader knows of one member.
 */

import type { Snapshot } from '../../types/raft.js'

export interface Upload {
  snapshot: Snapshot
  offset: number
}

export class Progress {
  /** Next index to send. */
  nextIndex: number
  /** Highest index that is durable at the member. */
  matchIndex = 0
  /** True until the member has confirmed where its log agrees; then entries are sent ahead of answers. */
  isProbing = true
  /** Time of the last answer. */
  contactAt: number
  /** Highest time of this leader's clock that an answer echoed: the start of the member's promise. */
  promisedAt = -Infinity
  /** Disk that the member answers under. */
  disk: string
  upload: Upload | undefined
  /** Time of the last message to the member. */
  sentAt = -Infinity
  /** Bytes of entries sent ahead of answers. */
  bytesInFlight = 0

  private constructor (disk: string, lastIndex: number, now: number) {
    this.disk = disk
    this.nextIndex = lastIndex + 1
    this.contactAt = now
  }

  static create (disk: string, lastIndex: number, now: number): Progress {
    return new Progress(disk, lastIndex, now)
  }

  contacted (sentAt: number, now: number): void {
    this.contactAt = now
    this.promisedAt = Math.max(this.promisedAt, sentAt)
  }

  /** The member holds the log up to an index; `bytes` of entries are answered by that. */
  accepted (index: number, bytes: number): void {
    this.bytesInFlight = Math.max(0, this.bytesInFlight - bytes)
    this.matchIndex = Math.max(this.matchIndex, index)
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1)
    this.isProbing = false
    if (this.upload !== undefined && this.upload.snapshot.index <= this.matchIndex) this.upload = undefined
  }

  refused (refusedIndex: number, index: number): void {
    // A late refusal of what has been accepted since means nothing.
    if (refusedIndex <= this.matchIndex) return
    this.nextIndex = Math.max(this.matchIndex, Math.min(index, refusedIndex - 1)) + 1
    this.isProbing = true
    this.bytesInFlight = 0
  }

  /** The member was silent; what was sent ahead may be lost. */
  restartProbe (): void {
    this.isProbing = true
    this.bytesInFlight = 0
    this.nextIndex = this.matchIndex + 1
  }
}
