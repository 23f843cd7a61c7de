/**
 * What the flow of a request needs from the rest of an entry: a way to the leader
 * and a way to the runners.
 */

import type { Answer, Event, Grant } from '@flamingorouter/scheduler'

type Numbered = 'call' | 'entry'

/** A question to the leader; the link adds the number of the call and the entry. */
export type LeaderCall =
  | Omit<Extract<Event, { kind: 'acquire' }>, Numbered>
  | Omit<Extract<Event, { kind: 'settle' }>, Numbered>
  | Omit<Extract<Event, { kind: 'cancelRequest' }>, Numbered>
  | Omit<Extract<Event, { kind: 'fetchOutcome' }>, Numbered>

export abstract class Leader {
  /**
   * Asks the leader. Rejects with a Failure: of kind `unavailable` or `notLeader`
   * when the link was lost before the answer came, after which that answer must
   * never be delivered, or with the refusal of the leader.
   */
  abstract call (question: LeaderCall): Promise<Answer>
}

/** One request as it goes to a runner. */
export interface Run {
  grant: Grant
  caller: string
  requestId: string
  payload: Uint8Array
  /** Milliseconds that the runner may work on it. */
  deadlineMs: number
  /** Milliseconds until the answer is given up. */
  giveUpMs: number
}

/** How a run ended, as far as the entry can know. */
export type RunEnd =
  /** The whole answer, checked by length and digest. */
  | { kind: 'answered', body: Uint8Array, digest: string }
  /** The runner refused it, or no byte was sent: it did not run. */
  | { kind: 'notRun', reason: string }
  /** It may have run. */
  | { kind: 'lost', reason: string }

export abstract class RunnerClient {
  /** Sends one request once. Never throws and never sends anything again. */
  abstract run (run: Run): Promise<RunEnd>

  /** Closes all connections. */
  abstract close (): Promise<void>
}
