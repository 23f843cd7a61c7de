/**
 * Frames between the system's own processes. Each is one CBOR map behind a
 * four-byte length.
 */

/** First frame on a connection, in both directions. */
export interface HelloFrame {
  kind: 'hello'
  group: string
  process: string
  role: 'controller' | 'entry'
  availabilityZone: string
}

/** A call; answered by one AnswerFrame with the same id. Either side may call. */
export interface CallFrame {
  kind: 'call'
  id: number
  /** Full name of an RPC, or of an internal method. */
  method: string
  body: unknown
}

export interface AnswerFrame {
  kind: 'answer'
  id: number
  body?: unknown
  error?: { kind: string, message: string, retryAfterMs: number, leader?: string }
}

/** A message of the replicated log between controllers. */
export interface ReplicationFrame {
  kind: 'replication'
  message: unknown
}

/** A message without an answer. */
export interface NoticeFrame {
  kind: 'notice'
  topic: string
  body: unknown
}

/** Says only that the sender lives. */
export interface PingFrame {
  kind: 'ping'
}

export type Frame = PingFrame | HelloFrame | CallFrame | AnswerFrame | ReplicationFrame | NoticeFrame
