/**
 * Writes one log line for each decision that changes a staged job, its runs, a
 * called worker, the cell or an upkeep wave, with the inputs of the decision, so
 * that a failure can be explained afterwards. Other decisions are not logged.
 */

import { formatTaskRef, isClosedInTime, SHORT_DIGEST_LENGTH, type ClusterState, type Decision, type Effect, type Event } from '@flamingorouter/scheduler'
import type { LogFields, RuntimeLog } from './runtime-log.js'

/** Logs decisions of the leader that were just applied; the field `change` is the version of the resulting state. */
export function logDecisions (log: RuntimeLog, decisions: readonly Decision[], state: ClusterState, now: number): void {
  for (const decision of decisions) logDecision(log, decision, state, now)
}

/**
 * Logs what no decision records: silent, restarted and lapsed workers, upkeep orders and their
 * outcomes, orders on runs that were not carried out at the first attempt, runs that
 * contradict the state, the runs lost with a worker, answers of the external
 * admission service, orders to stop runs, and refused calls on jobs.
 */
export function logTransientEvents (log: RuntimeLog, event: Event, effects: readonly Effect[], state: ClusterState): void {
  switch (event.kind) {
    case 'workerSilent': log.warn('worker_silent', { worker: event.id, incarnation: event.incarnation, isClosed: event.isClosed }); break
    case 'workerRestarted': log.warn('worker_restarted', { worker: event.id, incarnation: event.incarnation }); break
    case 'workerLapsed': log.warn('worker_lapsed', { worker: event.id, incarnation: event.incarnation, loss: event.loss, reason: event.reason }); break
    case 'admissionAnswered': {
      const { stage, entry, workers, tickets, askedAt, isAnswered } = event
      log.info('admission_answered', { job: stage.slice(0, stage.indexOf('/')), stage, entry, asked: workers.length, granted: tickets.length, askedAt, isAnswered })
      break
    }
    case 'upkeepOrdered': log.info('upkeep_ordered', { wave: event.wave, vm: event.vm, outcome: event.outcome }); break
    case 'runOrdered': {
      const { id, incarnation, order, task, run, outcome, unanswered, sentAt } = event
      const isAnswered = outcome === 'done' && unanswered === 0
      if (!isAnswered) log.warn('order_not_done', { job: task.slice(0, task.indexOf('/')), worker: id, incarnation, order, task, run, outcome, unanswered, sentAt })
    }
  }
  for (const effect of effects) logEffect(log, event, effect, state)
}

/** Identifies a key by the first digits of its digest; the key and the whole digest are never logged. */
function describeKey (keyDigest: string | undefined): { key?: string } {
  return keyDigest === undefined ? {} : { key: keyDigest.slice(0, SHORT_DIGEST_LENGTH) }
}

function describeAccount (account: string | undefined): { account?: string } {
  return account === undefined ? {} : { account }
}

function logEffect (log: RuntimeLog, event: Event, effect: Effect, state: ClusterState): void {
  if (effect.kind === 'stopRun') {
    const { worker, task, run, reason } = effect
    log.info('run_stopping', { job: task.slice(0, task.indexOf('/')), worker: worker.id, task, run, reason })
  } else if (effect.kind === 'noteRunAnomaly') {
    const { anomaly, worker, incarnation, task, run, detail } = effect
    log.warn('run_anomaly', { job: task.slice(0, task.indexOf('/')), anomaly, worker, incarnation, task, run, detail })
  } else if (effect.kind === 'noteWorkerLost') {
    const { worker: { id, incarnation, address, isDraining }, loss, runCount, runs } = effect
    log.warn('worker_lost', { worker: id, incarnation, address, isDraining, loss, runCount, runs })
  } else if (effect.kind === 'noteInfeasible') {
    const { stage, queue, taskCount, spec: { resources, gang, requiredLabel, perWorkerLimit } } = effect
    log.warn('stage_infeasible', { job: stage.slice(0, stage.indexOf('/')), stage, queue, tasks: taskCount, gang, ...resources, requiredLabel, perWorkerLimit })
  } else if (effect.kind === 'refuse' && 'path' in event) {
    const configuration = state.cell?.version ?? 0
    log.info('call_refused', { call: event.kind, path: event.path, ...describeKey(event.keyDigest), configuration, error: effect.error, message: effect.message, retryAfterMs: effect.retryAfterMs })
  }
}

function logDecision (log: RuntimeLog, decision: Decision, state: ClusterState, now: number): void {
  const { change } = state
  switch (decision.kind) {
    case 'jobAccepted': {
      const { id, queue, account, spec } = decision
      const tasks = spec.stages.reduce((sum, stage) => sum + stage.taskCount, 0)
      return log.info('job_accepted', { job: id, queue, ...describeAccount(account), stages: spec.stages.length, tasks, configuration: state.cell?.version ?? 0, change })
    }
    case 'jobClosed': {
      const { id, phase, at, reason = '' } = decision
      const job = state.jobs.get(id)
      return log.info('job_closed', { job: id, queue: job?.queue ?? '', ...describeAccount(job?.account), phase, ageMs: at - (job?.acceptedAt ?? at), inTime: job !== undefined && isClosedInTime(job, state.cell), reason, change })
    }
    case 'unknownJobCancelled': return log.info('unknown_job_cancelled', { fingerprint: decision.fingerprint, change })
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
    case 'crashesCounted': {
      const { ref, crashes } = decision
      return log.warn('crashes_counted', { job: ref.job, task: formatTaskRef(ref), ...crashes, change })
    }
    case 'calledWorkerKnown': {
      const { id, incarnation, address, service, isDraining, hasLeft, capacity } = decision.worker
      return log.info('worker_known', { worker: id, incarnation, address, service, isDraining, hasLeft, ...capacity, change })
    }
    case 'calledWorkerForgotten': return log.info('worker_forgotten', { worker: decision.id, incarnation: decision.incarnation, change })
    case 'cellConfigured': {
      const { version, queues, accounts, retiredAccounts = [] } = decision.cell
      const accountCounts: LogFields = accounts === undefined ? {} : { accounts: accounts.length, retiredAccounts: retiredAccounts.length }
      return log.info('cell_configured', { version, queues: queues.length, ...accountCounts, change })
    }
    case 'upkeepWaveAccepted': {
      const { id, vms, cap, durationMs } = decision.wave
      return log.info('upkeep_wave_accepted', { wave: id, vms: vms.size, cap, durationMs, change })
    }
    case 'upkeepPhaseSet': return log.info('upkeep_phase_set', { wave: decision.wave, vm: decision.vm, phase: decision.phase, change })
    case 'occurrenceOpened': return log.info('occurrence_opened', { job: decision.id, occurrence: decision.occurrence, change })
  }
}
