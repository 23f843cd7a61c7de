/**
 * Reads the body of a request up to a size limit.
 */

import type { IncomingMessage } from 'node:http'
import { ErrorKind, Failure } from '@flamingorouter/scheduler'
import type { RpcLimits } from '../types/limits.js'

/**
 * Rejects with a Failure of kind `payloadTooLarge` when the body exceeds `bodyBytes`, after
 * discarding up to `discardBytes` more, and of kind `cancelled` when the body ends early.
 */
export function readBody (request: IncomingMessage, limits: RpcLimits): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const createTooLargeFailure = (): Failure =>
      Failure.create(ErrorKind.payloadTooLarge, `the body exceeds the limit of ${limits.bodyBytes} bytes`)
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= limits.bodyBytes) {
        chunks.push(chunk)
        return
      }
      chunks.length = 0
      if (size > limits.bodyBytes + limits.discardBytes) {
        request.pause()
        reject(createTooLargeFailure())
      }
    })
    request.on('end', () => {
      if (size > limits.bodyBytes) reject(createTooLargeFailure())
      else resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, size))
    })
    request.on('error', () => { reject(createTruncatedFailure()) })
    request.on('close', () => { if (!request.complete) reject(createTruncatedFailure()) })
  })
}

function createTruncatedFailure (): Failure {
  return Failure.create(ErrorKind.cancelled, 'the connection was closed before the body was complete')
}
