/**
 * One call as the server hands it to a handler.
 */

import type { DescMethodUnary, Message } from '@bufbuild/protobuf'
import type { Principal, Role } from './principal.js'
import type { Check } from './violation.js'

/** A method of the schema with what the server enforces before it calls a handler. */
export interface MethodRules {
  method: DescMethodUnary<any, any>
  /** Finds the violations in a decoded request. */
  check: Check<any>
  /** Roles that may call it; one of them suffices. */
  roles: readonly Role[]
}

export interface RpcCall {
  /** Full name, as in flamingorouter.callers.v1.CallerService/Submit. */
  name: string
  method: DescMethodUnary<any, any>
  /** The decoded and checked request. */
  request: any
  /** The request in the binary encoding of its message, for passing on. */
  body: Uint8Array
  principal: Principal
  /** Milliseconds that the caller waits; 0 when it did not say. */
  timeoutMs: number
  /** Aborts when the caller hung up or its time ran out. */
  signal: AbortSignal
  /** Resolves when the response has been read by the other end, or cut off. */
  closed: Promise<void>
}

/** The response as a message, or as its binary encoding. */
export type RpcResult = Message | Uint8Array

export type RpcHandler = (call: RpcCall) => Promise<RpcResult>

/** Full name of a method, which is also its HTTP path without the slash at the front. */
export function methodName (method: DescMethodUnary<any, any>): string {
  return `${method.parent.typeName}/${method.name}`
}
