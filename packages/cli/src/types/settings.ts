/**
 * Settings of one process, with defaults filled in. The published schema is
 * settings.schema.json in the root folder of this package.
 */

import type { RaftTiming } from '@flamingorouter/controllers'
import type { RpcLimits } from '@flamingorouter/rpc'
import type { Limits } from '@flamingorouter/scheduler'
import type { Issue } from './issue.js'

export interface Settings {
  /** Name of the process: unique in the group, and the same after a restart. */
  process: string
  group: string
  availabilityZone: string
  vm: string
  /** Initial members of the group. */
  controllers: ControllerAddress[]
  controller?: ControllerRole
  entry?: EntryRole
  /** Port with the health and metrics pages of a process without the entry role. */
  observe?: { listen: string }
  timing: RaftTiming
  limits: Limits
  http: RpcLimits
  log: { level: LogLevel }
  tls?: TlsFiles
  /** Keys of the links between the group's processes. */
  peerTls?: Required<TlsFiles>
  /** Path of the tokens file; without it only callers on the loopback interface are admitted. */
  tokens?: string
  /** Allows ports without TLS on interfaces other than loopback. */
  allowPlaintext: boolean
}

export interface ControllerAddress {
  id: string
  /** host:port at which other processes reach the controller. */
  address: string
  availabilityZone: string
}

export interface ControllerRole {
  dataFolder: string
  /** host:port for links from controllers and entries. */
  listen: string
  /** Number of log entries after which a snapshot is taken. */
  snapshotEvery: number
}

export interface EntryRole {
  /** host:port for HTTP. */
  listen: string
  /** How long a stopping entry still accepts calls after it has reported that it is not ready, in milliseconds. */
  readinessFallMs: number
}

/** Paths of PEM files. */
export interface TlsFiles {
  certificate: string
  key: string
  authority?: string
}

export const LogLevel = Object.freeze({
  trace: 'trace',
  debug: 'debug',
  info: 'info',
  warn: 'warn',
  error: 'error'
} as const)
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

export interface CheckedSettings {
  /** The settings with defaults; undefined if there are errors. */
  settings?: Settings
  errors: Issue[]
  warnings: Issue[]
}
