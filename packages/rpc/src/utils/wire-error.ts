/**
 * Encoding of errors: the JSON error of the Connect protocol, with one ErrorDetail that
 * carries the kind, so that the client of this package rejects with a Failure like the one
 * that the server threw.
 *
 * Protocol: https://connectrpc.com/docs/protocol
 */

import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { base64Decode, base64Encode } from '@bufbuild/protobuf/wire'
import { ERROR_ANSWERS, ErrorKind, Failure } from '@flamingorouter/scheduler'
import { ErrorDetailSchema, type ErrorDetail } from '@flamingorouter/schema'
import type { Violation } from '../types/violation.js'

/** Largest value of the field, which is a uint32. */
const MAX_RETRY_AFTER_MS = 0xffffffff

/** The body of an error response. */
export interface WireError {
  code: string
  message: string
  details: { type: string, value: string, debug: unknown }[]
}

const violationsByFailure = new WeakMap<Failure, Violation[]>()

/** Throws a Failure of kind `invalidArgument` that names every invalid field. */
export function failViolations (violations: Violation[]): never {
  const descriptions = violations.map(({ path, expected, found }) => `${path}: expected ${expected}, found ${found}`)
  const failure = Failure.create(ErrorKind.invalidArgument, descriptions.join('; '))
  violationsByFailure.set(failure, violations)
  throw failure
}

/** The invalid fields that a failure names; empty if it names none. */
export function getViolations (failure: Failure): readonly Violation[] {
  return violationsByFailure.get(failure) ?? []
}

/** Converts a failure. Its message does not contain the kind, since VError adds the name of an error only in toString(); the detail carries the kind. */
export function toWireError (failure: Failure): WireError {
  const violations = [...getViolations(failure)]
  const retryAfterMs = Math.min(Math.ceil(failure.retryAfterMs), MAX_RETRY_AFTER_MS)
  const detail = create(ErrorDetailSchema, { kind: failure.kind, retryAfterMs, violations })
  return {
    code: ERROR_ANSWERS[failure.kind].code,
    message: failure.message,
    details: [{
      type: ErrorDetailSchema.typeName,
      value: base64Encode(toBinary(ErrorDetailSchema, detail), 'std_raw'),
      debug: { kind: failure.kind, retryAfterMs, violations }
    }]
  }
}

/** Parses an error response; any other body becomes `unavailable` or `internal`, depending on the HTTP status. */
export function fromWireError (status: number, body: string): Failure {
  const wire = parseWireError(body)
  if (wire === undefined) return fromStatus(status)
  const detail = readDetail(wire)
  const kind = findKind(detail?.kind ?? '', wire.code)
  const failure = Failure.create(kind, wire.message, { retryAfterMs: detail?.retryAfterMs ?? 0 })
  if (detail !== undefined && detail.violations.length > 0) violationsByFailure.set(failure, detail.violations)
  return failure
}

function parseWireError (body: string): WireError | undefined {
  try {
    const parsed: unknown = JSON.parse(body)
    if (typeof parsed !== 'object' || parsed === null || !('code' in parsed)) return undefined
    const { code, message, details } = parsed as Partial<WireError>
    return { code: String(code), message: String(message ?? ''), details: Array.isArray(details) ? details : [] }
  } catch {
    return undefined
  }
}

function readDetail (wire: WireError): ErrorDetail | undefined {
  const detail = wire.details.find(each => each?.type === ErrorDetailSchema.typeName)
  if (detail === undefined) return undefined
  try {
    return fromBinary(ErrorDetailSchema, base64Decode(detail.value))
  } catch {
    return undefined
  }
}

/** The kind in the detail, or else a kind with the same Connect code; `internal` for an unknown code. */
function findKind (kind: string, code: string): ErrorKind {
  if (Object.hasOwn(ERROR_ANSWERS, kind)) return kind as ErrorKind
  const known = Object.values(ErrorKind).find(each => ERROR_ANSWERS[each].code === code)
  return known ?? ErrorKind.internal
}

function fromStatus (status: number): Failure {
  const kind = status === 502 || status === 503 || status === 504 ? ErrorKind.unavailable : ErrorKind.internal
  return Failure.create(kind, `the server answered with HTTP status ${status} and without an error of the Connect protocol`)
}
