/**
 * Manages runs on called workers from their placement until their end is certain.
 * A task becomes waiting again only after its run has ended, after a stop was
 * confirmed, or once the run cannot exist any more because the worker was
 * replaced or its lease has lapsed.
 */

import type { EventOf, ReportedRun } from '../../../types/events.js'
import { OrderOutcome, RunAnomaly, WorkerLoss } from '../../../types/events.js'
import {
  formatTaskRef, isLiveJob, parseTaskRef, StageTaskPhase, type CalledWorker, type StagedJob, type StageTask, type TaskRef
} from '../../../types/jobs.js'
import { NO_RESOURCES } from '../../../types/resources.js'
import type { ClusterState } from '../../../types/state.js'
import type { Step } from '../../step.js'
import { createCharge } from '../accounts/account-usage.js'
import { findStageTask } from '../apply-job-decision.js'
import { INITIAL_PACE_PERCENT, adjustPaces } from '../workers/pacing.js'
import { isSameReport, mergeReport } from '../workers/worker-reports.js'
import { findQueue } from '../order/queues.js'
import type { Orphan, SchedulingUnit } from '../order/scheduling-units.js'
import { createUnknownWorker, formatFormerWorker, passOnRuns } from './former-workers.js'
import { describeYoungestRuns, noteRunAnomaly } from './run-descriptions.js'
import { handleMissingRun, recordKnownEnd } from './missing-runs.js'
import { RunEnds } from './run-ends.js'
import { RunOrders } from './run-orders.js'
import { SlowRuns } from './slow-runs.js'
import { LearntRunTimes } from '../run-times/learnt-run-times.js'
import { DeclaredStragglers, LearntStragglers } from '../run-times/straggler-policy.js'
import { UnreachedLeases } from './unreached-leases.js'
import { isSuspected, WorkerCrashes } from './worker-crashes.js'
import { createOrphanRun, createRun, isServing, RunStatus, WorkerView, type Run } from '../workers/worker-view.js'

/** Time for which a worker gets no new work after it refused a start or a connection. */
const COOLDOWN_MS = { noRoom: 300, unhealthy: 2_000 } as const

export class RunManager {
  readonly orders = RunOrders.create()
  readonly ends: RunEnds
  /** Undefined unless run times are to be learnt. */
  readonly learnt: LearntRunTimes | undefined
  private readonly slowRuns: SlowRuns
  private readonly crashes = WorkerCrashes.create()
  private readonly unreachedLeases: UnreachedLeases
  /** True once a worker refused an order because it has seen a higher fencing token: another process leads. */
  isFencedOff = false

  private constructor (runLeaseMs: number, learntRunTimes: boolean) {
    this.learnt = learntRunTimes ? LearntRunTimes.create() : undefined
    this.ends = RunEnds.create(this.orders, this.learnt)
    this.slowRuns = SlowRuns.create(this.orders, this.learnt === undefined ? DeclaredStragglers.create(this.ends.meanRunMs) : LearntStragglers.create(this.learnt))
    this.unreachedLeases = UnreachedLeases.create(runLeaseMs)
  }

  /** `runLeaseMs` is the longest lease that a called worker grants to its runs, in milliseconds of its clock. */
  static create (runLeaseMs: number, learntRunTimes = false): RunManager {
    return new RunManager(runLeaseMs, learntRunTimes)
  }

  /** Views of the called workers, by worker id. */
  get views (): Map<string, WorkerView> {
    return this.orders.views
  }

  reset (state: ClusterState, now: number): void {
    this.views.clear()
    this.ends.meanRunMs.clear()
    this.learnt?.reset(state, now)
    this.crashes.clear()
    this.isFencedOff = false
    const activeAt = Math.min(now, findLastActivity(state))
    for (const worker of state.calledWorkers.values()) {
      const view = WorkerView.create(worker, now, activeAt)
      view.isExpected = true
      this.views.set(worker.id, view)
    }
    for (const job of state.jobs.values()) {
      for (const [occurrence, stages] of job.occurrences) {
        stages.forEach((tasks, stage) => tasks.forEach((task, index) => {
          if (task.phase === StageTaskPhase.placed) this.inheritRun({ job: job.id, occurrence, stage, index }, task, state, now)
        }))
      }
    }
  }

  /** Starts to watch every worker in the replicated state that has an address. */
  watchWorkers (step: Step): void {
    for (const view of this.views.values()) {
      if (view.worker.address !== '') step.effects.push({ kind: 'watchWorker', worker: view.worker })
    }
  }

  /** Orders the start of a run whose placement was decided in this step. `ticket` is empty when the queue needs none. */
  startRun (step: Step, ref: TaskRef, view: WorkerView, run: number, unit: SchedulingUnit, ticket: string): void {
    const job = step.state.jobs.get(ref.job)
    const stage = job?.spec.stages[ref.stage]
    if (job === undefined || stage === undefined) return
    const task = formatTaskRef(ref)
    const priority = findQueue(step.state.cell, job.queue)?.priority ?? 0
    const stageTask = findStageTask(step.state, ref)
    const checkpoint = stageTask?.checkpoint ?? ''
    const isSuspect = stageTask !== undefined && isSuspected(stageTask)
    const { objectiveAt, worthlessAt, payload } = unit
    view.add({ ...createRun(ref, task, run, stage, priority, step.now), checkpoint, objectiveAt, worthlessAt, isSuspect, isResumed: checkpoint !== '', charge: createCharge(job, stage) })
    step.effects.push({ kind: 'startRun', worker: view.worker, task, run, payload, checkpoint, ticket })
  }

  /**
   * Handles the report in which a worker describes itself: a new worker, a new incarnation or a change. Reports of an
   * older incarnation are ignored.
   */
  handleReport (step: Step, reported: CalledWorker): void {
    const view = this.views.get(reported.id)
    const known = step.state.calledWorkers.get(reported.id)
    const worker = mergeReport(known, reported, view?.reportSequence)
    const incarnation = known?.incarnation ?? view?.worker.incarnation ?? -1
    if (worker.incarnation < incarnation) return
    if (worker.incarnation > incarnation) {
      const successor = WorkerView.create(worker, step.now)
      step.decide({ kind: 'calledWorkerKnown', worker })
      this.views.set(worker.id, successor)
      step.effects.push({ kind: 'watchWorker', worker })
      if (view === undefined) return
      this.crashes.record(step, view)
      passOnRuns(view, successor)
      return
    }
    view?.recordReport(reported.sequence ?? 0, step.now)
    if (known !== undefined && isSameReport(known, worker)) return
    step.decide({ kind: 'calledWorkerKnown', worker })
    if (view === undefined) this.views.set(worker.id, WorkerView.create(worker, step.now))
    else view.worker = worker
    step.effects.push({ kind: 'watchWorker', worker })
  }

  /** Handles a worker's list of running and ended runs. A list of another incarnation is ignored. */
  handleListing (step: Step, event: EventOf<'workerListed'>): void {
    const view = this.orders.findView(event.id, event.incarnation)
    if (view === undefined) return
    if (!view.hasAcceptedToken) this.loseFormerWorkers(step, view.worker)
    view.hasAcceptedToken = true
    view.isExpected = true
    view.recordContact(step.now)
    view.closedAt = undefined
    view.clockMs = Math.max(view.clockMs, event.clockMs ?? 0)
    const cursor = view.cursor
    for (const endedRun of event.ended) {
      if (endedRun.number <= cursor) continue
      view.cursor = Math.max(view.cursor, endedRun.number)
      recordKnownEnd(view, endedRun)
      this.ends.handleEnd(step, view, endedRun)
    }
    if (!event.isTruncated) view.endsKnownUntil = event.sentAt
    const listed = new Set<string>()
    for (const reportedRun of event.running) {
      listed.add(reportedRun.task)
      this.handleRunning(step, view, reportedRun, event)
    }
    for (const run of [...view.runs.values()]) {
      if (!listed.has(run.task)) handleMissingRun(step, this.orders, view, run, event.sentAt)
    }
    adjustPaces(step, view)
    if (view.cursor > 0 && event.ended.length > 0) {
      step.effects.push({ kind: 'ackEnds', id: event.id, incarnation: event.incarnation, cursor: view.cursor })
    }
  }

  /** Handles the answer to an order, or the lack of one. Answers for another run of the task are ignored. */
  handleOrderAnswer (step: Step, event: EventOf<'runOrdered'>): void {
    const view = this.orders.findView(event.id, event.incarnation)
    const run = view?.runs.get(event.task)
    if (view !== undefined) view.clockMs = Math.max(view.clockMs, event.clockMs ?? 0)
    if (view === undefined || run === undefined || run.run !== event.run) return
    if (event.outcome === OrderOutcome.fenced) {
      this.isFencedOff = true
      return
    }
    if (event.outcome === OrderOutcome.replaced) return this.handleLapse(step, event.id, event.incarnation, WorkerLoss.replaced, 'another worker answers at its address')
    if (event.outcome === OrderOutcome.restarted) return this.handleRestart(step, event.id, event.incarnation)
    if (event.order === 'stop') return this.orders.handleStopAnswer(step, run, event.outcome)
    if (run.status === RunStatus.starting) this.handleStartAnswer(step, view, run, event)
    if (run.fills && run.status === RunStatus.running && isServing(view)) this.orders.orderPace(step, view, run, INITIAL_PACE_PERCENT)
  }

  listOrphans (): Orphan[] {
    const orphans: Orphan[] = []
    for (const view of this.views.values()) {
      for (const run of view.runs.values()) {
        if (run.isOrphan) orphans.push({ task: run.task, worker: view.id })
      }
    }
    return orphans
  }

  /** Tracks a run that the replicated state does not place on the worker; its capacity is used until it has ended. */
  private addOrphan (step: Step, view: WorkerView, task: string, run: number): Run {
    const ref = parseTaskRef(task)
    const job = ref === undefined ? undefined : step.state.jobs.get(ref.job)
    const stage = ref === undefined ? undefined : job?.spec.stages[ref.stage]
    const orphan = createOrphanRun(task, run, stage?.fills === true ? NO_RESOURCES : stage?.resources ?? NO_RESOURCES, step.now)
    orphan.charge = createCharge(job, stage)
    view.add(orphan)
    return orphan
  }

  /** Keeps the runs of a worker until its new incarnation reports itself; until then it gets no work. */
  handleRestart (step: Step, id: string, incarnation: number): void {
    const view = this.orders.findView(id, incarnation)
    if (view === undefined) return
    view.hasAcceptedToken = false
    view.isSilent = true
    view.restartedAt = step.now
  }

  /** Records that no run of an incarnation of a worker exists any more; the worker counts as silent until it lists its runs again. */
  handleLapse (step: Step, id: string, incarnation: number, loss: WorkerLoss, reason: string): void {
    const view = this.orders.findView(id, incarnation)
    if (view === undefined) return
    this.loseRuns(step, view, loss, reason)
    view.hasAcceptedToken = false
    view.unreachedSince = step.now
    view.isSilent = true
  }

  /** Removes a worker and all of its runs, and stops watching it. */
  forgetWorker (step: Step, id: string, incarnation: number, loss: WorkerLoss, reason: string): void {
    const view = this.orders.findView(id, incarnation)
    if (view !== undefined) {
      this.loseRuns(step, view, loss, reason)
      this.views.delete(id)
    }
    if (step.state.calledWorkers.get(id)?.incarnation === incarnation) {
      step.decide({ kind: 'calledWorkerForgotten', id, incarnation })
    }
    step.effects.push({ kind: 'unwatchWorker', id, incarnation })
  }

  /**
   * Resends stop orders without an answer and stops runs whose start was not answered. Removes workers that started again
   * and did not report themselves, and gives up those that this leader has not reached, once their leases must have lapsed.
   */
  tick (step: Step): void {
    this.crashes.forgetOld(step.now)
    this.learnt?.tick(step.state, this.views, step.now)
    for (const view of this.views.values()) {
      if (view.restartedAt > 0) {
        if (step.now - view.restartedAt > this.unreachedLeases.longestMs) this.forgetWorker(step, view.id, view.worker.incarnation, WorkerLoss.restarted, 'it started again and did not report itself')
        continue
      }
      for (const run of [...view.runs.values()]) this.orders.resendOrder(step, view, run)
      if (!view.hasAcceptedToken) this.giveUpUnreached(step, view)
    }
  }

  /**
   * Once no lease of an earlier leader can remain on a worker that this leader has not reached: removes its runs, and forgets
   * the worker unless it still reports itself. Its clock was never read, so its session has no lease that would lapse.
   */
  private giveUpUnreached (step: Step, view: WorkerView): void {
    if (!this.unreachedLeases.areOver(view, step.now)) return
    const reason = 'it was never reached by this leader, and its lease is over'
    if (this.unreachedLeases.isWithoutSign(view, step.now)) return this.forgetWorker(step, view.id, view.worker.incarnation, WorkerLoss.leaseExpired, reason)
    view.isExpected = false
    if (view.runs.size > 0) this.loseRuns(step, view, WorkerLoss.leaseExpired, reason)
  }

  /** True once a worker confirmed a run of the job; a placement alone does not count. */
  hasConfirmedRun (job: StagedJob): boolean {
    if (!job.started) return false
    for (const [occurrence, stages] of job.occurrences) {
      for (const [stage, tasks] of stages.entries()) {
        if (tasks.some((task, index) => this.isTaskConfirmed(task, { job: job.id, occurrence, stage, index }))) return true
      }
    }
    return false
  }

  private isTaskConfirmed (task: StageTask, ref: TaskRef): boolean {
    if (task.phase === StageTaskPhase.done || task.failures > 0 || task.checkpoint !== '') return true
    return this.views.get(task.worker)?.runs.get(formatTaskRef(ref))?.hasStarted === true
  }

  /**
   * Adds the run of a task that a previous leader placed. If its worker has started again since, only the incarnation
   * that is known now can still run it.
   */
  private inheritRun (ref: TaskRef, task: StageTask, state: ClusterState, now: number): void {
    let view = this.views.get(task.worker)
    if (view === undefined || view.worker.incarnation < task.incarnation) {
      // The worker is no longer known. A view of its own keeps the run until its lease has lapsed.
      const id = formatFormerWorker(task.worker, task.incarnation)
      view = this.views.get(id) ?? WorkerView.create(createUnknownWorker(id, task), now)
      this.views.set(id, view)
    }
    const job = state.jobs.get(ref.job)
    const stage = job?.spec.stages[ref.stage]
    if (job === undefined || stage === undefined) return
    const run = createRun(ref, formatTaskRef(ref), task.run, stage, findQueue(state.cell, job.queue)?.priority ?? 0, now)
    run.status = RunStatus.inherited
    run.isInherited = true
    run.resendWaitStartsAt = 0
    run.charge = createCharge(job, stage)
    view.add(run)
  }

  /** Handles a run that a worker lists as running; one that the replicated state does not place there is stopped. */
  private handleRunning (step: Step, view: WorkerView, reportedRun: ReportedRun, { clockMs, sentAt }: EventOf<'workerListed'>): void {
    let run = view.runs.get(reportedRun.task)
    if (run?.status === RunStatus.inherited && run.run > reportedRun.run) {
      // A worker has at most one run of a task, so the inherited one never started.
      this.orders.removeRun(step, view, run, 'it never started')
      run = undefined
    }
    if (run === undefined || run.run < reportedRun.run) {
      const orphan = this.addOrphan(step, view, reportedRun.task, reportedRun.run)
      noteRunAnomaly(step, view, RunAnomaly.unplacedRun, reportedRun, `${reportedRun.percent} percent`)
      return this.orders.stopRun(step, view, orphan, 'the replicated state does not place this run on the worker')
    }
    if (run.run > reportedRun.run) return
    run.startedClockMs ??= clockMs
    run.listedAt = sentAt
    run.missingSince = undefined
    run.isInherited = false
    run.isCrashCounted = false
    this.slowRuns.recordProgress(run, reportedRun.percent, step.now)
    run.load = reportedRun.load
    if (reportedRun.checkpoint !== '') run.checkpoint = reportedRun.checkpoint
    if (run.status === RunStatus.stopping) return
    if (run.status !== RunStatus.running) this.confirmStart(run, step.now)
    // Its former incarnation was told to stop it.
    if (run.stopReason !== '') return this.orders.stopRun(step, view, run, run.stopReason)
    const job = step.state.jobs.get(run.ref.job)
    if (job === undefined || !isLiveJob(job)) return this.orders.stopRun(step, view, run, 'its job is closed')
    this.slowRuns.stopIfSlow(step, view, run, job)
  }

  private confirmStart (run: Run, now: number): void {
    if (run.status === RunStatus.starting && !run.isResumed) run.progress ??= { baseAt: now, basePercent: 0, isWhole: true }
    run.status = RunStatus.running
    run.hasStarted = true
    run.resendWaitStartsAt = 0
    run.confirmedAt = now
  }

  private handleStartAnswer (step: Step, view: WorkerView, run: Run, { outcome, unanswered, clockMs }: EventOf<'runOrdered'>): void {
    switch (outcome) {
      case OrderOutcome.done:
        run.startedClockMs ??= clockMs
        return this.confirmStart(run, step.now)
      // It may be running, may start late or may have ended; a confirmed stop makes its end certain.
      case OrderOutcome.unknown:
      case OrderOutcome.superseded: return this.orders.abandonRun(step, view, run, `its start was ${outcome}`)
      case OrderOutcome.noRoom:
      case OrderOutcome.unsent: view.cooldownUntil = step.now + COOLDOWN_MS.noRoom; break
      case OrderOutcome.unhealthy: view.cooldownUntil = step.now + COOLDOWN_MS.unhealthy
    }
    // The refusal answers only the last attempt.
    if (unanswered > 0) return this.orders.abandonRun(step, view, run, `its start was refused (${outcome}) after ${unanswered} attempts without an answer`)
    this.orders.removeRun(step, view, run, outcome)
  }

  /**
   * Removes the runs of all former workers at the address of one that answers, whose processes have ended. Waiting for the
   * answer rules out that a late report of the former worker is taken for that of its successor.
   */
  private loseFormerWorkers (step: Step, worker: CalledWorker): void {
    this.crashes.settle(step, worker)
    for (const view of this.views.values()) {
      const isFormer = view.id !== worker.id && view.worker.address === worker.address && view.worker.incarnation < worker.incarnation
      if (isFormer && view.runs.size > 0) this.handleLapse(step, view.id, view.worker.incarnation, WorkerLoss.replaced, 'another worker answers at its address')
    }
  }

  /** Removes all runs of a worker, which cannot exist any more. */
  private loseRuns (step: Step, view: WorkerView, loss: WorkerLoss, reason: string): void {
    if (loss === WorkerLoss.replaced || loss === WorkerLoss.restarted) this.crashes.record(step, view)
    if (loss === WorkerLoss.leaseExpired) this.crashes.remember(step, view)
    if (view.runs.size > 0) step.effects.push({ kind: 'noteWorkerLost', worker: view.worker, loss, runCount: view.runs.size, runs: describeYoungestRuns(view, step.now) })
    for (const run of [...view.runs.values()]) this.orders.removeRun(step, view, run, reason)
  }
}

/**
 * Cluster time at which a leader last accepted or closed a job; 0 if none did. Reports of workers that change nothing are not
 * in the replicated state, so their capacities are known to hold up to that time only.
 */
function findLastActivity (state: ClusterState): number {
  let latest = 0
  for (const { acceptedAt, closedAt } of state.jobs.values()) latest = Math.max(latest, acceptedAt, closedAt)
  return latest
}
