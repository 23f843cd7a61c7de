/**
 * Calls that wait for the scheduler's answer, by number.
 */

import { ErrorKind, Failure, type Answer } from '@flamingorouter/scheduler'

interface Waiting {
  resolve: (answer: Answer) => void
  reject: (failure: Failure) => void
}

export class Calls {
  private last = 0
  private readonly waiting = new Map<number, Waiting>()

  static create (): Calls {
    return new Calls()
  }

  /** Numbers a call and hands the number to `start`; resolves with the answer. */
  open (start: (call: number) => void): Promise<Answer> {
    const call = ++this.last
    return new Promise((resolve, reject) => {
      this.waiting.set(call, { resolve, reject })
      try {
        start(call)
      } catch (thrown) {
        this.waiting.delete(call)
        throw thrown
      }
    })
  }

  reply (call: number, answer: Answer): void {
    this.take(call)?.resolve(answer)
  }

  refuse (call: number, kind: ErrorKind, message: string, retryAfterMs: number): void {
    this.take(call)?.reject(Failure.create(kind, message, { retryAfterMs }))
  }

  /** Ends every open call as not known, since its decisions may or may not have been committed. */
  abandon (message: string): void {
    for (const call of [...this.waiting.keys()]) this.refuse(call, ErrorKind.deadlineExceeded, message, 0)
  }

  private take (call: number): Waiting | undefined {
    const waiting = this.waiting.get(call)
    this.waiting.delete(call)
    return waiting
  }
}
