/**
 * Records the ends of runs that workers list: results count once, and a task whose
 * run ended without one waits again.
 */

import type { EndedRun } from '../../../types/events.js'
import { RunAnomaly, RunEndCause } from '../../../types/events.js'
import { formatTaskRef, parseTaskRef, StageTaskPhase, type StagedJob, type TaskRef } from '../../../types/jobs.js'
import type { Step } from '../../step.js'
import { findStageTask } from '../apply-job-decision.js'
import type { LearntRunTimes } from '../run-times/learnt-run-times.js'
import { measureElapsed } from '../run-times/run-work.js'
import type { Run, WorkerView } from '../workers/worker-view.js'
import { noteRunAnomaly } from './run-descriptions.js'
import type { RunOrders } from './run-orders.js'
import { clearCrashes } from './worker-crashes.js'

/** Weight of the newest run in the mean run time of a queue. */
const RUN_TIME_WEIGHT = 0.05

/** Weight of the newest run in the failure rate of a worker. */
const FAILURE_WEIGHT = 0.3

/** Failure rate above which a worker gets no new work for a while. */
const FAILURE_RATE_LIMIT = 0.6

/** Time for which a worker above the failure rate limit gets no new work. */
const FAILURE_COOLDOWN_MS = 3_000

export class RunEnds {
  /** Moving average of the run times of a queue in milliseconds, by queue name; no value before the first observed run. */
  readonly meanRunMs = new Map<string, number>()

  private constructor (private readonly orders: RunOrders, private readonly learnt: LearntRunTimes | undefined) {}

  /** With `learnt`, the end of a run says how much work its task was. */
  static create (orders: RunOrders, learnt?: LearntRunTimes): RunEnds {
    return new RunEnds(orders, learnt)
  }

  /** Handles the end of a run: records a result, or releases the task so that it waits again. */
  handleEnd (step: Step, view: WorkerView, endedRun: EndedRun): void {
    const run = view.runs.get(endedRun.task)
    if (run === undefined || run.run !== endedRun.run) return this.handleUntrackedEnd(step, view, endedRun)
    view.remove(endedRun.task)
    if (endedRun.cause !== RunEndCause.done) this.learnt?.speeds.forgetRun(view.id, run.task)
    if (run.isOrphan) return this.handleUntrackedEnd(step, view, endedRun)
    clearCrashes(step, run.ref)
    const checkpoint = endedRun.checkpoint === '' ? run.checkpoint : endedRun.checkpoint
    const job = step.state.jobs.get(run.ref.job)
    const stage = job?.spec.stages[run.ref.stage]
    if (job === undefined || stage === undefined) return
    if (endedRun.cause === RunEndCause.done && !stage.longRunning) {
      this.recordSuccess(view)
      this.recordRunTime(run, job.queue, step.now)
      const workMs = this.learnt === undefined ? undefined : this.measureWork(step, view, run, job, this.learnt)
      return stage.gang ? this.completeGang(step, run.ref, run.run, workMs) : this.completeTask(step, run.ref, run.run, workMs)
    }
    if (endedRun.cause === RunEndCause.failed && !stage.longRunning) {
      this.recordFailure(view, step.now)
      step.decide({ kind: 'runEnded', ref: run.ref, run: run.run, succeeded: false })
      if (stage.gang) this.orders.stopGang(step, run)
      return
    }
    this.orders.releaseTask(step, run, checkpoint, endedRun.cause)
    if (stage.gang) this.orders.stopGang(step, run)
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
    noteRunAnomaly(step, view, RunAnomaly.untrackedEnd, endedRun, cause)
    if (cause === RunEndCause.failed) return step.decide({ kind: 'runEnded', ref, run, succeeded: false })
    if (stage.gang) this.completeGang(step, ref, run)
    else this.completeTask(step, ref, run)
  }

  /**
   * Records success for all members of a gang run; the success of one member implies that of the others. They run as long as
   * each other, so the work of the one that was listed stands for all.
   */
  private completeGang (step: Step, ref: TaskRef, run: number, workMs?: number): void {
    const tasks = step.state.jobs.get(ref.job)?.occurrences.get(ref.occurrence)?.[ref.stage] ?? []
    tasks.forEach((task, index) => {
      const isListed = index === ref.index
      if (task.phase !== StageTaskPhase.done && task.run >= run) this.completeTask(step, { ...ref, index }, run, isListed ? workMs : undefined)
    })
  }

  /** Work of a run that succeeded, and of its gang, which runs at the speed of its slowest worker; undefined when not known. */
  private measureWork (step: Step, view: WorkerView, run: Run, { queue, spec }: StagedJob, learnt: LearntRunTimes): number | undefined {
    const stage = spec.stages[run.ref.stage]
    const members = stage.gang ? this.listMembers(step, run) : []
    const elapsedMs = measureElapsed(run, [run, ...members.map(member => member.run)], step.now)
    const speed = Math.min(learnt.speeds.speedOf(view.id), ...members.map(member => learnt.speeds.speedOf(member.view.id)))
    learnt.recordEnd(view.id, run, queue, stage, elapsedMs, step.now)
    return elapsedMs === undefined ? undefined : elapsedMs * speed
  }

  /** The other runs of a gang that are tracked. */
  private listMembers (step: Step, { ref, run }: Run): Array<{ view: WorkerView, run: Run }> {
    const tasks = step.state.jobs.get(ref.job)?.occurrences.get(ref.occurrence)?.[ref.stage] ?? []
    return tasks.flatMap((task, index) => {
      const view = this.orders.findPlacement(task)
      const member = view?.runs.get(formatTaskRef({ ...ref, index }))
      return view === undefined || member?.run !== run ? [] : [{ view, run: member }]
    })
  }

  /** Records the success of a run, and stops a later run of its task. */
  private completeTask (step: Step, ref: TaskRef, run: number, workMs?: number): void {
    const task = findStageTask(step.state, ref)
    const view = task === undefined ? undefined : this.orders.findPlacement(task)
    const placed = view?.runs.get(formatTaskRef(ref))
    if (view !== undefined && placed !== undefined && !placed.isOrphan) {
      if (placed.run === run) {
        view.remove(placed.task)
      } else {
        placed.isOrphan = true
        this.orders.stopRun(step, view, placed, 'an earlier run of its task succeeded')
      }
    }
    step.decide({ kind: 'runEnded', ref, run, succeeded: true, ...(workMs === undefined ? {} : { workMs: Math.max(1, Math.round(workMs)) }) })
  }

  /** Updates the mean run time of a queue with a successful run; a run without a confirmed start is ignored. */
  private recordRunTime (run: Run, queue: string, now: number): void {
    if (run.confirmedAt === 0) return
    const runMs = now - run.placedAt
    const mean = this.meanRunMs.get(queue)
    this.meanRunMs.set(queue, mean === undefined ? runMs : mean + RUN_TIME_WEIGHT * (runMs - mean))
  }

  private recordSuccess (view: WorkerView): void {
    view.failureRate *= 1 - FAILURE_WEIGHT
  }

  private recordFailure (view: WorkerView, now: number): void {
    view.failureRate += FAILURE_WEIGHT * (1 - view.failureRate)
    if (view.failureRate > FAILURE_RATE_LIMIT) view.cooldownUntil = now + FAILURE_COOLDOWN_MS
  }
}
