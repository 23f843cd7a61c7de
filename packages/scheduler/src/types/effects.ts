/**
 * Effects: the actions that the scheduler asks the runtime to carry out. They are
 * released only after every decision of the same step is committed. Exceptions are
 * askAdmission, listVms, watchWorker and unwatchWorker, which depend on no decision
 * and are released at once.
 */

import type { ErrorKind } from '../utils/errors.js'
import type { Answer } from './answers.js'
import type { Command, RunAnomaly, WorkerLoss } from './events.js'
import type { CalledWorker, StageSpec } from './jobs.js'

/** True for the effects that end a call. */
export function isAnswerEffect (effect: Effect): effect is Extract<Effect, { kind: 'reply' | 'refuse' }> {
  return effect.kind === 'reply' || effect.kind === 'refuse'
}

export type Effect =
  | { kind: 'reply', call: number, answer: Answer }
  | { kind: 'refuse', call: number, error: ErrorKind, message: string, retryAfterMs: number }
  /** Start a run on a worker that the leader calls. */
  | { kind: 'startRun', worker: CalledWorker, task: string, run: number, payload: string, checkpoint: string, ticket: string }
  | { kind: 'stopRun', worker: CalledWorker, task: string, run: number, reason: string }
  /** Limit a run to a share of its full speed, in percent. */
  | { kind: 'paceRun', worker: CalledWorker, task: string, run: number, percent: number }
  /** Keep extending the lease of a worker and report its runs. */
  | { kind: 'watchWorker', worker: CalledWorker }
  | { kind: 'unwatchWorker', id: string, incarnation: number }
  /** Record a contradiction about a run for operators. `detail` says what the replicated state has for its task. */
  | { kind: 'noteRunAnomaly', anomaly: RunAnomaly, worker: string, incarnation: number, task: string, run: number, detail: string }
  /** Record for operators that the runs of a worker are lost. `runs` describes the youngest of them, with their ages. */
  | { kind: 'noteWorkerLost', worker: CalledWorker, loss: WorkerLoss, runCount: number, runs: string }
  /** Record for operators that no known worker could hold the waiting tasks of a stage, of a gang all of them together. */
  | { kind: 'noteInfeasible', stage: string, queue: string, spec: StageSpec, taskCount: number }
  /** Run ends numbered up to `cursor` are committed; the worker may discard them. */
  | { kind: 'ackEnds', id: string, incarnation: number, cursor: number }
  /** Ask the VM service for the VMs that exist and whether they are up. */
  | { kind: 'listVms' }
  /** Have a VM taken down for its upkeep. Idempotent: a repeated order takes it down only once. */
  | { kind: 'orderUpkeep', wave: number, vm: string }
  /** Ask the external admission service, through an entry, which of the workers may run a stage. */
  | { kind: 'askAdmission', entry: string, stage: string, workers: string[], timeoutMs: number }
  /** Deliver commands to a worker through an entry. */
  | { kind: 'command', entry: string, target: string, address: string, session: string, fence: number, commands: Command[] }
