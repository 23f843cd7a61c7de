/**
 * Behaviour of a stand-in runner for a request: correct answers, and the faults that
 * real runners show.
 */

import type { RunRequest } from '@flamingorouter/schema'

export const RunnerBehaviour = Object.freeze({
  /** Runs the request and answers with its payload. */
  answer: 'answer',
  /** Does not run the request, and answers that it was refused. */
  refuse: 'refuse',
  /** Runs the request and answers with an error. */
  fail: 'fail',
  /** Runs the request, sends the first half of the answer and closes the connection. */
  truncate: 'truncate',
  /** Runs the request and sends the answer twice on the same connection. */
  answerTwice: 'answerTwice',
  /** Runs the request and answers with the digest of a different body. */
  wrongDigest: 'wrongDigest',
  /** Closes the connection without running the request. */
  cutBefore: 'cutBefore',
  /** Runs the request and closes the connection without an answer. */
  cutAfter: 'cutAfter'
} as const)
export type RunnerBehaviour = typeof RunnerBehaviour[keyof typeof RunnerBehaviour]

export interface RequestPlan {
  behaviour: RunnerBehaviour
  /** Run time of the request in milliseconds. */
  workMs: number
}

/** Chooses the behaviour for each request when it arrives. */
export type RequestPlanner = (request: RunRequest) => RequestPlan
