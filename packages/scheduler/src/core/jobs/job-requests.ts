/**
 * Handles requests of callers and operators on staged jobs: submitting, reading,
 * cancelling and counting jobs, and setting and reading the configuration of the
 * cell.
 */

import { findAccount } from '../../types/accounts.js'
import type { EventOf } from '../../types/events.js'
import { isLiveJob, JobPhase, type CellConfiguration, type JobSpec, type StagedJob, type StageSpec } from '../../types/jobs.js'
import type { ClusterState } from '../../types/state.js'
import { ErrorKind, type Refusal } from '../../utils/errors.js'
import type { Step } from '../step.js'
import { findAccountFault, listRetiredAccounts } from './accounts/account-changes.js'
import { findCapFault } from './accounts/account-usage.js'
import { identifyCaller } from './accounts/caller-identity.js'
import { createCancelDecision, findCancelRefusal, findSubmissionRefusal } from './cancelled-ids.js'
import { findRoute, type Route } from './order/queues.js'
import type { OwedJobs } from './shares/owed-jobs.js'

/** Time after which a caller may retry a request that was refused because the cell has no configuration. */
const UNCONFIGURED_RETRY_MS = 1_000

/** Longest time at an entry that counts for the objective of a job, in milliseconds; callers wait for their answer for a few seconds. */
const HELD_LIMIT_MS = 10_000

/** Tasks of all stages of one occurrence of a job, at most. Each task is a record in the state of every replica. */
const JOB_TASK_LIMIT = 10_000

/** Occurrences of a recurring job, at most. */
const OCCURRENCE_LIMIT = 10_000

/** A job id is part of the names of tasks, whose parts are separated by slashes or, on some platforms, by dots. */
const JOB_ID_PATTERN = /^[A-Za-z0-9_-]{1,128}$/

/**
 * Accepts a job. A submission under the id of a known job gets the same reply and changes nothing; its content is not compared.
 * `accountOverage` is the share of its cap by which an account may exceed it.
 */
export function acceptJob (event: EventOf<'acceptJob'>, step: Step, accountOverage: number, owedJobs: OwedJobs): void {
  const route = findRouteOrRefuse(event, step)
  if (route === undefined) return
  const { jobId: id, account } = route
  if (step.state.jobs.has(id)) return step.reply(event.call, { kind: 'jobAccepted' })
  const refusal = findSubmissionRefusal(step.state, id, step.now)
  if (refusal !== undefined) return refuseConfirmed(event.call, step, refusal)
  const fault = findIdFault(id) || findSpecFault(event.spec)
  if (fault !== '') return step.refuse(event.call, ErrorKind.invalidArgument, fault)
  const capFault = findCapFault(event.spec.stages, step.state.cell, account, accountOverage)
  if (capFault !== '') return refuseConfirmed(event.call, step, { kind: ErrorKind.infeasible, message: capFault })
  const isBeyondWeight = isOneTime(event.spec) && owedJobs.isBeyondWeight(findAccount(step.state.cell, account ?? ''), step.now)
  const heldMs = Math.min(HELD_LIMIT_MS, Math.max(0, event.heldMs ?? 0))
  step.decide({
    kind: 'jobAccepted',
    id,
    queue: route.queue.name,
    ...(account === undefined ? {} : { account }),
    ...(isBeyondWeight ? { isBeyondWeight } : {}),
    spec: event.spec,
    at: step.now,
    ...(heldMs > 0 ? { heldMs } : {})
  })
  step.reply(event.call, { kind: 'jobAccepted' })
}

/** Replies with the phase of a job or, when the path has no id, with the number of jobs of the queue that have no confirmed run. */
export function readJob (event: EventOf<'readJob'>, step: Step, liveJobs: Iterable<string>, hasConfirmedRun: (job: StagedJob) => boolean): void {
  const route = findRouteOrRefuse(event, step)
  if (route === undefined) return
  if (route.jobId === '') {
    return step.reply(event.call, { kind: 'jobsWaiting', count: countWaiting(step.state, liveJobs, route.queue.name, hasConfirmedRun) })
  }
  const job = step.state.jobs.get(route.jobId)
  // Only a confirmed leader may reply that a job does not exist; the probe makes the reply wait for a quorum round.
  if (job === undefined) step.decide({ kind: 'leadershipProbed' })
  step.reply(event.call, { kind: 'job', phase: job?.phase, isStarted: job?.started ?? false })
}

/**
 * Cancels a job. Of a job that is not known, the id is kept, so that a submission that is still on its way is refused; at most
 * `idLimit` such ids are.
 */
export function cancelJob (event: EventOf<'cancelJob'>, step: Step, idLimit: number): void {
  const route = findRouteOrRefuse(event, step)
  if (route === undefined) return
  const job = step.state.jobs.get(route.jobId)
  if (job === undefined) return cancelUnknownJob(event.call, route.jobId, step, idLimit)
  if (isLiveJob(job)) step.decide({ kind: 'jobClosed', id: job.id, phase: JobPhase.cancelled, at: step.now })
  step.reply(event.call, { kind: 'job', phase: job.phase, isStarted: job.started })
}

function cancelUnknownJob (call: number, id: string, step: Step, idLimit: number): void {
  const isSubmittable = findIdFault(id) === ''
  const refusal = isSubmittable ? findCancelRefusal(step.state, id, step.now, idLimit) : undefined
  if (refusal !== undefined) return refuseConfirmed(call, step, refusal)
  step.decide(isSubmittable ? createCancelDecision(id, step.now) : { kind: 'leadershipProbed' })
  step.reply(call, { kind: 'job', phase: undefined, isStarted: false })
}

/**
 * Puts a configuration in force if its version is higher than the current one; others are acknowledged without effect. One
 * whose accounts contradict each other is refused.
 */
export function configureCell (event: EventOf<'configureCell'>, step: Step): void {
  const current = step.state.cell
  const fault = findAccountFault(event.cell.accounts ?? [])
  if (fault !== '') return step.refuse(event.call, ErrorKind.invalidArgument, fault)
  if (current === undefined || event.cell.version > current.version) {
    const retiredAccounts = listRetiredAccounts(current, event.cell, step.state)
    const kept = retiredAccounts.length === 0 ? {} : { retiredAccounts }
    step.decide({ kind: 'cellConfigured', cell: { ...event.cell, retired: listRetired(current, event.cell, step.state), ...kept } })
  } else {
    step.decide({ kind: 'leadershipProbed' })
  }
  replyCell(event.call, step)
}

export function readCell (event: EventOf<'readCell'>, step: Step): void {
  // A quorum round that begins after the request proves that no newer version is in force.
  step.decide({ kind: 'leadershipProbed' })
  if (step.state.cell === undefined) return refuseUnconfigured(event.call, step)
  replyCell(event.call, step)
}

function replyCell (call: number, step: Step): void {
  const { version = 0, document = '' } = step.state.cell ?? {}
  step.reply(call, { kind: 'cell', version, document })
}

/** The route of a call and the account of its caller; without a route or a valid key, the call is refused and undefined is returned. */
function findRouteOrRefuse (event: EventOf<'acceptJob' | 'readJob' | 'cancelJob'>, step: Step): Route & { account?: string } | undefined {
  const { cell } = step.state
  if (cell === undefined) {
    refuseUnconfigured(event.call, step)
    return undefined
  }
  const route = findRoute(cell, event.host, event.path)
  if (route === undefined) {
    refuseConfirmed(event.call, step, { kind: ErrorKind.notFound, message: `no queue at ${event.host}${event.path}` })
    return undefined
  }
  const { fault, account } = identifyCaller(cell, route.queue, event.keyDigest)
  if (fault === '') return { ...route, account }
  refuseConfirmed(event.call, step, { kind: ErrorKind.unauthenticated, message: fault })
}

/** Refuses a call by the configuration. Only a confirmed leader has the newest one; the probe makes the refusal wait for a quorum round. */
function refuseConfirmed (call: number, step: Step, { kind, message, retryAfterMs }: Refusal): void {
  step.decide({ kind: 'leadershipProbed' })
  step.refuse(call, kind, message, retryAfterMs)
}

function refuseUnconfigured (call: number, step: Step): void {
  step.refuse(call, ErrorKind.unavailable, 'the cell has no configuration yet; retry after an operator has set one', UNCONFIGURED_RETRY_MS)
}

/** Number of live jobs of a queue without a confirmed run. Recurring jobs are not counted. */
function countWaiting ({ jobs }: ClusterState, liveJobs: Iterable<string>, queue: string, hasConfirmedRun: (job: StagedJob) => boolean): number {
  let count = 0
  for (const id of liveJobs) {
    const job = jobs.get(id)
    if (job?.queue === queue && job.spec.recurrence === undefined && !hasConfirmedRun(job)) count += 1
  }
  return count
}

/** Queues that the next configuration removes while live jobs still use them. */
function listRetired (current: CellConfiguration | undefined, next: CellConfiguration, state: ClusterState): CellConfiguration['queues'] {
  if (current === undefined) return []
  const names = new Set(next.queues.map(queue => queue.name))
  const used = new Set<string>()
  for (const job of state.jobs.values()) {
    if (isLiveJob(job)) used.add(job.queue)
  }
  return [...current.queues, ...current.retired].filter(queue => !names.has(queue.name) && used.has(queue.name))
}

/** Why a job id is invalid; empty when it is valid. */
function findIdFault (id: string): string {
  if (id === '') return 'the path contains no job id after the prefix of the queue'
  return JOB_ID_PATTERN.test(id) ? '' : 'the job id is longer than 128 characters or contains other characters than letters, digits, "_" and "-"'
}

/** Why a job specification is invalid; empty when it is valid. */
function findSpecFault ({ stages, recurrence }: JobSpec): string {
  if (stages.length === 0) return 'the job has no stage'
  for (const [index, stage] of stages.entries()) {
    const fault = findStageFault(stage, index)
    if (fault !== '') return `stage ${index}: ${fault}`
  }
  const taskCount = stages.reduce((sum, stage) => sum + stage.taskCount, 0)
  if (taskCount > JOB_TASK_LIMIT) return `the job has ${taskCount} tasks, more than the limit of ${JOB_TASK_LIMIT}`
  const occurrences = recurrence?.count ?? 1
  return occurrences > OCCURRENCE_LIMIT ? `the job has ${occurrences} occurrences, more than the limit of ${OCCURRENCE_LIMIT}` : ''
}

function findStageFault (stage: StageSpec, index: number): string {
  if (!Number.isSafeInteger(stage.taskCount) || stage.taskCount < 1) return 'the task count is not a positive integer'
  if (stage.dependsOn.some(other => !Number.isSafeInteger(other) || other < 0 || other >= index)) return 'it depends on a stage that does not precede it'
  const { millicores, memoryMib, accelerators } = stage.resources
  return [millicores, memoryMib, accelerators].some(amount => !(amount >= 0)) ? 'an amount of its resources is negative or not a number' : ''
}

/** True for a job that ends by itself. Others would keep for their whole life that they were submitted in a burst. */
function isOneTime ({ stages, recurrence }: JobSpec): boolean {
  return recurrence === undefined && stages.every(({ longRunning }) => !longRunning)
}
