/**
 * The scheduler: durable state, the parts that decide, and one entry point that
 * takes an event and the time. It has no clock, no input or output and no random
 * source of its own.
 */

import type { Decision } from '../types/decisions.js'
import type { Effect } from '../types/effects.js'
import type { Event, EventKind } from '../types/events.js'
import { createClusterState, type ClusterState } from '../types/state.js'
import { applyDecision } from './apply.js'
import type { Part } from './part.js'
import { Step } from './step.js'

/** What one event led to; effects wait until the decisions are committed. */
export interface StepResult {
  decisions: Decision[]
  effects: Effect[]
}

/** Most rounds in which parts act on each other's decisions within one step. */
const SETTLE_ROUNDS = 4

export class Scheduler {
  private readonly byEvent = new Map<EventKind, Part[]>()
  private time = 0

  private constructor (
    private readonly parts: readonly Part[],
    private current: ClusterState
  ) {
    for (const part of parts) {
      for (const kind of part.handles) {
        const handlers = this.byEvent.get(kind)
        if (handlers === undefined) this.byEvent.set(kind, [part])
        else handlers.push(part)
      }
    }
  }

  static create (parts: readonly Part[], state: ClusterState = createClusterState()): Scheduler {
    return new Scheduler(parts, state)
  }

  get state (): ClusterState {
    return this.current
  }

  /** Follows the log while another replica leads. */
  apply (decision: Decision): void {
    applyDecision(this.current, decision)
  }

  /** Replaces the state by a restored snapshot. */
  restore (state: ClusterState): void {
    this.current = state
  }

  /** Starts to decide, from the state that the log led to. */
  lead (now: number): void {
    this.time = now
    for (const part of this.parts) part.reset(this.current, now)
  }

  handle (event: Event, now: number): StepResult {
    this.time = Math.max(this.time, now)
    const step = Step.create(this.current, this.time, decision => { this.decided(decision) })
    if (event.kind === 'tick') {
      for (const part of this.parts) part.tick(step)
    } else {
      for (const part of this.byEvent.get(event.kind) ?? []) part.handle(event, step)
    }
    this.settle(step)
    return { decisions: step.decisions, effects: step.effects }
  }

  private settle (step: Step): void {
    for (let round = 0; round < SETTLE_ROUNDS; round++) {
      const before = step.decisions.length
      for (const part of this.parts) part.settle(step)
      if (step.decisions.length === before) return
    }
  }

  private decided (decision: Decision): void {
    applyDecision(this.current, decision)
    for (const part of this.parts) part.observe(decision, this.current, this.time)
  }
}
