/**
 * Workloads as operators and callers create, change, cancel and delete them, and
 * their end once all of their tasks have ended.
 */

import type { Decision } from '../../types/decisions.js'
import type { Event, EventOf } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { EndCause, isLive, WorkloadKind, type WorkloadSpec, type WorkloadState } from '../../types/workloads.js'
import { ErrorKind } from '../../utils/errors.js'
import { type Change, ChangeLedger } from '../changes/ledger.js'
import { Part } from '../part.js'
import type { Step } from '../step.js'
import { LabelIndex } from './labels.js'
import { changeFault, describeSpec, idFault, JOB_PREFIX, specFault, summarizeSpec } from './specs.js'
import { stopAll, stopTask } from './stops.js'

export interface WorkloadOptions {
  /** Why no VM could ever hold a task; empty when one could. */
  infeasibility?: (state: ClusterState, spec: WorkloadSpec) => string
}

export class Workloads extends Part {
  readonly handles = ['applyWorkload', 'submitJob', 'cancelJobs', 'deleteWorkload'] as const
  private readonly ledger: ChangeLedger
  private readonly labels = LabelIndex.create()
  /** Tasks that have not ended, by workload id. */
  private readonly live = new Map<string, number>()
  /** Workloads of which a task ended in this step. */
  private readonly touched = new Set<string>()
  /** Ids of ended workloads, oldest first. */
  private readonly ended = new Set<string>()

  private constructor (private readonly limits: Limits, private readonly options: WorkloadOptions) {
    super()
    this.ledger = ChangeLedger.create(limits)
  }

  static create (limits: Limits, options: WorkloadOptions = {}): Workloads {
    return new Workloads(limits, options)
  }

  reset (state: ClusterState): void {
    this.live.clear()
    this.touched.clear()
    this.ended.clear()
    this.labels.rebuild(state)
    const workloads = [...state.workloads.values()]
    const ended = workloads.filter(workload => workload.ended).sort((one, other) => one.change - other.change)
    for (const workload of ended) this.ended.add(workload.id)
    for (const workload of workloads) {
      if (!workload.ended) this.touched.add(workload.id)
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
      case 'workloadApplied': return this.applied(decision.id, state)
      case 'taskEnded': return this.taskEnded(decision.id)
      case 'taskRequeued':
        // A task of a gang that had succeeded may live again.
        if (decision.cause === EndCause.succeeded) this.live.delete(decision.id)
        return
      case 'workloadEnded': return this.workloadEnded(decision.id, state)
      case 'workloadForgotten': this.ended.delete(decision.id)
    }
  }

  override settle (step: Step): void {
    for (const id of this.touched) this.endWhenDone(step, id)
    this.touched.clear()
    this.forgetOldest(step)
  }

  private apply (event: EventOf<'applyWorkload'>, step: Step): void {
    const id = event.id === '' ? event.spec.name : event.id
    const change = { call: event.call, origin: event.origin, subject: `workload ${id}` }
    if (this.ledger.isRepeat(step, change)) return
    const fault = idFault(id) || specFault(event.spec)
    if (fault !== '') return this.ledger.refuse(step, change, ErrorKind.invalidArgument, fault)
    const existing = step.state.workloads.get(id)
    if (!this.isVersionRight(step, change, existing, event.expectedVersion)) return
    const forbidden = existing === undefined ? '' : changeFault(existing, event.spec)
    if (forbidden !== '') return this.ledger.refuse(step, change, ErrorKind.failedPrecondition, forbidden)
    const reason = this.options.infeasibility?.(step.state, event.spec) ?? ''
    if (reason !== '') return this.ledger.refuse(step, change, ErrorKind.infeasible, reason)
    const before = existing === undefined ? '' : describeSpec(existing.spec)
    if (existing !== undefined) this.labels.remove(existing)
    const version = (existing?.version ?? 0) + 1
    step.decide({ kind: 'workloadApplied', id, owner: event.origin.actor, spec: event.spec, version, at: step.now })
    this.stopSurplus(step, id)
    this.ledger.accept(step, change, { kind: 'applied', id, version }, before, describeSpec(event.spec))
  }

  /** Version 0 creates; what has ended is started anew by its version, so that a late repeat never revives it. */
  private isVersionRight (step: Step, change: Change, existing: WorkloadState | undefined, expected: number): boolean {
    const version = existing?.version ?? 0
    if (version === expected) return true
    if (expected === 0) {
      this.ledger.refuse(step, change, ErrorKind.alreadyExists, `${change.subject} exists with version ${version}`)
    } else if (existing === undefined) {
      this.ledger.refuse(step, change, ErrorKind.notFound, `no ${change.subject}`)
    } else {
      this.ledger.refuse(step, change, ErrorKind.conflict, `${change.subject} has version ${version}, not ${expected}`)
    }
    return false
  }

  private submit (event: EventOf<'submitJob'>, step: Step): void {
    const id = `${JOB_PREFIX}${step.state.workloadNumber + 1}`
    const change = { call: event.call, origin: event.origin, subject: `workload ${id}` }
    if (this.ledger.isRepeat(step, change)) return
    const { spec } = event
    const fault = spec.kind === WorkloadKind.service ? 'a job is of kind batch or gang' : specFault(spec)
    if (fault !== '') return this.ledger.refuse(step, change, ErrorKind.invalidArgument, fault)
    const reason = this.options.infeasibility?.(step.state, spec) ?? ''
    if (reason !== '') return this.ledger.refuse(step, change, ErrorKind.infeasible, reason)
    step.decide({ kind: 'workloadApplied', id, owner: event.origin.actor, spec, version: 1, at: step.now })
    this.ledger.accept(step, change, { kind: 'applied', id, version: 1 }, '', summarizeSpec(spec))
  }

  private cancel (event: EventOf<'cancelJobs'>, step: Step): void {
    const subject = event.id === '' ? `selector ${JSON.stringify(event.selector)}` : `workload ${event.id}`
    const change = { call: event.call, origin: event.origin, subject }
    if (this.ledger.isRepeat(step, change)) return
    if ((event.id === '') === (Object.keys(event.selector).length === 0)) {
      return this.ledger.refuse(step, change, ErrorKind.invalidArgument, 'exactly one of id and selector is needed')
    }
    const job = step.state.workloads.get(event.id)
    const isVisible = job !== undefined && mayCancel(job, event.team)
    if (event.id !== '' && !isVisible) {
      return this.ledger.refuse(step, change, ErrorKind.notFound, `no ${subject}`)
    }
    if (job?.spec.kind === WorkloadKind.service) {
      return this.ledger.refuse(step, change, ErrorKind.failedPrecondition, `${subject} is a service; delete it`)
    }
    const ids = event.id === '' ? this.labels.select(event.selector) : [event.id]
    const count = this.cancelEach(step, ids, event.team, `cancelled by ${event.origin.actor}`)
    this.ledger.accept(step, change, { kind: 'cancelled', count }, '', `cancelled ${count}`)
  }

  private cancelEach (step: Step, ids: readonly string[], team: string | undefined, reason: string): number {
    let count = 0
    for (const id of ids) {
      const job = step.state.workloads.get(id)
      if (job === undefined || job.ended || job.stopping !== '' || !mayCancel(job, team)) continue
      stopAll(step, job, reason)
      count += 1
    }
    return count
  }

  private remove (event: EventOf<'deleteWorkload'>, step: Step): void {
    const change = { call: event.call, origin: event.origin, subject: `workload ${event.id}` }
    if (this.ledger.isRepeat(step, change)) return
    const workload = step.state.workloads.get(event.id)
    if (workload === undefined) return this.ledger.refuse(step, change, ErrorKind.notFound, `no ${change.subject}`)
    const { version } = workload
    if (event.expectedVersion !== 0 && event.expectedVersion !== version) {
      const message = `${change.subject} has version ${version}, not ${event.expectedVersion}`
      return this.ledger.refuse(step, change, ErrorKind.conflict, message)
    }
    if (!workload.ended && workload.stopping === '') stopAll(step, workload, `deleted by ${event.origin.actor}`)
    const answer = { kind: 'applied', id: workload.id, version: workload.version } as const
    this.ledger.accept(step, change, answer, describeSpec(workload.spec), '')
  }

  /** Stops the tasks of a service beyond its task count. */
  private stopSurplus (step: Step, id: string): void {
    const workload = step.state.workloads.get(id)
    if (workload === undefined) return
    for (const task of workload.tasks.slice(workload.spec.taskCount)) {
      stopTask(step, workload, task.index, 'beyond the task count')
    }
  }

  private applied (id: string, state: ClusterState): void {
    const workload = state.workloads.get(id)
    if (workload === undefined) return
    this.live.delete(id)
    this.ended.delete(id)
    this.labels.add(workload)
  }

  private taskEnded (id: string): void {
    const live = this.live.get(id)
    if (live !== undefined) this.live.set(id, live - 1)
    this.touched.add(id)
  }

  private workloadEnded (id: string, state: ClusterState): void {
    const workload = state.workloads.get(id)
    if (workload === undefined) return
    this.live.delete(id)
    this.labels.remove(workload)
    this.ended.add(id)
  }

  private endWhenDone (step: Step, id: string): void {
    const workload = step.state.workloads.get(id)
    if (workload === undefined || workload.ended) return
    if (workload.spec.kind === WorkloadKind.service && workload.stopping === '') return
    const live = this.live.get(id) ?? workload.tasks.filter(isLive).length
    this.live.set(id, live)
    if (live > 0) return
    step.decide({ kind: 'workloadEnded', id, reason: workload.stopping })
  }

  private forgetOldest (step: Step): void {
    for (const id of this.ended) {
      if (this.ended.size <= this.limits.endedLimit) return
      step.decide({ kind: 'workloadForgotten', id })
    }
  }
}

function mayCancel (job: WorkloadState, team: string | undefined): boolean {
  return team === undefined || team === '' || job.spec.team === team
}
