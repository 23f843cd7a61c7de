/**
 * Answers the calls of gateways on staged jobs, the cell, called workers and upkeep waves. Orders are
 * proposed at once, and their answers state how long the leader took.
 */

import type { HandlingTimes, JobAnswer, JobEvent } from '@flamingorouter/controllers'
import type { Answer, Event } from '@flamingorouter/scheduler'
import { monotonicNow } from './clock.js'
import { describeOrder } from './operator-orders.js'
import type { LogFields, RuntimeLog } from './runtime-log.js'

/** The controller that decides. */
export interface JobCallsOwner {
  ask: (toEvent: (call: number) => Event) => Promise<Answer>
  /** Proposes the decisions made so far, instead of at the end of the turn. */
  propose: () => void
  /** Time since the last timer of the event loop, in milliseconds: a call that is read now waited at most that long for its turn. */
  readTurnMs: () => number
}

export class JobCalls {
  /** Version of the newest configuration of the cell that is known to be committed; -1 before the first. */
  committedCellVersion = -1

  private constructor (private readonly owner: JobCallsOwner, private readonly log: RuntimeLog) {}

  static create (owner: JobCallsOwner, log: RuntimeLog): JobCalls {
    return new JobCalls(owner, log)
  }

  /** `from` is the process that forwards the event. */
  async answer (from: string, event: JobEvent): Promise<JobAnswer> {
    const order = describeOrder(event)
    return order === undefined ? await this.decide(event) : await this.answerOrder(from, event, order)
  }

  private async answerOrder (from: string, event: JobEvent, order: LogFields): Promise<JobAnswer> {
    const turnMs = Math.round(this.owner.readTurnMs())
    const startedAt = monotonicNow()
    const measure = (): HandlingTimes => ({ turnMs, commitMs: Math.round(monotonicNow() - startedAt) })
    try {
      const decided = this.decide(event)
      // Proposed at the end of a long turn, the decision would miss the next one, in which the leader reads the other members' answers.
      this.owner.propose()
      const answer = await decided
      const handling = measure()
      this.log.info('order_committed', { ...order, from, ...handling })
      return { ...answer, handling }
    } catch (thrown) {
      this.log.warn('order_not_committed', { ...order, from, ...measure(), error: String(thrown) })
      throw thrown
    }
  }

  private async decide (event: JobEvent): Promise<Answer> {
    const answer = await this.owner.ask(call => ({ ...event, call }))
    if (answer.kind === 'cell') this.committedCellVersion = Math.max(this.committedCellVersion, answer.version)
    return answer
  }
}
