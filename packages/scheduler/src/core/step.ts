/**
 * One step of the scheduler: the time of an event, and the decisions and effects
 * that result from it.
 */

import type { Answer } from '../types/answers.js'
import type { Decision } from '../types/decisions.js'
import type { Effect } from '../types/effects.js'
import type { Command } from '../types/events.js'
import type { ClusterState } from '../types/state.js'
import type { TargetState } from '../types/targets.js'
import type { ErrorKind } from '../utils/errors.js'

export class Step {
  readonly decisions: Decision[] = []
  readonly effects: Effect[] = []

  private constructor (
    readonly state: ClusterState,
    /** Cluster time in milliseconds; does not decrease within one term. */
    readonly now: number,
    private readonly onDecision: (decision: Decision) => void
  ) {}

  static create (state: ClusterState, now: number, onDecision: (decision: Decision) => void): Step {
    return new Step(state, now, onDecision)
  }

  /** Applies a decision to the state immediately and adds it to the decisions for the log. */
  decide (decision: Decision): void {
    this.decisions.push(decision)
    this.onDecision(decision)
  }

  reply (call: number, answer: Answer): void {
    this.effects.push({ kind: 'reply', call, answer })
  }

  refuse (call: number, error: ErrorKind, message: string, retryAfterMs = 0): void {
    this.effects.push({ kind: 'refuse', call, error, message, retryAfterMs })
  }

  command (entry: string, target: TargetState, commands: Command[]): void {
    this.effects.push({
      kind: 'command',
      entry,
      target: target.name,
      address: target.address,
      session: target.session,
      fence: target.fence,
      commands
    })
  }
}
