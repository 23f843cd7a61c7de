/**
 * Names and bodies of the calls between the system's own processes. Calls of the
 * published schema travel under their full RPC name.
 */

import type { Answer, Command, CommandResult, Event } from '@flamingorouter/scheduler'

export const InternalMethod = Object.freeze({
  /** Entry to leader: says that the entry lives and what it has in force. */
  heartbeat: 'internal/heartbeat',
  /** Entry to leader: reads all configuration. */
  configuration: 'internal/configuration',
  /** Entry to leader: an event of the request flow. */
  request: 'internal/request',
  /** Leader to entry: carry commands to a worker. */
  execute: 'internal/execute'
} as const)

export interface HeartbeatBody {
  process: string
  availabilityZone: string
  /** Version that the entry has in force. */
  configurationVersion: number
  /** True while the entry takes new work. */
  isAdmitting: boolean
}

export interface HeartbeatAnswer {
  term: number
  configurationVersion: number
}

export interface ConfigurationAnswer {
  version: number
  documents: Array<{ name: string, version: number, document: string }>
}

/** Events that the request flow of an entry may send. */
export type RequestEvent = Extract<Event, { kind: 'acquire' | 'settle' | 'cancelRequest' | 'fetchOutcome' }>
export type RequestAnswer = Extract<Answer, { kind: 'granted' | 'outcome' }>

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
