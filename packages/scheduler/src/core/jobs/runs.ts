/**
 * Runs on workers that are called, from their placement to the moment at which
 * they are surely over. A task waits again only after its run ended, was stopped
 * and confirmed, or can't exist any more since the worker was replaced or its
 * lease lapsed on its own clock.
 */

import type { EndedRow, EventOf, RunningRow } from '../../types/events.js'
import { OrderOutcome, RunEnd } from '../../types/events.js'
import {
  formatTaskRef, isLiveJob, parseTaskRef, StageTaskPhase, type CalledWorker, type StagedJob, type StageTask, type TaskRef
} from '../../types/jobs.js'
import { NO_RESOURCES } from '../../types/resources.js'
import type { ClusterState } from '../../types/state.js'
import type { Step } from '../step.js'
import { findStageTask } from './apply.js'
import { FIRST_PACE, paceWorker } from './pacing.js'
import { isStill, isStuck } from './progress.js'
import { isSameReport, mergeReport } from './reports.js'
import { listServingSteps } from './serving.js'
import { expectedMs, findQueue } from './queues.js'
import type { Unit } from './units.js'
import { createOrphan, createRun, isServing, RunStatus, WorkerView, type Run } from './workers.js'

/** Pause before an order without an answer is sent again, in milliseconds. */
const REPEAT_MS = 150

/** How long a start may go without any answer before the run is stopped instead, in milliseconds: all its repeats. */
const START_PATIENCE_MS = 4_000

/** How long a worker gets no new work after it refused a start, in milliseconds. */
const AVOID_MS = { noRoom: 300, unhealthy: 2_000, stuck: 3_000 } as const

/** Runs of a task after which it is left where it is, however slow. */
const STUCK_RUNS = 3

/** Weight of the newest run in the learnt run time of a queue. */
const LEARNING_WEIGHT = 0.05

/** Weight of the newest run in the failure rate of a worker. */
const FAILURE_WEIGHT = 0.3

/** Failure rate from which on a worker is left alone for a while. */
const FAILURE_LIMIT = 0.6
const FAILURE_PAUSE_MS = 3_000

/**
 * After how long a leader takes the lease of a worker that it never reached for
 * lapsed, in milliseconds: the longest lease on a clock that is 2% slow, and the
 * time in which a former leader may have extended it.
 */
const UNREACHED_LAPSE_MS = 9_000

export class Runs {
  readonly views = new Map<string, WorkerView>()
  /** Mean run time of the tasks of a queue in milliseconds, as far as it was seen. */
  readonly learntMs = new Map<string, number>()
  private ledSince = 0
  /** A worker follows a higher fence: another process leads. */
  isFencedOff = false
  private readonly gangFailures = new Map<string, number>()

  static create (): Runs {
    return new Runs()
  }

  reset (state: ClusterState, now: number): void {
    this.views.clear()
    this.gangFailures.clear()
    this.learntMs.clear()
    this.ledSince = now
    this.isFencedOff = false
    for (const worker of state.calledWorkers.values()) this.views.set(worker.id, WorkerView.create(worker))
    for (const job of state.jobs.values()) {
      for (const [occurrence, stages] of job.occurrences) {
        stages.forEach((tasks, stage) => tasks.forEach((task, index) => {
          if (task.phase === StageTaskPhase.placed) this.inherit({ job: job.id, occurrence, stage, index }, task, state, now)
        }))
      }
    }
  }

  /** Begins to watch every worker that a former leader knew. */
  watchAll (step: Step): void {
    for (const view of this.views.values()) {
      if (view.worker.address !== '') step.effects.push({ kind: 'watchWorker', worker: view.worker })
    }
  }

  /** Orders the start of a run whose placement was decided in this step. */
  start (step: Step, ref: TaskRef, view: WorkerView, run: number, unit: Unit, ticket: string): void {
    const job = step.state.jobs.get(ref.job)
    const stage = job?.spec.stages[ref.stage]
    if (job === undefined || stage === undefined) return
    const task = formatTaskRef(ref)
    const priority = findQueue(step.state.cell, job.queue)?.priority ?? 0
    const checkpoint = findStageTask(step.state, ref)?.checkpoint ?? ''
    const { objectiveAt, payload } = unit
    view.add({ ...createRun(ref, task, run, stage, priority, step.now), checkpoint, objectiveAt, isResumed: checkpoint !== '' })
    step.effects.push({ kind: 'startRun', worker: view.worker, task, run, payload, checkpoint, ticket })
  }

  /** Stops a run; its task waits again once that is confirmed. */
  stop (step: Step, view: WorkerView, run: Run, reason: string): void {
    if (run.status === RunStatus.stopping) return
    run.status = RunStatus.stopping
    run.confirmedAt = 0
    run.stopReason = reason
    this.orderStop(step, view, run)
  }

  /** Stops what loses nothing by it. */
  stopPreemptible (step: Step, view: WorkerView, reason: string): void {
    for (const run of [...view.runs.values()]) {
      if (run.isPreemptible && run.status === RunStatus.running) this.stop(step, view, run, reason)
    }
  }

  /** Moves one task of each step that has more on a worker than may be away at once. */
  thinOut (step: Step, view: WorkerView): void {
    for (const { refs, budget, awayElsewhere } of listServingSteps(step.state, this.views, view)) {
      const run = view.runs.get(formatTaskRef(refs[0]))
      if (refs.length <= budget || awayElsewhere > 0 || run === undefined) continue
      this.stop(step, view, run, 'its VM goes down for upkeep, and others of its step with it')
    }
  }

  /** Stops what runs, or may run, of a job. */
  stopJob (step: Step, job: string): void {
    const stages = step.state.jobs.get(job)?.occurrences ?? new Map()
    for (const tasks of [...stages.values()].flat() as StageTask[][]) {
      for (const task of tasks) {
        if (task.phase !== StageTaskPhase.placed) continue
        const view = this.views.get(task.worker)
        for (const run of view?.runs.values() ?? []) {
          if (run.ref.job === job && view !== undefined) this.stop(step, view, run, 'its job is closed')
        }
      }
    }
  }

  /** The worker told of itself: a new one, a new incarnation, or a change. */
  report (step: Step, told: CalledWorker): void {
    const view = this.views.get(told.id)
    const known = step.state.calledWorkers.get(told.id)
    const worker = mergeReport(known, told)
    const incarnation = known?.incarnation ?? view?.worker.incarnation ?? -1
    if (worker.incarnation < incarnation) return
    if (worker.incarnation > incarnation) {
      if (view !== undefined) this.over(step, view, 'the worker started anew')
      step.decide({ kind: 'calledWorkerKnown', worker })
      this.views.set(worker.id, WorkerView.create(worker))
      step.effects.push({ kind: 'watchWorker', worker })
      return
    }
    if (known !== undefined && isSameReport(known, worker)) return
    step.decide({ kind: 'calledWorkerKnown', worker })
    if (view === undefined) this.views.set(worker.id, WorkerView.create(worker))
    else view.worker = worker
    step.effects.push({ kind: 'watchWorker', worker })
  }

  /** What a worker runs and what has ended there. */
  take (step: Step, event: EventOf<'workerListed'>): void {
    const view = this.viewOf(event.id, event.incarnation)
    if (view === undefined) return
    view.isFenced = true
    view.isSilent = false
    const cursor = view.cursor
    for (const row of event.ended) {
      if (row.number <= cursor) continue
      view.cursor = Math.max(view.cursor, row.number)
      this.takeEnd(step, view, row)
    }
    const listed = new Set<string>()
    for (const row of event.running) {
      listed.add(row.task)
      this.takeRunning(step, view, row)
    }
    for (const run of [...view.runs.values()]) {
      if (!listed.has(run.task)) this.takeMissing(step, view, run, event.sentAt)
    }
    paceWorker(step, view)
    if (view.cursor > 0 && event.ended.length > 0) {
      step.effects.push({ kind: 'ackEnds', id: event.id, incarnation: event.incarnation, cursor: view.cursor })
    }
  }

  /** The answer to an order, or that there was none. */
  ordered (step: Step, event: EventOf<'runOrdered'>): void {
    const view = this.viewOf(event.id, event.incarnation)
    const run = view?.runs.get(event.task)
    if (view === undefined || run === undefined || run.run !== event.run) return
    if (event.outcome === OrderOutcome.fenced) {
      this.isFencedOff = true
      return
    }
    if (event.outcome === OrderOutcome.replaced) return this.lapse(step, event.id, event.incarnation, 'another worker answers at its address')
    if (event.order === 'stop') return this.stopAnswered(step, view, run, event.outcome)
    if (run.status === RunStatus.starting) this.startAnswered(step, view, run, event.outcome)
    if (run.fills && run.status === RunStatus.running && isServing(view)) this.pace(step, view, run, FIRST_PACE)
  }

  private pace (step: Step, view: WorkerView, run: Run, percent: number): void {
    run.pace = percent
    step.effects.push({ kind: 'paceRun', worker: view.worker, task: run.task, run: run.run, percent })
  }

  /** Nothing of an incarnation runs any more. */
  lapse (step: Step, id: string, incarnation: number, reason: string): void {
    const view = this.viewOf(id, incarnation)
    if (view === undefined) return
    this.over(step, view, reason)
    view.isFenced = false
    view.isSilent = true
  }

  forget (step: Step, id: string, incarnation: number, reason: string): void {
    const view = this.viewOf(id, incarnation)
    if (view !== undefined) {
      this.over(step, view, reason)
      this.views.delete(id)
    }
    if (step.state.calledWorkers.get(id)?.incarnation === incarnation) {
      step.decide({ kind: 'calledWorkerForgotten', id, incarnation })
    }
    step.effects.push({ kind: 'unwatchWorker', id, incarnation })
  }

  /** Repeats orders without an answer, and gives up workers that were never reached. */
  tick (step: Step): void {
    for (const view of this.views.values()) {
      for (const run of [...view.runs.values()]) this.repeat(step, view, run)
      const isUnreached = !view.isFenced && view.runs.size > 0 && step.now - this.ledSince > UNREACHED_LAPSE_MS
      if (isUnreached && step.now - this.newestPlacement(view) > UNREACHED_LAPSE_MS) {
        this.over(step, view, 'it was never reached by this leader, and its lease is over')
      }
    }
  }

  /** True once a run of the job was confirmed by a worker; a placement alone is none. */
  hasBegun (job: StagedJob): boolean {
    if (!job.started) return false
    for (const [occurrence, stages] of job.occurrences) {
      for (const [stage, tasks] of stages.entries()) {
        if (tasks.some((task, index) => this.isBegun(task, { job: job.id, occurrence, stage, index }))) return true
      }
    }
    return false
  }

  private isBegun (task: StageTask, ref: TaskRef): boolean {
    if (task.phase === StageTaskPhase.done || task.failures > 0 || task.checkpoint !== '') return true
    return this.views.get(task.worker)?.runs.get(formatTaskRef(ref))?.hasRun === true
  }

  viewOf (id: string, incarnation: number): WorkerView | undefined {
    const view = this.views.get(id)
    return view?.worker.incarnation === incarnation ? view : undefined
  }

  private newestPlacement (view: WorkerView): number {
    return Math.max(...[...view.runs.values()].map(run => run.status === RunStatus.inherited ? this.ledSince : run.placedAt))
  }

  private inherit (ref: TaskRef, task: StageTask, state: ClusterState, now: number): void {
    let view = this.views.get(task.worker)
    if (view === undefined || view.worker.incarnation !== task.incarnation) {
      // The worker is not known any more; what may run there lapses.
      const id = `${task.worker}#${task.incarnation}`
      view = this.views.get(id) ?? WorkerView.create(createUnknownWorker(id, task))
      this.views.set(id, view)
    }
    const job = state.jobs.get(ref.job)
    const stage = job?.spec.stages[ref.stage]
    if (job === undefined || stage === undefined) return
    const run = createRun(ref, formatTaskRef(ref), task.run, stage, findQueue(state.cell, job.queue)?.priority ?? 0, now)
    run.status = RunStatus.inherited
    run.orderedAt = 0
    view.add(run)
  }

  private takeEnd (step: Step, view: WorkerView, row: EndedRow): void {
    const run = view.runs.get(row.task)
    if (run === undefined || run.run !== row.run) return
    view.remove(row.task)
    if (run.isOrphan) return
    const checkpoint = row.checkpoint === '' ? run.checkpoint : row.checkpoint
    const job = step.state.jobs.get(run.ref.job)
    const stage = job?.spec.stages[run.ref.stage]
    if (job === undefined || stage === undefined) return
    if (row.cause === RunEnd.done && !stage.longRunning) {
      this.noteSuccess(view)
      this.learn(run, job.queue, step.now)
      if (!stage.gang) return step.decide({ kind: 'runEnded', ref: run.ref, run: run.run, succeeded: true })
      return this.endGang(step, run)
    }
    if (row.cause === RunEnd.failed && !stage.longRunning) {
      this.noteFailure(view, step.now)
      if (!stage.gang || this.isFirstGangFailure(run)) {
        step.decide({ kind: 'runEnded', ref: run.ref, run: run.run, succeeded: false })
      } else {
        this.release(step, run, checkpoint, row.cause)
      }
      if (stage.gang) this.stopGang(step, run)
      return
    }
    this.release(step, run, checkpoint, row.cause)
    if (stage.gang) this.stopGang(step, run)
  }

  /** The end of one member as a success stands for all members of that run. */
  private endGang (step: Step, ended: Run): void {
    const { ref, run } = ended
    const tasks = step.state.jobs.get(ref.job)?.occurrences.get(ref.occurrence)?.[ref.stage] ?? []
    tasks.forEach((task, index) => {
      if (task.phase === StageTaskPhase.done || task.run !== run) return
      const member = { ...ref, index }
      this.views.get(task.worker)?.remove(formatTaskRef(member))
      step.decide({ kind: 'runEnded', ref: member, run, succeeded: true })
    })
  }

  /** A gang that lost a member can't go on: the others are stopped, and it starts anew as a whole. */
  private stopGang (step: Step, ended: Run): void {
    for (const view of this.views.values()) {
      for (const run of [...view.runs.values()]) {
        if (run.isOrphan || run.run !== ended.run || !isSameStage(run.ref, ended.ref)) continue
        this.stop(step, view, run, 'another member of its gang ended')
      }
    }
  }

  private isFirstGangFailure (run: Run): boolean {
    const key = `${run.ref.job}/${run.ref.occurrence}/${run.ref.stage}`
    if (this.gangFailures.get(key) === run.run) return false
    this.gangFailures.set(key, run.run)
    return true
  }

  private takeRunning (step: Step, view: WorkerView, row: RunningRow): void {
    const run = view.runs.get(row.task)
    if (run === undefined || run.run < row.run) {
      const ref = parseTaskRef(row.task)
      const stage = ref === undefined ? undefined : step.state.jobs.get(ref.job)?.spec.stages[ref.stage]
      const orphan = createOrphan(row.task, row.run, stage?.fills === true ? NO_RESOURCES : stage?.resources ?? NO_RESOURCES, step.now)
      view.add(orphan)
      return this.stop(step, view, orphan, 'the state does not place it there')
    }
    if (run.run > row.run) return
    this.notePercent(run, row.percent, step.now)
    run.load = row.load
    if (row.checkpoint !== '') run.checkpoint = row.checkpoint
    if (run.status === RunStatus.stopping) return
    if (run.status !== RunStatus.running) this.confirmStart(run, step.now)
    const job = step.state.jobs.get(run.ref.job)
    if (job === undefined || !isLiveJob(job)) return this.stop(step, view, run, 'its job is closed')
    this.stopIfStuck(step, view, run, job)
  }

  private notePercent (run: Run, percent: number, now: number): void {
    // A run that goes on from a checkpoint does not begin at 0.
    if (run.progress === undefined || percent < run.progress.basePercent) run.progress = { baseAt: now, basePercent: percent }
    run.percent = percent
  }

  private stopIfStuck (step: Step, view: WorkerView, run: Run, job: StagedJob): void {
    const stage = job.spec.stages[run.ref.stage]
    if (stage.longRunning || stage.fills || run.progress === undefined || run.run > STUCK_RUNS) return
    const expected = expectedMs(stage.estimateMs, this.learntMs.get(job.queue))
    // The members of a gang work at the speed of the slowest; a new start of all of them rarely pays.
    const isStopped = stage.gang ? isStill(run.progress, run.percent, step.now) : isStuck(run.progress, run.percent, step.now, expected)
    if (expected === 0 || !isStopped) return
    view.avoidUntil = Math.max(view.avoidUntil, step.now + AVOID_MS.stuck)
    if (run.checkpoint === '' && stage.checkpoints) return
    this.stop(step, view, run, `it made ${run.percent} percent in ${step.now - run.progress.baseAt} ms`)
    if (stage.gang) this.stopGang(step, run)
  }

  /** Learns the run time of a queue from a run that this leader started and that ended as a success. */
  private learn (run: Run, queue: string, now: number): void {
    if (run.confirmedAt === 0) return
    const ranMs = now - run.placedAt
    const before = this.learntMs.get(queue)
    this.learntMs.set(queue, before === undefined ? ranMs : before + LEARNING_WEIGHT * (ranMs - before))
  }

  private confirmStart (run: Run, now: number): void {
    if (run.status === RunStatus.starting && !run.isResumed) run.progress ??= { baseAt: now, basePercent: 0 }
    run.status = RunStatus.running
    run.hasRun = true
    run.orderedAt = 0
    run.confirmedAt = now
  }

  /** A run that a worker lists neither as running nor as ended. */
  private takeMissing (step: Step, view: WorkerView, run: Run, sentAt: number): void {
    const isNeverStarted = run.status === RunStatus.inherited
    const isStopped = run.status === RunStatus.stopping && run.confirmedAt > 0 && sentAt > run.confirmedAt
    if (isNeverStarted || isStopped) return this.drop(step, view, run, isStopped ? 'stopped' : 'it never started')
    // Its end was listed and acknowledged, or it was never there; a confirmed stop tells.
    if (run.status === RunStatus.running && sentAt > run.confirmedAt) this.stop(step, view, run, 'the worker does not list it')
  }

  private startAnswered (step: Step, view: WorkerView, run: Run, outcome: OrderOutcome): void {
    switch (outcome) {
      case OrderOutcome.done: return this.confirmStart(run, step.now)
      // It may run or start late, or ended there; a confirmed stop settles that.
      case OrderOutcome.unknown:
      case OrderOutcome.superseded: return this.stop(step, view, run, `its start was ${outcome}`)
      case OrderOutcome.noRoom: view.avoidUntil = step.now + AVOID_MS.noRoom; break
      case OrderOutcome.unhealthy: view.avoidUntil = step.now + AVOID_MS.unhealthy
    }
    this.drop(step, view, run, outcome)
  }

  private stopAnswered (step: Step, view: WorkerView, run: Run, outcome: OrderOutcome): void {
    if (run.status !== RunStatus.stopping) return
    if (outcome === OrderOutcome.unknown || outcome === OrderOutcome.unhealthy) {
      run.orderedAt = step.now
      return
    }
    run.orderedAt = 0
    run.confirmedAt = step.now
  }

  private repeat (step: Step, view: WorkerView, run: Run): void {
    if (run.orderedAt === 0 || step.now - run.orderedAt < REPEAT_MS || run.confirmedAt > 0) return
    if (run.status === RunStatus.stopping) return this.orderStop(step, view, run)
    if (run.status === RunStatus.starting && step.now - run.placedAt > START_PATIENCE_MS) this.stop(step, view, run, 'its start was not answered')
  }

  private orderStop (step: Step, view: WorkerView, run: Run): void {
    run.orderedAt = step.now + ORDER_ANSWER_MS
    step.effects.push({ kind: 'stopRun', worker: view.worker, task: run.task, run: run.run, reason: run.stopReason })
  }

  private drop (step: Step, view: WorkerView, run: Run, reason: string): void {
    view.remove(run.task)
    if (run.isOrphan) return
    this.release(step, run, run.checkpoint, reason)
    const stage = step.state.jobs.get(run.ref.job)?.spec.stages[run.ref.stage]
    if (stage?.gang === true) this.stopGang(step, run)
  }

  private over (step: Step, view: WorkerView, reason: string): void {
    for (const run of [...view.runs.values()]) this.drop(step, view, run, reason)
  }

  private release (step: Step, run: Run, checkpoint: string, reason: string): void {
    step.decide({ kind: 'runReleased', ref: run.ref, run: run.run, checkpoint, reason })
  }

  private noteSuccess (view: WorkerView): void {
    view.failureRate *= 1 - FAILURE_WEIGHT
  }

  private noteFailure (view: WorkerView, now: number): void {
    view.failureRate += FAILURE_WEIGHT * (1 - view.failureRate)
    if (view.failureRate > FAILURE_LIMIT) view.avoidUntil = now + FAILURE_PAUSE_MS
  }
}

/** How long the answer to an order is waited for before it counts as without one, in milliseconds. */
const ORDER_ANSWER_MS = 1_000

function isSameStage (one: TaskRef, other: TaskRef): boolean {
  return one.job === other.job && one.occurrence === other.occurrence && one.stage === other.stage
}

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
