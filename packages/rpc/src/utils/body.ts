/**
 * Reads the body of a request within a bound.
 */

import type { IncomingMessage } from 'node:http'
import { ErrorKind, Failure } from '@flamingorouter/scheduler'
import type { RpcLimits } from '../types/limits.js'

/**
 * Throws a Failure of kind payloadTooLarge past the bound, after it dropped the
 * rest up to a second bound, and of kind cancelled when the body ends early.
 */
export function readBody (request: IncomingMessage, limits: RpcLimits): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const tooLarge = (): Failure =>
      Failure.create(ErrorKind.payloadTooLarge, `the body exceeds ${limits.bodyBytes} bytes`)
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= limits.bodyBytes) {
        chunks.push(chunk)
        return
      }
      chunks.length = 0
      if (size > limits.bodyBytes + limits.discardBytes) {
        request.pause()
        reject(tooLarge())
      }
    })
    request.on('end', () => {
      if (size > limits.bodyBytes) reject(tooLarge())
      else resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, size))
    })
    request.on('error', () => { reject(truncated()) })
    request.on('close', () => { if (!request.complete) reject(truncated()) })
  })
}

function truncated (): Failure {
  return Failure.create(ErrorKind.cancelled, 'the connection ended before the body did')
}
