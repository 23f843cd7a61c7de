/**
 * When callers that an entry refuses for want of a leader may come back. All calls
 * that wait at the entries are refused at the same moment, and callers that were
 * told the same delay return together, again and again, until their attempts are
 * used up: a longer time without a leader loses them, and a leader that takes over
 * gets them all at once. The delays are therefore spread, over a time that grows
 * with the time that the next leader has needed already.
 */

/**
 * Least delay in milliseconds. Most elections are over after half a second, and HTTP rounds the delay up to a whole second.
 */
const SHORTEST_RETRY_MS = 500

/**
 * Shortest time over which the delays are spread, in milliseconds: the time from the loss of a leader to the first start by
 * the next one, 1.1 s when measured, and as much for the backlog.
 */
const SHORTEST_SPREAD_MS = 2_000

/** Longest time over which they are spread, in milliseconds; callers give up a job that is later than a few seconds. */
const LONGEST_SPREAD_MS = 4_000

/**
 * Time after which a refused caller may come back, in milliseconds. `leaderlessMs` is the time since the loss of the last
 * leader, and `fraction` a random number from 0 to 1.
 */
export function computeRetryAfterMs (leaderlessMs: number, fraction: number): number {
  const spreadMs = Math.min(LONGEST_SPREAD_MS, Math.max(SHORTEST_SPREAD_MS, leaderlessMs))
  return Math.round(SHORTEST_RETRY_MS + fraction * (spreadMs - SHORTEST_RETRY_MS))
}
