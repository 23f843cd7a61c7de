/**
 * Limits of the request flow of one entry. Times are in milliseconds, sizes in bytes.
 */

export interface FlowLimits {
  /** Total size of the payloads and unread answers that the entry keeps in memory. */
  maxHeldBytes: number
  /** How long past the deadline of a request the entry waits for the runner's answer. */
  lateMs: number
  /** How long past the deadline of a request the entry waits for the leader's answer. */
  leaderGraceMs: number
  /** Delay before a call to the leader is retried after the link was lost. */
  leaderRetryDelayMs: number
  /** How long the report of an outcome is retried until the leader accepts it; while its grant may be valid, it is retried in any case. */
  reportTimeoutMs: number
  /** Retry delay returned to callers whose request was not accepted or did not run. */
  retryAfterMs: number
}

export const DEFAULT_FLOW_LIMITS: Readonly<FlowLimits> = Object.freeze({
  maxHeldBytes: 67_108_864,
  lateMs: 2_000,
  leaderGraceMs: 500,
  leaderRetryDelayMs: 50,
  reportTimeoutMs: 60_000,
  retryAfterMs: 1_000
})

export const MAX_PAYLOAD_BYTES = 1_048_576
export const MAX_REQUEST_ID_LENGTH = 128
export const MAX_DEADLINE_MS = 300_000
