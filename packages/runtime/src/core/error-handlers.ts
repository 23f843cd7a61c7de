/**
 * Last resort for errors that no caller handles: each is logged with its stack, so
 * that it can be traced. A rejected promise concerns one operation, and the process
 * goes on. After an uncaught exception the state of the process is not known any
 * more, so it exits; the state that counts is replicated.
 */

import type { LogFields, RuntimeLog } from './runtime-log.js'

/** Delay before the process exits, so that the last lines of the log are written, in milliseconds. */
const EXIT_DELAY_MS = 50

const FAULT_EXIT_CODE = 1

/** The part of Node's `process` that reports unhandled errors and ends the process. */
export interface ErrorSource {
  on: (event: 'uncaughtException' | 'unhandledRejection', handle: (thrown: unknown) => void) => unknown
  exit: (code: number) => void
}

/** Logs errors that nothing else handles; see the head of this module. */
export function handleUnexpectedErrors (source: ErrorSource, log: RuntimeLog): void {
  source.on('unhandledRejection', thrown => { log.error('unhandled_rejection', describeError(thrown)) })
  source.on('uncaughtException', thrown => {
    log.error('uncaught_exception', describeError(thrown))
    setTimeout(() => { source.exit(FAULT_EXIT_CODE) }, EXIT_DELAY_MS)
  })
}

export function describeError (thrown: unknown): LogFields {
  return thrown instanceof Error ? { error: thrown.message, stack: thrown.stack ?? '' } : { error: String(thrown) }
}
