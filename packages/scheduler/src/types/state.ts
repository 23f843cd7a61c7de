/**
 * The durable state of the cluster: what every replica holds after it has
 * applied the same decisions in the same order. It is plain data, so that a
 * snapshot is its encoding.
 */

import type { AnsweredChange, AuditEntry, DocumentState, PolicyState, TeamState } from './configuration.js'
import type { CalledWorker, CellConfiguration, StagedJob } from './jobs.js'
import type { EntryState, RequestState } from './requests.js'
import type { UpkeepWave } from './upkeep.js'
import type { TargetState } from './targets.js'
import type { WorkloadState } from './workloads.js'

export interface ClusterState {
  /** Count of decisions applied. */
  change: number
  /** Last fence given out. */
  fence: number
  /** Last workload number given out. */
  workloadNumber: number
  /** Attempts of new tasks count from here, so that the attempts of a name that is used again never repeat. */
  attemptFloor: number
  /** Version of all configuration together; grows by one with each accepted change. */
  configurationVersion: number
  workloads: Map<string, WorkloadState>
  targets: Map<string, TargetState>
  /** Names of VMs kept free of new work, with the reason. */
  drainedVms: Map<string, string>
  /** Names of targets kept free of new work over all of their sessions, with the reason. */
  drainedTargets: Map<string, string>
  /** Keyed by caller and request id. */
  requests: Map<string, RequestState>
  /** Requests that were made at or before this time, in Unix milliseconds, are refused when not idempotent. */
  requestFloor: number
  /** Fingerprints of forgotten requests that had no time of their own. */
  forgottenRequests: Map<string, number>
  /** Processes of entries that may hold grants, by instance. */
  entries: Map<string, EntryState>
  /** The latest horizon that any entry ever had; 0 when no request was ever granted. */
  grantHorizon: number
  teams: Map<string, TeamState>
  policies: Map<string, PolicyState>
  documents: Map<string, DocumentState>
  /** Keyed by actor and request id. */
  answered: Map<string, AnsweredChange>
  audit: AuditEntry[]
  auditNumber: number
  /** Staged jobs by id. */
  jobs: Map<string, StagedJob>
  /** Workers that the leader calls, by id. */
  calledWorkers: Map<string, CalledWorker>
  cell: CellConfiguration | undefined
  /** Waves of upkeep by number, oldest first. */
  upkeepWaves: Map<number, UpkeepWave>
}

export function createClusterState (): ClusterState {
  return {
    change: 0,
    fence: 0,
    workloadNumber: 0,
    attemptFloor: 0,
    configurationVersion: 0,
    workloads: new Map(),
    targets: new Map(),
    drainedVms: new Map(),
    drainedTargets: new Map(),
    requests: new Map(),
    requestFloor: 0,
    forgottenRequests: new Map(),
    entries: new Map(),
    grantHorizon: 0,
    teams: new Map(),
    policies: new Map(),
    documents: new Map(),
    answered: new Map(),
    audit: [],
    auditNumber: 0,
    jobs: new Map(),
    calledWorkers: new Map(),
    cell: undefined,
    upkeepWaves: new Map()
  }
}
