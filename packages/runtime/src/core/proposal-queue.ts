/**
 * Queues the scheduler's decisions for the replicated log and holds their effects
 * until the commit. Decisions of one event-loop turn become one log entry, or
 * several if there are many. An effect is released only when the entry of its own
 * step, and every entry before it, is committed.
 */

import { encodeValue, type Replica } from '@flamingorouter/controllers'
import type { Decision, Effect, StepResult } from '@flamingorouter/scheduler'
import { monotonicNow } from './clock.js'

/** Size above which the decisions of one turn are split into several log entries, in bytes; far below the frame limit. */
const ENTRY_LIMIT_BYTES = 4 * 1024 * 1024

/** Number of decisions at which they are proposed at once instead of at the end of the turn. */
const DECISIONS_PER_ENTRY = 512

interface PendingEntry {
  index: number
  /** Monotonic time of the proposal in milliseconds. */
  proposedAt: number
  effects: Effect[]
}

/** Callbacks of the owner of a proposal queue. */
export interface ProposalQueueOwner {
  /** Carries out an effect whose decisions are committed. */
  release: (effect: Effect) => void
  /** Called with the error of a proposal that the replica rejected; its effects are dropped. */
  handleFailure: (thrown: unknown) => void
  /** Called when a log entry was committed, `durationMs` after it was proposed. */
  handleCommit: (durationMs: number) => void
}

export class ProposalQueue {
  private decisions: Decision[] = []
  private effects: Effect[] = []
  /** Log entries that are proposed and not yet committed, in index order. */
  private pendingEntries: PendingEntry[] = []
  private isScheduled = false

  private constructor (
    private readonly replica: Replica,
    private readonly owner: ProposalQueueOwner
  ) {}

  static create (replica: Replica, owner: ProposalQueueOwner): ProposalQueue {
    return new ProposalQueue(replica, owner)
  }

  /** Number of log entries that wait for their commit. */
  get inFlight (): number {
    return this.pendingEntries.length
  }

  /** Adds the result of one scheduler step; it is proposed at the end of the turn or once there are enough decisions. */
  add (result: StepResult): void {
    if (result.decisions.length === 0 && result.effects.length === 0) return
    for (const decision of result.decisions) this.decisions.push(decision)
    for (const effect of result.effects) this.effects.push(effect)
    if (this.decisions.length >= DECISIONS_PER_ENTRY) return this.flush()
    if (this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => { this.flush() })
  }

  /** Releases the effects of all own entries up to this committed index. */
  handleCommit (index: number): void {
    let releasedCount = 0
    while (releasedCount < this.pendingEntries.length && this.pendingEntries[releasedCount].index <= index) releasedCount += 1
    for (const { effects, proposedAt } of this.pendingEntries.splice(0, releasedCount)) {
      this.owner.handleCommit(monotonicNow() - proposedAt)
      this.releaseAll(effects)
    }
  }

  /** Discards all decisions and effects that are not committed; called when leadership is lost. */
  discard (): void {
    this.decisions = []
    this.effects = []
    this.pendingEntries = []
  }

  /** Proposes the decisions of the current turn now. */
  flush (): void {
    this.isScheduled = false
    const { decisions, effects } = this
    this.decisions = []
    this.effects = []
    if (decisions.length === 0) {
      if (effects.length > 0) this.attachToLastEntry(effects)
      return
    }
    try {
      const index = this.propose(decisions)
      this.pendingEntries.push({ index, effects, proposedAt: monotonicNow() })
    } catch (thrown) {
      this.owner.handleFailure(thrown)
    }
  }

  /** Proposes the decisions as one or more entries; returns the index of the last, whose commit implies that of the others. */
  private propose (decisions: Decision[]): number {
    const entry = encodeValue(decisions)
    if (entry.length <= ENTRY_LIMIT_BYTES || decisions.length === 1) return this.replica.propose(entry)
    const half = decisions.length >> 1
    this.propose(decisions.slice(0, half))
    return this.propose(decisions.slice(half))
  }

  /** Effects without decisions of their own wait for the last pending entry, since they may be based on its decisions. */
  private attachToLastEntry (effects: Effect[]): void {
    const last = this.pendingEntries[this.pendingEntries.length - 1]
    if (last === undefined) return this.releaseAll(effects)
    for (const effect of effects) last.effects.push(effect)
  }

  private releaseAll (effects: Effect[]): void {
    for (const effect of effects) this.owner.release(effect)
  }
}
