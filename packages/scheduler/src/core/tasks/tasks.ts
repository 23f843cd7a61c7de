/**
 * Tasks on workers: sends start and stop commands, processes the reports of
 * workers, and decides the result of each attempt exactly once. A task becomes
 * waiting again only after its worker confirmed that the attempt is over, or after
 * the session of the worker is over.
 */

import type { Decision, DecisionOf } from '../../types/decisions.js'
import type { Event, EventOf, TaskEnd, TaskUsage } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, TargetPhase } from '../../types/targets.js'
import { EndCause, isAssigned, createTaskKey, TaskPhase, WorkloadKind, type TaskState } from '../../types/workloads.js'
import { RunTimeEstimates } from '../health/run-time-estimates.js'
import { OveruseControl } from '../health/overuse-control.js'
import { UsageTable } from '../health/usage-table.js'
import { Component } from '../component.js'
import { isCurrentSession } from '../sessions/sessions.js'
import type { Step } from '../step.js'
import { computeBackoffMs } from './backoff.js'
import { reconcileGang } from './reconcile-gang.js'
import { type AssignedTask, AssignedTasks } from './assigned-tasks.js'
import { moveTasks } from './move-tasks.js'
import { CommandOutbox } from './command-outbox.js'
import { resolveAttempt } from './attempt-resolution.js'

/** Number of renewals that may omit a running task before its worker is asked to stop it. */
const MISSING_RENEWAL_LIMIT = 3

export class Tasks extends Component {
  readonly handledKinds = ['announce', 'renew', 'commandResults', 'commandsLost', 'entryLost'] as const
  private readonly assigned = AssignedTasks.create()
  private readonly outbox: CommandOutbox
  private readonly overuse: OveruseControl
  /** Names of targets whose session may have ended or changed in this step. */
  private readonly changedTargets = new Set<string>()
  /** Ids of gangs with a task that ended or was requeued in this step. */
  private readonly changedGangs = new Set<string>()

  private constructor (
    private readonly limits: Limits,
    private readonly usage: UsageTable,
    private readonly estimates: RunTimeEstimates
  ) {
    super()
    this.outbox = CommandOutbox.create(limits)
    this.overuse = OveruseControl.create(limits, usage)
  }

  static create (limits: Limits, usage = UsageTable.create(), estimates = RunTimeEstimates.create()): Tasks {
    return new Tasks(limits, usage, estimates)
  }

  reset (state: ClusterState, now: number): void {
    this.assigned.rebuild(state, now)
    this.outbox.clear()
    this.overuse.clear()
    this.usage.clear()
    this.estimates.clear()
    this.changedTargets.clear()
    this.changedGangs.clear()
    for (const target of this.assigned.listTargets()) {
      this.changedTargets.add(target)
      for (const assigned of this.assigned.getByTarget(target).values()) this.addInitialCommand(assigned, state)
    }
    for (const workload of state.workloads.values()) {
      if (workload.spec.kind === WorkloadKind.gang && !workload.ended) this.changedGangs.add(workload.id)
    }
  }

  handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'announce': return this.handleAnnounce(event, step)
      case 'renew': return this.handleRenewal(event, step)
      case 'commandResults': return this.handleResults(event, step)
      case 'commandsLost':
        if (isCurrentSession(step.state, event.target, event.session)) this.outbox.holdUntilRenewal(event.target)
        return
      case 'entryLost': this.outbox.handleEntryLost(event.entry)
    }
  }

  override observe (decision: Decision, state: ClusterState, now: number): void {
    switch (decision.kind) {
      case 'taskPlaced': return this.observePlaced(decision, now)
      case 'taskStarted': return this.observeStarted(decision, now)
      case 'taskStopping': return this.observeStopping(decision, state)
      case 'taskEnded':
      case 'taskRequeued': return this.observeAttemptEnd(decision, state)
      case 'targetAnnounced':
        this.outbox.removeTarget(decision.target.name)
        this.changedTargets.add(decision.target.name)
        return
      case 'targetPhaseSet':
        if (decision.phase === TargetPhase.lost) this.changedTargets.add(decision.name)
        return
      case 'targetRemoved':
        this.outbox.removeTarget(decision.name)
        this.changedTargets.add(decision.name)
    }
  }

  override tick (step: Step): void {
    moveTasks(step, this.assigned)
    this.outbox.tick()
  }

  override reconcile (step: Step): void {
    this.endOrphanedAttempts(step)
    this.reconcileGangs(step)
    this.outbox.flush(step)
  }

  /** Adds the command that a previous leader sent, or still had to send, for a task. */
  private addInitialCommand (assigned: AssignedTask, state: ClusterState): void {
    const task = state.workloads.get(assigned.id)?.tasks[assigned.index]
    if (task === undefined) return
    if (task.stopping !== '') this.addStopCommand(assigned, state, task.stopping)
    else if (task.phase === TaskPhase.placed) this.outbox.add(assigned.target, 'start', assigned.key, assigned.attempt)
  }

  private handleAnnounce (event: EventOf<'announce'>, step: Step): void {
    const target = step.state.targets.get(event.announcement.name)
    if (target === undefined || target.kind !== TargetKind.worker) return
    if (target.incarnation === event.announcement.incarnation) this.outbox.setEntry(target.name, event.entry)
  }

  private handleRenewal (event: EventOf<'renew'>, step: Step): void {
    if (!isCurrentSession(step.state, event.name, event.session)) return
    if (step.state.targets.get(event.name)?.kind !== TargetKind.worker) return
    for (const end of event.ended) this.handleEnd(event.name, end, step)
    for (const running of event.running) this.handleRunning(event.name, running, step)
    this.stopMissingTasks(event.name, step)
    this.applyOveruseActions(event.name, step)
    this.outbox.setEntry(event.name, event.entry)
  }

  private handleEnd (target: string, end: TaskEnd, step: Step): void {
    this.outbox.removeAttempt(target, end.task, end.attempt)
    const assigned = this.assigned.findAttempt(target, end.task, end.attempt)
    if (assigned === undefined) return
    const spec = step.state.workloads.get(assigned.id)?.spec
    if (end.result === EndCause.succeeded && spec !== undefined) this.estimates.recordRunTime(spec, end.runMs)
    this.endAttempt(assigned, end.result, end.reason, step, end.runMs)
  }

  private handleRunning (target: string, running: TaskUsage, step: Step): void {
    const { task, attempt, usage } = running
    const assigned = this.assigned.findAttempt(target, task, attempt)
    if (assigned === undefined) return this.outbox.add(target, 'stop', task, attempt)
    this.usage.recordUsage(task, attempt, usage, step.now)
    this.confirmStart(assigned, step)
  }

  private confirmStart (assigned: AssignedTask, step: Step): void {
    assigned.confirmedAt = step.now
    const task = step.state.workloads.get(assigned.id)?.tasks[assigned.index]
    if (task?.phase !== TaskPhase.placed) return
    step.decide({ kind: 'taskStarted', id: assigned.id, index: assigned.index, attempt: assigned.attempt })
  }

  /**
   * Asks a worker to stop tasks that it started but has omitted from its renewals for too long. It then reports the
   * end of each attempt in a renewal.
   */
  private stopMissingTasks (target: string, step: Step): void {
    const timeoutMs = MISSING_RENEWAL_LIMIT * this.limits.renewEveryMs + this.limits.resendMs
    for (const assigned of this.assigned.getByTarget(target).values()) {
      if (step.now - assigned.confirmedAt < timeoutMs) continue
      const task = step.state.workloads.get(assigned.id)?.tasks[assigned.index]
      if (task?.phase !== TaskPhase.running || task.stopping !== '') continue
      const { id, index, attempt } = assigned
      step.decide({ kind: 'taskStopping', id, index, attempt, stopping: 'preempt' })
    }
  }

  /** Throttles or preempts tasks of a worker while they use more resources than the worker has. */
  private applyOveruseActions (name: string, step: Step): void {
    const target = step.state.targets.get(name)
    if (target === undefined) return
    for (const action of this.overuse.planActions(target, this.assigned.getByTarget(name).values(), step.state.workloads, step.now)) {
      const { key, id, index, attempt } = action.task
      if (action.kind === 'preempt') step.decide({ kind: 'taskStopping', id, index, attempt, stopping: 'preempt' })
      else this.outbox.add(name, 'throttle', key, attempt, action.millicores)
    }
  }

  private handleResults (event: EventOf<'commandResults'>, step: Step): void {
    if (!isCurrentSession(step.state, event.target, event.session)) return
    for (const result of event.results) {
      this.outbox.remove(event.target, 'throttle', result.task, result.attempt)
      const assigned = this.assigned.findAttempt(event.target, result.task, result.attempt)
      if (assigned === undefined) {
        this.outbox.removeAttempt(event.target, result.task, result.attempt)
        continue
      }
      const task = step.state.workloads.get(assigned.id)?.tasks[assigned.index]
      // The answer to a stop does not confirm the end of the attempt; a later renewal reports it.
      if (task === undefined || task.stopping !== '') continue
      if (result.accepted) this.confirmStart(assigned, step)
      else if (task.phase === TaskPhase.placed) this.endAttempt(assigned, EndCause.refused, result.reason, step)
    }
  }

  private observePlaced (decision: DecisionOf<'taskPlaced'>, now: number): void {
    const { id, index, attempt, target, session } = decision
    const key = createTaskKey(id, index)
    this.assigned.remove(key)
    this.assigned.add({ key, id, index, attempt, target, session, confirmedAt: now })
    this.outbox.add(target, 'start', key, attempt)
  }

  private observeStarted (decision: DecisionOf<'taskStarted'>, now: number): void {
    const assigned = this.assigned.get(createTaskKey(decision.id, decision.index))
    if (assigned?.attempt !== decision.attempt) return
    assigned.confirmedAt = now
    this.outbox.remove(assigned.target, 'start', assigned.key, assigned.attempt)
  }

  private observeStopping (decision: DecisionOf<'taskStopping'>, state: ClusterState): void {
    const assigned = this.assigned.get(createTaskKey(decision.id, decision.index))
    if (assigned?.attempt !== decision.attempt) return
    this.addStopCommand(assigned, state, decision.stopping)
  }

  private addStopCommand (assigned: AssignedTask, state: ClusterState, stopping: 'cancel' | 'preempt'): void {
    const spec = state.workloads.get(assigned.id)?.spec
    const canCheckpoint = stopping === 'preempt' && spec?.preemptible === true
    this.outbox.removeAttempt(assigned.target, assigned.key, assigned.attempt)
    this.outbox.add(assigned.target, canCheckpoint ? 'checkpoint' : 'stop', assigned.key, assigned.attempt)
  }

  private observeAttemptEnd (decision: DecisionOf<'taskEnded' | 'taskRequeued'>, state: ClusterState): void {
    const assigned = this.assigned.get(createTaskKey(decision.id, decision.index))
    if (assigned?.attempt === decision.attempt) {
      this.assigned.remove(assigned.key)
      this.outbox.removeAttempt(assigned.target, assigned.key, assigned.attempt)
      this.usage.remove(assigned.key)
      this.overuse.forgetTask(assigned.key)
    }
    if (state.workloads.get(decision.id)?.spec.kind === WorkloadKind.gang) this.changedGangs.add(decision.id)
  }

  /** Ends the attempts that were assigned in a session that is over. */
  private endOrphanedAttempts (step: Step): void {
    for (const name of this.changedTargets) {
      for (const assigned of this.assigned.getByTarget(name).values()) {
        if (isCurrentSession(step.state, name, assigned.session)) continue
        this.endAttempt(assigned, EndCause.lost, `the session of worker ${name} is over`, step)
      }
    }
    this.changedTargets.clear()
  }

  private reconcileGangs (step: Step): void {
    for (const id of this.changedGangs) {
      const gang = step.state.workloads.get(id)
      if (gang !== undefined) reconcileGang(step, gang)
    }
    this.changedGangs.clear()
  }

  /** Decides the result of an attempt: its task ends, or is requeued with a backoff if the attempt failed or was refused. Does nothing if the attempt is already over. */
  private endAttempt (assigned: AssignedTask, cause: EndCause, reason: string, step: Step, runMs = 0): void {
    const workload = step.state.workloads.get(assigned.id)
    const task = workload?.tasks[assigned.index]
    if (workload === undefined || task === undefined || !isAssigned(task)) return
    const { id, index, attempt, target } = assigned
    const resolution = resolveAttempt(workload, task, cause, runMs >= this.limits.stableRunMs)
    if (resolution.kind === 'ended') {
      return step.decide({ kind: 'taskEnded', id, index, attempt, target, phase: resolution.phase, cause, reason })
    }
    const { failures } = resolution
    const losses = cause === EndCause.lost ? this.countLosses(task, step.now) : undefined
    const notBefore = step.now + computeBackoffMs(this.limits, cause, losses ?? failures)
    step.decide({
      kind: 'taskRequeued',
      id,
      index,
      attempt,
      target,
      failures,
      losses,
      cause,
      reason,
      at: step.now,
      notBefore
    })
  }

  /** Number of attempts in a row that were lost, with the present one; a task that was running for long starts anew. */
  private countLosses ({ losses = 0, waitingSince }: TaskState, now: number): number {
    return now - waitingSince >= this.limits.stableRunMs ? 1 : losses + 1
  }
}
