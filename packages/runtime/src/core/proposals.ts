/**
 * Holds what the scheduler decided until the replicated log has it. Decisions of
 * one turn of the loop become one entry; an effect is released only when the
 * entry of its own step, and every entry before it, is committed.
 */

import { encodeValue, type Replica } from '@flamingorouter/controllers'
import type { Decision, Effect, StepResult } from '@flamingorouter/scheduler'
import { monotonicNow } from './clock.js'

/** Size over which the decisions of one turn become several entries, in bytes; far below that of a frame. */
const ENTRY_BYTES = 4 * 1024 * 1024

/** Decisions after which an entry is closed and the next one begun. */
const DECISIONS_PER_ENTRY = 512

interface Held {
  index: number
  /** Monotonic time in milliseconds. */
  proposedAt: number
  effects: Effect[]
}

/** Whom the proposals tell. */
export interface ProposalsOwner {
  /** The effect may be seen now. */
  release: (effect: Effect) => void
  failed: (thrown: unknown) => void
  /** An entry was committed, so many milliseconds after it was proposed. */
  committed: (durationMs: number) => void
}

export class Proposals {
  private decisions: Decision[] = []
  private effects: Effect[] = []
  /** Entries that are proposed and not yet committed, in index order. */
  private held: Held[] = []
  private isScheduled = false

  private constructor (
    private readonly replica: Replica,
    private readonly owner: ProposalsOwner
  ) {}

  static create (replica: Replica, owner: ProposalsOwner): Proposals {
    return new Proposals(replica, owner)
  }

  /** Number of entries that wait for their commit. */
  get inFlight (): number {
    return this.held.length
  }

  /** Takes the result of one step. */
  add (result: StepResult): void {
    if (result.decisions.length === 0 && result.effects.length === 0) return
    for (const decision of result.decisions) this.decisions.push(decision)
    for (const effect of result.effects) this.effects.push(effect)
    if (this.decisions.length >= DECISIONS_PER_ENTRY) return this.flush()
    if (this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => { this.flush() })
  }

  /** An own entry is committed. */
  committed (index: number): void {
    let released = 0
    while (released < this.held.length && this.held[released].index <= index) released += 1
    for (const { effects, proposedAt } of this.held.splice(0, released)) {
      this.owner.committed(monotonicNow() - proposedAt)
      this.releaseAll(effects)
    }
  }

  /** Leadership is lost: nothing held may be released any more. */
  drop (): void {
    this.decisions = []
    this.effects = []
    this.held = []
  }

  /** Proposes the decisions of this turn now. */
  flush (): void {
    this.isScheduled = false
    const { decisions, effects } = this
    this.decisions = []
    this.effects = []
    if (decisions.length === 0) {
      if (effects.length > 0) this.follow(effects)
      return
    }
    try {
      const index = this.propose(decisions)
      this.held.push({ index, effects, proposedAt: monotonicNow() })
    } catch (thrown) {
      this.owner.failed(thrown)
    }
  }

  /** Returns the index of the last entry; all of them are committed with it. */
  private propose (decisions: Decision[]): number {
    const entry = encodeValue(decisions)
    if (entry.length <= ENTRY_BYTES || decisions.length === 1) return this.replica.propose(entry)
    const half = decisions.length >> 1
    this.propose(decisions.slice(0, half))
    return this.propose(decisions.slice(half))
  }

  /** Effects without decisions still wait for the decisions they were based on. */
  private follow (effects: Effect[]): void {
    const last = this.held[this.held.length - 1]
    if (last === undefined) return this.releaseAll(effects)
    for (const effect of effects) last.effects.push(effect)
  }

  private releaseAll (effects: Effect[]): void {
    for (const effect of effects) this.owner.release(effect)
  }
}
