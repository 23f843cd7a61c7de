/**
 * Limits of the flow of requests through one entry. Times are in milliseconds,
 * sizes in bytes.
 */

export interface FlowLimits {
  /** Payloads and answers held at once. */
  heldBytes: number
  /** How long after its deadline the answer of a runner is still waited for. */
  lateMs: number
  /** How long after its deadline the leader's answer is still waited for. */
  leaderGraceMs: number
  /** Pause before the leader is asked again after a lost link. */
  askAgainMs: number
  /** How long an outcome is reported again until the leader took it. */
  reportMs: number
  /** What a caller is told to wait when the entry takes no more requests. */
  retryAfterMs: number
}

export const DEFAULT_FLOW_LIMITS: Readonly<FlowLimits> = Object.freeze({
  heldBytes: 67_108_864,
  lateMs: 2_000,
  leaderGraceMs: 500,
  askAgainMs: 50,
  reportMs: 60_000,
  retryAfterMs: 1_000
})

export const PAYLOAD_LIMIT = 1_048_576
export const REQUEST_ID_LIMIT = 128
export const DEADLINE_LIMIT_MS = 300_000
