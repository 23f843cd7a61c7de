/**
 * Counts the crashes of called workers against the tasks that may have caused them.
 * A crash does not say which run on the worker caused it, so the runs that were in
 * their startup share the evidence; a run that had outlived its startup is cleared.
 * Only a worker whose process has certainly ended, without notice, has crashed: one
 * that is merely silent may still be up.
 */

import { isLiveJob, stageKey, StageTaskPhase, type CalledWorker, type StagedJob, type StageTask, type TaskCrashes, type TaskRef } from '../../../types/jobs.js'
import type { ClusterState } from '../../../types/state.js'
import type { Step } from '../../step.js'
import { findStageTask } from '../apply-job-decision.js'
import { isInStartup, RunStatus, wasClosedInStartup, type Run, type WorkerView } from '../workers/worker-view.js'

/**
 * Evidence against a task that may not have been there at a crash: its start was not confirmed, or so long before that the run
 * may have ended. It is not added to other evidence.
 */
const UNCONFIRMED_EVIDENCE = 1

/** Evidence of a crash against each of several suspects. */
const SHARED_EVIDENCE = 2

/** Evidence of a crash against the only suspect. */
const SOLE_EVIDENCE = 4

/** Evidence from which a task is given up: two certain crashes, one of them with no other suspect, or three with others. */
export const EVIDENCE_LIMIT = 6

/**
 * Number of runs in a row that were lost with a crashed worker from which a task is given up, whenever they were lost. It
 * bounds the starts of a task that crashes its worker only after its startup.
 */
export const LOST_RUN_LIMIT = 5

/** Time for which a worker that was lost without proof of a crash is remembered, in milliseconds. */
const UNPROVEN_RETENTION_MS = 60_000

const NO_CRASHES: TaskCrashes = Object.freeze({ evidence: 0, lostRuns: 0 })

/** The runs that may have crashed a worker, and those of them that were certainly there when it crashed. */
interface Suspects { runs: readonly Run[], present: readonly Run[] }

/** A worker whose lease expired, and what its crash would count if it were proven. */
interface UnprovenLoss { worker: CalledWorker, runs: readonly Run[], suspects: Suspects, at: number }

export class WorkerCrashes {
  private readonly unprovenLosses = new Map<string, UnprovenLoss>()

  static create (): WorkerCrashes {
    return new WorkerCrashes()
  }

  clear (): void {
    this.unprovenLosses.clear()
  }

  /** Counts the crash of a worker whose process has certainly ended. Does nothing if the end was planned. */
  record (step: Step, view: WorkerView): void {
    if (!isPlannedEnd(view)) countCrash(step, [...view.runs.values()], findSuspects(view))
  }

  /** Remembers the runs of a worker whose lease expired, in case its successor proves that it crashed. */
  remember (step: Step, view: WorkerView): void {
    if (isPlannedEnd(view) || view.worker.address === '') return
    this.unprovenLosses.set(view.worker.address, { worker: view.worker, runs: [...view.runs.values()], suspects: findSuspects(view), at: step.now })
  }

  /** Counts the crash of the former worker at the address of one that answers, unless that happened when it was lost. */
  settle (step: Step, { address, incarnation }: CalledWorker): void {
    const loss = this.unprovenLosses.get(address)
    if (loss === undefined || loss.worker.incarnation >= incarnation) return
    this.unprovenLosses.delete(address)
    countCrash(step, loss.runs, loss.suspects)
  }

  forgetOld (now: number): void {
    for (const [address, { at }] of this.unprovenLosses) {
      if (now - at > UNPROVEN_RETENTION_MS) this.unprovenLosses.delete(address)
    }
  }
}

/** Clears a task of earlier crashes, because a run of it has outlived its startup or has ended on a worker that is up. */
export function clearCrashes (step: Step, ref: TaskRef): void {
  if (findStageTask(step.state, ref)?.crashes !== undefined) step.decide({ kind: 'crashesCounted', ref, crashes: NO_CRASHES })
}

/** True when a task has to be given up because it crashes its workers. */
export function isDeadly ({ crashes }: StageTask): boolean {
  return crashes !== undefined && (crashes.evidence >= EVIDENCE_LIMIT || crashes.lostRuns >= LOST_RUN_LIMIT)
}

/** True when the next run of a task must be told apart from others in case its worker crashes. */
export function isSuspected ({ crashes }: StageTask): boolean {
  return crashes !== undefined && crashes.evidence > 0
}

function isPlannedEnd ({ worker, isEvacuating, isGoingDown }: WorkerView): boolean {
  return worker.isDraining || worker.hasLeft || isEvacuating || isGoingDown
}

/** The runs of a worker that may have started and were not seen to outlive their startup. */
function findSuspects (view: WorkerView): Suspects {
  const runs = [...view.runs.values()].filter(run => isInStartup(view, run) && !isStopConfirmed(run))
  return { runs, present: runs.filter(run => wasClosedInStartup(view, run)) }
}

function isStopConfirmed ({ status, confirmedAt }: Run): boolean {
  return status === RunStatus.stopping && confirmedAt > 0
}

function countCrash (step: Step, runs: readonly Run[], suspects: Suspects): void {
  const isSole = new Set(suspects.runs.map(run => formatCause(step.state, run.ref))).size === 1
  for (const run of runs) {
    const crashes = count(step.state, run, suspects, isSole ? SOLE_EVIDENCE : SHARED_EVIDENCE)
    if (crashes !== undefined) step.decide({ kind: 'crashesCounted', ref: run.ref, crashes })
  }
}

/** The crashes that count against the task of a run after one more; undefined if it does not concern the task. */
function count (state: ClusterState, run: Run, suspects: Suspects, points: number): TaskCrashes | undefined {
  const job = state.jobs.get(run.ref.job)
  const task = findStageTask(state, run.ref)
  const isCounted = !run.isCrashCounted && !run.isOrphan && !isStopConfirmed(run)
  if (!isCounted || job === undefined || task === undefined || !isLiveJob(job) || task.phase === StageTaskPhase.done) return undefined
  const { evidence, lostRuns } = task.crashes ?? NO_CRASHES
  return { evidence: computeEvidence(run, evidence, suspects, points), lostRuns: lostRuns + 1 }
}

function computeEvidence (run: Run, evidence: number, { runs, present }: Suspects, points: number): number {
  // The age of an inherited run is not known.
  if (run.isInherited) return evidence
  if (!runs.includes(run)) return 0
  return present.includes(run) ? evidence + points : Math.max(evidence, UNCONFIRMED_EVIDENCE)
}

/** What is given up for a task: the members of a gang end together, so it does not matter which of them caused a crash. */
function formatCause (state: ClusterState, ref: TaskRef): string {
  const job: StagedJob | undefined = state.jobs.get(ref.job)
  return job?.spec.stages[ref.stage]?.gang === true ? stageKey(ref) : `${stageKey(ref)}/${ref.index}`
}
