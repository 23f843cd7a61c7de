/**
 * Cancels the work of a handler whose caller no longer waits for the answer.
 */

import type { ServerResponse } from 'node:http'
import { ErrorKind, Failure } from '@flamingorouter/scheduler'

/**
 * Runs a call with a signal that aborts when the caller disconnects or `timeoutMs` have
 * passed; in the latter case the result also rejects with a Failure of kind
 * `deadlineExceeded`. A `timeoutMs` of 0 sets no time limit.
 */
export async function runWithCancellation<T> (
  res: ServerResponse,
  timeoutMs: number,
  run: (signal: AbortSignal) => Promise<T>
): Promise<T> {
  const controller = new AbortController()
  const cancel = (): void => { controller.abort(Failure.create(ErrorKind.cancelled, 'the caller closed the connection before it was answered')) }
  res.once('close', cancel)
  if (timeoutMs === 0) {
    return await run(controller.signal).finally(() => { res.off('close', cancel) })
  }
  return await new Promise<T>((resolve, reject) => {
    const timer = setTimeout(() => {
      const failure = Failure.create(ErrorKind.deadlineExceeded, `the call was not answered within its time limit of ${timeoutMs} ms`)
      controller.abort(failure)
      reject(failure)
    }, timeoutMs)
    run(controller.signal).then(resolve, reject).finally(() => {
      clearTimeout(timer)
      res.off('close', cancel)
    })
  })
}
