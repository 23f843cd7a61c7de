/**
 * Tasks on workers: sends starts and stops, takes in what workers report, and
 * settles each attempt once. A task waits again only after its worker confirmed
 * that the attempt is over, or after the session of the worker is over.
 */

import type { Decision, DecisionOf } from '../../types/decisions.js'
import type { Event, EventOf, TaskEnd, TaskUsage } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, TargetPhase } from '../../types/targets.js'
import { EndCause, isHeld, taskKey, TaskPhase, WorkloadKind } from '../../types/workloads.js'
import { Estimates } from '../health/estimates.js'
import { Overuse } from '../health/overuse.js'
import { UsageTable } from '../health/usage.js'
import { Part } from '../part.js'
import { isCurrentSession } from '../sessions/sessions.js'
import type { Step } from '../step.js'
import { backoffMs } from './backoff.js'
import { settleGang } from './gangs.js'
import { type HeldTask, HeldTasks } from './held.js'
import { moveTasks } from './moves.js'
import { Outbox } from './outbox.js'
import { judgeEnd } from './verdict.js'

/** Renewals that may leave out a running task before its worker is asked to stop it. */
const MISSING_RENEWALS = 3

export class Tasks extends Part {
  readonly handles = ['announce', 'renew', 'commandResults', 'commandsLost', 'entryLost'] as const
  private readonly held = HeldTasks.create()
  private readonly outbox: Outbox
  private readonly overuse: Overuse
  /** Targets whose session may have changed in this step. */
  private readonly orphaned = new Set<string>()
  /** Gangs of which a task ended or was requeued in this step. */
  private readonly gangs = new Set<string>()

  private constructor (
    private readonly limits: Limits,
    private readonly usage: UsageTable,
    private readonly estimates: Estimates
  ) {
    super()
    this.outbox = Outbox.create(limits)
    this.overuse = Overuse.create(limits, usage)
  }

  static create (limits: Limits, usage = UsageTable.create(), estimates = Estimates.create()): Tasks {
    return new Tasks(limits, usage, estimates)
  }

  reset (state: ClusterState, now: number): void {
    this.held.rebuild(state, now)
    this.outbox.clear()
    this.overuse.clear()
    this.usage.clear()
    this.estimates.clear()
    this.orphaned.clear()
    this.gangs.clear()
    for (const target of this.held.targets()) {
      this.orphaned.add(target)
      for (const held of this.held.on(target).values()) this.resume(held, state)
    }
    for (const workload of state.workloads.values()) {
      if (workload.spec.kind === WorkloadKind.gang && !workload.ended) this.gangs.add(workload.id)
    }
  }

  handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'announce': return this.reached(event, step)
      case 'renew': return this.renew(event, step)
      case 'commandResults': return this.takeResults(event, step)
      case 'commandsLost':
        if (isCurrentSession(step.state, event.target, event.session)) this.outbox.lost(event.target)
        return
      case 'entryLost': this.outbox.entryLost(event.entry)
    }
  }

  override observe (decision: Decision, state: ClusterState, now: number): void {
    switch (decision.kind) {
      case 'taskPlaced': return this.placed(decision, now)
      case 'taskStarted': return this.started(decision, now)
      case 'taskStopping': return this.stopping(decision, state)
      case 'taskEnded':
      case 'taskRequeued': return this.over(decision, state)
      case 'targetAnnounced':
        this.outbox.drop(decision.target.name)
        this.orphaned.add(decision.target.name)
        return
      case 'targetPhaseSet':
        if (decision.phase === TargetPhase.lost) this.orphaned.add(decision.name)
        return
      case 'targetRemoved':
        this.outbox.drop(decision.name)
        this.orphaned.add(decision.name)
    }
  }

  override tick (step: Step): void {
    moveTasks(step, this.held)
    this.outbox.tick()
  }

  override settle (step: Step): void {
    this.releaseOrphans(step)
    this.settleGangs(step)
    this.outbox.flush(step)
  }

  /** Asks again for what a former leader asked for. */
  private resume (held: HeldTask, state: ClusterState): void {
    const task = state.workloads.get(held.id)?.tasks[held.index]
    if (task === undefined) return
    if (task.stopping !== '') this.askToStop(held, state, task.stopping)
    else if (task.phase === TaskPhase.placed) this.outbox.add(held.target, 'start', held.key, held.attempt)
  }

  private reached (event: EventOf<'announce'>, step: Step): void {
    const target = step.state.targets.get(event.announcement.name)
    if (target === undefined || target.kind !== TargetKind.worker) return
    if (target.incarnation === event.announcement.incarnation) this.outbox.reachedThrough(target.name, event.entry)
  }

  private renew (event: EventOf<'renew'>, step: Step): void {
    if (!isCurrentSession(step.state, event.name, event.session)) return
    if (step.state.targets.get(event.name)?.kind !== TargetKind.worker) return
    for (const end of event.ended) this.takeEnd(event.name, end, step)
    for (const running of event.running) this.takeRunning(event.name, running, step)
    this.stopMissing(event.name, step)
    this.limitUse(event.name, step)
    this.outbox.reachedThrough(event.name, event.entry)
  }

  private takeEnd (target: string, end: TaskEnd, step: Step): void {
    this.outbox.settle(target, end.task, end.attempt)
    const held = this.held.find(target, end.task, end.attempt)
    if (held === undefined) return
    const spec = step.state.workloads.get(held.id)?.spec
    if (end.result === EndCause.succeeded && spec !== undefined) this.estimates.learn(spec, end.runMs)
    this.end(held, end.result, end.reason, step, end.runMs)
  }

  private takeRunning (target: string, running: TaskUsage, step: Step): void {
    const { task, attempt, usage } = running
    const held = this.held.find(target, task, attempt)
    if (held === undefined) return this.outbox.add(target, 'stop', task, attempt)
    this.usage.report(task, attempt, usage, step.now)
    this.confirmStart(held, step)
  }

  private confirmStart (held: HeldTask, step: Step): void {
    held.seenAt = step.now
    const task = step.state.workloads.get(held.id)?.tasks[held.index]
    if (task?.phase !== TaskPhase.placed) return
    step.decide({ kind: 'taskStarted', id: held.id, index: held.index, attempt: held.attempt })
  }

  /** A worker that forgot a task it had started is asked to stop it, so that it is settled. */
  private stopMissing (target: string, step: Step): void {
    const patienceMs = MISSING_RENEWALS * this.limits.renewEveryMs + this.limits.resendMs
    for (const held of this.held.on(target).values()) {
      if (step.now - held.seenAt < patienceMs) continue
      const task = step.state.workloads.get(held.id)?.tasks[held.index]
      if (task?.phase !== TaskPhase.running || task.stopping !== '') continue
      const { id, index, attempt } = held
      step.decide({ kind: 'taskStopping', id, index, attempt, stopping: 'preempt' })
    }
  }

  private limitUse (name: string, step: Step): void {
    const target = step.state.targets.get(name)
    if (target === undefined) return
    for (const measure of this.overuse.measures(target, this.held.on(name).values(), step.state.workloads, step.now)) {
      const { key, id, index, attempt } = measure.held
      if (measure.kind === 'preempt') step.decide({ kind: 'taskStopping', id, index, attempt, stopping: 'preempt' })
      else this.outbox.add(name, 'throttle', key, attempt, measure.millicores)
    }
  }

  private takeResults (event: EventOf<'commandResults'>, step: Step): void {
    if (!isCurrentSession(step.state, event.target, event.session)) return
    for (const result of event.results) {
      this.outbox.remove(event.target, 'throttle', result.task, result.attempt)
      const held = this.held.find(event.target, result.task, result.attempt)
      if (held === undefined) {
        this.outbox.settle(event.target, result.task, result.attempt)
        continue
      }
      const task = step.state.workloads.get(held.id)?.tasks[held.index]
      // The answer to a stop tells nothing yet: the end follows with a renewal.
      if (task === undefined || task.stopping !== '') continue
      if (result.accepted) this.confirmStart(held, step)
      else if (task.phase === TaskPhase.placed) this.end(held, EndCause.refused, result.reason, step)
    }
  }

  private placed (decision: DecisionOf<'taskPlaced'>, now: number): void {
    const { id, index, attempt, target, session } = decision
    const key = taskKey(id, index)
    this.held.remove(key)
    this.held.add({ key, id, index, attempt, target, session, seenAt: now })
    this.outbox.add(target, 'start', key, attempt)
  }

  private started (decision: DecisionOf<'taskStarted'>, now: number): void {
    const held = this.held.get(taskKey(decision.id, decision.index))
    if (held?.attempt !== decision.attempt) return
    held.seenAt = now
    this.outbox.remove(held.target, 'start', held.key, held.attempt)
  }

  private stopping (decision: DecisionOf<'taskStopping'>, state: ClusterState): void {
    const held = this.held.get(taskKey(decision.id, decision.index))
    if (held?.attempt !== decision.attempt) return
    this.askToStop(held, state, decision.stopping)
  }

  private askToStop (held: HeldTask, state: ClusterState, stopping: 'cancel' | 'preempt'): void {
    const spec = state.workloads.get(held.id)?.spec
    const canCheckpoint = stopping === 'preempt' && spec?.preemptible === true
    this.outbox.settle(held.target, held.key, held.attempt)
    this.outbox.add(held.target, canCheckpoint ? 'checkpoint' : 'stop', held.key, held.attempt)
  }

  private over (decision: DecisionOf<'taskEnded' | 'taskRequeued'>, state: ClusterState): void {
    const held = this.held.get(taskKey(decision.id, decision.index))
    if (held?.attempt === decision.attempt) {
      this.held.remove(held.key)
      this.outbox.settle(held.target, held.key, held.attempt)
      this.usage.drop(held.key)
      this.overuse.forget(held.key)
    }
    if (state.workloads.get(decision.id)?.spec.kind === WorkloadKind.gang) this.gangs.add(decision.id)
  }

  private releaseOrphans (step: Step): void {
    for (const name of this.orphaned) {
      for (const held of this.held.on(name).values()) {
        if (isCurrentSession(step.state, name, held.session)) continue
        this.end(held, EndCause.lost, `the session of worker ${name} is over`, step)
      }
    }
    this.orphaned.clear()
  }

  private settleGangs (step: Step): void {
    for (const id of this.gangs) {
      const gang = step.state.workloads.get(id)
      if (gang !== undefined) settleGang(step, gang)
    }
    this.gangs.clear()
  }

  private end (held: HeldTask, cause: EndCause, reason: string, step: Step, runMs = 0): void {
    const workload = step.state.workloads.get(held.id)
    const task = workload?.tasks[held.index]
    if (workload === undefined || task === undefined || !isHeld(task)) return
    const { id, index, attempt, target } = held
    const verdict = judgeEnd(workload, task, cause, runMs >= this.limits.stableRunMs)
    if (verdict.kind === 'ended') {
      return step.decide({ kind: 'taskEnded', id, index, attempt, target, phase: verdict.phase, cause, reason })
    }
    const { failures } = verdict
    const notBefore = step.now + backoffMs(this.limits, cause, failures)
    step.decide({
      kind: 'taskRequeued',
      id,
      index,
      attempt,
      target,
      failures,
      cause,
      reason,
      at: step.now,
      notBefore
    })
  }
}
