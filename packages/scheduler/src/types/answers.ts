/**
 * Answers to calls, one shape for each kind of event that has a `call`.
 */

import type { JobPhase } from './jobs.js'
import type { Grant, Outcome } from './requests.js'

export type Answer =
  | { kind: 'session', session: string, fence: number, leaseMs: number, renewEveryMs: number }
  | { kind: 'renewed', leaseMs: number, acknowledged: string[], sessionOver: boolean }
  | { kind: 'left', inFlight: number }
  | { kind: 'applied', id: string, version: number }
  | { kind: 'cancelled', count: number }
  | { kind: 'targets', count: number }
  | { kind: 'explained', summary: string, constraints: Constraint[] }
  | { kind: 'granted', grant: Grant }
  | { kind: 'outcome', outcome: Outcome }
  | { kind: 'jobAccepted' }
  /** No phase: there is no such job. `isStarted` tells whether any of its tasks ever ran. */
  | { kind: 'job', phase: JobPhase | undefined, isStarted: boolean }
  | { kind: 'jobsWaiting', count: number }
  | { kind: 'cell', version: number, document: string }
  | { kind: 'upkeepWave', isKnown: boolean, isOver: boolean }
  | { kind: 'workerKnown' }

export interface Constraint { name: string, failingVms: number, detail: string }
