/**
 * Calls that wait for the scheduler's answer, by call number.
 */

import { ErrorKind, Failure, type Answer } from '@flamingorouter/scheduler'

interface PendingCall {
  resolve: (answer: Answer) => void
  reject: (failure: Failure) => void
}

export class PendingCalls {
  private lastCall = 0
  private readonly pending = new Map<number, PendingCall>()

  static create (): PendingCalls {
    return new PendingCalls()
  }

  /** Assigns a number to a call and passes it to `start`; resolves with the answer, rejects when the call is refused or `start` throws. */
  open (start: (call: number) => void): Promise<Answer> {
    const call = ++this.lastCall
    return new Promise((resolve, reject) => {
      this.pending.set(call, { resolve, reject })
      try {
        start(call)
      } catch (thrown) {
        this.pending.delete(call)
        throw thrown
      }
    })
  }

  reply (call: number, answer: Answer): void {
    this.remove(call)?.resolve(answer)
  }

  refuse (call: number, kind: ErrorKind, message: string, retryAfterMs: number): void {
    this.remove(call)?.reject(Failure.create(kind, message, { retryAfterMs }))
  }

  /** Rejects every pending call with deadlineExceeded: its decisions may or may not have been committed. */
  rejectAll (message: string): void {
    for (const call of [...this.pending.keys()]) this.refuse(call, ErrorKind.deadlineExceeded, message, 0)
  }

  private remove (call: number): PendingCall | undefined {
    const pending = this.pending.get(call)
    this.pending.delete(call)
    return pending
  }
}
