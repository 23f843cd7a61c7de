/**
 * Frames exchanged between the system's own processes. Each is encoded as one
 * CBOR map after a four-byte length.
 */

/** The first frame on a connection, in both directions. */
export interface HelloFrame {
  kind: 'hello'
  /** Name of the controller group; a process refuses peers of another group. */
  group: string
  /** Name of the sending process. */
  process: string
  role: 'controller' | 'entry'
  availabilityZone: string
}

/** A call by either side; answered by one AnswerFrame with the same id. */
export interface CallFrame {
  kind: 'call'
  id: number
  /** Full name of an RPC, or of an internal method. */
  method: string
  body: unknown
}

/** The answer to the call with the same id: its result, or the error that it failed with. */
export interface AnswerFrame {
  kind: 'answer'
  id: number
  body?: unknown
  error?: { kind: string, message: string, retryAfterMs: number, leader?: string }
}

/** A Raft message between controllers. */
export interface ReplicationFrame {
  kind: 'replication'
  message: unknown
}

/** A one-way message. */
export interface NoticeFrame {
  kind: 'notice'
  topic: string
  body: unknown
}

/** Keep-alive of an idle link. */
export interface PingFrame {
  kind: 'ping'
}

export type Frame = PingFrame | HelloFrame | CallFrame | AnswerFrame | ReplicationFrame | NoticeFrame
