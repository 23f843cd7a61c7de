/**
 * What the runtime tells whoever keeps the metrics of a process.
 */

import type { ClusterState, Decision, OutcomeKind, Urgency } from '@flamingorouter/scheduler'

export abstract class Measures {
  /** One event that the scheduler handled. */
  abstract recordStep (event: string, durationMs: number): void
  /** An entry of the log was committed, so many milliseconds after its proposal. */
  abstract recordCommit (durationMs: number): void
  /** Decisions of the leader, just applied to `state`; `now` is the cluster time in milliseconds. */
  abstract recordDecisions (decisions: readonly Decision[], state: ClusterState, now: number): void
  /** A request that got its runner. */
  abstract recordRequestWait (urgency: Urgency, durationMs: number): void
  /** A request that is over. */
  abstract recordRequest (urgency: Urgency, outcome: OutcomeKind, durationMs: number): void
}
