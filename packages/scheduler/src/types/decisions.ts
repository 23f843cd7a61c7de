/**
 * Decisions are the records of the replicated log and the only way to change the
 * replicated state. A decision holds the result of an evaluation, never its inputs,
 * so that replicas that run different policy versions reach the same state.
 */

import type { AnsweredChange, AuditEntry, DocumentState, PolicyState, TeamState } from './configuration.js'
import type { CalledWorker, CellConfiguration, JobPhase, JobSpec, TaskCrashes, TaskRef } from './jobs.js'
import type { EntryState, RequestState, Outcome } from './requests.js'
import type { TargetPhase, TargetState } from './targets.js'
import type { EndCause, TaskPhase, WorkloadSpec } from './workloads.js'
import type { UpkeepPhase, UpkeepWave } from './upkeep.js'

export type Decision =
  | { kind: 'workloadApplied', id: string, owner: string, spec: WorkloadSpec, version: number, at: number }
  /** Every task has ended. */
  | { kind: 'workloadEnded', id: string, reason: string }
  /** Every task that has not ended is being stopped; none of them is started again. */
  | { kind: 'workloadStopping', id: string, version: number, reason: string }
  /** No task of the workload starts before a time, in milliseconds of cluster time. */
  | { kind: 'workloadDelayed', id: string, notBefore: number }
  /** A workload that ended is removed from the state. */
  | { kind: 'workloadForgotten', id: string }
  | { kind: 'taskPlaced', id: string, index: number, attempt: number, target: string, session: string }
  | { kind: 'taskStarted', id: string, index: number, attempt: number }
  | { kind: 'taskStopping', id: string, index: number, attempt: number, stopping: 'cancel' | 'preempt' }
  /** The attempt is over and so is the task. `target` is the worker that the task was assigned to; empty when it was waiting. */
  | { kind: 'taskEnded', id: string, index: number, attempt: number, target: string, phase: TaskPhase, cause: EndCause, reason: string }
  /** The attempt is over and the task waits again. */
  | { kind: 'taskRequeued', id: string, index: number, attempt: number, target: string, failures: number, losses?: number, cause: EndCause, reason: string, at: number, notBefore: number }
  | { kind: 'targetAnnounced', target: TargetState }
  | { kind: 'targetPhaseSet', name: string, session: string, phase: TargetPhase }
  | { kind: 'targetRemoved', name: string, session: string }
  | { kind: 'vmDrained', vm: string, reason: string }
  | { kind: 'vmReadmitted', vm: string }
  | { kind: 'targetDrained', name: string, reason: string }
  | { kind: 'targetReadmitted', name: string }
  /** Adds the record of a request that must not run twice, before its grant is sent, or when it is settled without one. */
  | { kind: 'requestClaimed', request: RequestState }
  | { kind: 'requestSettled', key: string, outcome: Outcome, at: number }
  /** Removes a record; a repeat stays refused by its creation time or fingerprint. */
  | { kind: 'requestForgotten', key: string }
  /** Sets the horizon of a process of an entry. */
  | { kind: 'entryExtended', entry: EntryState }
  /** Removes a process of an entry whose horizon has passed. */
  | { kind: 'entryForgotten', instance: string }
  | { kind: 'teamPut', team: TeamState }
  | { kind: 'policyPut', policy: PolicyState }
  | { kind: 'documentPut', document: DocumentState }
  /** Appends to the audit trail; the oldest entries beyond `limit` are removed. */
  | { kind: 'audited', entry: AuditEntry, limit: number }
  /** Keeps the answer to a change for repeats of its request id. */
  | { kind: 'changeAnswered', key: string, answered: AnsweredChange }
  | { kind: 'changeForgotten', key: string }
  /** Changes nothing; its commit proves that this replica was the leader when it was proposed. */
  | { kind: 'leadershipProbed' }
  | { kind: 'cellConfigured', cell: CellConfiguration }
  /** Adds a called worker or replaces its description. */
  | { kind: 'calledWorkerKnown', worker: CalledWorker }
  | { kind: 'calledWorkerForgotten', id: string, incarnation: number }
  /** The oldest finished waves beyond `limit` are removed. */
  | { kind: 'upkeepWaveAccepted', wave: UpkeepWave, limit: number }
  | { kind: 'upkeepPhaseSet', wave: number, vm: string, phase: UpkeepPhase }
  /** `account` and `isBeyondWeight` are as in `StagedJob`; decisions of earlier versions lack them. */
  | { kind: 'jobAccepted', id: string, queue: string, account?: string, isBeyondWeight?: boolean, spec: JobSpec, at: number, heldMs?: number }
  /** `reason` says why a job failed; decisions of earlier versions lack it. */
  | { kind: 'jobClosed', id: string, phase: JobPhase, at: number, reason?: string }
  | { kind: 'jobForgotten', id: string }
  /** A job that is not known was cancelled; `fingerprint` is that of its id. Ids that were cancelled before `keptFrom` are removed. */
  | { kind: 'unknownJobCancelled', fingerprint: string, at: number, keptFrom: number }
  | { kind: 'occurrenceOpened', id: string, occurrence: number }
  | { kind: 'runPlaced', ref: TaskRef, run: number, worker: string, incarnation: number }
  /**
   * A run succeeded or failed, which may be an earlier one than the run that is placed. A success ends the task; a failure
   * counts once towards the attempt limit of the queue. `workMs` is the work of a run that succeeded, in milliseconds on a
   * worker of speed 1; absent when it is not known.
   */
  | { kind: 'runEnded', ref: TaskRef, run: number, succeeded: boolean, workMs?: number }
  /** A run is over or never started, and its task waits again. `checkpoint` is empty unless there is a newer one. */
  | { kind: 'runReleased', ref: TaskRef, run: number, checkpoint: string, reason: string }
  /** Replaces the crashes that count against a task. */
  | { kind: 'crashesCounted', ref: TaskRef, crashes: TaskCrashes }

export type DecisionKind = Decision['kind']

/** The decisions of one kind, or of several. */
export type DecisionOf<K extends DecisionKind> = Extract<Decision, { kind: K }>
