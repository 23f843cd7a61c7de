/**
 * Sends messages between replicas.
 */

export abstract class Transport {
  /** Sends a message to a member. The message may be lost, delayed, duplicated or reordered. */
  abstract send (to: string, message: unknown): void
}
