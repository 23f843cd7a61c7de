/**
 * The measurements that the runtime reports to the metrics of a process.
 */

import type { MessageDrop } from '@flamingorouter/controllers'
import type { ClusterState, Decision, Effect, OutcomeKind, Urgency } from '@flamingorouter/scheduler'

export abstract class MetricsRecorder {
  /** Records that the scheduler handled an event of this kind, and how long that took. */
  abstract recordStep (event: string, durationMs: number): void
  /** Records the commit of a log entry, `durationMs` after its proposal. */
  abstract recordCommit (durationMs: number): void
  /** Records how late the event loop ran a timer. */
  abstract recordLoopDelay (durationMs: number): void
  /** Records decisions of the leader that were just applied to `state`; `now` is the cluster time in milliseconds. */
  abstract recordDecisions (decisions: readonly Decision[], state: ClusterState, now: number): void
  /** Records effects of the scheduler that operators need to know of; the others are ignored. */
  abstract recordEffects (effects: readonly Effect[]): void
  /** Records how long a request waited until a runner was granted to it. */
  abstract recordRequestWait (urgency: Urgency, durationMs: number): void
  /** Records a message between controllers that was dropped. */
  abstract recordMessageDrop (drop: MessageDrop): void
  /** Records a finished request. */
  abstract recordRequest (urgency: Urgency, outcome: OutcomeKind, durationMs: number): void
}
