/**
 * Runs staged jobs with the real scheduler, on simulated workers and with a simulated
 * admission service, under a seeded load. Reports the possible credit and the earned
 * credit of each queue, and the time that the decisions took.
 */

import {
  isLiveJob, OrderOutcome, parseTaskRef, RunEndCause, Scheduler, StagedJobs, stageKey,
  type ClientAccount, type Effect, type Event, type JobPhase, type JobQueue, type JobSpec, type ReportedRun, type StageSpec
} from '../../packages/scheduler/src/index.js'
import { SimulatedClock } from './simulated-clock.js'
import { Random } from './random.js'
import { SimulatedAdmission } from './simulated-admission.js'
import { SimulatedCallers, type LeaderlessTime } from './simulated-callers.js'
import { WorkerModel, type ActiveRun } from './simulated-worker.js'

/** A queue and the jobs that callers submit to it. */
export interface JobClass {
  queue: JobQueue
  /** Name of the client account that submits the jobs, and digest of its key; absent for callers without a key. */
  account?: string
  jobsPerSecond: number
  /** Credit for a job with the mean amount of work. */
  credit: number
  /** Mean number of stages, from 1 to 2. */
  stages: number
  /** Approximate mean number of tasks of a stage. */
  tasksPerStage: number
  /** Approximate mean run time of a task, in milliseconds. */
  taskMs: number
  /** Upper limit of the run time of a task, in milliseconds. */
  maxTaskMs: number
  millicores: number
  memoryMib: number
  /** Share of jobs whose stages are gangs. */
  gangShare: number
  /** Share of jobs whose tasks save checkpoints. */
  checkpointShare: number
  /** Share of tasks whose first run fails. */
  failureShare: number
  /** Share of workers that the admission service allows for a stage. */
  allowedShare: number
  /** Standard deviation of the logarithm of the declared run time over the real one; absent for a declared time that is off by 0.3 at most. */
  estimateDeviation?: number
}

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
}

/**
 * Jobs and credit of one queue. `inTime` counts the jobs that were completed within their
 * objective, and `late` those that were completed within LATE_LIMIT_FACTOR times their objective.
 */
export interface QueueReport { jobs: number, inTime: number, late: number, possibleCredit: number, earnedCredit: number }

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
/** Standard deviation of the logarithm of the run time of a task. */
const WORK_DEVIATION = 0.45
/** Standard deviation of the logarithm of the number of tasks of a stage. */
const SIZE_DEVIATION = 0.6
/** Share of its credit that a job earns when it misses its objective. */
const LATE_CREDIT_SHARE = 0.2
/** Multiple of the objective after which a job earns nothing. */
const LATE_LIMIT_FACTOR = 3
/** Share of the credit of a mean job that each job has regardless of its work; the rest is proportional to its work. */
const FIXED_CREDIT_SHARE = 0.3
/** Upper limit of the credit of a job, as a multiple of the credit of a mean job. */
const MAX_CREDIT_FACTOR = 4

/** A job that was submitted, with the run time of each task by stage and index. */
interface SubmittedJob { hasStarted?: boolean, jobClass: JobClass, objectiveMs: number, submittedAt: number, credit: number, spec: JobSpec, savesCheckpoints: boolean, taskWorkMs: number[][] }

export class StagedJobSimulation {
  readonly reports = new Map<string, QueueReport>()
  /** Time spent in the scheduler, in milliseconds. */
  decisionMs = 0
  stops = 0
  starts = 0
  /** Work of the runs that succeeded, in millicores times milliseconds. */
  busyMillicoreMs = 0
  private readonly clock = SimulatedClock.create()
  /** Draws the jobs; the runs have a source of their own, so that the jobs do not depend on the decisions. */
  private readonly random: Random
  private readonly runRandom: Random
  private readonly scheduler = Scheduler.create([StagedJobs.create()])
  private readonly models = new Map<string, WorkerModel>()
  private readonly jobs = new Map<string, SubmittedJob>()
  readonly admission: SimulatedAdmission
  private lastJob = 0
  readonly callers: SimulatedCallers
  /** Longest time from the submission of a job to its first start, by queue, in milliseconds. */
  readonly longestWaitMs = new Map<string, number>()

  private constructor (private readonly classes: readonly JobClass[], private readonly options: StagedJobSimulationOptions) {
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
    const { workers, workerMillicores, workerMemoryMib } = this.options
    this.scheduler.startLeading(0)
    this.handleEvent({
      kind: 'configureCell',
      call: 0,
      cell: { version: 1, queues: this.classes.map(({ queue }) => queue), retired: [], services: [{ name: 'service', standby: false }], accounts: this.options.accounts, document: '' }
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
      })
      this.models.set(model.facts.id, model)
      this.handleEvent({ kind: 'workerReported', call: 0, worker: model.facts })
      this.clock.schedule(index, () => { this.sendListsPeriodically(model) })
    }
    this.scheduleTick()
    this.scheduleTakeover()
    for (const jobClass of this.classes) this.scheduleArrival(jobClass)
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

  private reportEntries (): void {
    this.handleEvent({ kind: 'advisorsChanged', entries: this.admission.listEntries(this.clock.now) })
  }

  private scheduleArrival (jobClass: JobClass): void {
    this.clock.schedule(this.random.sampleExponential(1_000 / (jobClass.jobsPerSecond * this.options.burst(jobClass.queue.name, this.clock.now))), () => {
      if (this.clock.now > this.options.durationMs) return
      this.submitJob(jobClass)
      this.scheduleArrival(jobClass)
    })
  }

  private submitJob (jobClass: JobClass): void {
    const { random } = this
    this.lastJob += 1
    const id = `${jobClass.queue.name}-${this.lastJob}`
    const savesCheckpoints = random.sampleFraction() < jobClass.checkpointShare
    const gang = random.sampleFraction() < jobClass.gangShare
    const stages: StageSpec[] = []
    const taskWorkMs: number[][] = []
    const stageCount = 1 + (random.sampleFraction() < jobClass.stages - 1 ? 1 : 0)
    for (let stage = 0; stage < stageCount; stage++) {
      // A log-normal sample is drawn by its median, which is below the mean; hence the factors below 1.
      const taskCount = Math.max(1, Math.round(random.sampleLogNormal(jobClass.tasksPerStage * 0.8, SIZE_DEVIATION)))
      const taskMs = Math.min(jobClass.maxTaskMs, random.sampleLogNormal(jobClass.taskMs * 0.9, WORK_DEVIATION))
      taskWorkMs.push(Array.from({ length: taskCount }, () => taskMs * (gang ? 1 : 0.85 + 0.3 * random.sampleFraction())))
      stages.push(this.createStage(jobClass, stage, taskCount, taskMs, gang, savesCheckpoints))
    }
    const criticalPathMs = taskWorkMs.reduce((sum, tasks) => sum + Math.max(...tasks), 0)
    const { admission, stretch, targetMs } = jobClass.queue
    // The objective of a job allows for one admission query about 30 workers per stage.
    const admissionMs = admission === undefined ? 0 : stageCount * (admission.decideMs + 30 * admission.perWorkerMs)
    const work = stages.reduce((sum, stage, index) => sum + stage.resources.millicores * taskWorkMs[index].reduce((total, ms) => total + ms, 0), 0)
    const meanWork = jobClass.stages * jobClass.tasksPerStage * jobClass.taskMs * jobClass.millicores
    const credit = jobClass.credit * Math.min(MAX_CREDIT_FACTOR, FIXED_CREDIT_SHARE + (1 - FIXED_CREDIT_SHARE) * work / meanWork)
    const spec: JobSpec = { payload: '', stages }
    this.jobs.set(id, { jobClass, objectiveMs: stretch * (criticalPathMs + admissionMs) + targetMs, submittedAt: this.clock.now, credit, spec, savesCheckpoints, taskWorkMs })
    this.callers.submit({ kind: 'acceptJob', call: 0, host: 'jobs.example', path: `/${jobClass.queue.name}/${id}`, keyDigest: jobClass.account, spec })
  }

  /** The factors 0.92 and 0.87 convert the mean resources of the class to the medians of the samples. */
  private createStage (jobClass: JobClass, stage: number, taskCount: number, taskMs: number, gang: boolean, checkpoints: boolean): StageSpec {
    const { random } = this
    return {
      taskCount,
      resources: {
        millicores: Math.min(this.options.workerMillicores / 2, Math.round(random.sampleLogNormal(jobClass.millicores * 0.92, 0.4))),
        memoryMib: Math.min(this.options.workerMemoryMib / 2.5, Math.round(random.sampleLogNormal(jobClass.memoryMib * 0.87, 0.5))),
        accelerators: 0
      },
      estimateMs: Math.round(this.sampleEstimate(taskMs, jobClass.estimateDeviation)),
      dependsOn: stage === 0 ? [] : [stage - 1],
      checkpoints,
      gang,
      rackLocal: false,
      requiredLabel: '',
      dataRack: '',
      perWorkerLimit: 0,
      speculative: false,
      longRunning: false,
      image: '',
      targetMs: 0,
      fills: false,
      disruptionBudget: 0
    }
  }

  private sampleEstimate (taskMs: number, deviation: number | undefined): number {
    return deviation === undefined ? taskMs * (0.7 + 0.6 * this.random.sampleFraction()) : this.random.sampleLogNormal(taskMs, deviation)
  }

  private handleEffect (effect: Effect): void {
    switch (effect.kind) {
      case 'askAdmission': return this.forwardQuery(effect)
      case 'startRun': return this.startRun(effect)
      case 'stopRun': return this.stopRun(effect.worker.id, effect.task, effect.run)
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
    if (job.hasStarted !== true) this.longestWaitMs.set(job.jobClass.queue.name, Math.max(this.longestWaitMs.get(job.jobClass.queue.name) ?? 0, this.clock.now - job.submittedAt))
    job.hasStarted = true
    const stage = job.spec.stages[ref.stage]
    const doneMs = Number(checkpoint === '' ? 0 : checkpoint)
    const workMs = job.taskWorkMs[ref.stage][ref.index] + (doneMs > 0 ? CHECKPOINT_RESTORE_MS : 0)
    const fails = run === 1 && this.runRandom.sampleFraction() < job.jobClass.failureShare
    const active: ActiveRun = { progress: { task, run, checkpoint, percent: 0, load: 0 }, workMs, doneMs, workingSince: this.clock.now, fails, gang: stage.gang ? stageKey(ref) : '', isStopping: false }
    model.active.set(task, active)
    this.handleEvent({ kind: 'runOrdered', id: worker.id, incarnation: 1, order: 'start', task, run, outcome: OrderOutcome.done, unanswered: 0, sentAt: this.clock.now })
    // The tasks of a gang begin to work when the last of them has started.
    if (active.gang !== '' && this.listGangMembers(active.gang, run).length < stage.taskCount) return
    const members = active.gang === '' ? [{ model, active }] : this.listGangMembers(active.gang, run)
    for (const member of members) member.active.workingSince = this.clock.now
    this.clock.schedule(Math.max(1, workMs - doneMs), () => { this.endRuns(members) })
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

  private stopRun (worker: string, task: string, run: number): void {
    const model = this.models.get(worker)
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
    model.ended.push({ number: model.lastEndNumber, task: active.progress.task, run: active.progress.run, cause, checkpoint: this.getCheckpoint(active, cause) })
    const ref = parseTaskRef(active.progress.task)
    const resources = this.jobs.get(ref?.job ?? '')?.spec.stages[ref?.stage ?? 0].resources
    if (cause === RunEndCause.done) this.busyMillicoreMs += (resources?.millicores ?? 0) * active.workMs
    this.clock.schedule(this.callLatencyMs, () => { this.sendList(model) })
  }

  private getCheckpoint (active: ActiveRun, cause: RunEndCause): string {
    const ref = parseTaskRef(active.progress.task)
    if (this.jobs.get(ref?.job ?? '')?.savesCheckpoints !== true || cause === RunEndCause.done) return ''
    const doneMs = Math.min(active.workMs - 1, active.doneMs + this.clock.now - active.workingSince)
    return String(Math.round(cause === RunEndCause.stopped ? doneMs : doneMs - doneMs % CHECKPOINT_INTERVAL_MS))
  }

  private sendListsPeriodically (model: WorkerModel): void {
    this.sendList(model)
    this.clock.schedule(LIST_INTERVAL_MS, () => { this.sendListsPeriodically(model) })
  }

  private sendList (model: WorkerModel): void {
    const { now } = this.clock
    const running = [...model.active.values()].map(({ progress, workMs, doneMs, workingSince }): ReportedRun => {
      return { ...progress, percent: Math.min(99, Math.floor((doneMs + now - workingSince) * 100 / workMs)) }
    })
    this.handleEvent({ kind: 'workerListed', id: model.facts.id, incarnation: 1, sentAt: now, running, ended: [...model.ended] })
  }

  private recordReports (): void {
    for (const [id, { jobClass, objectiveMs, submittedAt, credit }] of this.jobs) {
      const report = this.reports.get(jobClass.queue.name) ?? { jobs: 0, inTime: 0, late: 0, possibleCredit: 0, earnedCredit: 0 }
      this.reports.set(jobClass.queue.name, report)
      const state = this.scheduler.state.jobs.get(id)
      const tookMs = state === undefined || isLiveJob(state) || state.phase !== COMPLETED_PHASE ? Infinity : state.closedAt - submittedAt
      report.jobs += 1
      report.possibleCredit += credit
      if (tookMs <= objectiveMs) {
        report.inTime += 1
        report.earnedCredit += credit
      } else if (tookMs <= LATE_LIMIT_FACTOR * objectiveMs) {
        report.late += 1
        report.earnedCredit += LATE_CREDIT_SHARE * credit
      }
    }
  }
}

const COMPLETED_PHASE: JobPhase = 'completed'
