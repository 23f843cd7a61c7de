/**
 * Names and bodies of the calls between the system's own processes. Calls of the
 * published schema travel under their full RPC name.
 */

import type { Command, CommandResult, Event } from '@flamingorouter/scheduler'

export const InternalMethod = Object.freeze({
  /** Entry to leader: says that the entry lives and what it has in force. */
  heartbeat: 'internal/heartbeat',
  /** Entry to leader: reads all configuration. */
  configuration: 'internal/configuration',
  /** Entry to leader: an event of the request flow. */
  request: 'internal/request',
  /** Leader to entry: carry commands to a worker. */
  execute: 'internal/execute',
  /** Any process to a controller: what it knows of the membership. */
  members: 'internal/members',
  /** Entry to leader: an event on staged jobs, the cell or the workers that are called. */
  job: 'internal/job',
  /** Leader to entry: ask the external admission service. */
  admission: 'internal/admission'
} as const)

/** Topics of messages without an answer. */
export const Topic = Object.freeze({
  /** Entry to a new leader, before anything else: the grants that the entry holds. */
  grantsHeld: 'grantsHeld',
  /** New leader to each entry: it should send a heartbeat. */
  leading: 'leading'
} as const)

export interface LeadingBody {
  term: number
}

export interface HeartbeatBody {
  process: string
  availabilityZone: string
  /** Version that the entry has in force. */
  configurationVersion: number
  /** True while the entry takes new work. */
  isAdmitting: boolean
  /** True when the process carries questions to the external admission service. */
  isAdvisor?: boolean
  /** Set while the sender is a controller that is no member and would like to be one. */
  candidate?: MemberCandidate
}

export interface MemberCandidate extends ControllerAddress {
  availabilityZone: string
}

export interface HeartbeatAnswer {
  term: number
  configurationVersion: number
  /** All controllers, so that an entry follows changes of the membership. */
  controllers: ControllerAddress[]
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

export interface AdmissionBody {
  stage: string
  workers: string[]
  timeoutMs: number
}

export interface AdmissionAnswer {
  tickets: Array<{ worker: string, ticket: string }>
}

type Unnumbered<E> = E extends unknown ? Omit<E, 'call' | 'entry'> : never

/** An event of the request flow; the leader adds the number of the call and the entry. */
export type RequestEvent = Unnumbered<Extract<Event, { kind: 'acquire' | 'settle' | 'cancelRequest' | 'fetchOutcome' }>>

/** An event on staged jobs; the leader adds the number of the call. */
export type JobEvent = Unnumbered<Extract<Event, {
  kind: 'acceptJob' | 'readJob' | 'cancelJob' | 'configureCell' | 'readCell' | 'workerReported' | 'workerLeft' |
    'startUpkeepWave' | 'readUpkeepWave'
}>>

export interface ExecuteBody {
  target: string
  address: string
  session: string
  fence: number
  commands: Command[]
}

export interface ExecuteAnswer {
  results: CommandResult[]
}

/** Body of a forwarded RPC: the encoded request and who calls. */
export interface ForwardedCall {
  request: Uint8Array
  actor: string
  team: string
}
