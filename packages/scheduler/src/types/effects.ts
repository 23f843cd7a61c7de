/**
 * Effects: what the scheduler asks the edges to do. They are released only once
 * every decision of the same step is committed.
 */

import type { ErrorKind } from '../utils/errors.js'
import type { Answer } from './answers.js'
import type { Command } from './events.js'

export type Effect =
  | { kind: 'reply', call: number, answer: Answer }
  | { kind: 'refuse', call: number, error: ErrorKind, message: string, retryAfterMs: number }
  /** Carry commands to a worker by way of an entry. */
  | { kind: 'command', entry: string, target: string, address: string, session: string, fence: number, commands: Command[] }
