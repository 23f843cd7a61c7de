/**
 * Creates, changes, cancels and deletes workloads on request of operators and
 * callers, and ends each workload once all of its tasks have ended.
 */

import type { Decision } from '../../types/decisions.js'
import type { Event, EventOf } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { EndCause, isLive, WorkloadKind, type WorkloadSpec, type WorkloadState } from '../../types/workloads.js'
import { ErrorKind } from '../../utils/errors.js'
import { type ChangeRequest, ChangeRecorder } from '../changes/change-recorder.js'
import { Component } from '../component.js'
import type { Step } from '../step.js'
import { LabelIndex } from './label-index.js'
import { findChangeFault, describeSpec, findIdFault, JOB_ID_PREFIX, findSpecFault, summarizeSpec } from './workload-specs.js'
import { stopWorkload, stopTask } from './stop-workload.js'

export interface WorkloadOptions {
  /** Why the cell could never run the specification; empty when it could. */
  findInfeasibility?: (state: ClusterState, spec: WorkloadSpec) => string
}

export class Workloads extends Component {
  readonly handledKinds = ['applyWorkload', 'submitJob', 'cancelJobs', 'deleteWorkload'] as const
  private readonly changeRecorder: ChangeRecorder
  private readonly labels = LabelIndex.create()
  /** Number of tasks that have not ended, by workload id; counted on first use. */
  private readonly liveTaskCounts = new Map<string, number>()
  /** Ids of workloads that may have ended: those with a task that ended in this step, and all live ones for a new leader. */
  private readonly changedIds = new Set<string>()
  /** Ids of ended workloads, in the order in which they ended. */
  private readonly endedIds = new Set<string>()

  private constructor (private readonly limits: Limits, private readonly options: WorkloadOptions) {
    super()
    this.changeRecorder = ChangeRecorder.create(limits)
  }

  static create (limits: Limits, options: WorkloadOptions = {}): Workloads {
    return new Workloads(limits, options)
  }

  reset (state: ClusterState): void {
    this.liveTaskCounts.clear()
    this.changedIds.clear()
    this.endedIds.clear()
    this.labels.rebuild(state)
    const workloads = [...state.workloads.values()]
    const ended = workloads.filter(workload => workload.ended).sort((one, other) => one.change - other.change)
    for (const workload of ended) this.endedIds.add(workload.id)
    for (const workload of workloads) {
      if (!workload.ended) this.changedIds.add(workload.id)
    }
  }

  handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'applyWorkload': return this.apply(event, step)
      case 'submitJob': return this.submit(event, step)
      case 'cancelJobs': return this.cancel(event, step)
      case 'deleteWorkload': return this.remove(event, step)
    }
  }

  override observe (decision: Decision, state: ClusterState): void {
    switch (decision.kind) {
      case 'workloadApplied': return this.observeApplied(decision.id, state)
      case 'taskEnded': return this.observeTaskEnded(decision.id)
      case 'taskRequeued':
        // A succeeded task of a gang became live again, so the tasks have to be counted again.
        if (decision.cause === EndCause.succeeded) this.liveTaskCounts.delete(decision.id)
        return
      case 'workloadEnded': return this.observeWorkloadEnded(decision.id, state)
      case 'workloadForgotten': this.endedIds.delete(decision.id)
    }
  }

  override reconcile (step: Step): void {
    for (const id of this.changedIds) this.endIfDone(step, id)
    this.changedIds.clear()
    this.forgetOldestEnded(step)
  }

  private apply (event: EventOf<'applyWorkload'>, step: Step): void {
    const id = event.id === '' ? event.spec.name : event.id
    const change = { call: event.call, origin: event.origin, subject: `workload ${id}` }
    if (this.changeRecorder.answerIfRepeat(step, change)) return
    const fault = findIdFault(id) || findSpecFault(event.spec)
    if (fault !== '') return this.changeRecorder.refuse(step, change, ErrorKind.invalidArgument, fault)
    const existing = step.state.workloads.get(id)
    if (!this.checkVersion(step, change, existing, event.expectedVersion)) return
    const changeFault = existing === undefined ? '' : findChangeFault(existing, event.spec)
    if (changeFault !== '') return this.changeRecorder.refuse(step, change, ErrorKind.failedPrecondition, changeFault)
    const reason = this.options.findInfeasibility?.(step.state, event.spec) ?? ''
    if (reason !== '') return this.changeRecorder.refuse(step, change, ErrorKind.infeasible, reason)
    const before = existing === undefined ? '' : describeSpec(existing.spec)
    if (existing !== undefined) this.labels.remove(existing)
    const version = (existing?.version ?? 0) + 1
    step.decide({ kind: 'workloadApplied', id, owner: event.origin.actor, spec: event.spec, version, at: step.now })
    this.stopSurplus(step, id)
    this.changeRecorder.accept(step, change, { kind: 'applied', id, version }, before, describeSpec(event.spec))
  }

  /**
   * Checks the version that a change expects, and refuses the change if it differs. Version 0 means that the workload
   * must not exist. An ended workload is restarted only with its current version, so that a delayed repeat of its
   * creation cannot restart it.
   */
  private checkVersion (step: Step, change: ChangeRequest, existing: WorkloadState | undefined, expected: number): boolean {
    const version = existing?.version ?? 0
    if (version === expected) return true
    if (expected === 0) {
      this.changeRecorder.refuse(step, change, ErrorKind.alreadyExists, `${change.subject} exists with version ${version}`)
    } else if (existing === undefined) {
      this.changeRecorder.refuse(step, change, ErrorKind.notFound, `no ${change.subject}`)
    } else {
      this.changeRecorder.refuse(step, change, ErrorKind.conflict, `${change.subject} has version ${version}, not ${expected}`)
    }
    return false
  }

  private submit (event: EventOf<'submitJob'>, step: Step): void {
    const id = `${JOB_ID_PREFIX}${step.state.workloadNumber + 1}`
    const change = { call: event.call, origin: event.origin, subject: `workload ${id}` }
    if (this.changeRecorder.answerIfRepeat(step, change)) return
    const { spec } = event
    const fault = spec.kind === WorkloadKind.service ? 'the kind of a job must be batch or gang' : findSpecFault(spec)
    if (fault !== '') return this.changeRecorder.refuse(step, change, ErrorKind.invalidArgument, fault)
    const reason = this.options.findInfeasibility?.(step.state, spec) ?? ''
    if (reason !== '') return this.changeRecorder.refuse(step, change, ErrorKind.infeasible, reason)
    step.decide({ kind: 'workloadApplied', id, owner: event.origin.actor, spec, version: 1, at: step.now })
    this.changeRecorder.accept(step, change, { kind: 'applied', id, version: 1 }, '', summarizeSpec(spec))
  }

  private cancel (event: EventOf<'cancelJobs'>, step: Step): void {
    const subject = event.id === '' ? `selector ${JSON.stringify(event.selector)}` : `workload ${event.id}`
    const change = { call: event.call, origin: event.origin, subject }
    if (this.changeRecorder.answerIfRepeat(step, change)) return
    if ((event.id === '') === (Object.keys(event.selector).length === 0)) {
      return this.changeRecorder.refuse(step, change, ErrorKind.invalidArgument, 'exactly one of id and selector is required')
    }
    const job = step.state.workloads.get(event.id)
    const isVisible = job !== undefined && canCancel(job, event.team)
    if (event.id !== '' && !isVisible) {
      return this.changeRecorder.refuse(step, change, ErrorKind.notFound, `no ${subject}`)
    }
    if (job?.spec.kind === WorkloadKind.service) {
      return this.changeRecorder.refuse(step, change, ErrorKind.failedPrecondition, `${subject} is a service; delete it`)
    }
    const ids = event.id === '' ? this.labels.select(event.selector) : [event.id]
    const count = this.cancelEach(step, ids, event.team, `cancelled by ${event.origin.actor}`)
    this.changeRecorder.accept(step, change, { kind: 'cancelled', count }, '', `cancelled ${count}`)
  }

  private cancelEach (step: Step, ids: readonly string[], team: string | undefined, reason: string): number {
    let count = 0
    for (const id of ids) {
      const job = step.state.workloads.get(id)
      if (job === undefined || job.ended || job.stopping !== '' || !canCancel(job, team)) continue
      stopWorkload(step, job, reason)
      count += 1
    }
    return count
  }

  private remove (event: EventOf<'deleteWorkload'>, step: Step): void {
    const change = { call: event.call, origin: event.origin, subject: `workload ${event.id}` }
    if (this.changeRecorder.answerIfRepeat(step, change)) return
    const workload = step.state.workloads.get(event.id)
    if (workload === undefined) return this.changeRecorder.refuse(step, change, ErrorKind.notFound, `no ${change.subject}`)
    const { version } = workload
    // An expected version of 0 accepts any version.
    if (event.expectedVersion !== 0 && event.expectedVersion !== version) {
      const message = `${change.subject} has version ${version}, not ${event.expectedVersion}`
      return this.changeRecorder.refuse(step, change, ErrorKind.conflict, message)
    }
    if (!workload.ended && workload.stopping === '') stopWorkload(step, workload, `deleted by ${event.origin.actor}`)
    const answer = { kind: 'applied', id: workload.id, version: workload.version } as const
    this.changeRecorder.accept(step, change, answer, describeSpec(workload.spec), '')
  }

  /** Stops the tasks of a service whose index is beyond its task count. */
  private stopSurplus (step: Step, id: string): void {
    const workload = step.state.workloads.get(id)
    if (workload === undefined) return
    for (const task of workload.tasks.slice(workload.spec.taskCount)) {
      stopTask(step, workload, task.index, 'beyond the task count')
    }
  }

  private observeApplied (id: string, state: ClusterState): void {
    const workload = state.workloads.get(id)
    if (workload === undefined) return
    this.liveTaskCounts.delete(id)
    this.endedIds.delete(id)
    this.labels.add(workload)
  }

  private observeTaskEnded (id: string): void {
    const count = this.liveTaskCounts.get(id)
    if (count !== undefined) this.liveTaskCounts.set(id, count - 1)
    this.changedIds.add(id)
  }

  private observeWorkloadEnded (id: string, state: ClusterState): void {
    const workload = state.workloads.get(id)
    if (workload === undefined) return
    this.liveTaskCounts.delete(id)
    this.labels.remove(workload)
    this.endedIds.add(id)
  }

  /** Ends a workload without live tasks; a service ends only if it is being stopped. */
  private endIfDone (step: Step, id: string): void {
    const workload = step.state.workloads.get(id)
    if (workload === undefined || workload.ended) return
    if (workload.spec.kind === WorkloadKind.service && workload.stopping === '') return
    const count = this.liveTaskCounts.get(id) ?? workload.tasks.filter(isLive).length
    this.liveTaskCounts.set(id, count)
    if (count > 0) return
    step.decide({ kind: 'workloadEnded', id, reason: workload.stopping })
  }

  /** Removes the workloads that ended first while more than `limits.endedLimit` are kept. */
  private forgetOldestEnded (step: Step): void {
    for (const id of this.endedIds) {
      if (this.endedIds.size <= this.limits.endedLimit) return
      step.decide({ kind: 'workloadForgotten', id })
    }
  }
}

/** True when a request on behalf of a team may cancel a job; without a team, or with an empty one, it may cancel any job. */
function canCancel (job: WorkloadState, team: string | undefined): boolean {
  return team === undefined || team === '' || job.spec.team === team
}
