/**
 * Counts the bytes of payloads and unread answers that an entry keeps in memory, so that
 * callers which never read their answers cannot exhaust it.
 */

import { ErrorKind, Failure } from '@flamingorouter/scheduler'

const RETRY_AFTER_MS = 500

export class ByteBudget {
  private reservedBytes = 0

  static create (limitBytes: number): ByteBudget {
    return new ByteBudget(limitBytes)
  }

  private constructor (private readonly limitBytes: number) {}

  get usedBytes (): number {
    return this.reservedBytes
  }

  /** Reserves bytes; throws a Failure of kind `resourceExhausted` when the limit would be exceeded. */
  reserve (bytes: number): void {
    if (this.reservedBytes + bytes > this.limitBytes) {
      const message = 'the entry has no memory left for payloads and unread answers'
      throw Failure.create(ErrorKind.resourceExhausted, message, { retryAfterMs: RETRY_AFTER_MS })
    }
    this.reservedBytes += bytes
  }

  /** Counts bytes that are already in memory, even if that exceeds the limit. */
  reserveUnchecked (bytes: number): void {
    this.reservedBytes += bytes
  }

  release (bytes: number): void {
    this.reservedBytes -= bytes
  }
}
