/**
 * Method names and bodies of the calls between the system's own processes. Calls
 * of the published schema are forwarded under their full RPC name.
 */

import type { Answer, Command, CommandResult, Event } from '@flamingorouter/scheduler'

export const InternalMethod = Object.freeze({
  /**
   * Entry or candidate to leader: reports that the sender is alive, which configuration
   * version is in force there, and whether it asks to become a member.
   */
  heartbeat: 'internal/heartbeat',
  /** Entry to leader: reads all configuration documents. */
  configuration: 'internal/configuration',
  /** Entry to leader: an event concerning a request: acquire, settle, cancel or fetch its outcome. */
  request: 'internal/request',
  /** Leader to entry: delivers commands to a worker. */
  execute: 'internal/execute',
  /** Any process to a controller: lists the controllers known to it. */
  members: 'internal/members',
  /** Entry to leader: an event concerning staged jobs, the cell, called workers or upkeep waves. */
  job: 'internal/job',
  /** Leader to entry: queries the external admission service. */
  admission: 'internal/admission'
} as const)

/** Topics of one-way messages. */
export const Topic = Object.freeze({
  /** Entry to a leader that it has just found, before any call other than heartbeats: the grants that the entry holds. */
  grantsHeld: 'grantsHeld',
  /** New leader to each entry: requests a heartbeat. */
  leading: 'leading'
} as const)

export interface LeadingBody {
  term: number
}

export interface HeartbeatBody {
  process: string
  availabilityZone: string
  /** Configuration version in force at the entry; -1 before the first, and 0 from a process that keeps no configuration. */
  configurationVersion: number
  /** True while the entry admits new work. */
  isAdmitting: boolean
  /** True when the process can query the external admission service. */
  isAdvisor?: boolean
  /** True for an entry to which the load balancer sends callers; a controller that forwards calls to the leader is none. */
  servesCallers?: boolean
  /** True while the entry is short of headroom and asks to report itself not ready. */
  isShort?: boolean
  /** Set while the sender is a controller that asks to become a member. */
  candidate?: MemberCandidate
}

export interface MemberCandidate extends ControllerAddress {
  availabilityZone: string
}

export interface HeartbeatAnswer {
  term: number
  configurationVersion: number
  /** Addresses of all members, so that the receiver follows membership changes. */
  controllers: ControllerAddress[]
  /** True when the entry may report itself not ready for want of headroom, until the permission lapses. */
  isRelieved?: boolean
  /** Version of the newest configuration of the cell that is committed; not stated by leaders of earlier versions. */
  committedCellVersion?: number
}

export interface ControllerAddress {
  id: string
  /** host:port of the control port. */
  address: string
}

export interface ConfigurationAnswer {
  version: number
  documents: Array<{ name: string, version: number, document: string }>
}

export interface MembersAnswer {
  controllers: ControllerAddress[]
}

/** Asks the external admission service which of the workers may run a stage. */
export interface AdmissionBody {
  stage: string
  workers: string[]
  timeoutMs: number
}

/** The workers that may run the stage, each with the ticket to present at a start; the others may not. */
export interface AdmissionAnswer {
  tickets: Array<{ worker: string, ticket: string }>
}

type WithoutCallIdAndEntry<E> = E extends unknown ? Omit<E, 'call' | 'entry'> : never

/** An event concerning a request; the leader adds the call id, and the entry where the event has one. */
export type RequestEvent = WithoutCallIdAndEntry<Extract<Event, { kind: 'acquire' | 'settle' | 'cancelRequest' | 'fetchOutcome' }>>

/** An event concerning staged jobs, the cell, called workers or upkeep waves; the leader adds the call id. */
export type JobEvent = WithoutCallIdAndEntry<Extract<Event, {
  kind: 'acceptJob' | 'readJob' | 'cancelJob' | 'configureCell' | 'readCell' | 'workerReported' | 'workerLeft' |
    'startUpkeepWave' | 'readUpkeepWave'
}>>

/** How long the leader took for a call, in milliseconds. */
export interface HandlingTimes {
  /** From the last timer of the leader's event loop to the reading of the call: most of a long turn is seen in it. */
  turnMs: number
  /** From the reading of the call to its answer, which waits for the commit of the decisions. */
  commitMs: number
}

/** The answer to a job event; with times for the orders that are logged one by one, except from leaders of earlier versions. */
export type JobAnswer = Answer & { handling?: HandlingTimes }

/** Commands to a worker, which an entry calls at `address`. */
export interface ExecuteBody {
  target: string
  address: string
  /** Session of the target that the commands belong to. */
  session: string
  /** Fencing token of the session; a worker rejects one below the highest that it has seen. */
  fence: number
  commands: Command[]
}

export interface ExecuteAnswer {
  results: CommandResult[]
}

/** Body of a forwarded RPC: the encoded request and the identity of the caller. */
export interface ForwardedCall {
  request: Uint8Array
  actor: string
  team: string
}
