/**
 * Manages runs on called workers from their placement until their end is certain.
 * A task becomes waiting again only after its run has ended, after a stop was
 * confirmed, or once the run cannot exist any more because the worker was
 * replaced or its lease has lapsed.
 */

import type { EndedRun, EventOf, ReportedRun } from '../../../types/events.js'
import { OrderOutcome, RunAnomaly, RunEndCause, WorkerLoss } from '../../../types/events.js'
import {
  formatTaskRef, isLiveJob, parseTaskRef, StageTaskPhase, type CalledWorker, type StagedJob, type StageTask, type TaskRef
} from '../../../types/jobs.js'
import { NO_RESOURCES } from '../../../types/resources.js'
import type { ClusterState } from '../../../types/state.js'
import type { Step } from '../../step.js'
import { findStageTask } from '../apply-job-decision.js'
import { INITIAL_PACE_PERCENT, adjustPaces } from '../workers/pacing.js'
import { isStalled, isTooSlow } from './run-progress.js'
import { isSameReport, mergeReport } from '../workers/worker-reports.js'
import { listServingStages } from '../workers/serving-stages.js'
import { computeExpectedRunMs, findQueue } from '../order/queues.js'
import type { Orphan, SchedulingUnit } from '../order/scheduling-units.js'
import { clearCrashes, isSuspected, WorkerCrashes } from './worker-crashes.js'
import { createOrphanRun, createRun, isInStartup, isServing, RunStatus, WorkerView, type Run } from '../workers/worker-view.js'

/**
 * Time after which an unconfirmed stop order is sent again, counted from the end of its answer timeout or from an answer
 * that leaves open whether it was carried out.
 */
const RESEND_INTERVAL_MS = 150

/** Time after which a run is stopped when its start order, including all repeats, got no answer. */
const START_TIMEOUT_MS = 4_000

/** Time for which a worker gets no new work after it refused a start or a connection, or was found to run a task too slowly. */
const COOLDOWN_MS = { noRoom: 300, unhealthy: 2_000, slow: 3_000 } as const

/** Run number above which a slow run is no longer restarted elsewhere. */
const SLOW_RESTART_LIMIT = 3

/** Weight of the newest run in the mean run time of a queue. */
const RUN_TIME_WEIGHT = 0.05

/** Weight of the newest run in the failure rate of a worker. */
const FAILURE_WEIGHT = 0.3

/** Failure rate above which a worker gets no new work for a while. */
const FAILURE_RATE_LIMIT = 0.6

/** Time for which a worker above the failure rate limit gets no new work. */
const FAILURE_COOLDOWN_MS = 3_000

/** Bound on how much slower the clock of a worker may run than cluster time, as a share. */
const CLOCK_DRIFT = 0.02

/** Time after the start of a leader in which orders of the previous one may still extend leases, in milliseconds. */
const PREVIOUS_LEADER_MS = 3_000

export class RunManager {
  /** Views of the called workers, by worker id. */
  readonly views = new Map<string, WorkerView>()
  /** Moving average of the run times of a queue in milliseconds, by queue name; no value before the first observed run. */
  readonly meanRunMs = new Map<string, number>()
  private readonly crashes = WorkerCrashes.create()
  /** Cluster time at which this leader took over. */
  private leaderSince = 0
  /** True once a worker refused an order because it has seen a higher fencing token: another process leads. */
  isFencedOff = false

  /** Time after which no lease remains on a worker that this leader never reached, in milliseconds. */
  private readonly unreachedLeaseMs: number

  private constructor (runLeaseMs: number) {
    this.unreachedLeaseMs = runLeaseMs / (1 - CLOCK_DRIFT) + PREVIOUS_LEADER_MS
  }

  /** `runLeaseMs` is the longest lease that a called worker grants to its runs, in milliseconds of its clock. */
  static create (runLeaseMs: number): RunManager {
    return new RunManager(runLeaseMs)
  }

  reset (state: ClusterState, now: number): void {
    this.views.clear()
    this.meanRunMs.clear()
    this.crashes.clear()
    this.leaderSince = now
    this.isFencedOff = false
    for (const worker of state.calledWorkers.values()) this.views.set(worker.id, WorkerView.create(worker, now))
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
    view.add({ ...createRun(ref, task, run, stage, priority, step.now), checkpoint, objectiveAt, worthlessAt, isSuspect, isResumed: checkpoint !== '' })
    step.effects.push({ kind: 'startRun', worker: view.worker, task, run, payload, checkpoint, ticket })
  }

  /** Orders a run to stop; its task becomes waiting again once the stop is confirmed. Has no effect on a run being stopped. */
  stopRun (step: Step, view: WorkerView, run: Run, reason: string): void {
    if (run.status === RunStatus.stopping) return
    run.status = RunStatus.stopping
    run.confirmedAt = 0
    run.stopReason = reason
    this.orderStop(step, view, run)
  }

  /** Stops a run that may or may not exist, and with it the other members of its gang, which cannot continue. */
  private abandonRun (step: Step, view: WorkerView, run: Run, reason: string): void {
    this.stopRun(step, view, run, reason)
    if (step.state.jobs.get(run.ref.job)?.spec.stages[run.ref.stage]?.gang === true) this.stopGang(step, run)
  }

  /** Stops the running preemptible runs of a worker. */
  stopPreemptibleRuns (step: Step, view: WorkerView, reason: string): void {
    for (const run of [...view.runs.values()]) {
      if (run.isPreemptible && run.status === RunStatus.running) this.stopRun(step, view, run, reason)
    }
  }

  /**
   * Stops one task of each serving stage that has more tasks on a worker than its disruption budget, so that it is
   * started elsewhere. Skips a stage while a task of it that is not on this worker is not ready.
   */
  moveExcessServingTasks (step: Step, view: WorkerView): void {
    for (const { refs, budget, unavailableElsewhere } of listServingStages(step.state, this.views, view)) {
      const run = view.runs.get(formatTaskRef(refs[0]))
      if (refs.length <= budget || unavailableElsewhere > 0 || run === undefined) continue
      this.stopRun(step, view, run, 'its VM goes down for upkeep and has more tasks of its stage than the disruption budget allows')
    }
  }

  /** Stops all runs of a job, including those that are not confirmed. */
  stopJobRuns (step: Step, job: string): void {
    const stages = step.state.jobs.get(job)?.occurrences ?? new Map()
    for (const tasks of [...stages.values()].flat() as StageTask[][]) {
      for (const task of tasks) {
        if (task.phase !== StageTaskPhase.placed) continue
        const view = this.views.get(task.worker)
        for (const run of view?.runs.values() ?? []) {
          if (run.ref.job === job && view !== undefined) this.stopRun(step, view, run, 'its job is closed')
        }
      }
    }
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
    const view = this.findView(event.id, event.incarnation)
    if (view === undefined) return
    if (!view.hasAcceptedToken) this.loseFormerWorkers(step, view.worker)
    view.hasAcceptedToken = true
    view.recordContact(step.now)
    view.closedAt = undefined
    view.clockMs = Math.max(view.clockMs, event.clockMs ?? 0)
    const cursor = view.cursor
    for (const endedRun of event.ended) {
      if (endedRun.number <= cursor) continue
      view.cursor = Math.max(view.cursor, endedRun.number)
      this.handleEnd(step, view, endedRun)
    }
    const listed = new Set<string>()
    for (const reportedRun of event.running) {
      listed.add(reportedRun.task)
      this.handleRunning(step, view, reportedRun, event.clockMs)
    }
    for (const run of [...view.runs.values()]) {
      if (!listed.has(run.task)) this.handleMissing(step, view, run, event.sentAt)
    }
    adjustPaces(step, view)
    if (view.cursor > 0 && event.ended.length > 0) {
      step.effects.push({ kind: 'ackEnds', id: event.id, incarnation: event.incarnation, cursor: view.cursor })
    }
  }

  /** Handles the answer to an order, or the lack of one. Answers for another run of the task are ignored. */
  handleOrderAnswer (step: Step, event: EventOf<'runOrdered'>): void {
    const view = this.findView(event.id, event.incarnation)
    const run = view?.runs.get(event.task)
    if (view !== undefined) view.clockMs = Math.max(view.clockMs, event.clockMs ?? 0)
    if (view === undefined || run === undefined || run.run !== event.run) return
    if (event.outcome === OrderOutcome.fenced) {
      this.isFencedOff = true
      return
    }
    if (event.outcome === OrderOutcome.replaced) return this.handleLapse(step, event.id, event.incarnation, WorkerLoss.replaced, 'another worker answers at its address')
    if (event.outcome === OrderOutcome.restarted) return this.handleRestart(step, event.id, event.incarnation)
    if (event.order === 'stop') return this.handleStopAnswer(step, run, event.outcome)
    if (run.status === RunStatus.starting) this.handleStartAnswer(step, view, run, event)
    if (run.fills && run.status === RunStatus.running && isServing(view)) this.orderPace(step, view, run, INITIAL_PACE_PERCENT)
  }

  private orderPace (step: Step, view: WorkerView, run: Run, percent: number): void {
    run.pace = percent
    step.effects.push({ kind: 'paceRun', worker: view.worker, task: run.task, run: run.run, percent })
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
    const stage = ref === undefined ? undefined : step.state.jobs.get(ref.job)?.spec.stages[ref.stage]
    const orphan = createOrphanRun(task, run, stage?.fills === true ? NO_RESOURCES : stage?.resources ?? NO_RESOURCES, step.now)
    view.add(orphan)
    return orphan
  }

  /** Keeps the runs of a worker until its new incarnation reports itself; until then it gets no work. */
  handleRestart (step: Step, id: string, incarnation: number): void {
    const view = this.findView(id, incarnation)
    if (view === undefined) return
    view.hasAcceptedToken = false
    view.isSilent = true
    view.restartedAt = step.now
  }

  /** Records that no run of an incarnation of a worker exists any more; the worker counts as silent until it lists its runs again. */
  handleLapse (step: Step, id: string, incarnation: number, loss: WorkerLoss, reason: string): void {
    const view = this.findView(id, incarnation)
    if (view === undefined) return
    this.loseRuns(step, view, loss, reason)
    view.hasAcceptedToken = false
    view.isSilent = true
  }

  /** Removes a worker and all of its runs, and stops watching it. */
  forgetWorker (step: Step, id: string, incarnation: number, loss: WorkerLoss, reason: string): void {
    const view = this.findView(id, incarnation)
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
   * Resends stop orders without an answer and stops runs whose start was not answered. Removes the runs of workers that
   * this leader never reached, or that started again and did not report themselves, once their leases must have lapsed.
   */
  tick (step: Step): void {
    this.crashes.forgetOld(step.now)
    for (const view of this.views.values()) {
      if (view.restartedAt > 0) {
        if (step.now - view.restartedAt > this.unreachedLeaseMs) this.forgetWorker(step, view.id, view.worker.incarnation, WorkerLoss.restarted, 'it started again and did not report itself')
        continue
      }
      for (const run of [...view.runs.values()]) this.resendOrder(step, view, run)
      const isUnreached = !view.hasAcceptedToken && view.runs.size > 0
      const unreachedSince = Math.max(this.leaderSince, view.knownSince, this.lastPlacementAt(view))
      if (isUnreached && step.now - unreachedSince > this.unreachedLeaseMs) {
        this.loseRuns(step, view, WorkerLoss.leaseExpired, 'it was never reached by this leader, and its lease is over')
      }
    }
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

  /** The view of a worker; undefined when it is not known with this incarnation. */
  findView (id: string, incarnation: number): WorkerView | undefined {
    const view = this.views.get(id)
    return view?.worker.incarnation === incarnation ? view : undefined
  }

  /** Cluster time of the latest placement on a worker; an inherited run counts from the start of this leader. */
  private lastPlacementAt (view: WorkerView): number {
    return Math.max(...[...view.runs.values()].map(run => run.status === RunStatus.inherited ? this.leaderSince : run.placedAt))
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
    view.add(run)
  }

  /** Handles the end of a run: records a result, or releases the task so that it waits again. */
  private handleEnd (step: Step, view: WorkerView, endedRun: EndedRun): void {
    const run = view.runs.get(endedRun.task)
    if (run === undefined || run.run !== endedRun.run) return this.handleUntrackedEnd(step, view, endedRun)
    view.remove(endedRun.task)
    if (run.isOrphan) return this.handleUntrackedEnd(step, view, endedRun)
    clearCrashes(step, run.ref)
    const checkpoint = endedRun.checkpoint === '' ? run.checkpoint : endedRun.checkpoint
    const job = step.state.jobs.get(run.ref.job)
    const stage = job?.spec.stages[run.ref.stage]
    if (job === undefined || stage === undefined) return
    if (endedRun.cause === RunEndCause.done && !stage.longRunning) {
      this.recordSuccess(view)
      this.recordRunTime(run, job.queue, step.now)
      return stage.gang ? this.completeGang(step, run.ref, run.run) : this.completeTask(step, run.ref, run.run)
    }
    if (endedRun.cause === RunEndCause.failed && !stage.longRunning) {
      this.recordFailure(view, step.now)
      step.decide({ kind: 'runEnded', ref: run.ref, run: run.run, succeeded: false })
      if (stage.gang) this.stopGang(step, run)
      return
    }
    this.releaseTask(step, run, checkpoint, endedRun.cause)
    if (stage.gang) this.stopGang(step, run)
  }

  /**
   * Records the result of a run that was released or belongs to an earlier leader. The worker forgets its end once it is
   * acknowledged, so it is counted now or never.
   */
  private handleUntrackedEnd (step: Step, view: WorkerView, endedRun: EndedRun): void {
    const { cause, run } = endedRun
    if (cause !== RunEndCause.done && cause !== RunEndCause.failed) return
    const ref = parseTaskRef(endedRun.task)
    const task = ref === undefined ? undefined : findStageTask(step.state, ref)
    const stage = ref === undefined ? undefined : step.state.jobs.get(ref.job)?.spec.stages[ref.stage]
    if (ref === undefined || task === undefined || stage === undefined || stage.longRunning || run > task.run) return
    if (task.phase === StageTaskPhase.done || task.failedRuns?.includes(run) === true) return
    this.noteAnomaly(step, view, RunAnomaly.untrackedEnd, endedRun, cause)
    if (cause === RunEndCause.failed) return step.decide({ kind: 'runEnded', ref, run, succeeded: false })
    if (stage.gang) this.completeGang(step, ref, run)
    else this.completeTask(step, ref, run)
  }

  /** Records success for all members of a gang run; the success of one member implies that of the others. */
  private completeGang (step: Step, ref: TaskRef, run: number): void {
    const tasks = step.state.jobs.get(ref.job)?.occurrences.get(ref.occurrence)?.[ref.stage] ?? []
    tasks.forEach((task, index) => {
      if (task.phase !== StageTaskPhase.done && task.run >= run) this.completeTask(step, { ...ref, index }, run)
    })
  }

  /** Records the success of a run, and stops a later run of its task. */
  private completeTask (step: Step, ref: TaskRef, run: number): void {
    const task = findStageTask(step.state, ref)
    const view = task === undefined ? undefined : this.findPlacement(task)
    const placed = view?.runs.get(formatTaskRef(ref))
    if (view !== undefined && placed !== undefined && !placed.isOrphan) {
      if (placed.run === run) {
        view.remove(placed.task)
      } else {
        placed.isOrphan = true
        this.stopRun(step, view, placed, 'an earlier run of its task succeeded')
      }
    }
    step.decide({ kind: 'runEnded', ref, run, succeeded: true })
  }

  /** The view that tracks the run of a placed task. */
  private findPlacement ({ worker, incarnation }: StageTask): WorkerView | undefined {
    return this.views.get(formatFormerWorker(worker, incarnation)) ?? this.views.get(worker)
  }

  /** Stops the other members after one member of a gang run ended. The gang cannot continue and is restarted as a whole. */
  private stopGang (step: Step, ended: Run): void {
    for (const view of this.views.values()) {
      for (const run of [...view.runs.values()]) {
        if (run.isOrphan || run.run !== ended.run || !isSameStage(run.ref, ended.ref)) continue
        this.stopRun(step, view, run, 'another member of its gang ended')
      }
    }
  }

  /** Handles a run that a worker lists as running; one that the replicated state does not place there is stopped. */
  private handleRunning (step: Step, view: WorkerView, reportedRun: ReportedRun, clockMs: number | undefined): void {
    let run = view.runs.get(reportedRun.task)
    if (run?.status === RunStatus.inherited && run.run > reportedRun.run) {
      // A worker has at most one run of a task, so the inherited one never started.
      this.removeRun(step, view, run, 'it never started')
      run = undefined
    }
    if (run === undefined || run.run < reportedRun.run) {
      const orphan = this.addOrphan(step, view, reportedRun.task, reportedRun.run)
      this.noteAnomaly(step, view, RunAnomaly.unplacedRun, reportedRun, `${reportedRun.percent} percent`)
      return this.stopRun(step, view, orphan, 'the replicated state does not place this run on the worker')
    }
    if (run.run > reportedRun.run) return
    run.startedClockMs ??= clockMs
    run.isInherited = false
    run.isCrashCounted = false
    this.recordProgress(run, reportedRun.percent, step.now)
    run.load = reportedRun.load
    if (reportedRun.checkpoint !== '') run.checkpoint = reportedRun.checkpoint
    if (run.status === RunStatus.stopping) return
    if (run.status !== RunStatus.running) this.confirmStart(run, step.now)
    // Its former incarnation was told to stop it.
    if (run.stopReason !== '') return this.stopRun(step, view, run, run.stopReason)
    const job = step.state.jobs.get(run.ref.job)
    if (job === undefined || !isLiveJob(job)) return this.stopRun(step, view, run, 'its job is closed')
    this.stopIfSlow(step, view, run, job)
  }

  private noteAnomaly (step: Step, view: WorkerView, anomaly: RunAnomaly, { task, run }: { task: string, run: number }, report: string): void {
    const ref = parseTaskRef(task)
    const placed = ref === undefined ? undefined : findStageTask(step.state, ref)
    const detail = `listed: ${report}; in the state: ${placed === undefined ? 'unknown' : describePlacement(placed)}`
    step.effects.push({ kind: 'noteRunAnomaly', anomaly, worker: view.id, incarnation: view.worker.incarnation, task, run, detail })
  }

  private recordProgress (run: Run, percent: number, now: number): void {
    // A run that resumes from a checkpoint does not start at 0 percent.
    if (run.progress === undefined || percent < run.progress.basePercent) run.progress = { baseAt: now, basePercent: percent }
    run.percent = percent
  }

  /**
   * Stops a run that is stalled or too slow; its worker gets no new work for a while. A run that is still to report its
   * first checkpoint is not stopped, since a restart would lose all of its progress.
   */
  private stopIfSlow (step: Step, view: WorkerView, run: Run, job: StagedJob): void {
    const stage = job.spec.stages[run.ref.stage]
    if (stage.longRunning || stage.fills || run.progress === undefined || run.run > SLOW_RESTART_LIMIT) return
    const expectedMs = computeExpectedRunMs(stage.estimateMs, this.meanRunMs.get(job.queue))
    // The members of a gang run at the speed of the slowest one. Restarting all of them rarely saves time, so a gang is
    // stopped only when it makes no progress.
    const isSlow = stage.gang ? isStalled(run.progress, run.percent, step.now) : isTooSlow(run.progress, run.percent, step.now, expectedMs)
    if (expectedMs === 0 || !isSlow) return
    view.cooldownUntil = Math.max(view.cooldownUntil, step.now + COOLDOWN_MS.slow)
    if (run.checkpoint === '' && stage.checkpoints) return
    this.stopRun(step, view, run, `too slow: at ${run.percent} percent after ${step.now - run.progress.baseAt} ms`)
    if (stage.gang) this.stopGang(step, run)
  }

  /** Updates the mean run time of a queue with a successful run; a run without a confirmed start is ignored. */
  private recordRunTime (run: Run, queue: string, now: number): void {
    if (run.confirmedAt === 0) return
    const runMs = now - run.placedAt
    const mean = this.meanRunMs.get(queue)
    this.meanRunMs.set(queue, mean === undefined ? runMs : mean + RUN_TIME_WEIGHT * (runMs - mean))
  }

  private confirmStart (run: Run, now: number): void {
    if (run.status === RunStatus.starting && !run.isResumed) run.progress ??= { baseAt: now, basePercent: 0 }
    run.status = RunStatus.running
    run.hasStarted = true
    run.resendWaitStartsAt = 0
    run.confirmedAt = now
  }

  /** Handles a run that a worker lists neither as running nor as ended. */
  private handleMissing (step: Step, view: WorkerView, run: Run, sentAt: number): void {
    const hasNeverStarted = run.status === RunStatus.inherited
    const hasStopped = run.status === RunStatus.stopping && run.confirmedAt > 0 && sentAt > run.confirmedAt
    if (hasStopped && !isInStartup(view, run)) clearCrashes(step, run.ref)
    if (hasNeverStarted || hasStopped) return this.removeRun(step, view, run, hasStopped ? 'stopped' : 'it never started')
    // Either its end was listed and acknowledged, or it was never there; a confirmed stop makes its end certain.
    if (run.status === RunStatus.running && sentAt > run.confirmedAt) this.stopRun(step, view, run, 'the worker does not list it')
  }

  private handleStartAnswer (step: Step, view: WorkerView, run: Run, { outcome, unanswered, clockMs }: EventOf<'runOrdered'>): void {
    switch (outcome) {
      case OrderOutcome.done:
        run.startedClockMs ??= clockMs
        return this.confirmStart(run, step.now)
      // It may be running, may start late or may have ended; a confirmed stop makes its end certain.
      case OrderOutcome.unknown:
      case OrderOutcome.superseded: return this.abandonRun(step, view, run, `its start was ${outcome}`)
      case OrderOutcome.noRoom:
      case OrderOutcome.unsent: view.cooldownUntil = step.now + COOLDOWN_MS.noRoom; break
      case OrderOutcome.unhealthy: view.cooldownUntil = step.now + COOLDOWN_MS.unhealthy
    }
    // The refusal answers only the last attempt.
    if (unanswered > 0) return this.abandonRun(step, view, run, `its start was refused (${outcome}) after ${unanswered} attempts without an answer`)
    this.removeRun(step, view, run, outcome)
  }

  private handleStopAnswer (step: Step, run: Run, outcome: OrderOutcome): void {
    if (run.status !== RunStatus.stopping) return
    // Only these outcomes rule out that the run starts later.
    if (outcome !== OrderOutcome.done && outcome !== OrderOutcome.superseded) {
      run.resendWaitStartsAt = step.now
      return
    }
    run.resendWaitStartsAt = 0
    run.confirmedAt = step.now
  }

  private resendOrder (step: Step, view: WorkerView, run: Run): void {
    // Each list request shows whether a silent worker can be reached; orders to it would only add to the load and the log.
    if (view.isSilent) return
    if (run.resendWaitStartsAt === 0 || step.now - run.resendWaitStartsAt < RESEND_INTERVAL_MS || run.confirmedAt > 0) return
    if (run.status === RunStatus.stopping) return this.orderStop(step, view, run)
    if (run.status === RunStatus.starting && step.now - run.placedAt > START_TIMEOUT_MS) this.stopRun(step, view, run, 'its start was not answered')
  }

  private orderStop (step: Step, view: WorkerView, run: Run): void {
    run.resendWaitStartsAt = step.now + STOP_ANSWER_TIMEOUT_MS
    step.effects.push({ kind: 'stopRun', worker: view.worker, task: run.task, run: run.run, reason: run.stopReason })
  }

  /** Removes a run that cannot exist any more and releases its task; a gang is stopped as a whole. */
  private removeRun (step: Step, view: WorkerView, run: Run, reason: string): void {
    view.remove(run.task)
    if (run.isOrphan) return
    this.releaseTask(step, run, run.checkpoint, reason)
    const stage = step.state.jobs.get(run.ref.job)?.spec.stages[run.ref.stage]
    if (stage?.gang === true) this.stopGang(step, run)
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
    for (const run of [...view.runs.values()]) this.removeRun(step, view, run, reason)
  }

  private releaseTask (step: Step, run: Run, checkpoint: string, reason: string): void {
    step.decide({ kind: 'runReleased', ref: run.ref, run: run.run, checkpoint, reason })
  }

  private recordSuccess (view: WorkerView): void {
    view.failureRate *= 1 - FAILURE_WEIGHT
  }

  private recordFailure (view: WorkerView, now: number): void {
    view.failureRate += FAILURE_WEIGHT * (1 - view.failureRate)
    if (view.failureRate > FAILURE_RATE_LIMIT) view.cooldownUntil = now + FAILURE_COOLDOWN_MS
  }
}

/** Time within which the answer to a stop order is expected; the resend interval starts after it. */
const STOP_ANSWER_TIMEOUT_MS = 1_000

/**
 * Passes the runs of a former incarnation on to its successor, which carries out orders that were sent to the former one
 * until its first list. What that list does not name cannot start any more.
 */
function passOnRuns (former: WorkerView, successor: WorkerView): void {
  for (const run of [...former.runs.values()]) {
    former.remove(run.task)
    if (run.isOrphan) continue
    successor.add({ ...run, status: RunStatus.inherited, confirmedAt: 0, resendWaitStartsAt: 0, progress: undefined, startedClockMs: undefined, isCrashCounted: true })
  }
}

function isSameStage (one: TaskRef, other: TaskRef): boolean {
  return one.job === other.job && one.occurrence === other.occurrence && one.stage === other.stage
}

/** Number of runs that the description of a lost worker names. */
const DESCRIBED_RUN_LIMIT = 10

/** Names the youngest runs of a worker, with the time since their placement: those that started last may have ended its process. */
function describeYoungestRuns (view: WorkerView, now: number): string {
  const youngest = [...view.runs.values()].sort((one, other) => other.placedAt - one.placedAt).slice(0, DESCRIBED_RUN_LIMIT)
  return youngest.map(({ task, run, status, placedAt }) => `${task} run ${run} ${status} ${now - placedAt} ms`).join(', ')
}

function describePlacement ({ run, phase, worker, incarnation }: StageTask): string {
  return `run ${run} ${phase}${worker === '' ? '' : ` on ${worker} (${incarnation})`}`
}

/** Id of the view that keeps the runs of an incarnation that is no longer known. */
function formatFormerWorker (worker: string, incarnation: number): string {
  return `${worker}#${incarnation}`
}

/** A placeholder for a worker that is no longer known; it has no address and gets no work. */
function createUnknownWorker (id: string, task: StageTask): CalledWorker {
  return {
    id,
    incarnation: task.incarnation,
    address: '',
    service: '',
    availabilityZone: '',
    rack: '',
    labels: [],
    capacity: NO_RESOURCES,
    isDraining: true,
    hasLeft: false
  }
}
