/**
 * The replicated state of the cluster. Every replica has the same state after it
 * has applied the same decisions in the same order. It is plain data, so that a
 * snapshot is simply its encoding.
 */

import type { AnsweredChange, AuditEntry, DocumentState, PolicyState, TeamState } from './configuration.js'
import type { CalledWorker, CellConfiguration, StagedJob } from './jobs.js'
import type { EntryState, RequestState } from './requests.js'
import type { RunTimeState } from './run-times.js'
import type { UpkeepWave } from './upkeep.js'
import type { TargetState } from './targets.js'
import type { WorkloadState } from './workloads.js'

export interface ClusterState {
  /** Number of decisions applied. */
  change: number
  /** Last fencing token issued. */
  fence: number
  /** Last workload number issued. */
  workloadNumber: number
  /** Attempts of new tasks are numbered from here, so that a reused workload name never repeats an attempt number. */
  attemptFloor: number
  /** Version of the configuration as a whole; incremented by each accepted change. */
  configurationVersion: number
  workloads: Map<string, WorkloadState>
  targets: Map<string, TargetState>
  /** Drained VMs by name, with the reason; they get no new work. */
  drainedVms: Map<string, string>
  /** Drained targets by name, with the reason; they get no new work in any session. */
  drainedTargets: Map<string, string>
  /** Keyed by caller and request id. */
  requests: Map<string, RequestState>
  /** Requests that are not idempotent are refused when they were created at or before this time, in Unix milliseconds. */
  requestFloor: number
  /** Fingerprints of forgotten requests that had no creation time, with the cluster time at which each was settled. */
  forgottenRequests: Map<string, number>
  /** Processes of entries that may have grants in use, by instance. */
  entries: Map<string, EntryState>
  /** The latest horizon that any entry has had; 0 when no request was ever granted. */
  grantHorizon: number
  teams: Map<string, TeamState>
  policies: Map<string, PolicyState>
  documents: Map<string, DocumentState>
  /** Keyed by actor and request id. */
  answered: Map<string, AnsweredChange>
  /** Audit trail, oldest first. */
  audit: AuditEntry[]
  /** Number of the last audit entry. */
  auditNumber: number
  /** Staged jobs by id. */
  jobs: Map<string, StagedJob>
  /** Fingerprints of job ids that were cancelled while no such job was known, with the cluster time of the cancel; oldest first. */
  cancelledIds: Map<string, number>
  /** Workers that the leader calls, by id. */
  calledWorkers: Map<string, CalledWorker>
  cell: CellConfiguration | undefined
  /** Upkeep waves by number, oldest first. */
  upkeepWaves: Map<number, UpkeepWave>
  /** What was learnt from finished runs; undefined before the first run whose work is known. */
  runTimes?: RunTimeState
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
    cancelledIds: new Map(),
    calledWorkers: new Map(),
    cell: undefined,
    upkeepWaves: new Map()
  }
}
