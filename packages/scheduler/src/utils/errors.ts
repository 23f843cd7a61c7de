/**
 * The complete list of error kinds, and the table that maps each kind to an HTTP
 * status, a code of the Connect protocol and an exit code of the command line.
 */

import VError from 'verror'

export const ErrorKind = Object.freeze({
  invalidArgument: 'invalidArgument',
  payloadTooLarge: 'payloadTooLarge',
  unsupportedMediaType: 'unsupportedMediaType',
  unauthenticated: 'unauthenticated',
  permissionDenied: 'permissionDenied',
  notFound: 'notFound',
  alreadyExists: 'alreadyExists',
  conflict: 'conflict',
  failedPrecondition: 'failedPrecondition',
  infeasible: 'infeasible',
  resourceExhausted: 'resourceExhausted',
  deadlineExceeded: 'deadlineExceeded',
  cancelled: 'cancelled',
  unavailable: 'unavailable',
  notLeader: 'notLeader',
  unimplemented: 'unimplemented',
  dataLoss: 'dataLoss',
  internal: 'internal'
} as const)
export type ErrorKind = typeof ErrorKind[keyof typeof ErrorKind]

export interface ErrorAnswer {
  /** Status of an HTTP response. */
  httpStatus: number
  /** Code of the Connect protocol. */
  code: string
  /** Exit code of the command line. */
  exitCode: number
  /** True when nothing was done and the same request may succeed later. */
  retryable: boolean
}

export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = Object.freeze({
  invalidArgument: { httpStatus: 400, code: 'invalid_argument', exitCode: 2, retryable: false },
  payloadTooLarge: { httpStatus: 413, code: 'resource_exhausted', exitCode: 3, retryable: false },
  unsupportedMediaType: { httpStatus: 415, code: 'invalid_argument', exitCode: 2, retryable: false },
  unauthenticated: { httpStatus: 401, code: 'unauthenticated', exitCode: 4, retryable: false },
  permissionDenied: { httpStatus: 403, code: 'permission_denied', exitCode: 5, retryable: false },
  notFound: { httpStatus: 404, code: 'not_found', exitCode: 6, retryable: false },
  alreadyExists: { httpStatus: 409, code: 'already_exists', exitCode: 7, retryable: false },
  conflict: { httpStatus: 409, code: 'aborted', exitCode: 8, retryable: false },
  failedPrecondition: { httpStatus: 400, code: 'failed_precondition', exitCode: 9, retryable: false },
  infeasible: { httpStatus: 400, code: 'failed_precondition', exitCode: 10, retryable: false },
  resourceExhausted: { httpStatus: 429, code: 'resource_exhausted', exitCode: 11, retryable: true },
  deadlineExceeded: { httpStatus: 504, code: 'deadline_exceeded', exitCode: 12, retryable: false },
  cancelled: { httpStatus: 499, code: 'canceled', exitCode: 13, retryable: false },
  unavailable: { httpStatus: 503, code: 'unavailable', exitCode: 14, retryable: true },
  notLeader: { httpStatus: 503, code: 'unavailable', exitCode: 14, retryable: true },
  unimplemented: { httpStatus: 501, code: 'unimplemented', exitCode: 15, retryable: false },
  dataLoss: { httpStatus: 500, code: 'data_loss', exitCode: 16, retryable: false },
  internal: { httpStatus: 500, code: 'internal', exitCode: 1, retryable: false }
})

/**
 * Kinds whose failures have no stack trace: they say that a process cannot answer now, and an overloaded process creates
 * hundreds of them a second.
 */
const UNTRACED_KINDS: ReadonlySet<ErrorKind> = new Set([ErrorKind.notLeader, ErrorKind.unavailable, ErrorKind.deadlineExceeded, ErrorKind.resourceExhausted])

/** The only error type that is reported to callers, operators and other processes. */
export class Failure extends VError {
  readonly kind: ErrorKind
  /** Milliseconds after which a retry is worthwhile; 0 when not known. */
  readonly retryAfterMs: number

  private constructor (kind: ErrorKind, message: string, retryAfterMs: number, cause?: Error) {
    super({ name: kind, cause }, '%s', message)
    this.kind = kind
    this.retryAfterMs = retryAfterMs
  }

  static create (kind: ErrorKind, message: string, options: { retryAfterMs?: number, cause?: Error } = {}): Failure {
    const { stackTraceLimit } = Error
    if (UNTRACED_KINDS.has(kind)) Error.stackTraceLimit = 0
    try {
      return new Failure(kind, message, options.retryAfterMs ?? 0, options.cause)
    } finally {
      Error.stackTraceLimit = stackTraceLimit
    }
  }
}

/** Why a call is refused: the content of a `Failure`, without the cost of an error. */
export interface Refusal {
  kind: ErrorKind
  message: string
  /** Milliseconds after which a retry is worthwhile; absent when not known. */
  retryAfterMs?: number
}

/** Throws a Failure of a kind. */
export function fail (kind: ErrorKind, message: string): never {
  throw Failure.create(kind, message)
}

export function isFailure (value: unknown): value is Failure {
  return value instanceof Failure
}

/** Converts any thrown value into a `Failure`; a value that is not a `Failure` gets the kind `internal`. */
export function toFailure (thrown: unknown): Failure {
  if (isFailure(thrown)) return thrown
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown))
  return Failure.create(ErrorKind.internal, cause.message, { cause })
}
