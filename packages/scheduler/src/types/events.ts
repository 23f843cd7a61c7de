/**
 * Events: what the edges tell the scheduler. An event with a `call` is answered
 * by exactly one reply or refusal with that number.
 */

import type { DocumentState, PolicyState, TeamState } from './configuration.js'
import type { CalledWorker, CellConfiguration, JobSpec } from './jobs.js'
import type { EntryReport, Outcome, RequestFacts } from './requests.js'
import type { Resources } from './resources.js'
import type { Failure } from '../utils/errors.js'
import type { TargetKind } from './targets.js'
import type { WorkloadSpec } from './workloads.js'
import type { ListedVm, UpkeepOutcome } from './upkeep.js'

/** Identifies a change that an actor may send again after a lost answer. */
export interface ChangeOrigin {
  actor: string
  /** Empty when the actor does not want a repeat to be recognised. */
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
  /** The start was refused; it never ran. */
  refused: 'refused'
} as const)
export type TaskResult = typeof TaskResult[keyof typeof TaskResult]

export interface TaskUsage { task: string, attempt: number, usage: Resources }
export interface TaskEnd { task: string, attempt: number, result: TaskResult, reason: string, runMs: number }

export interface Announcement {
  name: string
  kind: TargetKind
  incarnation: number
  vm: string
  rack: string
  availabilityZone: string
  address: string
  capacity: Resources
  service: string
  slots: number
  connections: number
}

export type Event =
  /** Sent at a fixed interval; drives time-outs. */
  | { kind: 'tick' }
  | { kind: 'announce', call: number, entry: string, announcement: Announcement }
  | { kind: 'renew', call: number, entry: string, name: string, session: string, running: TaskUsage[], ended: TaskEnd[] }
  | { kind: 'leave', call: number, name: string, session: string, reason: string }
  /** A worker's answers to the commands that an entry carried to it. */
  | { kind: 'commandResults', target: string, session: string, results: CommandResult[] }
  /** An entry could not carry the commands to the worker. */
  | { kind: 'commandsLost', target: string, session: string, commands: Command[], reason: string }
  | { kind: 'applyWorkload', call: number, origin: ChangeOrigin, id: string, spec: WorkloadSpec, expectedVersion: number }
  | { kind: 'submitJob', call: number, origin: ChangeOrigin, spec: WorkloadSpec }
  /** A team restricts it to the jobs of that team. */
  | { kind: 'cancelJobs', call: number, origin: ChangeOrigin, id: string, selector: Record<string, string>, team?: string }
  | { kind: 'deleteWorkload', call: number, origin: ChangeOrigin, id: string, expectedVersion: number }
  | { kind: 'putTeam', call: number, origin: ChangeOrigin, team: TeamState, expectedVersion: number }
  | { kind: 'putPolicy', call: number, origin: ChangeOrigin, policy: PolicyState, expectedVersion: number }
  | { kind: 'putDocument', call: number, origin: ChangeOrigin, document: DocumentState, expectedVersion: number }
  | { kind: 'drain', call: number, origin: ChangeOrigin, vm: string, target: string, reason: string }
  | { kind: 'readmit', call: number, origin: ChangeOrigin, vm: string, target: string }
  | { kind: 'vmGone', call: number, origin: ChangeOrigin, vm: string }
  /** The membership of controllers was changed, or the change was refused; kept for the audit trail. */
  | { kind: 'memberChanged', call: number, origin: ChangeOrigin, member: string, before: string, after: string, refusal: Failure | undefined }
  | { kind: 'explain', call: number, id: string }
  /** An entry asks for a slot for a request; answered by a Grant or an Outcome. */
  | { kind: 'acquire', call: number, entry: string, facts: RequestFacts }
  /** An entry tells how its grant ended. */
  | { kind: 'settle', call: number, entry: string, grant: string, caller: string, requestId: string, outcome: Outcome, retry: boolean }
  | { kind: 'cancelRequest', call: number, caller: string, requestId: string }
  | { kind: 'fetchOutcome', call: number, caller: string, requestId: string }
  /** The grants that an entry holds; its first message to each new leader. */
  | { kind: 'grantsHeld', report: EntryReport }
  | { kind: 'acceptJob', call: number, host: string, path: string, spec: JobSpec }
  | { kind: 'readJob', call: number, host: string, path: string }
  | { kind: 'cancelJob', call: number, host: string, path: string }
  | { kind: 'configureCell', call: number, cell: CellConfiguration }
  | { kind: 'readCell', call: number }
  | { kind: 'startUpkeepWave', call: number, id: number, vms: string[], cap: number, durationMs: number }
  | { kind: 'readUpkeepWave', call: number, id: number }
  /** The VMs as they were after `sentAt`, in cluster time; undefined when the VM service did not answer. */
  | { kind: 'vmsListed', vms: ListedVm[] | undefined, sentAt: number }
  | { kind: 'upkeepOrdered', wave: number, vm: string, outcome: UpkeepOutcome }
  /** A worker that is called told of itself. */
  | { kind: 'workerReported', call: number, worker: CalledWorker }
  | { kind: 'workerLeft', call: number, id: string, incarnation: number }
  /** What a worker runs and what has ended there; `sentAt` is the cluster time at which it was asked. */
  | { kind: 'workerListed', id: string, incarnation: number, sentAt: number, running: RunningRow[], ended: EndedRow[] }
  /** A worker does not answer. */
  | { kind: 'workerSilent', id: string, incarnation: number }
  /** Nothing of that incarnation runs any more: its lease lapsed on its clock, or it was replaced. */
  | { kind: 'workerLapsed', id: string, incarnation: number, reason: string }
  | { kind: 'runOrdered', id: string, incarnation: number, order: 'start' | 'stop', task: string, run: number, outcome: OrderOutcome, sentAt: number }
  | { kind: 'admissionAnswered', entry: string, stage: string, workers: string[], tickets: Array<{ worker: string, ticket: string }>, askedAt: number, isAnswered: boolean }
  /** An entry that carries questions to the admission service is connected or gone. */
  | { kind: 'advisorsChanged', entries: string[] }
  /** An entry stopped answering; its grants may still be in use. */
  | { kind: 'entryLost', entry: string }

/** One run on a worker. */
export interface RunningRow {
  task: string
  run: number
  checkpoint: string
  /** 0 to 100. */
  percent: number
  /** Tail latency in milliseconds of a serving task; millicores in use of any other; 0 when not told. */
  load: number
}

/** The end of one run, numbered by its worker. */
export interface EndedRow {
  number: number
  task: string
  run: number
  cause: RunEnd
  checkpoint: string
}

export const RunEnd = Object.freeze({
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
  /** The lease ran out. */
  lapsed: 'lapsed',
  /** Another member of the gang ended. */
  broken: 'broken',
  /** The other members of the gang did not come in time. */
  alone: 'alone'
} as const)
export type RunEnd = typeof RunEnd[keyof typeof RunEnd]

export const OrderOutcome = Object.freeze({
  done: 'done',
  /** There is no room for it; nothing was done. */
  noRoom: 'noRoom',
  /** The worker follows a higher fence. */
  fenced: 'fenced',
  /** That run, or a later one, has ended or was stopped there. */
  superseded: 'superseded',
  /** The lease in the order was over already; nothing was done. */
  late: 'late',
  /** The ticket is not valid; nothing was done. */
  noTicket: 'noTicket',
  /** The worker is unhealthy and did nothing. */
  unhealthy: 'unhealthy',
  /** Another incarnation answers there. */
  replaced: 'replaced',
  invalid: 'invalid',
  /** No answer: it may be carried out, also later. */
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
