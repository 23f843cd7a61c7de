/**
 * Staged jobs: takes them in, brings their tasks onto workers that are called,
 * and closes them once all has ended.
 */

import type { Decision } from '../../types/decisions.js'
import type { Event, EventOf } from '../../types/events.js'
import {
  isLiveJob, JobPhase, StageTaskPhase, type StagedJob
} from '../../types/jobs.js'
import type { ClusterState } from '../../types/state.js'
import { Part } from '../part.js'
import type { Step } from '../step.js'
import { acceptJob, cancelJob, configureCell, readCell, readJob } from './callers.js'
import { sortUnits } from './order.js'
import { PlacementPass, type RunPlacement, type Question } from './placing.js'
import { findQueue } from './queues.js'
import { Runs } from './runs.js'
import { Tickets } from './tickets.js'
import { dueAt, UnitBook } from './units.js'
import { Upkeep } from './upkeep.js'

/** How long the phase of a closed job is kept, in milliseconds of cluster time. */
const KEEP_CLOSED_MS = 300_000

/** Units that one pass looks at. */
const PASS_UNITS = 200

/** Pairs of a unit and a worker in a pass for each millisecond until the next one; a pass takes less than half of it. */
const PAIRS_PER_MS = 1_000

/** Longest such pause in milliseconds; urgent work hardly feels it. */
const LONGEST_PAUSE_MS = 60

/** Time between two passes that no event asked for, in milliseconds: tickets lapse and pauses end. */
const IDLE_PASS_MS = 100

/** Time that a question to the admission service may take beyond its stated cost, in milliseconds. */
const QUESTION_SLACK_MS = 1_000

export class StagedJobs extends Part {
  readonly handles = [
    'acceptJob', 'readJob', 'cancelJob', 'configureCell', 'readCell', 'workerReported', 'workerLeft', 'workerListed',
    'workerSilent', 'workerLapsed', 'runOrdered', 'admissionAnswered', 'advisorsChanged', 'startUpkeepWave', 'readUpkeepWave',
    'vmsListed', 'upkeepOrdered'
  ] as const

  private readonly runs = Runs.create()
  private readonly upkeep = Upkeep.create(this.runs)
  private readonly units = UnitBook.create()
  private readonly tickets = Tickets.create()
  /** Jobs that changed in this step. */
  private readonly changed = new Set<string>()
  /** Workers on which units claimed room in the last pass. */
  private claimed: ReadonlySet<string> = new Set()
  private isPassDue = false
  private isWatchDue = false
  private passedAt = 0
  /** Least time until the next pass in milliseconds: events gather while a pass is costly. */
  private passPauseMs = 0

  static create (): StagedJobs {
    return new StagedJobs()
  }

  reset (state: ClusterState, now: number): void {
    this.runs.reset(state, now)
    this.upkeep.reset(now)
    this.units.clear()
    this.tickets.clear()
    this.changed.clear()
    for (const job of state.jobs.values()) this.changed.add(job.id)
    this.isPassDue = true
    this.isWatchDue = true
    this.passedAt = now
  }

  handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'acceptJob': return acceptJob(event, step)
      case 'readJob': return readJob(event, step, job => this.runs.hasBegun(job))
      case 'cancelJob': return cancelJob(event, step)
      case 'configureCell': return configureCell(event, step)
      case 'readCell': return readCell(event, step)
      case 'workerReported':
        this.runs.report(step, event.worker)
        return step.reply(event.call, { kind: 'workerKnown' })
      case 'workerLeft': return this.leave(event, step)
      case 'workerListed': return this.listed(event, step)
      case 'workerSilent': return this.silent(event)
      case 'workerLapsed':
        this.runs.forget(step, event.id, event.incarnation, event.reason)
        this.isPassDue = true
        return
      case 'runOrdered': return this.ordered(event, step)
      case 'admissionAnswered': return this.admitted(event, step)
      case 'startUpkeepWave': return this.upkeep.startWave(event, step)
      case 'readUpkeepWave': return this.upkeep.readWave(event, step)
      case 'vmsListed': return this.upkeep.listed(event)
      case 'upkeepOrdered': return this.upkeep.ordered(event, step)
      case 'advisorsChanged':
        this.tickets.setEntries(event.entries)
        this.isPassDue = true
    }
  }

  override observe (decision: Decision): void {
    switch (decision.kind) {
      case 'jobAccepted':
      case 'jobClosed':
      case 'occurrenceOpened': this.changed.add(decision.id); return
      case 'runPlaced':
      case 'runEnded':
      case 'runReleased': this.changed.add(decision.ref.job); return
      case 'cellConfigured': this.isPassDue = true
    }
  }

  override tick (step: Step): void {
    this.runs.tick(step)
    this.upkeep.tick(step)
    this.openDue(step)
    this.forgetClosed(step)
    if (step.now - this.passedAt >= IDLE_PASS_MS) this.isPassDue = true
  }

  override settle (step: Step): void {
    if (this.isWatchDue) {
      this.isWatchDue = false
      this.runs.watchAll(step)
    }
    for (const id of this.changed) this.settleJob(step, id)
    this.changed.clear()
    if (this.isPassDue && !this.runs.isFencedOff && step.now - this.passedAt >= this.passPauseMs) this.pass(step)
  }

  private leave (event: EventOf<'workerLeft'>, step: Step): void {
    const known = step.state.calledWorkers.get(event.id)
    if (known !== undefined) this.runs.report(step, { ...known, isDraining: true, hasLeft: true })
    step.reply(event.call, { kind: 'workerKnown' })
  }

  private listed (event: EventOf<'workerListed'>, step: Step): void {
    const view = this.runs.viewOf(event.id, event.incarnation)
    const wasUsable = view?.takesWork(step.now) === true
    this.runs.take(step, event)
    if (event.ended.length > 0 || !wasUsable) this.isPassDue = true
  }

  private silent (event: EventOf<'workerSilent'>): void {
    const view = this.runs.viewOf(event.id, event.incarnation)
    if (view !== undefined) view.isSilent = true
  }

  private ordered (event: EventOf<'runOrdered'>, step: Step): void {
    if (event.outcome === 'noTicket') this.tickets.drop(event.task.slice(0, event.task.lastIndexOf('/')), event.id)
    this.runs.ordered(step, event)
    if (event.outcome !== 'done') this.isPassDue = true
  }

  private admitted (event: EventOf<'admissionAnswered'>, step: Step): void {
    this.isPassDue = true
    if (!event.isAnswered) return this.tickets.failed(event.stage, event.entry, step.now)
    const validMs = this.units.get(event.stage)?.queue.admission?.validMs ?? 0
    // The service issues tickets as it answers; a question on many workers takes half of their time.
    this.tickets.answered(event.stage, event.entry, event.workers, event.tickets, step.now + validMs)
  }

  /** Closes a job whose tasks have all ended or one of which is given up; brings its units up to date. */
  private settleJob (step: Step, id: string): void {
    const job = step.state.jobs.get(id)
    if (job === undefined) return
    const phase = isLiveJob(job) ? verdictOn(job, step.state) : undefined
    if (phase !== undefined) step.decide({ kind: 'jobClosed', id, phase, at: step.now })
    if (!isLiveJob(job)) this.runs.stopJob(step, id)
    this.units.refresh(job, step.state.cell, this.runs.learntMs.get(job.queue))
    this.isPassDue = true
  }

  private pass (step: Step): void {
    this.isPassDue = false
    this.passedAt = step.now
    const pass = PlacementPass.create(this.runs.views.values(), this.tickets, step.now, this.claimed)
    const units = sortUnits(this.units.all(), step.now)
    const looked = units.slice(0, PASS_UNITS)
    for (const unit of looked) pass.place(unit)
    this.passPauseMs = Math.min(LONGEST_PAUSE_MS, looked.length * this.runs.views.size / PAIRS_PER_MS)
    this.claimed = pass.claimed
    for (const question of pass.questions) this.ask(step, question)
    for (const { view, run, unit } of pass.preemptions) this.runs.stop(step, view, run, `room for ${unit.key}`)
    this.startAll(step, pass.placements)
  }

  private ask (step: Step, { unit, entry, workers }: Question): void {
    const cost = unit.queue.admission
    const costMs = cost === undefined ? 0 : cost.decideMs + workers.length * cost.perWorkerMs
    step.effects.push({ kind: 'askAdmission', entry, stage: unit.key, workers, timeoutMs: Math.round(costMs + QUESTION_SLACK_MS) })
  }

  private startAll (step: Step, placements: readonly RunPlacement[]): void {
    const gangRuns = new Map<string, number>()
    for (const { unit, index, view, ticket } of placements) {
      const { job, occurrence, stage } = unit
      const tasks = step.state.jobs.get(job)?.occurrences.get(occurrence)?.[stage]
      if (tasks === undefined) continue
      let run = tasks[index].run + 1
      if (unit.spec.gang) {
        run = gangRuns.get(unit.key) ?? Math.max(...tasks.map(task => task.run)) + 1
        gangRuns.set(unit.key, run)
      }
      const ref = { job, occurrence, stage, index }
      step.decide({ kind: 'runPlaced', ref, run, worker: view.id, incarnation: view.worker.incarnation })
      this.runs.start(step, ref, view, run, unit, ticket)
    }
  }

  private openDue (step: Step): void {
    for (const job of step.state.jobs.values()) {
      const { recurrence } = job.spec
      if (recurrence === undefined || !isLiveJob(job)) continue
      const next = job.occurrences.size
      if (next < recurrence.count && dueAt(job, next) <= step.now) {
        step.decide({ kind: 'occurrenceOpened', id: job.id, occurrence: next })
      }
    }
  }

  private forgetClosed (step: Step): void {
    for (const job of step.state.jobs.values()) {
      if (isLiveJob(job) || step.now - job.closedAt < KEEP_CLOSED_MS) continue
      step.decide({ kind: 'jobForgotten', id: job.id })
    }
  }
}

/** The phase in which a job closes; undefined while it goes on. */
function verdictOn (job: StagedJob, state: ClusterState): JobPhase | undefined {
  const limit = findQueue(state.cell, job.queue)?.attemptLimit ?? Infinity
  let isDone = job.occurrences.size === (job.spec.recurrence?.count ?? 1)
  for (const occurrence of job.occurrences.values()) {
    for (const [stage, tasks] of occurrence.entries()) {
      const { gang, longRunning } = job.spec.stages[stage]
      const failures = gang ? tasks.reduce((sum, task) => sum + task.failures, 0) : Math.max(...tasks.map(task => task.failures))
      if (failures >= limit && !longRunning) return JobPhase.failed
      if (tasks.some(task => task.phase !== StageTaskPhase.done)) isDone = false
    }
  }
  return isDone ? JobPhase.completed : undefined
}
