/**
 * What one server accepts. Sizes are in bytes and times in milliseconds.
 */

export interface RpcLimits {
  /** Largest body of a request. */
  bodyBytes: number
  /** Rest of a refused body that is read and dropped, so that its sender sees the refusal. */
  discardBytes: number
  headerBytes: number
  headerCount: number
  connections: number
  /** From the first byte of a request to the end of its headers. */
  headersTimeoutMs: number
  /** From the first byte of a request to its last. */
  requestTimeoutMs: number
  /** How long a connection may stay open between two requests. */
  keepAliveMs: number
  /** How long close waits for calls in flight. */
  closeTimeoutMs: number
}

/** A payload of 1 MiB is a third longer in the base64 of JSON; the rest is for the other fields. */
const BODY_BYTES = Math.ceil(1024 * 1024 * 4 / 3) + 128 * 1024

export const DEFAULT_RPC_LIMITS: Readonly<RpcLimits> = Object.freeze({
  bodyBytes: BODY_BYTES,
  discardBytes: 4 * 1024 * 1024,
  headerBytes: 16 * 1024,
  headerCount: 64,
  connections: 10_000,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  keepAliveMs: 65_000,
  closeTimeoutMs: 30_000
})
