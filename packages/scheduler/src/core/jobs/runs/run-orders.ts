/**
 * The runs on called workers and the orders that stop them. A run stays on its
 * worker until its end is certain.
 */

import { OrderOutcome } from '../../../types/events.js'
import { formatTaskRef, StageTaskPhase, type StageTask, type TaskRef } from '../../../types/jobs.js'
import type { Step } from '../../step.js'
import { listServingStages } from '../workers/serving-stages.js'
import { RunStatus, type Run, type WorkerView } from '../workers/worker-view.js'
import { formatFormerWorker } from './former-workers.js'

/**
 * Time after which an unconfirmed stop order is sent again, counted from the end of its answer timeout or from an answer
 * that leaves open whether it was carried out.
 */
const RESEND_INTERVAL_MS = 150

/** Time after which a run is stopped when its start order, including all repeats, got no answer. */
const START_TIMEOUT_MS = 4_000

/** Time within which the answer to a stop order is expected; the resend interval starts after it. */
const STOP_ANSWER_TIMEOUT_MS = 1_000

export class RunOrders {
  /** Views of the called workers, by worker id. */
  readonly views = new Map<string, WorkerView>()

  private constructor () {}

  static create (): RunOrders {
    return new RunOrders()
  }

  /** The view of a worker; undefined when it is not known with this incarnation. */
  findView (id: string, incarnation: number): WorkerView | undefined {
    const view = this.views.get(id)
    return view?.worker.incarnation === incarnation ? view : undefined
  }

  /** The view that tracks the run of a placed task. */
  findPlacement ({ worker, incarnation }: StageTask): WorkerView | undefined {
    return this.views.get(formatFormerWorker(worker, incarnation)) ?? this.views.get(worker)
  }

  /** Orders a run to stop; its task becomes waiting again once the stop is confirmed. Has no effect on a run being stopped. */
  stopRun (step: Step, view: WorkerView, run: Run, reason: string): void {
    if (run.status === RunStatus.stopping) return
    run.status = RunStatus.stopping
    if (run.isLongRunning) view.longRunningVersion += 1
    run.confirmedAt = 0
    run.stopReason = reason
    this.orderStop(step, view, run)
  }

  /** Stops a run that may or may not exist, and with it the other members of its gang, which cannot continue. */
  abandonRun (step: Step, view: WorkerView, run: Run, reason: string): void {
    this.stopRun(step, view, run, reason)
    if (step.state.jobs.get(run.ref.job)?.spec.stages[run.ref.stage]?.gang === true) this.stopGang(step, run)
  }

  /** Stops the other members after one member of a gang run ended. The gang cannot continue and is restarted as a whole. */
  stopGang (step: Step, ended: Run): void {
    for (const view of this.views.values()) {
      for (const run of [...view.runs.values()]) {
        if (run.isOrphan || run.run !== ended.run || !isSameStage(run.ref, ended.ref)) continue
        this.stopRun(step, view, run, 'another member of its gang ended')
      }
    }
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

  handleStopAnswer (step: Step, run: Run, outcome: OrderOutcome): void {
    if (run.status !== RunStatus.stopping) return
    // Only these outcomes rule out that the run starts later.
    if (outcome !== OrderOutcome.done && outcome !== OrderOutcome.superseded) {
      run.resendWaitStartsAt = step.now
      return
    }
    run.resendWaitStartsAt = 0
    run.confirmedAt = step.now
  }

  resendOrder (step: Step, view: WorkerView, run: Run): void {
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

  orderPace (step: Step, view: WorkerView, run: Run, percent: number): void {
    run.pace = percent
    step.effects.push({ kind: 'paceRun', worker: view.worker, task: run.task, run: run.run, percent })
  }

  /** Removes a run that cannot exist any more and releases its task; a gang is stopped as a whole. */
  removeRun (step: Step, view: WorkerView, run: Run, reason: string): void {
    view.remove(run.task)
    if (run.isOrphan) return
    this.releaseTask(step, run, run.checkpoint, reason)
    const stage = step.state.jobs.get(run.ref.job)?.spec.stages[run.ref.stage]
    if (stage?.gang === true) this.stopGang(step, run)
  }

  releaseTask (step: Step, run: Run, checkpoint: string, reason: string): void {
    step.decide({ kind: 'runReleased', ref: run.ref, run: run.run, checkpoint, reason })
  }
}

function isSameStage (one: TaskRef, other: TaskRef): boolean {
  return one.job === other.job && one.occurrence === other.occurrence && one.stage === other.stage
}
