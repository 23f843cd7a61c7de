/**
 * Tells a handler that nobody waits for its answer any more.
 */

import type { ServerResponse } from 'node:http'
import { ErrorKind, Failure } from '@flamingorouter/scheduler'

/** Runs a call with a signal that aborts when the other end hangs up or its time is over. */
export async function withNotice<T> (
  res: ServerResponse,
  timeoutMs: number,
  run: (signal: AbortSignal) => Promise<T>
): Promise<T> {
  const controller = new AbortController()
  const hangUp = (): void => { controller.abort(Failure.create(ErrorKind.cancelled, 'the caller hung up')) }
  res.once('close', hangUp)
  if (timeoutMs === 0) {
    return await run(controller.signal).finally(() => { res.off('close', hangUp) })
  }
  return await new Promise<T>((resolve, reject) => {
    const timer = setTimeout(() => {
      const late = Failure.create(ErrorKind.deadlineExceeded, `not answered within ${timeoutMs} ms`)
      controller.abort(late)
      reject(late)
    }, timeoutMs)
    run(controller.signal).then(resolve, reject).finally(() => {
      clearTimeout(timer)
      res.off('close', hangUp)
    })
  })
}
