/**
 * The replicated log as the rest of the program sees it.
 */

import type { Failure } from '@flamingorouter/scheduler'

export interface MemberFacts {
  id: string
  /** host:port of the control port. */
  address: string
  availabilityZone: string
  role: 'voter' | 'learner'
}

/** What a replica tells its owner. All calls come from the one event loop. */
export interface ReplicaOwner {
  /**
   * A committed entry, in index order, exactly once per process start or reload.
   * `own` is true when this process proposed it in its present leadership, so
   * that its decisions are applied already.
   */
  committed: (index: number, entry: Uint8Array, own: boolean) => void
  /**
   * Replaces the whole state by a snapshot; entries after it follow. Index 0
   * with no bytes stands for the empty state.
   */
  restored: (index: number, snapshot: Uint8Array) => void
  /** This process leads, and every entry of earlier terms has been committed and delivered. */
  leading: (term: number) => void
  /**
   * This process leads no more. The owner drops its whole state, which holds
   * uncommitted decisions, for an empty one; the replica then delivers `restored`,
   * when there is a snapshot, and `committed` anew from the start of its log on.
   */
  following: (leader: string) => void
  /**
   * Encodes the state as of the last entry delivered or, while leading, proposed.
   * Called from `tick` only; all that was decided by then must have been proposed.
   * The replica keeps the result back until that entry is committed.
   */
  snapshot: () => Uint8Array
  /** The disk or a check failed: the replica takes no part any more until the process restarts. */
  faulted?: (failure: Failure) => void
}

export interface ReplicaStatus {
  id: string
  term: number
  role: 'leader' | 'follower' | 'candidate' | 'learner'
  leader: string
  commitIndex: number
  lastIndex: number
  members: MemberFacts[]
  /** Highest index known to be durable on each member; the leader only. */
  matchIndex: Record<string, number>
  /** Members that answered within an election timeout; the leader only. */
  heard: string[]
  /** Why this replica takes no part any more; empty while it does. */
  fault: string
  /** First members that the group waits for in order to form; empty once it is formed. */
  waitingFor: string[]
}
