/**
 * Runs staged jobs with the real scheduler, on simulated workers and with a simulated
 * admission service, under a seeded load. Reports the possible credit and the earned
 * credit of each queue, and the time that the decisions took.
 */

import {
  isLiveJob, OrderOutcome, parseTaskRef, RunEndCause, Scheduler, StagedJobs, stageKey,
  type ClientAccount, type Effect, type Event, type JobPhase, type Limits, type ReportedRun
} from '../../packages/scheduler/src/index.js'
import { createClientAccount, createStreams, type AccountReport, type JobStream, type SimulatedAccount } from './account-load.js'
import { drawJob, type DrawnJob, type JobClass } from './drawn-jobs.js'
import { countJob, createQueueReport, type QueueReport } from './queue-report.js'
import { SimulatedClock } from './simulated-clock.js'
import { Random } from './random.js'
import { SimulatedAdmission } from './simulated-admission.js'
import { SimulatedCallers, type LeaderlessTime } from './simulated-callers.js'
import { ActiveRun, WorkerModel, type Slowdown } from './simulated-workers.js'

export type { JobClass } from './drawn-jobs.js'
export type { QueueReport } from './queue-report.js'

export interface StagedJobSimulationOptions {
  seed: number
  workers: number
  workerMillicores: number
  workerMemoryMib: number
  entries: number
  /** Time that a worker takes to stop a task, in milliseconds. */
  stopMs: number
  durationMs: number
  /** Returns the factor by which the arrival rate of a queue is multiplied at a time. */
  burst: (queue: string, now: number) => number
  /** Client accounts of the cell, each with its name as the digest of its key; absent for a cell without accounts. */
  accounts?: ClientAccount[]
  /** Latency of an effect that has to be committed first, in milliseconds; COMMIT_LATENCY_MS when absent. */
  commitLatencyMs?: number
  /** Latency of a call, in milliseconds; CALL_LATENCY_MS when absent. */
  callLatencyMs?: number
  /** A time without a leader. Orders made before are carried out. */
  withoutLeader?: LeaderlessTime
  /** False if entries do not report for how long they held a call for want of a leader, so that objectives count from the acceptance. */
  reportsHeldTime?: boolean
  /** False if entries that still carry a query of a former leader offer themselves to the next one. */
  reportsBusyEntries?: boolean
  /** Client accounts that share the arrivals of each queue; without them the jobs have none. */
  sharedBy?: readonly SimulatedAccount[]
  /** Speeds of the workers, in turn; all 1 when absent. */
  speeds?: readonly number[]
  slowdown?: Slowdown
  limits?: Partial<Limits>
}

/** Times that a caller whose job is refused sends it again. */
const CALLER_RETRIES = 4
/** Latency of an effect that has to be committed first. */
const COMMIT_LATENCY_MS = 8
/** Latency of a call to the admission service or from a worker. */
const CALL_LATENCY_MS = 2
/** Interval at which a worker lists its runs to the leader. */
const LIST_INTERVAL_MS = 1_000
const TICK_INTERVAL_MS = 60
/** Time that a new leader takes to list all workers. */
const TAKEOVER_LISTS_MS = 800
/** Additional run time of a task that resumes from a checkpoint. */
const CHECKPOINT_RESTORE_MS = 250
/** Interval at which a task saves a checkpoint. */
const CHECKPOINT_INTERVAL_MS = 500

/** A job that was submitted; `startedAt` is the time of its first start. */
interface SubmittedJob extends DrawnJob { sends: number, account: SimulatedAccount | undefined, submittedAt: number, startedAt: number | undefined }

export class StagedJobSimulation {
  readonly reports = new Map<string, QueueReport>()
  /** Reports by account name; empty without accounts. */
  readonly accountReports = new Map<string, AccountReport>()
  /** Time spent in the scheduler, in milliseconds. */
  decisionMs = 0
  stops = 0
  /** Number of stops by the first words of their reasons. */
  readonly stopsByReason = new Map<string, number>()
  /** Time on workers that was lost because runs were stopped, in millicores times milliseconds. */
  discardedMillicoreMs = 0
  starts = 0
  /** Submissions that were refused. */
  refusals = 0
  /** Work of the runs that succeeded, in millicores times milliseconds. */
  busyMillicoreMs = 0
  private readonly clock = SimulatedClock.create()
  /** Draws the jobs; the runs have a source of their own, so that the jobs do not depend on the decisions. */
  private readonly random: Random
  private readonly runRandom: Random
  private readonly scheduler: Scheduler
  private readonly models = new Map<string, WorkerModel>()
  private readonly jobs = new Map<string, SubmittedJob>()
  readonly admission: SimulatedAdmission
  /** Job ids by the number of their call. */
  private readonly idsByCall = new Map<number, string>()
  private lastJob = 0
  readonly callers: SimulatedCallers
  /** Longest time from the submission of a job to its first start, by queue, in milliseconds. */
  readonly longestWaitMs = new Map<string, number>()

  private constructor (private readonly classes: readonly JobClass[], private readonly options: StagedJobSimulationOptions) {
    this.scheduler = Scheduler.create([StagedJobs.create(options.limits)])
    this.random = Random.create(options.seed)
    this.runRandom = Random.create(options.seed + 1)
    this.admission = SimulatedAdmission.create(options.entries, options.reportsBusyEntries !== false)
    this.callers = SimulatedCallers.create(this.clock, Random.create(options.seed + 2), options.withoutLeader ?? { fromMs: Infinity, toMs: Infinity }, ({ heldMs, ...submission }) => {
      this.handleEvent(options.reportsHeldTime === false ? submission : { ...submission, heldMs })
    })
  }

  static run (classes: readonly JobClass[], options: StagedJobSimulationOptions): StagedJobSimulation {
    const simulation = new StagedJobSimulation(classes, options)
    simulation.setUp()
    // The jobs that arrive last have 30 s to complete.
    simulation.clock.runUntil(options.durationMs + 30_000)
    simulation.recordReports()
    return simulation
  }

  private setUp (): void {
    const { workers, workerMillicores, workerMemoryMib, accounts, sharedBy, speeds = [1] } = this.options
    this.scheduler.startLeading(0)
    this.handleEvent({
      kind: 'configureCell',
      call: 0,
      cell: { version: 1, queues: this.classes.map(({ queue }) => queue), retired: [], services: [{ name: 'service', standby: false }], accounts: accounts ?? sharedBy?.map(createClientAccount), document: '' }
    })
    this.reportEntries()
    for (let index = 0; index < workers; index++) {
      const model = WorkerModel.create({
        id: `worker-${index}`,
        incarnation: 1,
        address: `10.0.0.1:${index}`,
        service: 'service',
        availabilityZone: 'zone',
        rack: `rack-${index >> 3}`,
        labels: [],
        capacity: { millicores: workerMillicores, memoryMib: workerMemoryMib, accelerators: 0 },
        isDraining: false,
        hasLeft: false
      }, speeds[index % speeds.length])
      this.models.set(model.facts.id, model)
      this.handleEvent({ kind: 'workerReported', call: 0, worker: model.facts })
      this.clock.schedule(index, () => { this.sendListsPeriodically(model) })
    }
    this.scheduleTick()
    this.scheduleTakeover()
    for (const stream of createStreams(this.classes, sharedBy, this.random, this.options.seed)) this.scheduleArrival(stream)
    this.scheduleSlowdown()
  }

  private get callLatencyMs (): number {
    return this.options.callLatencyMs ?? CALL_LATENCY_MS
  }

  private handleEvent (event: Event): void {
    const { withoutLeader } = this.options
    if (withoutLeader !== undefined && this.clock.now >= withoutLeader.fromMs && this.clock.now < withoutLeader.toMs) return
    const startedAt = performance.now()
    const { effects } = this.scheduler.handle(event, this.clock.now)
    this.decisionMs += performance.now() - startedAt
    for (const effect of effects) this.clock.schedule(effect.kind === 'askAdmission' ? this.callLatencyMs : this.options.commitLatencyMs ?? COMMIT_LATENCY_MS, () => { this.handleEffect(effect) })
  }

  private scheduleTick (): void {
    this.clock.schedule(TICK_INTERVAL_MS, () => {
      this.handleEvent({ kind: 'tick' })
      this.scheduleTick()
    })
  }

  /** The next leader knows the replicated state and lists every worker within TAKEOVER_LISTS_MS. */
  private scheduleTakeover (): void {
    const { withoutLeader } = this.options
    if (withoutLeader === undefined) return
    this.clock.schedule(withoutLeader.toMs, () => {
      this.scheduler.startLeading(this.clock.now)
      for (const freeAt of this.admission.replaceLeader(this.clock.now)) this.clock.schedule(freeAt - this.clock.now, () => { this.reportEntries() })
      this.reportEntries()
      let index = 0
      for (const model of this.models.values()) {
        this.clock.schedule(index * TAKEOVER_LISTS_MS / this.models.size, () => { this.sendList(model) })
        index += 1
      }
    })
  }

  private scheduleSlowdown (): void {
    const { slowdown } = this.options
    if (slowdown === undefined) return
    const models = slowdown.workers.flatMap(index => this.models.get(`worker-${index}`) ?? [])
    this.clock.schedule(slowdown.fromMs, () => { for (const model of models) this.changeSpeed(model, slowdown.factor) })
    this.clock.schedule(slowdown.toMs, () => { for (const model of models) this.changeSpeed(model, 1 / slowdown.factor) })
  }

  private changeSpeed (model: WorkerModel, factor: number): void {
    model.speed *= factor
    for (const active of model.active.values()) this.startWork(active.gang === '' ? [{ model, active }] : this.listGangMembers(active.gang, active.progress.run))
  }

  private reportEntries (): void {
    this.handleEvent({ kind: 'advisorsChanged', entries: this.admission.listEntries(this.clock.now) })
  }

  private scheduleArrival (stream: JobStream): void {
    const { jobClass, account, random } = stream
    const factor = this.options.burst(jobClass.queue.name, this.clock.now) * (account?.share ?? 1) * (account?.burst?.(this.clock.now) ?? 1)
    this.clock.schedule(random.sampleExponential(1_000 / (jobClass.jobsPerSecond * factor)), () => {
      if (this.clock.now > this.options.durationMs) return
      this.submitJob(stream)
      this.scheduleArrival(stream)
    })
  }

  private submitJob ({ jobClass, account, random }: JobStream): void {
    this.lastJob += 1
    const job = drawJob(jobClass, random, this.options, this.clock.now)
    const { queue: { name } } = jobClass
    const id = account === undefined ? `${name}-${this.lastJob}` : `${name}-${account.name}-${this.lastJob}`
    this.jobs.set(id, { ...job, sends: 0, account, submittedAt: this.clock.now, startedAt: undefined })
    this.sendJob(id)
    if (account?.leavesAfterMs === undefined) return
    const call = { call: 0, host: 'jobs.example', path: `/${name}/${id}`, keyDigest: account.name }
    this.clock.schedule(account.leavesAfterMs, () => { this.handleEvent({ kind: 'cancelJob', ...call }) })
  }

  /** The call of a submission is the number at the end of the job id. */
  private sendJob (id: string): void {
    const job = this.jobs.get(id)
    if (job === undefined) return
    const { account, spec, jobClass: { queue, account: queueAccount } } = job
    job.sends += 1
    job.submittedAt = this.clock.now
    this.idsByCall.set(Number(id.slice(id.lastIndexOf('-') + 1)), id)
    this.callers.submit({ kind: 'acceptJob', call: Number(id.slice(id.lastIndexOf('-') + 1)), host: 'jobs.example', path: `/${queue.name}/${id}`, keyDigest: account?.name ?? queueAccount, spec })
  }

  /** A caller that is told to come back does so at that time, up to CALLER_RETRIES times. */
  private handleRefusal ({ call, retryAfterMs }: Extract<Effect, { kind: 'refuse' }>): void {
    const id = this.idsByCall.get(call) ?? ''
    const sends = this.jobs.get(id)?.sends
    this.refusals += 1
    if (sends !== undefined && sends <= CALLER_RETRIES) this.clock.schedule(retryAfterMs, () => { this.sendJob(id) })
  }

  private handleEffect (effect: Effect): void {
    switch (effect.kind) {
      case 'askAdmission': return this.forwardQuery(effect)
      case 'refuse': return this.handleRefusal(effect)
      case 'startRun': return this.startRun(effect)
      case 'stopRun': return this.stopRun(effect)
      case 'ackEnds': {
        const model = this.models.get(effect.id)
        if (model !== undefined) model.ended = model.ended.filter(endedRun => endedRun.number > effect.cursor)
      }
    }
  }

  /** Forwards an admission query; each entry sends one query at a time. */
  private forwardQuery ({ entry, stage, workers }: Extract<Effect, { kind: 'askAdmission' }>): void {
    const { admission } = this.jobs.get(stage.slice(0, stage.indexOf('/')))?.jobClass.queue ?? {}
    const costMs = admission === undefined ? 0 : admission.decideMs + workers.length * admission.perWorkerMs
    const askedAt = this.clock.now
    const endAt = this.admission.forward(entry, costMs, askedAt)
    const share = this.jobs.get(stage.slice(0, stage.indexOf('/')))?.jobClass.allowedShare ?? 1
    const tickets = workers.filter(worker => this.admission.allows(stage, worker, share)).map(worker => ({ worker, ticket: 'ticket' }))
    this.clock.schedule(endAt - askedAt, () => { this.handleEvent({ kind: 'admissionAnswered', entry, stage, workers, tickets, askedAt, isAnswered: true }) })
  }

  private startRun ({ worker, task, run, checkpoint }: Extract<Effect, { kind: 'startRun' }>): void {
    const model = this.models.get(worker.id)
    const ref = parseTaskRef(task)
    const job = this.jobs.get(ref?.job ?? '')
    if (model === undefined || ref === undefined || job === undefined) return
    this.starts += 1
    if (job.startedAt === undefined) {
      const { name } = job.jobClass.queue
      this.longestWaitMs.set(name, Math.max(this.longestWaitMs.get(name) ?? 0, this.clock.now - job.submittedAt))
    }
    job.startedAt ??= this.clock.now
    const stage = job.spec.stages[ref.stage]
    const doneMs = Number(checkpoint === '' ? 0 : checkpoint)
    const workMs = job.taskWorkMs[ref.stage][ref.index] + (doneMs > 0 ? CHECKPOINT_RESTORE_MS : 0)
    const fails = run === 1 && this.runRandom.sampleFraction() < job.jobClass.failureShare
    const progress: ReportedRun = { task, run, checkpoint, percent: 0, load: 0 }
    const active = ActiveRun.create(progress, workMs, doneMs, fails, stage.gang ? stageKey(ref) : '', this.clock.now)
    model.active.set(task, active)
    this.handleEvent({ kind: 'runOrdered', id: worker.id, incarnation: 1, order: 'start', task, run, outcome: OrderOutcome.done, unanswered: 0, sentAt: this.clock.now })
    // The tasks of a gang begin to work when the last of them has started.
    const members = active.gang === '' ? [{ model, active }] : this.listGangMembers(active.gang, run)
    if (active.gang === '' || members.length >= stage.taskCount) this.startWork(members)
  }

  /** Runs work at the speed of their worker, gangs at that of the slowest one. */
  private startWork (members: Array<{ model: WorkerModel, active: ActiveRun }>): void {
    const { now } = this.clock
    const speed = Math.min(...members.map(({ model }) => model.speed))
    for (const { active } of members) {
      active.setSpeed(speed, now)
      active.endSchedule += 1
    }
    const { active } = members[members.length - 1]
    const { endSchedule } = active
    this.clock.schedule(active.countLeft(now), () => {
      if (active.endSchedule === endSchedule) this.endRuns(members)
    })
  }

  private listGangMembers (gang: string, run: number): Array<{ model: WorkerModel, active: ActiveRun }> {
    return [...this.models.values()].flatMap(model =>
      [...model.active.values()].filter(active => active.gang === gang && active.progress.run === run).map(active => ({ model, active })))
  }

  private endRuns (members: Array<{ model: WorkerModel, active: ActiveRun }>): void {
    if (members.some(({ model, active }) => model.active.get(active.progress.task) !== active || active.isStopping)) return
    const failed = members.find(({ active }) => active.fails)
    for (const { model, active } of members) this.endRun(model, active, failed === undefined ? RunEndCause.done : active === failed.active ? RunEndCause.failed : RunEndCause.broken)
  }

  private stopRun ({ worker: { id: worker }, task, run, reason }: Extract<Effect, { kind: 'stopRun' }>): void {
    const model = this.models.get(worker)
    const kind = reason.split(/:| to free/)[0]
    this.stopsByReason.set(kind, (this.stopsByReason.get(kind) ?? 0) + 1)
    const active = model?.active.get(task)
    this.stops += 1
    this.handleEvent({ kind: 'runOrdered', id: worker, incarnation: 1, order: 'stop', task, run, outcome: OrderOutcome.done, unanswered: 0, sentAt: this.clock.now })
    if (model === undefined || active === undefined || active.progress.run !== run || active.isStopping) return
    active.isStopping = true
    this.clock.schedule(this.options.stopMs, () => { this.endRun(model, active, RunEndCause.stopped) })
  }

  private endRun (model: WorkerModel, active: ActiveRun, cause: RunEndCause): void {
    if (model.active.get(active.progress.task) !== active) return
    model.active.delete(active.progress.task)
    model.lastEndNumber += 1
    const checkpoint = this.getCheckpoint(active, cause)
    model.ended.push({ number: model.lastEndNumber, task: active.progress.task, run: active.progress.run, cause, checkpoint })
    const ref = parseTaskRef(active.progress.task)
    const resources = this.jobs.get(ref?.job ?? '')?.spec.stages[ref?.stage ?? 0].resources
    if (cause === RunEndCause.done) this.busyMillicoreMs += (resources?.millicores ?? 0) * active.workMs
    if (cause === RunEndCause.stopped) this.discardedMillicoreMs += (resources?.millicores ?? 0) * active.countLostTime(Number(checkpoint), this.clock.now)
    this.clock.schedule(this.callLatencyMs, () => { this.sendList(model) })
  }

  private getCheckpoint (active: ActiveRun, cause: RunEndCause): string {
    const ref = parseTaskRef(active.progress.task)
    if (this.jobs.get(ref?.job ?? '')?.savesCheckpoints !== true || cause === RunEndCause.done) return ''
    const doneMs = Math.min(active.workMs - 1, active.countDone(this.clock.now))
    return String(Math.round(cause === RunEndCause.stopped ? doneMs : doneMs - doneMs % CHECKPOINT_INTERVAL_MS))
  }

  private sendListsPeriodically (model: WorkerModel): void {
    this.sendList(model)
    this.clock.schedule(LIST_INTERVAL_MS, () => { this.sendListsPeriodically(model) })
  }

  private sendList (model: WorkerModel): void {
    const { now } = this.clock
    const running = [...model.active.values()].map((active): ReportedRun => {
      return { ...active.progress, percent: Math.min(99, Math.floor(active.countDone(now) * 100 / active.workMs)) }
    })
    this.handleEvent({ kind: 'workerListed', id: model.facts.id, incarnation: 1, sentAt: now, running, ended: [...model.ended], isTruncated: false })
  }

  private recordReports (): void {
    for (const [id, job] of this.jobs) {
      const { jobClass, account, submittedAt, objectiveMs } = job
      const state = this.scheduler.state.jobs.get(id)
      const tookMs = state === undefined || isLiveJob(state) || state.phase !== COMPLETED_PHASE ? Infinity : state.closedAt - submittedAt
      const report = getOrCreate(this.reports, jobClass.queue.name, createQueueReport)
      countJob(report, job, tookMs)
      if (account === undefined) continue
      const accountReport = getOrCreate(this.accountReports, account.name, () => ({ ...createQueueReport(), waits: [] }))
      countJob(accountReport, job, tookMs)
      accountReport.waits.push({ queue: jobClass.queue.name, isBeyondWeight: state?.isBeyondWeight === true, submittedAt, objectiveMs, tookMs, waitMs: (job.startedAt ?? this.clock.now) - submittedAt })
    }
  }
}

function getOrCreate<Value> (map: Map<string, Value>, key: string, create: () => Value): Value {
  const value = map.get(key) ?? create()
  map.set(key, value)
  return value
}

const COMPLETED_PHASE: JobPhase = 'completed'
