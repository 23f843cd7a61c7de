/**
 * Applies decisions to the replicated state. Every replica runs this code and must
 * reach the same state, so it depends on nothing but its arguments.
 */

import type { Decision, DecisionOf } from '../types/decisions.js'
import type { ClusterState } from '../types/state.js'
import { applyJobDecision } from './jobs/apply-job-decision.js'
import { computeFingerprint } from '../utils/fingerprint.js'
import { isLive, TaskPhase, type TaskState, WorkloadKind, type WorkloadSpec } from '../types/workloads.js'

export function applyDecision (state: ClusterState, decision: Decision): void {
  state.change += 1
  switch (decision.kind) {
    case 'workloadApplied': return applyWorkload(state, decision)
    case 'workloadEnded': return endWorkload(state, decision.id, decision.reason)
    case 'workloadStopping': return stopWorkload(state, decision)
    case 'workloadDelayed': return delayWorkload(state, decision.id, decision.notBefore)
    case 'workloadForgotten': return forgetWorkload(state, decision.id)
    case 'taskPlaced': return placeTask(state, decision)
    case 'taskStarted': return changeTask(state, decision, task => { task.phase = TaskPhase.running })
    case 'taskStopping': return changeTask(state, decision, task => { task.stopping = decision.stopping })
    case 'taskEnded': return endTask(state, decision)
    case 'taskRequeued': return requeueTask(state, decision)
    case 'targetAnnounced':
      // A copy, since the state may change before the decision is encoded.
      state.targets.set(decision.target.name, { ...decision.target })
      state.fence = Math.max(state.fence, decision.target.fence)
      return
    case 'targetPhaseSet': return setTargetPhase(state, decision)
    case 'targetRemoved':
      if (state.targets.get(decision.name)?.session === decision.session) state.targets.delete(decision.name)
      return
    case 'vmDrained': state.drainedVms.set(decision.vm, decision.reason); return
    case 'vmReadmitted': state.drainedVms.delete(decision.vm); return
    case 'targetDrained': state.drainedTargets.set(decision.name, decision.reason); return
    case 'targetReadmitted': state.drainedTargets.delete(decision.name); return
    case 'requestClaimed':
      state.requests.set(requestKey(decision.request.caller, decision.request.requestId), { ...decision.request })
      return
    case 'requestSettled': return settleRequest(state, decision)
    case 'requestForgotten': return forgetRequest(state, decision.key)
    case 'entryExtended':
      state.entries.set(decision.entry.instance, decision.entry)
      state.grantHorizon = Math.max(state.grantHorizon, decision.entry.horizon)
      return
    case 'entryForgotten': state.entries.delete(decision.instance); return
    case 'teamPut':
      state.teams.set(decision.team.name, decision.team)
      state.configurationVersion += 1
      return
    case 'policyPut':
      state.policies.set(decision.policy.name, decision.policy)
      state.configurationVersion += 1
      return
    case 'documentPut':
      state.documents.set(decision.document.name, decision.document)
      state.configurationVersion += 1
      return
    case 'audited':
      state.audit.push(decision.entry)
      state.auditNumber = decision.entry.number
      trimAudit(state, decision.limit)
      return
    case 'changeAnswered': state.answered.set(decision.key, decision.answered); return
    case 'changeForgotten': state.answered.delete(decision.key); return
    default: return applyJobDecision(state, decision)
  }
}

/** Identifies a forgotten request. A collision only causes another request to be refused. */
export function requestFingerprint (key: string): string {
  return computeFingerprint(key)
}

/** Key of a request in the replicated state. */
export function requestKey (caller: string, requestId: string): string {
  // The length keeps keys unambiguous when a caller or an id contains the separator.
  return `${caller.length} ${caller} ${requestId}`
}

function createTask (index: number, attempt: number, at: number): TaskState {
  return {
    index,
    phase: TaskPhase.waiting,
    attempt,
    target: '',
    session: '',
    reason: '',
    waitingSince: at,
    notBefore: 0,
    failures: 0,
    stopping: ''
  }
}

function applyWorkload (state: ClusterState, decision: DecisionOf<'workloadApplied'>): void {
  const existing = state.workloads.get(decision.id)
  const spec: WorkloadSpec = decision.spec
  const tasks = existing?.tasks ?? []
  if (existing?.ended === true || spec.kind === WorkloadKind.service) restartEndedTasks(tasks, spec.taskCount, decision.at)
  while (tasks.length < spec.taskCount) tasks.push(createTask(tasks.length, state.attemptFloor, decision.at))
  state.workloads.set(decision.id, {
    id: decision.id,
    owner: existing?.owner ?? decision.owner,
    spec,
    version: decision.version,
    tasks,
    ended: false,
    stopping: '',
    notBefore: 0,
    reason: '',
    change: state.change
  })
  if (existing === undefined) state.workloadNumber += 1
}

/** Makes the ended tasks among the first `count` wait again; their attempt numbers continue. */
function restartEndedTasks (tasks: TaskState[], count: number, at: number): void {
  for (const task of tasks.slice(0, count)) {
    if (isLive(task)) continue
    Object.assign(task, createTask(task.index, task.attempt, at))
  }
}

function stopWorkload (state: ClusterState, decision: DecisionOf<'workloadStopping'>): void {
  const workload = state.workloads.get(decision.id)
  if (workload === undefined) return
  workload.stopping = decision.reason
  workload.version = decision.version
  workload.change = state.change
}

function delayWorkload (state: ClusterState, id: string, notBefore: number): void {
  const workload = state.workloads.get(id)
  if (workload === undefined) return
  workload.notBefore = notBefore
  workload.change = state.change
}

function endWorkload (state: ClusterState, id: string, reason: string): void {
  const workload = state.workloads.get(id)
  if (workload === undefined) return
  workload.ended = true
  workload.reason = reason
  workload.change = state.change
}

function forgetWorkload (state: ClusterState, id: string): void {
  const workload = state.workloads.get(id)
  if (workload === undefined) return
  for (const task of workload.tasks) state.attemptFloor = Math.max(state.attemptFloor, task.attempt)
  state.workloads.delete(id)
}

/** Removes a tenth of the entries at a time, so that the amortized cost of an entry is constant. */
function trimAudit (state: ClusterState, limit: number): void {
  if (state.audit.length <= limit) return
  state.audit.splice(0, state.audit.length - Math.floor(limit * 0.9))
}

function changeTask (
  state: ClusterState,
  decision: { id: string, index: number, attempt: number },
  change: (task: TaskState) => void
): void {
  const workload = state.workloads.get(decision.id)
  const task = workload?.tasks[decision.index]
  if (workload === undefined || task === undefined || task.attempt !== decision.attempt) return
  change(task)
  workload.change = state.change
}

function placeTask (state: ClusterState, decision: DecisionOf<'taskPlaced'>): void {
  const workload = state.workloads.get(decision.id)
  const task = workload?.tasks[decision.index]
  if (workload === undefined || task === undefined) return
  task.phase = TaskPhase.placed
  task.attempt = decision.attempt
  task.target = decision.target
  task.session = decision.session
  task.reason = ''
  task.stopping = ''
  workload.change = state.change
}

function endTask (state: ClusterState, decision: DecisionOf<'taskEnded'>): void {
  changeTask(state, decision, task => {
    releaseTask(task, decision.reason)
    task.phase = decision.phase
  })
}

function requeueTask (state: ClusterState, decision: DecisionOf<'taskRequeued'>): void {
  changeTask(state, decision, task => {
    releaseTask(task, decision.reason)
    task.phase = TaskPhase.waiting
    task.waitingSince = decision.at
    task.notBefore = decision.notBefore
    task.failures = decision.failures
    if (decision.losses === undefined) delete task.losses
    else task.losses = decision.losses
  })
}

function releaseTask (task: TaskState, reason: string): void {
  task.target = ''
  task.session = ''
  task.stopping = ''
  task.reason = reason
}

function setTargetPhase (state: ClusterState, decision: DecisionOf<'targetPhaseSet'>): void {
  const target = state.targets.get(decision.name)
  if (target === undefined || target.session !== decision.session) return
  target.phase = decision.phase
}

function settleRequest (state: ClusterState, decision: DecisionOf<'requestSettled'>): void {
  const request = state.requests.get(decision.key)
  if (request === undefined) return
  request.outcome = decision.outcome
  request.settledAt = decision.at
}

/** Removes a record. Repeats stay refused: by the creation time, or by the fingerprint when there is none. */
function forgetRequest (state: ClusterState, key: string): void {
  const request = state.requests.get(key)
  if (request === undefined) return
  state.requests.delete(key)
  if (request.createdMs > 0) {
    state.requestFloor = Math.max(state.requestFloor, request.createdMs)
  } else {
    state.forgottenRequests.set(requestFingerprint(key), request.settledAt)
  }
}
