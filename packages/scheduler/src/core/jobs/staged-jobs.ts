/**
 * Staged jobs: accepts them, places their tasks on called workers, and closes
 * each job once all of its tasks have succeeded or one has failed too often.
 */

import { hasAccounts } from '../../types/accounts.js'
import type { Decision } from '../../types/decisions.js'
import type { Event, EventOf } from '../../types/events.js'
import {
  hasPlacedTask, isLiveJob, JobPhase, StageTaskPhase, type StagedJob, type StageTask
} from '../../types/jobs.js'
import { DEFAULT_LIMITS, type Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { Component } from '../component.js'
import type { Step } from '../step.js'
import { AccountTotals } from './accounts/account-totals.js'
import { AccountUsage } from './accounts/account-usage.js'
import { CLOSED_ID_RETENTION_MS } from './cancelled-ids.js'
import { acceptJob, cancelJob, configureCell, readCell, readJob } from './job-requests.js'
import type { AdmissionQuery, RunPlacement } from './placement/pass-results.js'
import { PlacementPass } from './placement/placement-pass.js'
import { findQueue, type RunTimeSource } from './order/queues.js'
import { RunManager } from './runs/run-manager.js'
import { JobIndex } from './order/job-index.js'
import { AdmissionTickets } from './placement/admission-tickets.js'
import { Feasibility } from './placement/feasibility.js'
import { InfeasibleUnits } from './placement/infeasible-units.js'
import { excludeOrphans, occurrenceDueAt, SchedulingUnitIndex, splitSuspects, type SchedulingUnit } from './order/scheduling-units.js'
import { Upkeep } from './upkeep/upkeep.js'
import { isDeadly } from './runs/worker-crashes.js'
import { CellUse } from './shares/cell-use.js'
import { OwedJobs } from './shares/owed-jobs.js'
import { createUnitOrder } from './shares/unit-orders.js'

/** Maximum number of units that one placement pass considers. */
const PASS_UNIT_LIMIT = 200

/**
 * Maximum number of those that are beyond the weight of their account. The pause between passes grows with the units, so that
 * a burst that waits would make owed work wait as well: with 200 of them urgent jobs waited 16 ms longer.
 */
const BEYOND_WEIGHT_UNIT_LIMIT = 10

/**
 * The pause after a pass is one millisecond for this many pairs of a unit and a worker that the pass considered. A pass
 * takes less than half of its pause, which bounds the share of time spent on placement.
 */
const PAIRS_PER_PAUSE_MS = 1_000

/**
 * The pause is also one millisecond for this many units that are looked at in each pass and not considered, at 1.2 microseconds
 * each: those that no worker could hold, those for which there is no room and, where the cell has accounts, all.
 */
const UNITS_PER_PAUSE_MS = 200

/** Maximum pause between two passes; short enough not to delay urgent work noticeably. */
const PASS_PAUSE_LIMIT_MS = 60

/** Interval of passes that no event triggers; needed because tickets lapse and cooldowns of workers end without an event. */
const IDLE_PASS_INTERVAL_MS = 100

/** Time that an admission query may take beyond the time configured for it before it is timed out. */
const QUERY_SLACK_MS = 1_000

export class StagedJobs extends Component {
  readonly handledKinds = [
    'acceptJob', 'readJob', 'cancelJob', 'configureCell', 'readCell', 'workerReported', 'workerLeft', 'workerListed',
    'workerSilent', 'workerLapsed', 'workerRestarted', 'runOrdered', 'admissionAnswered', 'advisorsChanged', 'orderBacklogChanged', 'startUpkeepWave', 'readUpkeepWave',
    'vmsListed', 'upkeepOrdered'
  ] as const

  private readonly upkeep: Upkeep
  private readonly units = SchedulingUnitIndex.create()
  private readonly infeasibleUnits = InfeasibleUnits.create()
  private readonly owedJobs: OwedJobs
  private readonly cellUse = CellUse.create()
  private readonly tickets = AdmissionTickets.create()
  private readonly feasibility = Feasibility.create(this.tickets)
  private readonly accountTotals = AccountTotals.create()
  private readonly jobIndex = JobIndex.create()
  /** Ids of jobs that changed in this step. */
  private readonly changedJobs = new Set<string>()
  /** Ids of workers on which units reserved capacity in the last pass. */
  private reservedWorkers: ReadonlySet<string> = new Set()
  private isPassDue = false
  /** True if the cell had accounts in the last step. */
  private hadAccounts = false
  /** True while orders wait to be sent. A pass would only add to them, and would commit work that urgent work could overtake later. */
  private hasOrderBacklog = false
  /** True from the start of this leader until it watches the workers in the replicated state. */
  private isWatchDue = false
  /** Cluster time of the last pass. */
  private lastPassAt = 0
  /** Minimum time from the last pass to the next; while passes are expensive, it lets one pass handle several events. */
  private passPauseMs = 0

  private constructor (private readonly runManager: RunManager, private readonly limits: Readonly<Limits>) {
    super()
    this.upkeep = Upkeep.create(runManager)
    this.owedJobs = OwedJobs.create(limits.accountWindowMs)
  }

  static create (limits: Partial<Limits> = {}): StagedJobs {
    const complete = { ...DEFAULT_LIMITS, ...limits }
    return new StagedJobs(RunManager.create(complete.runLeaseMs, complete.learntRunTimes), complete)
  }

  reset (state: ClusterState, now: number): void {
    this.runManager.reset(state, now)
    this.upkeep.reset(now)
    this.units.clear()
    this.infeasibleUnits.clear()
    this.owedJobs.reset(state.jobs.values())
    this.cellUse.reset()
    this.tickets.clear()
    this.accountTotals.clear()
    this.changedJobs.clear()
    this.jobIndex.reset(state)
    for (const id of state.jobs.keys()) this.changedJobs.add(id)
    this.isPassDue = true
    this.hasOrderBacklog = false
    this.isWatchDue = true
    this.lastPassAt = now
  }

  handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'acceptJob': return acceptJob(event, step, this.limits.accountOverage, this.owedJobs)
      case 'readJob': return readJob(event, step, this.jobIndex.live, job => this.runManager.hasConfirmedRun(job))
      case 'cancelJob': return cancelJob(event, step, this.limits.cancelledIdLimit)
      case 'configureCell': return configureCell(event, step)
      case 'readCell': return readCell(event, step)
      case 'workerReported':
        this.runManager.handleReport(step, event.worker)
        return step.reply(event.call, { kind: 'workerKnown' })
      case 'workerLeft': return this.handleLeave(event, step)
      case 'workerListed': return this.handleListing(event, step)
      case 'workerSilent': return this.handleSilence(event, step)
      case 'workerLapsed':
        this.runManager.forgetWorker(step, event.id, event.incarnation, event.loss, event.reason)
        this.isPassDue = true
        return
      case 'workerRestarted': return this.runManager.handleRestart(step, event.id, event.incarnation)
      case 'runOrdered': return this.handleOrderAnswer(event, step)
      case 'admissionAnswered': return this.handleAdmissionAnswer(event, step)
      case 'startUpkeepWave': return this.upkeep.startWave(event, step)
      case 'readUpkeepWave': return this.upkeep.readWave(event, step)
      case 'vmsListed': return this.upkeep.handleVmList(event)
      case 'upkeepOrdered': return this.upkeep.handleOrderAnswer(event, step)
      case 'orderBacklogChanged':
        this.hasOrderBacklog = event.isBacklogged
        this.isPassDue = true
        return
      case 'advisorsChanged':
        // A pass without entries could ask for no ticket; the pause after it must not delay the first one that can.
        if (this.tickets.entryCount === 0) this.passPauseMs = 0
        this.tickets.setEntries(event.entries)
        this.isPassDue = true
    }
  }

  override observe (decision: Decision): void {
    this.jobIndex.observe(decision)
    switch (decision.kind) {
      case 'jobAccepted':
        this.owedJobs.record(decision.account, decision.isBeyondWeight, decision.at)
        this.changedJobs.add(decision.id)
        return
      case 'jobClosed':
        this.changedJobs.add(decision.id)
        return
      case 'occurrenceOpened': this.changedJobs.add(decision.id); return
      case 'runPlaced':
      case 'runEnded':
      case 'crashesCounted':
      case 'runReleased': this.changedJobs.add(decision.ref.job); return
      case 'cellConfigured': this.isPassDue = true
    }
  }

  override tick (step: Step): void {
    this.runManager.tick(step)
    this.upkeep.tick(step)
    this.openDueOccurrences(step)
    this.forgetClosedJobs(step)
    if (step.now - this.lastPassAt >= IDLE_PASS_INTERVAL_MS) this.isPassDue = true
  }

  override reconcile (step: Step): void {
    this.refreshOnAccountChange(step)
    if (this.isWatchDue) {
      this.isWatchDue = false
      this.runManager.watchWorkers(step)
    }
    for (const id of this.changedJobs) this.updateJob(step, id)
    this.changedJobs.clear()
    if (this.isPassDue && this.mayRunPass(step.now)) this.runPass(step)
  }

  /** Recomputes all units when the cell gets its first account or loses its last one. */
  private refreshOnAccountChange ({ state }: Step): void {
    if (hasAccounts(state.cell) === this.hadAccounts) return
    this.hadAccounts = !this.hadAccounts
    for (const id of state.jobs.keys()) this.changedJobs.add(id)
  }

  private mayRunPass (now: number): boolean {
    return !this.runManager.isFencedOff && !this.hasOrderBacklog && now - this.lastPassAt >= this.passPauseMs
  }

  private handleLeave (event: EventOf<'workerLeft'>, step: Step): void {
    const known = step.state.calledWorkers.get(event.id)
    // The announcement names no incarnation. A worker drains before it leaves, so one that does not drain has not sent it.
    if (known?.isDraining === true) this.runManager.handleReport(step, { ...known, isDraining: true, hasLeft: true })
    step.reply(event.call, { kind: 'workerKnown' })
  }

  private handleListing (event: EventOf<'workerListed'>, step: Step): void {
    const view = this.runManager.orders.findView(event.id, event.incarnation)
    const wasUsable = view?.isSchedulable(step.now) === true
    this.runManager.handleListing(step, event)
    if (event.ended.length > 0 || !wasUsable) this.isPassDue = true
  }

  private handleSilence (event: EventOf<'workerSilent'>, step: Step): void {
    const view = this.runManager.orders.findView(event.id, event.incarnation)
    if (view === undefined) return
    view.isSilent = true
    if (event.isClosed) view.closedAt = step.now
  }

  private handleOrderAnswer (event: EventOf<'runOrdered'>, step: Step): void {
    if (event.outcome === 'noTicket') this.tickets.invalidate(event.task.slice(0, event.task.lastIndexOf('/')), event.id)
    this.runManager.handleOrderAnswer(step, event)
    if (event.outcome !== 'done') this.isPassDue = true
  }

  private handleAdmissionAnswer (event: EventOf<'admissionAnswered'>, step: Step): void {
    this.isPassDue = true
    if (!event.isAnswered) return this.tickets.recordFailure(event.stage, event.entry, step.now)
    const validMs = this.units.get(event.stage)?.queue.admission?.validMs ?? 0
    // Validity is counted from the answer, when the service issues the tickets. Counted from the query, a query on
    // many workers would use up half of it.
    this.tickets.recordAnswer(event.stage, event.entry, event.workers, event.tickets, step.now + validMs)
  }

  /** Closes a job whose tasks have all succeeded or one of which failed too often, and recomputes its units. */
  private updateJob (step: Step, id: string): void {
    const job = step.state.jobs.get(id)
    if (job === undefined) return
    const closing = isLiveJob(job) ? findClosing(job, step.state) : undefined
    if (closing !== undefined) step.decide({ kind: 'jobClosed', id, ...closing, at: step.now })
    if (!isLiveJob(job)) {
      this.runManager.orders.stopJobRuns(step, id)
      this.tickets.forgetJob(id)
    }
    this.units.refresh(job, step.state.cell, this.findRunTimes(job.queue))
    this.isPassDue = true
  }

  /** What run times of a queue are expected by: the mean of observed ones, or what was learnt. */
  private findRunTimes (queue: string): RunTimeSource {
    const { learnt, ends } = this.runManager
    return learnt === undefined ? ends.meanRunMs.get(queue) : stage => learnt.estimate(queue, stage).expectedMs
  }

  private runPass (step: Step): void {
    this.isPassDue = false
    this.lastPassAt = step.now
    const pass = PlacementPass.create(this.runManager.views.values(), this.tickets, step.now, this.reservedWorkers, this.computeAccountUsage(step.state), this.feasibility)
    const order = createUnitOrder(step.state.cell, this.runManager.views.values(), this.cellUse, step.now)
    const { feasible, infeasible } = pass.splitFeasible(this.units.list())
    this.infeasibleUnits.update(step, infeasible)
    const units = order.sort(feasible, step.now)
    const { considered, ignored } = this.placeUnits(pass, units)
    const unconsidered = infeasible.length + (hasAccounts(step.state.cell) ? units.length : ignored)
    this.passPauseMs = Math.min(PASS_PAUSE_LIMIT_MS, Math.max(unconsidered / UNITS_PER_PAUSE_MS, considered * this.runManager.views.size / PAIRS_PER_PAUSE_MS))
    this.reservedWorkers = pass.reservedWorkers
    for (const query of pass.queries) this.queryAdmission(step, query)
    for (const { view, run, unit } of pass.preemptions) this.runManager.orders.stopRun(step, view, run, `preempted to free capacity for ${unit.key}`)
    this.startRuns(step, pass.placements)
  }

  /** What the accounts have before a pass; undefined where the cell has no accounts. */
  private computeAccountUsage ({ cell }: ClusterState): AccountUsage | undefined {
    if (!hasAccounts(cell) && cell?.retiredAccounts === undefined) return undefined
    return AccountUsage.create(cell, this.accountTotals.update(this.runManager.views), this.limits.accountOverage)
  }

  /** Places units in their order; returns how many were considered, and how many the pass ignored. */
  private placeUnits (pass: PlacementPass, units: readonly SchedulingUnit[]): { considered: number, ignored: number } {
    const orphans = this.runManager.listOrphans()
    let considered = 0
    let beyondCount = 0
    let next = 0
    while (next < units.length && considered < PASS_UNIT_LIMIT) {
      const group = units.slice(next, next + PASS_UNIT_LIMIT - considered)
      next += group.length
      const startable = group.map(unit => excludeOrphans(unit, orphans)).filter(({ waiting }) => waiting.length > 0)
      const { suspected, others } = splitSuspects(startable)
      const held = new Set<string>()
      // A suspected task needs a worker on which nothing else starts in this pass; one beyond a weight must not hold it back.
      const isBeyondWeight = (unit: SchedulingUnit): boolean => unit.isBeyondWeight === true
      const owed = suspected.filter(unit => !isBeyondWeight(unit))
      for (const unit of [...owed, ...others, ...suspected.filter(isBeyondWeight)]) {
        const isTried = (!isBeyondWeight(unit) || beyondCount < BEYOND_WEIGHT_UNIT_LIMIT) && pass.place(unit)
        if (!isTried) held.add(unit.key)
        else if (isBeyondWeight(unit)) beyondCount += 1
      }
      considered += group.length - held.size
    }
    return { considered, ignored: next - considered }
  }

  private queryAdmission (step: Step, { unit, entry, workers }: AdmissionQuery): void {
    const admission = unit.queue.admission
    const expectedMs = admission === undefined ? 0 : admission.decideMs + workers.length * admission.perWorkerMs
    step.effects.push({ kind: 'askAdmission', entry, stage: unit.key, workers, timeoutMs: Math.round(expectedMs + QUERY_SLACK_MS) })
  }

  /** Decides and orders the chosen placements. All tasks of a gang get the same run number. */
  private startRuns (step: Step, placements: readonly RunPlacement[]): void {
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
      this.runManager.startRun(step, ref, view, run, unit, ticket)
      this.cellUse.add(unit)
    }
  }

  /** Opens the next occurrence of each recurring job once it is due. */
  private openDueOccurrences (step: Step): void {
    for (const id of this.jobIndex.recurring) {
      const job = step.state.jobs.get(id)
      const recurrence = job?.spec.recurrence
      if (job === undefined || recurrence === undefined || !isLiveJob(job)) continue
      const next = job.occurrences.size
      if (next < recurrence.count && occurrenceDueAt(job, next) <= step.now) {
        step.decide({ kind: 'occurrenceOpened', id: job.id, occurrence: next })
      }
    }
  }

  private forgetClosedJobs (step: Step): void {
    for (const id of this.jobIndex.closed) {
      const job = step.state.jobs.get(id)
      if (job !== undefined && step.now - job.closedAt < CLOSED_ID_RETENTION_MS) return
      // Its placed tasks count against the cap of its account, also at the next leader.
      if (job?.account !== undefined && hasPlacedTask(job)) continue
      step.decide({ kind: 'jobForgotten', id })
    }
  }
}

/**
 * How a job closes; undefined while it continues. Failed runs are counted for each task, in a gang for all of its tasks
 * together; long-running tasks have no limit. A task that crashes its workers fails its job, whatever its kind.
 */
function findClosing (job: StagedJob, state: ClusterState): { phase: JobPhase, reason: string } | undefined {
  const limit = findQueue(state.cell, job.queue)?.attemptLimit ?? Infinity
  let isDone = job.occurrences.size === (job.spec.recurrence?.count ?? 1)
  for (const occurrence of job.occurrences.values()) {
    for (const [stage, tasks] of occurrence.entries()) {
      const { gang, longRunning } = job.spec.stages[stage]
      const failures = gang ? countFailedGangRuns(tasks) : Math.max(...tasks.map(task => task.failures))
      if (failures >= limit && !longRunning) return { phase: JobPhase.failed, reason: `stage ${stage} failed ${failures} times` }
      const deadly = tasks.findIndex(isDeadly)
      if (deadly >= 0) return { phase: JobPhase.failed, reason: `task ${stage}/${deadly} crashes the workers that start it` }
      if (tasks.some(task => task.phase !== StageTaskPhase.done)) isDone = false
    }
  }
  return isDone ? { phase: JobPhase.completed, reason: '' } : undefined
}

/**
 * The members of a gang share their run numbers, and several members of one run may fail. Snapshots of earlier versions
 * lack the numbers, but count one failure for each run of a gang.
 */
function countFailedGangRuns (tasks: readonly StageTask[]): number {
  const unnumbered = tasks.reduce((sum, { failures, failedRuns }) => sum + failures - (failedRuns?.length ?? 0), 0)
  return unnumbered + new Set(tasks.flatMap(({ failedRuns }) => failedRuns ?? [])).size
}
