/**
 * A binding connects one method of the schema to the scheduler: a change becomes an event
 * whose answer becomes the response; a read is answered from the state that the leader
 * serves under its lease.
 */

import type { DescMessage, DescMethodUnary, MessageShape } from '@bufbuild/protobuf'
import type { Answer, ClusterState, Event } from '@flamingorouter/scheduler'

/** The authenticated caller of a method and the circumstances of the call. */
export interface CallContext {
  /** Number of the call, to which the scheduler's answer refers. */
  call: number
  /** Name of the caller, operator or target. */
  actor: string
  /** The only team that the actor may act for; empty for all teams. */
  team: string
  /** Identity of the entry that received the call. */
  entry: string
  /** Cluster time in milliseconds. */
  now: number
  /** SHA-256 of the encoded request, in hexadecimal. */
  digest: string
}

/** A method that is handled as an event of the scheduler. */
export interface EventBinding<I extends DescMessage = DescMessage, O extends DescMessage = DescMessage> {
  kind: 'event'
  method: DescMethodUnary<I, O>
  toEvent: (request: MessageShape<I>, context: CallContext) => Event
  toResponse: (answer: Answer, request: MessageShape<I>) => MessageShape<O>
}

/** A method that only reads the state. */
export interface ReadBinding<I extends DescMessage = DescMessage, O extends DescMessage = DescMessage> {
  kind: 'read'
  method: DescMethodUnary<I, O>
  read: (request: MessageShape<I>, context: CallContext, state: ClusterState) => MessageShape<O>
  /**
   * Longest time in milliseconds that a read waits for a change. Absent, like `isChanged`,
   * for a read that is answered immediately.
   */
  waitMs?: (request: MessageShape<I>) => number
  /** True when the state already differs from what the caller has seen. */
  isChanged?: (request: MessageShape<I>, state: ClusterState) => boolean
}

export type Binding = EventBinding<any, any> | ReadBinding<any, any>
