/**
 * Validation and access rules for the methods of the caller service.
 */

import type { DescMessage, DescMethodUnary } from '@bufbuild/protobuf'
import {
  all, bytes, checkSelector, checkSpec, fields, identifier, integer, MAX_WAIT_MS, name, oneOfFields, optional, required,
  Role, rule, type Check, type MethodRules
} from '@flamingorouter/rpc'
import {
  CallerService, WorkloadKind, type CancelJobsRequest, type CancelRequestRequest, type FetchOutcomeRequest,
  type SubmitJobRequest, type SubmitRequest, type WatchJobRequest
} from '@flamingorouter/schema'

const MAX_PAYLOAD_BYTES = 1024 * 1024
const MAX_DEADLINE_MS = 300_000

const ALLOWED_ROLES: readonly Role[] = [Role.caller, Role.operator]

function createRules<T extends object> (method: DescMethodUnary<DescMessage, DescMessage>, check: Check<T>): MethodRules {
  return { method, check, roles: ALLOWED_ROLES }
}

/** Rules of every method of the caller service. */
export const callerMethodRules: readonly MethodRules[] = [
  createRules(CallerService.method.submit, fields<SubmitRequest>({
    service: name(),
    requestId: identifier(),
    deadlineMs: integer(1, MAX_DEADLINE_MS),
    payload: bytes(MAX_PAYLOAD_BYTES)
  })),
  createRules(CallerService.method.fetchOutcome, fields<FetchOutcomeRequest>({ requestId: identifier() })),
  createRules(CallerService.method.cancelRequest, fields<CancelRequestRequest>({ requestId: identifier() })),
  createRules(CallerService.method.submitJob, all(
    fields<SubmitJobRequest>({ requestId: optional(identifier()), spec: required(checkSpec) }),
    rule<SubmitJobRequest>('spec.kind', 'WORKLOAD_KIND_BATCH or WORKLOAD_KIND_GANG', isJob)
  )),
  createRules(CallerService.method.watchJob, fields<WatchJobRequest>({
    id: identifier(),
    afterChange: integer(0),
    waitMs: integer(0, MAX_WAIT_MS)
  })),
  createRules(CallerService.method.cancelJobs, all(
    fields<CancelJobsRequest>({
      requestId: optional(identifier()),
      id: optional(identifier()),
      selector: checkSelector
    }),
    oneOfFields<CancelJobsRequest>(['id', 'selector'])
  ))
]

function isJob (request: SubmitJobRequest): boolean {
  return request.spec?.kind !== WorkloadKind.SERVICE
}
