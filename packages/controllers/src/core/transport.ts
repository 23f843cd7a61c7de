/**
 * How replicas reach each other.
 */

export abstract class Transport {
  /** Sends a message to a member. It may be lost, late, doubled or out of order. */
  abstract send (to: string, message: unknown): void
}
