/**
 * Interfaces through which the request flow of an entry reaches the leader and the
 * runners.
 */

import type { Answer, Event, Grant } from '@flamingorouter/scheduler'

type LinkField = 'call' | 'entry'

/** A call to the leader; the link adds the call number and the entry's name. */
export type LeaderCall =
  | Omit<Extract<Event, { kind: 'acquire' }>, LinkField>
  | Omit<Extract<Event, { kind: 'settle' }>, LinkField>
  | Omit<Extract<Event, { kind: 'cancelRequest' }>, LinkField>
  | Omit<Extract<Event, { kind: 'fetchOutcome' }>, LinkField>

export abstract class LeaderChannel {
  /**
   * Sends a call to the leader and resolves to its answer. Rejects with the leader's
   * refusal, or with a Failure of kind `unavailable` or `notLeader` when the link was
   * lost before the answer arrived. Such an answer must never be delivered afterwards,
   * because the leader frees the grant in it when the call is repeated.
   */
  abstract call (leaderCall: LeaderCall): Promise<Answer>
}

/** One request as it is sent to a runner. */
export interface RunnerCall {
  grant: Grant
  caller: string
  requestId: string
  payload: Uint8Array
  /** Milliseconds within which the runner has to finish the request. */
  deadlineMs: number
  /** Milliseconds after which the entry stops waiting for the answer. */
  answerTimeoutMs: number
}

/** How a call to a runner ended, as far as the entry can tell. */
export type RunnerCallResult =
  /** The complete answer; its length and digest are verified. */
  | { kind: 'answered', body: Uint8Array, digest: string }
  /** The runner refused the request, or no byte of it was sent: it did not run. */
  | { kind: 'notRun', reason: string }
  /** No valid answer arrived; the request may have run. */
  | { kind: 'lost', reason: string }

export abstract class RunnerClient {
  /** Sends one request at most once and never retries it. Never rejects: a failed call resolves to `notRun` or `lost`. */
  abstract run (call: RunnerCall): Promise<RunnerCallResult>

  /** Closes all connections. */
  abstract close (): Promise<void>
}
