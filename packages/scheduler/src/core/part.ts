/**
 * A part of the scheduler: it handles some kinds of event and keeps indexes that
 * are not durable. Parts meet only in the durable state and in the decisions
 * that they observe.
 */

import type { Decision } from '../types/decisions.js'
import type { Event, EventKind } from '../types/events.js'
import type { ClusterState } from '../types/state.js'
import type { Step } from './step.js'

export abstract class Part {
  /** Kinds of event that are given to this part, after the parts before it. */
  abstract readonly handles: readonly EventKind[]

  /** Builds the indexes anew when this replica starts to lead. */
  abstract reset (state: ClusterState, now: number): void

  /** Handles one event of its kinds. */
  abstract handle (event: Event, step: Step): void

  /** Told of each decision, of any part, after it was applied. */
  observe (_decision: Decision, _state: ClusterState, _now: number): void {}

  /** Called after each event, and again while any part decides, so that a part can act on what it observed. */
  settle (_step: Step): void {}

  /** Called at each tick. */
  tick (_step: Step): void {}
}
