/**
 * Applies decisions on staged jobs to the replicated state. Every replica runs
 * this code and must reach the same result, so it depends only on its arguments.
 */

import type { Decision, DecisionOf } from '../../types/decisions.js'
import { createOccurrence, JobPhase, StageTaskPhase, type StageTask, type TaskRef } from '../../types/jobs.js'
import type { ClusterState } from '../../types/state.js'
import { isWaveOver } from '../../types/upkeep.js'
import { recordCancelledId } from './cancelled-ids.js'
import { recordWork } from './run-times/run-time-records.js'

export function applyJobDecision (state: ClusterState, decision: Decision): void {
  switch (decision.kind) {
    case 'cellConfigured': state.cell = decision.cell; return
    case 'calledWorkerKnown': state.calledWorkers.set(decision.worker.id, decision.worker); return
    case 'calledWorkerForgotten': return forgetWorker(state, decision)
    case 'jobAccepted': return acceptJob(state, decision)
    case 'jobClosed': return closeJob(state, decision)
    case 'jobForgotten': state.jobs.delete(decision.id); return
    case 'unknownJobCancelled': return recordCancelledId(state, decision)
    case 'occurrenceOpened': return openOccurrence(state, decision)
    case 'runPlaced': return placeRun(state, decision)
    case 'runEnded': return endRun(state, decision)
    case 'runReleased': return releaseRun(state, decision)
    case 'crashesCounted': return countCrashes(state, decision)
    case 'upkeepWaveAccepted': return acceptWave(state, decision)
    case 'upkeepPhaseSet': state.upkeepWaves.get(decision.wave)?.vms.set(decision.vm, decision.phase)
  }
}

/** The task that a reference names; undefined when its job or occurrence no longer exists. */
export function findStageTask (state: ClusterState, ref: TaskRef): StageTask | undefined {
  return state.jobs.get(ref.job)?.occurrences.get(ref.occurrence)?.[ref.stage]?.[ref.index]
}

function forgetWorker (state: ClusterState, decision: DecisionOf<'calledWorkerForgotten'>): void {
  if (state.calledWorkers.get(decision.id)?.incarnation === decision.incarnation) state.calledWorkers.delete(decision.id)
}

function acceptJob (state: ClusterState, decision: DecisionOf<'jobAccepted'>): void {
  const { id, queue, account, isBeyondWeight, spec, at, heldMs } = decision
  const occurrences = new Map()
  if (spec.recurrence === undefined) occurrences.set(0, createOccurrence(spec))
  state.jobs.set(id, { id, queue, ...(account === undefined ? {} : { account }), ...(isBeyondWeight === true ? { isBeyondWeight } : {}), spec, phase: JobPhase.live, acceptedAt: at, ...(heldMs === undefined ? {} : { heldMs }), closedAt: 0, started: false, occurrences })
}

function closeJob (state: ClusterState, decision: DecisionOf<'jobClosed'>): void {
  const job = state.jobs.get(decision.id)
  if (job === undefined) return
  job.phase = decision.phase
  job.closedAt = decision.at
  // A closed job starts no more runs, so its payload is dropped. The spec is copied because the decision that
  // carried it may not have been encoded yet.
  job.spec = { ...job.spec, payload: '' }
  // All tasks of a completed job are done. Keeping them would make most of a snapshot, which holds up the leader.
  if (decision.phase === JobPhase.completed) job.occurrences.clear()
}

function openOccurrence (state: ClusterState, decision: DecisionOf<'occurrenceOpened'>): void {
  const job = state.jobs.get(decision.id)
  job?.occurrences.set(decision.occurrence, createOccurrence(job.spec))
}

function placeRun (state: ClusterState, decision: DecisionOf<'runPlaced'>): void {
  const task = findStageTask(state, decision.ref)
  const job = state.jobs.get(decision.ref.job)
  if (task === undefined || job === undefined) return
  task.phase = StageTaskPhase.placed
  task.run = decision.run
  task.worker = decision.worker
  task.incarnation = decision.incarnation
  job.started = true
}

function endRun (state: ClusterState, decision: DecisionOf<'runEnded'>): void {
  const task = findStageTask(state, decision.ref)
  const { run, succeeded } = decision
  if (task === undefined || run > task.run || task.phase === StageTaskPhase.done) return
  if (succeeded || run === task.run) {
    task.worker = ''
    task.incarnation = 0
    task.phase = succeeded ? StageTaskPhase.done : StageTaskPhase.waiting
  }
  if (!succeeded) return recordFailure(task, run)
  task.checkpoint = ''
  const job = state.jobs.get(decision.ref.job)
  if (job !== undefined && decision.workMs !== undefined) recordWork(state, job.queue, job.spec.stages[decision.ref.stage], decision.workMs)
}

function recordFailure (task: StageTask, run: number): void {
  if (task.failedRuns?.includes(run) === true) return
  task.failures += 1
  task.failedRuns = [...task.failedRuns ?? [], run]
}

function releaseRun (state: ClusterState, decision: DecisionOf<'runReleased'>): void {
  const task = findStageTask(state, decision.ref)
  if (task === undefined || task.run !== decision.run || task.phase !== StageTaskPhase.placed) return
  task.worker = ''
  task.incarnation = 0
  task.phase = StageTaskPhase.waiting
  if (decision.checkpoint !== '') task.checkpoint = decision.checkpoint
}

function countCrashes (state: ClusterState, { ref, crashes }: DecisionOf<'crashesCounted'>): void {
  const task = findStageTask(state, ref)
  if (task === undefined) return
  if (crashes.evidence === 0 && crashes.lostRuns === 0) delete task.crashes
  // Copied because the decision may not have been encoded yet.
  else task.crashes = { ...crashes }
}

function acceptWave (state: ClusterState, { wave, limit }: DecisionOf<'upkeepWaveAccepted'>): void {
  // The phases are copied because they change while the decision may not have been encoded yet.
  state.upkeepWaves.set(wave.id, { ...wave, vms: new Map(wave.vms) })
  for (const [id, stored] of state.upkeepWaves) {
    if (state.upkeepWaves.size <= limit) return
    if (isWaveOver(stored)) state.upkeepWaves.delete(id)
  }
}
