/**
 * Refuses connections that do not send a valid HTTP request in time.
 */

import type { Socket } from 'node:net'
import { ERROR_ANSWERS, ErrorKind, Failure } from '@flamingorouter/scheduler'
import { ContentType } from './codec.js'
import { toWireError } from './wire-error.js'

/** Answers a request that node:http could not parse or that did not arrive in time, and closes its connection. */
export function refuseConnection (error: Error & { code?: string }, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const failure = describeClientError(error)
  const body = JSON.stringify(toWireError(failure))
  const { httpStatus } = ERROR_ANSWERS[failure.kind]
  socket.end([
    `HTTP/1.1 ${httpStatus} ${failure.kind}`,
    `content-type: ${ContentType.json}`,
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body
  ].join('\r\n'), () => { socket.destroy() })
}

function describeClientError (error: Error & { code?: string }): Failure {
  if (error.code === 'HPE_HEADER_OVERFLOW') return Failure.create(ErrorKind.payloadTooLarge, 'the headers exceed their size limit')
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return Failure.create(ErrorKind.deadlineExceeded, 'the request did not arrive within its time limit')
  return Failure.create(ErrorKind.invalidArgument, 'the received bytes are not an HTTP request')
}
