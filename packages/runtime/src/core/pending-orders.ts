/**
 * Orders that this process carries to the leader. Their callers wait for about a second and then send the order again, to any
 * process. An order that takes longer, because a leader is elected or has much to do, is carried on after its caller has
 * gone, so that the next attempt finds it in progress or acknowledged instead of starting anew.
 */

import { TimeLimit, type JobEvent } from '@flamingorouter/controllers'
import { ErrorKind, Failure, toFailure, type Answer } from '@flamingorouter/scheduler'

/** How long an order is carried, in milliseconds. */
const CARRY_LIMIT_MS = 10_000

/** How long a leader has for its answer before the order is sent again, in milliseconds; an answer may be lost for good. */
const SEND_LIMIT_MS = 2_000

/** Pause before an order is sent again, in milliseconds. */
const RESEND_PAUSE_MS = 50

/** How long an acknowledgement is kept for further attempts, in milliseconds. */
const ANSWER_RETENTION_MS = 10_000

/** Orders in progress, at most; each may hold a configuration of several megabytes. */
const PENDING_LIMIT = 16

/** Acknowledgements kept, at most. */
const ANSWER_LIMIT = 1_000

interface PendingOrder {
  event: JobEvent
  answer: Promise<Answer>
  resolve: (answer: Answer) => void
}

export interface PendingOrdersOptions {
  /** Sends an order to the leader; rejects with deadlineExceeded if it gets no answer within the time limit. */
  send: (event: JobEvent, timeoutMs: number) => Promise<Answer>
  /** The acknowledgement of an order that this process knows to be committed. */
  findAnswer: (event: JobEvent) => Answer | undefined
  /** Monotonic time in milliseconds. */
  now: () => number
}

export class PendingOrders {
  /** Orders without an answer, by key. */
  private readonly pending = new Map<string, PendingOrder>()
  /** Acknowledgements by key, oldest first, with the monotonic time until which each is kept. */
  private readonly answers = new Map<string, { answer: Answer, keptUntil: number }>()
  private isClosed = false

  private constructor (private readonly options: PendingOrdersOptions) {}

  static create (options: PendingOrdersOptions): PendingOrders {
    return new PendingOrders(options)
  }

  /**
   * Resolves with the answer to the order with this key, which is sent to the leader unless it is in progress. Rejects
   * with the failure of the order, and with deadlineExceeded when there is no answer in time; the order then goes on.
   */
  async ask (key: string, event: JobEvent, timeoutMs: number): Promise<Answer> {
    this.forgetOldAnswers()
    const known = this.answers.get(key)
    if (known !== undefined) return known.answer
    const order = this.pending.get(key)
    if (order === undefined && this.pending.size >= PENDING_LIMIT) return await this.options.send(event, timeoutMs)
    return await waitAtMost((order ?? this.carry(key, event)).answer, timeoutMs)
  }

  /** Completes the orders that have become known to be committed. Called when this process learns of commits. */
  completeCommitted (): void {
    for (const { event, resolve } of this.pending.values()) {
      const answer = this.options.findAnswer(event)
      if (answer !== undefined) resolve(answer)
    }
  }

  /** Sends no order again from here on. */
  close (): void {
    this.isClosed = true
  }

  private carry (key: string, event: JobEvent): PendingOrder {
    const { now } = this.options
    let resolve!: (answer: Answer) => void
    const completed = new Promise<Answer>(_resolve => { resolve = _resolve })
    const answer = Promise.race([completed, this.sendUntilAnswered(key, event)])
    const order = { event, answer, resolve }
    this.pending.set(key, order)
    answer
      .then(value => { this.answers.set(key, { answer: value, keptUntil: now() + ANSWER_RETENTION_MS }) })
      // The failure reaches the callers that still wait; the next attempt sends the order again.
      .catch(() => {})
      .finally(() => { this.pending.delete(key) })
    return order
  }

  private async sendUntilAnswered (key: string, event: JobEvent): Promise<Answer> {
    const { send, now } = this.options
    for (const endsAt = now() + CARRY_LIMIT_MS; ;) {
      try {
        return await send(event, SEND_LIMIT_MS)
      } catch (thrown) {
        const isOver = this.isClosed || !this.pending.has(key) || now() >= endsAt
        if (isOver || toFailure(thrown).kind !== ErrorKind.deadlineExceeded) throw thrown
      }
      await new Promise(resolve => { setTimeout(resolve, RESEND_PAUSE_MS) })
    }
  }

  private forgetOldAnswers (): void {
    const now = this.options.now()
    for (const [key, { keptUntil }] of this.answers) {
      if (now < keptUntil && this.answers.size <= ANSWER_LIMIT) return
      this.answers.delete(key)
    }
  }
}

function waitAtMost (answer: Promise<Answer>, timeoutMs: number): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const limit = TimeLimit.start(timeoutMs, () => {
      reject(Failure.create(ErrorKind.deadlineExceeded, `the order was not committed within ${Math.round(timeoutMs)} ms; it is carried on`))
    })
    answer
      .then(resolve, (thrown: unknown) => { reject(toFailure(thrown)) })
      .finally(() => { limit.cancel() })
  })
}
