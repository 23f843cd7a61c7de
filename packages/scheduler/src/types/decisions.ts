/**
 * Decisions: the only things that change the durable state, and the records of
 * the replicated log. A decision holds results, never inputs to be judged again,
 * so that replicas on different policy versions stay equal.
 */

import type { AnsweredChange, AuditEntry, DocumentState, PolicyState, TeamState } from './configuration.js'
import type { EntryState, RequestState, Outcome } from './requests.js'
import type { TargetPhase, TargetState } from './targets.js'
import type { TaskPhase, WorkloadSpec } from './workloads.js'

export type Decision =
  | { kind: 'workloadApplied', id: string, owner: string, spec: WorkloadSpec, version: number, at: number }
  /** The workload takes no more starts; tasks that hold a worker are stopped first. */
  | { kind: 'workloadEnded', id: string, reason: string }
  /** A workload that ended is dropped from the state. */
  | { kind: 'workloadForgotten', id: string }
  | { kind: 'taskPlaced', id: string, index: number, attempt: number, target: string, session: string }
  | { kind: 'taskStarted', id: string, index: number, attempt: number }
  | { kind: 'taskStopping', id: string, index: number, attempt: number, stopping: 'cancel' | 'preempt' }
  /** The attempt is over, and the task ends with it. */
  | { kind: 'taskEnded', id: string, index: number, attempt: number, phase: TaskPhase, reason: string }
  /** The attempt is over, and the task waits again. */
  | { kind: 'taskRequeued', id: string, index: number, attempt: number, failed: boolean, reason: string, at: number }
  | { kind: 'targetAnnounced', target: TargetState }
  | { kind: 'targetPhaseSet', name: string, session: string, phase: TargetPhase }
  | { kind: 'targetRemoved', name: string, session: string }
  | { kind: 'vmDrained', vm: string, reason: string }
  | { kind: 'vmReadmitted', vm: string }
  | { kind: 'requestClaimed', request: RequestState }
  | { kind: 'requestSettled', key: string, outcome: Outcome, at: number }
  | { kind: 'requestForgotten', key: string }
  | { kind: 'entryExtended', entry: EntryState }
  | { kind: 'entryForgotten', name: string }
  | { kind: 'teamPut', team: TeamState }
  | { kind: 'policyPut', policy: PolicyState }
  | { kind: 'documentPut', document: DocumentState }
  | { kind: 'audited', entry: AuditEntry }
  | { kind: 'changeAnswered', key: string, answered: AnsweredChange }
  | { kind: 'changeForgotten', key: string }

export type DecisionKind = Decision['kind']
