/**
 * A binding ties one method of the schema to the scheduler: a change or a wait
 * becomes an event whose answer becomes the response; a read is made from the
 * state that the leader holds under its lease.
 */

import type { DescMessage, DescMethodUnary, MessageShape } from '@bufbuild/protobuf'
import type { Answer, ClusterState, Event } from '@flamingorouter/scheduler'

/** Who calls, as the entry authenticated it. */
export interface CallContext {
  /** Number under which the scheduler answers. */
  call: number
  /** Name of the caller, operator or target. */
  actor: string
  /** Team to which the actor is bound; empty when it may act for all. */
  team: string
  /** Identity of the entry that took the call. */
  entry: string
  /** Cluster time in milliseconds. */
  now: number
  /** SHA-256 of the encoded request in hexadecimal. */
  digest: string
}

/** A method that becomes an event. */
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
   * For a read that waits for a change: how long at most, in milliseconds, and
   * whether the response would be new already. Absent for a read that answers at once.
   */
  waitMs?: (request: MessageShape<I>) => number
  isChanged?: (request: MessageShape<I>, state: ClusterState) => boolean
}

export type Binding = EventBinding<any, any> | ReadBinding<any, any>
