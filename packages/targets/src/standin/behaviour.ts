/**
 * What a stand-in runner does with a request: the good and the bad ways in which
 * real runners behave.
 */

import type { RunRequest } from '@flamingorouter/schema'

export const Behaviour = Object.freeze({
  /** Runs it and answers with the payload. */
  answer: 'answer',
  /** Says that it did not run it, which is true. */
  refuse: 'refuse',
  /** Runs it and answers with an error. */
  fail: 'fail',
  /** Runs it and sends the first half of the answer. */
  truncate: 'truncate',
  /** Runs it and sends the answer twice over. */
  answerTwice: 'answerTwice',
  /** Runs it and answers under the digest of another body. */
  wrongDigest: 'wrongDigest',
  /** Cuts the connection and does not run it. */
  cutBefore: 'cutBefore',
  /** Runs it and cuts the connection. */
  cutAfter: 'cutAfter'
} as const)
export type Behaviour = typeof Behaviour[keyof typeof Behaviour]

export interface Plan {
  behaviour: Behaviour
  /** Milliseconds of work. */
  workMs: number
}

/** Decides on each request as it arrives. */
export type Planner = (request: RunRequest) => Plan
