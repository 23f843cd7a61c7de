/**
 * What the replicated log keeps and what its replicas tell each other. The
 * terms are those of Ongaro and Ousterhout, "In Search of an Understandable
 * Consensus Algorithm" (2014), and of Ongaro's thesis.
 */

import type { MemberFacts } from './replica.js'

export const EntryKind = Object.freeze({ noop: 0, data: 1, members: 2 } as const)
export type EntryKind = typeof EntryKind[keyof typeof EntryKind]

export interface Entry {
  index: number
  term: number
  kind: EntryKind
  data: Uint8Array
}

/** A member and the disk that it is bound to; a learner that has not answered yet has an empty one. */
export interface Member extends MemberFacts {
  disk: string
}

/** The state up to an index, with the membership in force there. */
export interface Snapshot {
  index: number
  term: number
  members: Member[]
  data: Uint8Array
}

/** What a replica must never forget, apart from its log. */
export interface HardState {
  group: string
  id: string
  /** Random identity of the data folder. */
  disk: string
  term: number
  /** Id and disk of the candidate that got the vote of this term, or empty. */
  vote: string
  /** Membership before the first entry; empty until the group was formed. */
  members: Member[]
  /** Disks of the first members as this replica first heard of them. */
  disks: Record<string, string>
}

export interface Timing {
  /** Milliseconds between heartbeats of a leader. */
  heartbeatMs: number
  /** Shortest election timeout in milliseconds; the longest is twice as long. */
  electionMs: number
  /** How far two clocks may drift apart within one election timeout, in milliseconds. */
  driftMs: number
}

interface Envelope {
  term: number
  /** Disk of the sender. */
  disk: string
  /** Disk that the message is meant for; empty for any. */
  toDisk: string
}

/** Asks for a vote or, with `pre`, whether one would be given. */
export interface VoteRequest extends Envelope {
  kind: 'voteRequest'
  pre: boolean
  /** The leader itself asked for this election. */
  transfer: boolean
  lastIndex: number
  lastTerm: number
}

export interface VoteAnswer extends Envelope {
  kind: 'voteAnswer'
  pre: boolean
  granted: boolean
}

export interface AppendRequest extends Envelope {
  kind: 'appendRequest'
  previousIndex: number
  previousTerm: number
  entries: Entry[]
  commitIndex: number
  /** Clock of the leader when it sent this, in milliseconds; echoed by the answer. */
  sentAt: number
}

export interface AppendAnswer extends Envelope {
  kind: 'appendAnswer'
  accepted: boolean
  /** Highest index that agrees with the leader and is durable; when refused, the index to go back to. */
  index: number
  /** The previous index of the refused request. */
  refusedIndex: number
  sentAt: number
}

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

/** Sent between the first members until the group is formed. */
export interface Greeting extends Envelope {
  kind: 'greeting'
  formed: boolean
  disks: Record<string, string>
}

export type Message = VoteRequest | VoteAnswer | AppendRequest | AppendAnswer |
  SnapshotRequest | SnapshotAnswer | TimeoutNow | Greeting

/** A message without the fields that every message has. */
export type Body = Message extends infer M ? M extends Message ? Omit<M, keyof Envelope> : never : never

/** What has to become durable, in order. */
export type Write =
  | { kind: 'hardState', sequence: number, hardState: HardState }
  | { kind: 'append', sequence: number, entries: Entry[] }
  | { kind: 'snapshot', sequence: number, snapshot: Snapshot, keepLog: boolean, firstIndex: number }
