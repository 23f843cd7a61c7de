/**
 * Limits of one server. Sizes are in bytes and times in milliseconds.
 */

export interface RpcLimits {
  /** Largest accepted body of a request. */
  bodyBytes: number
  /** Bytes past `bodyBytes` that are read and discarded, so that the sender of a refused body receives the refusal. */
  discardBytes: number
  /** Largest total size of the headers of a request. */
  headerBytes: number
  /** Largest number of headers of a request. */
  headerCount: number
  /** Largest number of open connections. */
  connections: number
  /** From the first byte of a request to the end of its headers; also the limit for a TLS handshake. */
  headersTimeoutMs: number
  /** From the first byte of a request to its last. */
  requestTimeoutMs: number
  /** How long an idle connection stays open between two requests. */
  keepAliveMs: number
  /** How long `close` waits for calls in flight before it closes their connections. */
  closeTimeoutMs: number
}

/** Base64 makes a payload of 1 MiB a third longer in JSON; the remaining 128 KiB are for the other fields. */
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
