/**
 * Effects: what the scheduler asks the edges to do. They are released only once
 * every decision of the same step is committed.
 */

import type { ErrorKind } from '../utils/errors.js'
import type { Answer } from './answers.js'
import type { Command } from './events.js'
import type { CalledWorker } from './jobs.js'

/** True for the effects that end a call. */
export function isAnswerEffect (effect: Effect): effect is Extract<Effect, { kind: 'reply' | 'refuse' }> {
  return effect.kind === 'reply' || effect.kind === 'refuse'
}

export type Effect =
  | { kind: 'reply', call: number, answer: Answer }
  | { kind: 'refuse', call: number, error: ErrorKind, message: string, retryAfterMs: number }
  /** Carry commands to a worker by way of an entry. */
  /** Start a run on a worker that is called. */
  | { kind: 'startRun', worker: CalledWorker, task: string, run: number, payload: string, checkpoint: string, ticket: string }
  | { kind: 'stopRun', worker: CalledWorker, task: string, run: number, reason: string }
  /** Let a run work at a share of its speed, in percent. */
  | { kind: 'paceRun', worker: CalledWorker, task: string, run: number, percent: number }
  /** Keep the lease of a worker extended and report what it runs. */
  | { kind: 'watchWorker', worker: CalledWorker }
  | { kind: 'unwatchWorker', id: string, incarnation: number }
  /** Ends up to a number are in the log; the worker may forget them. */
  | { kind: 'ackEnds', id: string, incarnation: number, cursor: number }
  /** Ask the VM service which VMs there are and whether they are up. */
  | { kind: 'listVms' }
  /** Have a VM taken down for its upkeep; a repeat is carried out once. */
  | { kind: 'orderUpkeep', wave: number, vm: string }
  /** Ask the external admission service, by way of an entry. */
  | { kind: 'askAdmission', entry: string, stage: string, workers: string[], timeoutMs: number }
  | { kind: 'command', entry: string, target: string, address: string, session: string, fence: number, commands: Command[] }
