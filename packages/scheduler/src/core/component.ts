/**
 * A component of the scheduler: it handles some kinds of event and maintains
 * indexes that are not durable. Components interact through the replicated state and
 * the decisions that they observe; the few tables and functions that some of them
 * share are passed to them when they are created.
 */

import type { Decision } from '../types/decisions.js'
import type { Event, EventKind } from '../types/events.js'
import type { ClusterState } from '../types/state.js'
import type { Step } from './step.js'

export abstract class Component {
  /** Kinds of event that this component handles. Components that share a kind are called in the order of the list of components. */
  abstract readonly handledKinds: readonly EventKind[]

  /** Rebuilds the indexes when this replica becomes the leader; `now` is the cluster time in milliseconds. */
  abstract reset (state: ClusterState, now: number): void

  /** Handles an event of one of the `handledKinds`. */
  abstract handle (event: Event, step: Step): void

  /** Called with each decision of any component after it was applied. */
  observe (_decision: Decision, _state: ClusterState, _now: number): void {}

  /** Acts on the decisions observed. Called after each event, and again, up to a limit, as long as any component decides something. */
  reconcile (_step: Step): void {}

  /** Acts on the passage of time, such as timeouts; called for each `tick` event. */
  tick (_step: Step): void {}
}
