/**
 * Stored state and messages of the replicated log. The terms are those of Ongaro
 * and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
 * of Ongaro's thesis.
 */

import type { MemberFacts } from './replica.js'

/** Kinds of log entries: the empty one that starts a leader's term, one that the owner proposed, and a new membership. */
export const EntryKind = Object.freeze({ noop: 0, data: 1, members: 2 } as const)
export type EntryKind = typeof EntryKind[keyof typeof EntryKind]

export interface LogEntry {
  index: number
  term: number
  kind: EntryKind
  data: Uint8Array
}

/** A member and the disk identity that it is bound to, which is empty for a learner. */
export interface Member extends MemberFacts {
  disk: string
}

/** The encoded state up to an index, with the membership in force at that index. */
export interface Snapshot {
  index: number
  term: number
  members: Member[]
  data: Uint8Array
}

/** The state besides the log that must be durable before a replica answers messages. */
export interface HardState {
  group: string
  id: string
  /**
   * Random identity of the data folder, called the disk identity. A member that lost
   * its data gets a new one, so that its votes and acknowledgements no longer count.
   */
  disk: string
  term: number
  /** Candidate that received this replica's vote in this term, as `id/disk`; empty if none. */
  vote: string
  /** Membership before the first log entry; empty until the group is formed. */
  members: Member[]
  /** Disk identity of each initial member, by member id, as this replica first received it. */
  disks: Record<string, string>
}

export interface RaftTiming {
  /** Interval of a leader's heartbeats, in milliseconds. */
  heartbeatMs: number
  /** Shortest election timeout, in milliseconds; the longest is twice as long. */
  electionMs: number
  /** Largest drift between two clocks within one election timeout, in milliseconds. */
  driftMs: number
}

interface Envelope {
  term: number
  /** Disk identity of the sender. */
  disk: string
  /** Disk identity of the intended receiver; empty for any. */
  toDisk: string
}

/** Requests a vote or, with `pre`, asks whether one would be granted. */
export interface VoteRequest extends Envelope {
  kind: 'voteRequest'
  pre: boolean
  /** True when the leader initiated this election, for a leadership transfer. */
  transfer: boolean
  lastIndex: number
  lastTerm: number
}

/** Answers a vote request with the same `pre`. */
export interface VoteAnswer extends Envelope {
  kind: 'voteAnswer'
  pre: boolean
  granted: boolean
}

export interface AppendRequest extends Envelope {
  kind: 'appendRequest'
  previousIndex: number
  previousTerm: number
  entries: LogEntry[]
  commitIndex: number
  /** Time of sending on the leader's clock, in milliseconds; the answer echoes it. */
  sentAt: number
}

export interface AppendAnswer extends Envelope {
  kind: 'appendAnswer'
  accepted: boolean
  /** If accepted, the highest index that matches the leader and is durable; otherwise the highest index that may match it. */
  index: number
  /** Previous index of the refused request; 0 if accepted. */
  refusedIndex: number
  sentAt: number
}

/** One chunk of a snapshot. */
export interface SnapshotRequest extends Envelope {
  kind: 'snapshotRequest'
  index: number
  lastTerm: number
  members: Member[]
  offset: number
  totalBytes: number
  data: Uint8Array
  sentAt: number
}

export interface SnapshotAnswer extends Envelope {
  kind: 'snapshotAnswer'
  index: number
  /** Bytes received so far. */
  offset: number
  sentAt: number
}

/** Tells the receiver to start an election at once. */
export interface TimeoutNow extends Envelope {
  kind: 'timeoutNow'
}

/** Exchanged between the initial members until the group is formed. */
export interface Greeting extends Envelope {
  kind: 'greeting'
  /** True when the sender has formed the group already. */
  formed: boolean
  /** Disk identity to which the sender has bound each initial member, by member id. */
  disks: Record<string, string>
}

export type Message = VoteRequest | VoteAnswer | AppendRequest | AppendAnswer |
  SnapshotRequest | SnapshotAnswer | TimeoutNow | Greeting

/** Why a message between controllers was neither sent nor processed. */
export const DropReason = Object.freeze({
  /** No link to the receiver is open, or its send buffer is full. */
  noLink: 'noLink',
  /** The sender of an answer is not a member. */
  notMember: 'notMember',
  /** The sender answers or asks for a vote under another disk identity than the membership binds its id to. */
  senderDisk: 'senderDisk',
  /** The message is addressed to another disk identity than the receiver's. */
  receiverDisk: 'receiverDisk'
} as const)
export type DropReason = typeof DropReason[keyof typeof DropReason]

/** A message that was dropped; `peer` is the id of the controller at the other end. */
export interface MessageDrop {
  peer: string
  kind: Message['kind']
  reason: DropReason
}

/** A message without the envelope fields common to all messages. */
export type MessageBody = Message extends infer M ? M extends Message ? Omit<M, keyof Envelope> : never : never

/**
 * A write to make durable. When the write with a sequence number is durable, so are
 * all writes with lower ones. A snapshot with `keepLog` leaves the log from
 * `firstIndex` on in place; one without replaces the whole log.
 */
export type StorageWrite =
  | { kind: 'hardState', sequence: number, hardState: HardState }
  | { kind: 'append', sequence: number, entries: LogEntry[] }
  | { kind: 'snapshot', sequence: number, snapshot: Snapshot, keepLog: boolean, firstIndex: number }
