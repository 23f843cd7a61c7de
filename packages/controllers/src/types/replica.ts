/**
 * Interface of the replicated log to the rest of the program.
 */

import type { Failure } from '@flamingorouter/scheduler'

export interface MemberFacts {
  id: string
  /** host:port of the control port. */
  address: string
  availabilityZone: string
  role: 'voter' | 'learner'
}

/** Callbacks by which a replica drives the replicated state of its owner. They run on one event loop, never concurrently. */
export interface ReplicaOwner {
  /**
   * Applies a committed entry that an owner proposed; no-op entries and memberships
   * are not passed on. Called in index order, once per entry after each
   * `restoreSnapshot` or process start. `isOwn` is true when this process proposed the entry in its
   * current leadership, in which case its decisions are applied already.
   */
  applyEntry: (index: number, entry: Uint8Array, isOwn: boolean) => void
  /**
   * Replaces the whole state with a snapshot; the entries after it follow. Index 0
   * with no bytes stands for the empty state.
   */
  restoreSnapshot: (index: number, snapshot: Uint8Array) => void
  /** Called when this process leads and every entry of earlier terms is committed and applied. */
  startLeading: (term: number) => void
  /**
   * Called when this process no longer leads; `leader` is the id of the new leader,
   * empty if unknown. The owner's state still contains uncommitted decisions, so the
   * replica then calls `restoreSnapshot` to replace it, and `applyEntry` again for
   * each committed entry after the snapshot, unless a fault has stopped the replica.
   */
  stopLeading: (leader: string) => void
  /**
   * Encodes the state as of the last entry applied or, while leading, proposed.
   * Called from `tick` only; every decision made by then must have been proposed.
   * The replica does not use the result until that entry is committed.
   */
  encodeSnapshot: () => Uint8Array
  /** Called when this process starts an election since no leader has sent anything for `leaderSilentMs`; for the log only. */
  startElection?: (term: number, leaderSilentMs: number) => void
  /** Called when the disk or a consistency check failed; the replica stops until the process restarts. */
  handleFault?: (failure: Failure) => void
}

export interface ReplicaStatus {
  id: string
  term: number
  /** Also `learner` in a process that is not a member, and `follower` after a fault. */
  role: 'leader' | 'follower' | 'candidate' | 'learner'
  /** Id of the leader; empty when unknown. */
  leader: string
  commitIndex: number
  lastIndex: number
  members: MemberFacts[]
  /** Highest index known to be durable, by member id; empty unless this replica leads. */
  matchIndex: Record<string, number>
  /** Ids of the members that answered within the last election timeout, and of the leader; empty unless this replica leads. */
  responsiveMembers: string[]
  /** Reason why this replica stopped; empty while it participates. */
  fault: string
  /** Ids of the initial members that are still missing for the group to form; empty once it is formed. */
  missingInitialMembers: string[]
}
