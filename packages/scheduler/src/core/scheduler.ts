/**
 * The scheduler: the replicated state, the components that decide, and one entry
 * point that takes an event and the time. It does no input or output and has no
 * clock and no random source.
 */

import type { Decision } from '../types/decisions.js'
import type { Effect } from '../types/effects.js'
import type { Event, EventKind } from '../types/events.js'
import { createClusterState, type ClusterState } from '../types/state.js'
import { applyDecision } from './apply-decision.js'
import type { Component } from './component.js'
import { Step } from './step.js'

/** Result of one event; effects must be released only after the decisions are committed. */
export interface StepResult {
  decisions: Decision[]
  effects: Effect[]
}

/** Largest number of rounds in which components act on each other's decisions within one step. */
const RECONCILE_ROUNDS_MAX = 4

export class Scheduler {
  private readonly handlersByKind = new Map<EventKind, Component[]>()
  /** Cluster time in milliseconds of the current step; does not decrease within one term. */
  private time = 0

  private constructor (
    private readonly components: readonly Component[],
    private current: ClusterState
  ) {
    for (const component of components) {
      for (const kind of component.handledKinds) {
        const handlers = this.handlersByKind.get(kind)
        if (handlers === undefined) this.handlersByKind.set(kind, [component])
        else handlers.push(component)
      }
    }
  }

  static create (components: readonly Component[], state: ClusterState = createClusterState()): Scheduler {
    return new Scheduler(components, state)
  }

  get state (): ClusterState {
    return this.current
  }

  /** Applies a committed decision while another replica leads. */
  apply (decision: Decision): void {
    applyDecision(this.current, decision)
  }

  /** Replaces the state by that of a snapshot. */
  restore (state: ClusterState): void {
    this.current = state
  }

  /** Starts to make decisions, based on the state after the log was applied; `now` is the cluster time in milliseconds. */
  startLeading (now: number): void {
    this.time = now
    for (const component of this.components) component.reset(this.current, now)
  }

  /** Handles one event at a cluster time in milliseconds; a time before the previous one counts as the previous one. */
  handle (event: Event, now: number): StepResult {
    this.time = Math.max(this.time, now)
    const step = Step.create(this.current, this.time, decision => { this.applyAndNotify(decision) })
    if (event.kind === 'tick') {
      for (const component of this.components) component.tick(step)
    } else {
      for (const component of this.handlersByKind.get(event.kind) ?? []) component.handle(event, step)
    }
    this.reconcile(step)
    return { decisions: step.decisions, effects: step.effects }
  }

  private reconcile (step: Step): void {
    for (let round = 0; round < RECONCILE_ROUNDS_MAX; round++) {
      const before = step.decisions.length
      for (const component of this.components) component.reconcile(step)
      if (step.decisions.length === before) return
    }
  }

  private applyAndNotify (decision: Decision): void {
    applyDecision(this.current, decision)
    for (const component of this.components) component.observe(decision, this.current, this.time)
  }
}
