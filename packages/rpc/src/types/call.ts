/**
 * One call as the server passes it to a handler.
 */

import type { DescMethodUnary, Message } from '@bufbuild/protobuf'
import type { Principal, Role } from './principal.js'
import type { Check } from './violation.js'

/** A method of the schema with the rules that the server enforces before it calls the handler. */
export interface MethodRules {
  method: DescMethodUnary<any, any>
  /** Reports the violations in a decoded request. */
  check: Check<any>
  /** Roles of which the caller needs at least one. */
  roles: readonly Role[]
}

export interface RpcCall {
  /** Full name, for example flamingorouter.callers.v1.CallerService/Submit. */
  name: string
  method: DescMethodUnary<any, any>
  /** The decoded and validated request. */
  request: any
  /** The request in the binary encoding of its message, for forwarding. */
  body: Uint8Array
  principal: Principal
  /** Time limit that the caller stated, in milliseconds; 0 for none. */
  timeoutMs: number
  /** Aborts when the caller disconnects or its time limit expires. */
  signal: AbortSignal
  /** Resolves when the caller has received the response or its connection was closed. */
  closed: Promise<void>
}

/** The response as a message or in its binary encoding. */
export type RpcResult = Message | Uint8Array

export type RpcHandler = (call: RpcCall) => Promise<RpcResult>

/** Full name of a method, which is also its HTTP path without the leading slash. */
export function getMethodName (method: DescMethodUnary<any, any>): string {
  return `${method.parent.typeName}/${method.name}`
}
