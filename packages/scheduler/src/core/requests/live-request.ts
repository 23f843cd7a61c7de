/**
 * Requests that wait or run, as the leader keeps them in memory. They are not
 * durable, except for the claim of a request that is not idempotent, from which a
 * new leader restores the request.
 */

import type { Outcome, RequestFacts } from '../../types/requests.js'
import { Urgency } from '../../types/workloads.js'

/** A grant in use: it occupies one slot of one runner until it is settled or expires. */
export interface ActiveGrant {
  id: string
  runner: string
  session: string
  slot: number
  instance: string
  /** Empty when the entry reported the grant to a new leader. */
  token: string
  /** Key of the request. */
  key: string
  grantedAt: number
  /** Cluster time in milliseconds after which the runner no longer works on the request, in every case. */
  expiresAt: number
}

/** Another call for the same request that waits for its outcome. */
export interface Waiter {
  call: number
  entry: string
  instance: string
  token: string
  /** Number of its acquire event; see `RequestFacts`. */
  attempt: number
  deadlineAt: number
}

export interface LiveRequest {
  key: string
  facts: RequestFacts
  /** Entry that sends the request to a runner. */
  entry: string
  /** Call to answer; 0 after the entry got its grant. */
  call: number
  /** Other calls for the same request, in the order of their arrival. */
  waiters: Waiter[]
  arrivedAt: number
  deadlineAt: number
  /** Sort key in the queue: time of arrival plus the delay of the urgency. The lowest is served first. */
  order: number
  phase: 'waiting' | 'granted' | 'over'
  grant: ActiveGrant | undefined
  /** Runners on which an attempt failed. */
  triedRunners: string[]
  /** True when one of these runners may have run the request. */
  mayHaveRun: boolean
  /** Number of these runners whose answer was lost, for example because they ended. */
  lostAnswers: number
}

/**
 * Milliseconds that are added to the time of arrival to get the order in the queue. More urgent requests that arrive
 * later are served first if they arrive within the difference of the two delays.
 */
const URGENCY_DELAY_MS: Readonly<Record<Urgency, number>> = Object.freeze({
  [Urgency.urgent]: 0,
  [Urgency.normal]: 2_000,
  [Urgency.bulk]: 20_000
})

export function createLiveRequest (key: string, facts: RequestFacts, entry: string, call: number, now: number): LiveRequest {
  return {
    key,
    facts,
    entry,
    call,
    waiters: [],
    arrivedAt: now,
    deadlineAt: now + facts.deadlineMs,
    order: now + (URGENCY_DELAY_MS[facts.urgency] ?? URGENCY_DELAY_MS[Urgency.normal]),
    phase: 'waiting',
    grant: undefined,
    triedRunners: [],
    mayHaveRun: false,
    lostAnswers: 0
  }
}

const NO_BODY = new Uint8Array()

/** An outcome without a body. */
export function createOutcome (kind: Outcome['kind'], reason: string, retryAfterMs = 0): Outcome {
  return { kind, body: NO_BODY, digest: '', reason, retryAfterMs }
}
