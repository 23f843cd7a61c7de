/**
 * Counts the bytes of payloads and answers that an entry holds, so that callers
 * which never read their answers can't fill its memory.
 */

import { ErrorKind, Failure } from '@flamingorouter/scheduler'

const RETRY_AFTER_MS = 500

export class ByteAccount {
  private held = 0

  static create (limit: number): ByteAccount {
    return new ByteAccount(limit)
  }

  private constructor (private readonly limit: number) {}

  get used (): number {
    return this.held
  }

  /** Takes room, or throws `resourceExhausted`. */
  take (bytes: number): void {
    if (this.held + bytes > this.limit) {
      const text = 'the entry holds too many answers that were not read'
      throw Failure.create(ErrorKind.resourceExhausted, text, { retryAfterMs: RETRY_AFTER_MS })
    }
    this.held += bytes
  }

  /** Counts bytes that are here already, whether there is room or not. */
  add (bytes: number): void {
    this.held += bytes
  }

  give (bytes: number): void {
    this.held -= bytes
  }
}
