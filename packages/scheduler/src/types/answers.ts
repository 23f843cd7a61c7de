/**
 * Answers to calls. Each kind of event that has a `call` is answered by one of
 * these kinds, or refused.
 */

import type { JobPhase } from './jobs.js'
import type { Grant, Outcome } from './requests.js'

export type Answer =
  /** The session of a target that announced itself, with the fencing token of the session. */
  | { kind: 'session', session: string, fence: number, leaseMs: number, renewEveryMs: number }
  /** `acknowledged` lists reported task ends, as `task#attempt`, that the worker may discard. */
  | { kind: 'renewed', leaseMs: number, acknowledged: string[], sessionOver: boolean }
  /** Number of requests and tasks that the target still has. */
  | { kind: 'left', inFlight: number }
  /** The changed object, with its new version; version 0 for a member. */
  | { kind: 'applied', id: string, version: number }
  /** Number of cancelled jobs. */
  | { kind: 'cancelled', count: number }
  /** Number of targets that a drain, its lifting or the removal of a VM applies to. */
  | { kind: 'targets', count: number }
  | { kind: 'explained', summary: string, constraints: Constraint[] }
  | { kind: 'granted', grant: Grant }
  | { kind: 'outcome', outcome: Outcome }
  | { kind: 'jobAccepted' }
  /** `phase` is undefined when there is no such job. `isStarted` is true once any of its tasks was placed on a worker. */
  | { kind: 'job', phase: JobPhase | undefined, isStarted: boolean }
  /** Number of live jobs of a queue without a confirmed run. */
  | { kind: 'jobsWaiting', count: number }
  /** The configuration in force. */
  | { kind: 'cell', version: number, document: string }
  /** `isOver` is true once each VM of the wave is back or was skipped. */
  | { kind: 'upkeepWave', isKnown: boolean, isOver: boolean }
  /** The report of a called worker, or its notice that it leaves, was handled. */
  | { kind: 'workerKnown' }

/** A constraint that a waiting task needs satisfied, and the number of VMs that fail it. */
export interface Constraint { name: string, failingVms: number, detail: string }
