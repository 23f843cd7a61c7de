/**
 * One line for each decision on staged jobs, workers and the cell, with the
 * inputs that decided it, so that a failure can be explained afterwards.
 */

import { formatTaskRef, type ClusterState, type Decision } from '@flamingorouter/scheduler'
import type { RuntimeLog } from './runtime-log.js'

/** Logs decisions of the leader that were just applied; `change` is the version of the state that they led to. */
export function logDecisions (log: RuntimeLog, decisions: readonly Decision[], state: ClusterState, now: number): void {
  for (const decision of decisions) logDecision(log, decision, state, now)
}

function logDecision (log: RuntimeLog, decision: Decision, state: ClusterState, now: number): void {
  const { change } = state
  switch (decision.kind) {
    case 'jobAccepted': {
      const { id, queue, spec } = decision
      const tasks = spec.stages.reduce((sum, stage) => sum + stage.taskCount, 0)
      return log.info('job_accepted', { job: id, queue, stages: spec.stages.length, tasks, configuration: state.cell?.version ?? 0, change })
    }
    case 'jobClosed': {
      const { id, phase, at } = decision
      return log.info('job_closed', { job: id, phase, ageMs: at - (state.jobs.get(id)?.acceptedAt ?? at), change })
    }
    case 'runPlaced': {
      const { ref, run, worker, incarnation } = decision
      const job = state.jobs.get(ref.job)
      return log.info('run_placed', { job: ref.job, task: formatTaskRef(ref), run, worker, incarnation, jobAgeMs: now - (job?.acceptedAt ?? now), change })
    }
    case 'runEnded': {
      const { ref, run, succeeded } = decision
      return log.info('run_ended', { job: ref.job, task: formatTaskRef(ref), run, succeeded, change })
    }
    case 'runReleased': {
      const { ref, run, checkpoint, reason } = decision
      return log.info('run_released', { job: ref.job, task: formatTaskRef(ref), run, reason, hasCheckpoint: checkpoint !== '', change })
    }
    case 'calledWorkerKnown': {
      const { id, incarnation, address, service, isDraining, hasLeft } = decision.worker
      return log.info('worker_known', { worker: id, incarnation, address, service, isDraining, hasLeft, change })
    }
    case 'calledWorkerForgotten': return log.info('worker_forgotten', { worker: decision.id, incarnation: decision.incarnation, change })
    case 'cellConfigured': return log.info('cell_configured', { version: decision.cell.version, queues: decision.cell.queues.length, change })
    case 'occurrenceOpened': return log.info('occurrence_opened', { job: decision.id, occurrence: decision.occurrence, change })
  }
}
