/**
 * The caller methods that an entry serves itself: it keeps the payloads, sends
 * them to runners and returns the outcome to each caller.
 */

import { create } from '@bufbuild/protobuf'
import { HttpRunnerClient, LeaderChannel, RequestFlow, type LeaderCall } from '@flamingorouter/callers'
import { InternalMethod } from '@flamingorouter/controllers'
import { getMethodName, toUrgency, type RpcHandler } from '@flamingorouter/rpc'
import {
  ErrorKind, Failure, OutcomeKind as Kind, fail, toFailure, type Answer, type Outcome
} from '@flamingorouter/scheduler'
import {
  CallerService, CancelRequestResponseSchema, FetchOutcomeResponseSchema, OutcomeKind, SubmitResponseSchema,
  type CancelRequestRequest, type FetchOutcomeRequest, type Outcome as OutcomeMessage, type SubmitRequest
} from '@flamingorouter/schema'
import { monotonicNow } from './clock.js'
import type { Entry } from './entry.js'
import type { MetricsRecorder } from './metrics-recorder.js'
import { LostAnswerPolicy } from './leader-client.js'

/** Timeout of a call of the request flow to the leader, in milliseconds; longer than the longest deadline of a request, 300 s. */
const REQUEST_CALL_TIMEOUT_MS = 310_000

const OUTCOME_KINDS: Readonly<Record<Kind, OutcomeKind>> = {
  done: OutcomeKind.DONE,
  notRun: OutcomeKind.NOT_RUN,
  unknown: OutcomeKind.UNKNOWN,
  cancelled: OutcomeKind.CANCELLED,
  pending: OutcomeKind.PENDING
}

/** The request flow's connection to the leader, over the leader client of the entry. */
class EntryLeaderChannel extends LeaderChannel {
  private constructor (private readonly entry: Entry) {
    super()
  }

  static create (entry: Entry): EntryLeaderChannel {
    return new EntryLeaderChannel(entry)
  }

  /**
   * Rejects with unavailable instead of deadlineExceeded when the answer was lost, as
   * the base class specifies; the request flow then sends the call again.
   */
  override async call (leaderCall: LeaderCall): Promise<Answer> {
    try {
      return await this.entry.leader.call(InternalMethod.request, leaderCall, REQUEST_CALL_TIMEOUT_MS, LostAnswerPolicy.report) as Answer
    } catch (thrown) {
      const failure = toFailure(thrown)
      if (failure.kind !== ErrorKind.deadlineExceeded) throw failure
      throw Failure.create(ErrorKind.unavailable, failure.message, { cause: failure })
    }
  }
}

/** The request flow of an entry and its RPC handlers, by full RPC name. */
export interface RequestHandlers {
  flow: RequestFlow
  handlers: Map<string, RpcHandler>
  close: () => Promise<void>
}

export function createRequestHandlers (entry: Entry, metrics?: MetricsRecorder): RequestHandlers {
  const leader = EntryLeaderChannel.create(entry)
  const runners = HttpRunnerClient.create()
  const flow = RequestFlow.create({ leader, runners })
  const { submit, fetchOutcome, cancelRequest } = CallerService.method
  const handlers = new Map<string, RpcHandler>([
    [getMethodName(submit), async call => {
      entry.requireFreshConfiguration()
      const startedAt = monotonicNow()
      const request = call.request as SubmitRequest
      const outcome = await flow.submit(call.principal.name, request, call.closed)
      metrics?.recordRequest(toUrgency(request.urgency), outcome.kind, monotonicNow() - startedAt)
      return create(SubmitResponseSchema, { outcome: toMessage(outcome) })
    }],
    [getMethodName(fetchOutcome), async call => {
      const { requestId } = call.request as FetchOutcomeRequest
      const outcome = await requestOutcome(leader, { kind: 'fetchOutcome', caller: call.principal.name, requestId })
      return create(FetchOutcomeResponseSchema, { outcome: toMessage(outcome) })
    }],
    [getMethodName(cancelRequest), async call => {
      const { requestId } = call.request as CancelRequestRequest
      const outcome = await requestOutcome(leader, { kind: 'cancelRequest', caller: call.principal.name, requestId })
      return create(CancelRequestResponseSchema, { outcome: toMessage(outcome) })
    }]
  ])
  return { flow, handlers, close: () => runners.close() }
}

async function requestOutcome (leader: LeaderChannel, leaderCall: LeaderCall): Promise<Outcome> {
  const answer = await leader.call(leaderCall)
  if (answer.kind !== 'outcome') fail(ErrorKind.internal, `the leader answered with ${answer.kind} instead of an outcome`)
  return answer.outcome
}

function toMessage (outcome: Outcome): OutcomeMessage {
  return {
    $typeName: 'flamingorouter.callers.v1.Outcome',
    kind: OUTCOME_KINDS[outcome.kind],
    body: outcome.body as Uint8Array<ArrayBuffer>,
    reason: outcome.reason,
    retryAfterMs: outcome.retryAfterMs,
    digest: outcome.digest
  }
}
