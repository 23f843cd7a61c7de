/**
 * Events: the inputs of the scheduler. An event with a `call` is answered by
 * exactly one reply or refusal with that number; a call of `acquire` may get none if
 * its entry was lost or repeated it under the same token.
 */

import type { DocumentState, PolicyState, TeamState } from './configuration.js'
import type { CalledWorker, CellConfiguration, JobSpec } from './jobs.js'
import type { EntryReport, Outcome, RequestFacts } from './requests.js'
import type { Resources } from './resources.js'
import type { Failure } from '../utils/errors.js'
import type { TargetKind } from './targets.js'
import type { WorkloadSpec } from './workloads.js'
import type { ListedVm, UpkeepOutcome } from './upkeep.js'

/** Identifies a change, so that an actor can send it again when the answer was lost. */
export interface ChangeOrigin {
  actor: string
  /** Empty when repeats need not be detected. */
  requestId: string
  method: string
  /** SHA-256 of the request message. */
  digest: string
}

export const TaskResult = Object.freeze({
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped',
  checkpointed: 'checkpointed',
  /** The worker refused the start; the task did not run. */
  refused: 'refused'
} as const)
export type TaskResult = typeof TaskResult[keyof typeof TaskResult]

export interface TaskUsage { task: string, attempt: number, usage: Resources }
/** The end of one attempt; `runMs` is its run time in milliseconds. */
export interface TaskEnd { task: string, attempt: number, result: TaskResult, reason: string, runMs: number }

export interface Announcement {
  name: string
  kind: TargetKind
  /** Increases with each start of the target. */
  incarnation: number
  vm: string
  rack: string
  availabilityZone: string
  /** Host and port as `host:port`. */
  address: string
  /** Zero for a runner. */
  capacity: Resources
  /** Service of a runner; empty for a worker. */
  service: string
  /** Requests that a runner runs at the same time; 0 for a worker. */
  slots: number
  /** Connections that a runner accepts at the same time; 0 for a worker. */
  connections: number
}

export type Event =
  /** Sent at a fixed interval; drives timeouts. */
  | { kind: 'tick' }
  /** A target asks for a session. */
  | { kind: 'announce', call: number, entry: string, announcement: Announcement }
  /** A target extends its lease; a worker also reports the usage of its running tasks, and each end until it is acknowledged. */
  | { kind: 'renew', call: number, entry: string, name: string, session: string, running: TaskUsage[], ended: TaskEnd[] }
  /** A target is about to shut down and takes no new work. */
  | { kind: 'leave', call: number, name: string, session: string, reason: string }
  /** A worker's answers to the commands that an entry delivered to it. */
  | { kind: 'commandResults', target: string, session: string, results: CommandResult[] }
  /** An entry could not deliver the commands to the worker. */
  | { kind: 'commandsLost', target: string, session: string, commands: Command[], reason: string }
  /** `expectedVersion` is the version that the operator read last; 0 creates the workload and is refused when it exists. */
  | { kind: 'applyWorkload', call: number, origin: ChangeOrigin, id: string, spec: WorkloadSpec, expectedVersion: number }
  | { kind: 'submitJob', call: number, origin: ChangeOrigin, spec: WorkloadSpec }
  /** With a team, only jobs of that team are cancelled. */
  | { kind: 'cancelJobs', call: number, origin: ChangeOrigin, id: string, selector: Record<string, string>, team?: string }
  /** With an `expectedVersion` of 0, any version is deleted. */
  | { kind: 'deleteWorkload', call: number, origin: ChangeOrigin, id: string, expectedVersion: number }
  /** Here and for policies and documents, `expectedVersion` is the current version; 0 when there is none yet. */
  | { kind: 'putTeam', call: number, origin: ChangeOrigin, team: TeamState, expectedVersion: number }
  | { kind: 'putPolicy', call: number, origin: ChangeOrigin, policy: PolicyState, expectedVersion: number }
  | { kind: 'putDocument', call: number, origin: ChangeOrigin, document: DocumentState, expectedVersion: number }
  /** Excludes a target, or all targets of a VM, from new work; exactly one of `vm` and `target` is set. */
  | { kind: 'drain', call: number, origin: ChangeOrigin, vm: string, target: string, reason: string }
  /** Lifts a drain; exactly one of `vm` and `target` is set. */
  | { kind: 'readmit', call: number, origin: ChangeOrigin, vm: string, target: string }
  /** The platform confirmed that nothing runs on a VM any more; its targets are removed. */
  | { kind: 'vmGone', call: number, origin: ChangeOrigin, vm: string }
  /** The membership of controllers was changed, or the change was refused; recorded in the audit trail. */
  | { kind: 'memberChanged', call: number, origin: ChangeOrigin, member: string, before: string, after: string, refusal: Failure | undefined }
  /** Asks why the waiting tasks of a workload are not placed. */
  | { kind: 'explain', call: number, id: string }
  /** An entry asks for a slot for a request; answered by a `Grant` or an `Outcome`. */
  | { kind: 'acquire', call: number, entry: string, facts: RequestFacts }
  /** An entry reports the outcome of a grant; `retry` asks for another grant in its place. */
  | { kind: 'settle', call: number, entry: string, grant: string, caller: string, requestId: string, outcome: Outcome, retry: boolean }
  | { kind: 'cancelRequest', call: number, caller: string, requestId: string }
  | { kind: 'fetchOutcome', call: number, caller: string, requestId: string }
  /** The grants that an entry has in use, reported to a new leader and after each reconnection. */
  | { kind: 'grantsHeld', report: EntryReport }
  /** `keyDigest` of this and the next two is the SHA-256 of the caller's key in hexadecimal; undefined without a key. */
  /** `heldMs` is the time for which the call waited at an entry for a leader, in milliseconds; absent when it did not wait. */
  | { kind: 'acceptJob', call: number, host: string, path: string, keyDigest?: string, spec: JobSpec, heldMs?: number }
  | { kind: 'readJob', call: number, host: string, path: string, keyDigest?: string }
  | { kind: 'cancelJob', call: number, host: string, path: string, keyDigest?: string }
  | { kind: 'configureCell', call: number, cell: CellConfiguration }
  | { kind: 'readCell', call: number }
  | { kind: 'startUpkeepWave', call: number, id: number, vms: string[], cap: number, durationMs: number }
  | { kind: 'readUpkeepWave', call: number, id: number }
  /** State of the VMs at some time after `sentAt` (cluster time in milliseconds); undefined when the VM service did not answer. */
  | { kind: 'vmsListed', vms: ListedVm[] | undefined, sentAt: number }
  /** The outcome of an order to take a VM down. */
  | { kind: 'upkeepOrdered', wave: number, vm: string, outcome: UpkeepOutcome }
  /** The self-description of a worker of the kind that the leader calls. */
  | { kind: 'workerReported', call: number, worker: CalledWorker }
  /** A called worker announces that its process is about to end. */
  | { kind: 'workerLeft', call: number, id: string, incarnation: number }
  /**
   * The runs in progress and the ended runs of a worker; `sentAt` is the cluster time in milliseconds of the query, `clockMs`
   * the clock of the worker when it answered, in milliseconds. `isTruncated` is true if more runs may have ended than `ended`
   * names; `running` is always complete.
   */
  | { kind: 'workerListed', id: string, incarnation: number, sentAt: number, clockMs?: number, running: ReportedRun[], ended: EndedRun[], isTruncated: boolean }
  /** A worker does not answer. `isClosed` is true if it closed or refused the connection, as a process that ends does. */
  | { kind: 'workerSilent', id: string, incarnation: number, isClosed: boolean }
  /** No run of that incarnation is in progress any more, as `loss` says. */
  | { kind: 'workerLapsed', id: string, incarnation: number, loss: WorkerLoss, reason: string }
  /** A list of that incarnation was answered by a later one, which may also have carried out orders sent to the former. */
  | { kind: 'workerRestarted', id: string, incarnation: number }
  /**
   * The outcome of the last attempt of an order to start or stop a run. `sentAt` is the cluster time in milliseconds of the
   * first attempt; `unanswered` is the number of attempts without an answer, each of which may still be carried out; `clockMs`
   * is the clock of the worker when it answered, in milliseconds.
   */
  | { kind: 'runOrdered', id: string, incarnation: number, clockMs?: number, order: 'start' | 'stop', task: string, run: number, outcome: OrderOutcome, unanswered: number, sentAt: number }
  /**
   * The end of an admission query about some workers, sent through an entry at `askedAt` (cluster time
   * in milliseconds). A worker without a ticket is not allowed. `isAnswered` is false when no answer arrived.
   */
  | { kind: 'admissionAnswered', entry: string, stage: string, workers: string[], tickets: Array<{ worker: string, ticket: string }>, askedAt: number, isAnswered: boolean }
  /** The set of entries that can reach the admission service changed. */
  | { kind: 'advisorsChanged', entries: string[] }
  /** Orders to called workers gather faster than they are sent (`isBacklogged`), or have been sent. */
  | { kind: 'orderBacklogChanged', isBacklogged: boolean }
  /** An entry stopped answering; its grants may still be in use. */
  | { kind: 'entryLost', entry: string }

/** A run in progress on a worker. */
export interface ReportedRun {
  task: string
  run: number
  checkpoint: string
  /** Progress, 0 to 100. */
  percent: number
  /** Tail latency in milliseconds for a serving task, millicores in use for any other; 0 when not reported. */
  load: number
}

/** The end of one run; `number` is assigned by its worker in ascending order. */
export interface EndedRun {
  number: number
  task: string
  run: number
  cause: RunEndCause
  checkpoint: string
}

export const RunEndCause = Object.freeze({
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
  /** The lease of the worker expired. */
  lapsed: 'lapsed',
  /** Another task of the gang ended. */
  broken: 'broken',
  /** The other tasks of the gang did not start in time. */
  alone: 'alone'
} as const)
export type RunEndCause = typeof RunEndCause[keyof typeof RunEndCause]

/** How it is known that no run of an incarnation of a worker is in progress any more. */
export const WorkerLoss = Object.freeze({
  /** Another worker answers at its address, so its process has ended. */
  replaced: 'replaced',
  /** A later incarnation answers under its id, so its process has ended. */
  restarted: 'restarted',
  /** It announced its end, and nothing listens at its address. */
  left: 'left',
  /** Its VM was taken down for upkeep. */
  upkeep: 'upkeep',
  /** The lease of its runs expired on its own clock; its process may still be up. */
  leaseExpired: 'leaseExpired'
} as const)
export type WorkerLoss = typeof WorkerLoss[keyof typeof WorkerLoss]

/** A contradiction between what a called worker lists and what the leader knows. */
export const RunAnomaly = Object.freeze({
  /** A worker runs what the replicated state does not place there. */
  unplacedRun: 'unplacedRun',
  /** A run ended that the leader does not track. */
  untrackedEnd: 'untrackedEnd'
} as const)
export type RunAnomaly = typeof RunAnomaly[keyof typeof RunAnomaly]

export const OrderOutcome = Object.freeze({
  done: 'done',
  /** The worker has too little free capacity; nothing was done. */
  noRoom: 'noRoom',
  /** The worker has accepted a higher fencing token. */
  fenced: 'fenced',
  /** That run, or a later one of the task, has already ended or been stopped on the worker. */
  superseded: 'superseded',
  /** The lease in the order had already expired; nothing was done. */
  late: 'late',
  /** The ticket is not valid; nothing was done. */
  noTicket: 'noTicket',
  /** The worker is unhealthy and did nothing. */
  unhealthy: 'unhealthy',
  /** A worker with another id answered at the address; nothing was done. */
  replaced: 'replaced',
  /** Another incarnation of the worker answered, and carried out the order. */
  restarted: 'restarted',
  /** The worker rejected the order as malformed; nothing was done. */
  invalid: 'invalid',
  /** The connection was refused, so the order was not sent. */
  unsent: 'unsent',
  /** No answer: the order may have been carried out, or may still be. */
  unknown: 'unknown'
} as const)
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome]

export type EventKind = Event['kind']

/** The events of one kind, or of several. */
export type EventOf<K extends EventKind> = Extract<Event, { kind: K }>

export interface Command {
  task: string
  attempt: number
  action:
    | { kind: 'start', workload: string, resources: Resources, payload: Uint8Array }
    | { kind: 'stop', graceMs: number }
    | { kind: 'checkpoint', graceMs: number }
    | { kind: 'throttle', millicores: number }
}

export interface CommandResult { task: string, attempt: number, accepted: boolean, reason: string }
