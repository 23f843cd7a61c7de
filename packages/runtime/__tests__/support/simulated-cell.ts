/**
 * A simulated cell in virtual time: a leader with its log, real sessions and
 * simulated workers. A seeded plan makes calls between them lost, late or
 * unanswered; leaders are replaced while decisions are not committed yet; workers
 * crash, are cut off and return. The real scheduler makes all decisions; the
 * simulation only delivers messages and checks the journals of the workers.
 */

import assert from 'node:assert/strict'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import {
  OrderDispatcher, WorkerClient, WorkerSession, type ListAnswer, type ListOrder, type OrderAnswer, type StartOrder, type WorkerEffect
} from '@flamingorouter/runtime'
import {
  applyDecision, createClusterState, isWaveOver, JobPhase, OrderOutcome, parseTaskRef, Scheduler, StagedJobs, UpkeepOutcome, type Answer, type CalledWorker, type CellConfiguration,
  type ClusterState, type Decision, type Effect, type Event, type JobSpec, type StageSpec
} from '@flamingorouter/scheduler'
import { createStage } from '../../../scheduler/__tests__/support/stages.js'
import { SimulatedVms, formatVmName } from './simulated-vms.js'
import { CalledWorkerModel, formatStageId, type TaskBehaviour, type RunInterval } from './called-worker-model.js'
import { VirtualTime } from './virtual-time.js'

const COMMIT_DELAY_MS = 12
const CALL_DELAY_MS = 3
const TICK_INTERVAL_MS = 60

/** Time that the simulated admission and VM services take to answer, in milliseconds. */
const SERVICE_DELAY_MS = 20

const TICKET_VALIDITY_MS = 2_500
const UPKEEP_TIMEOUT_MS = 500

/** Time within which a new cell has established sessions with its workers, in milliseconds. */
const SESSION_SETUP_MS = 500

/** A plan without faults: no call is lost or late. */
export const FAULT_FREE_PLAN: FaultPlan = Object.freeze({ seed: 1, workers: 6, lostRequests: 0, lostAnswers: 0, lateOrders: 0 })

export interface FaultPlan {
  seed: number
  workers: number
  /** Probability that a call to a worker does not arrive, per thousand. */
  lostRequests: number
  /** Probability that a call to a worker is carried out and its answer is lost, per thousand. */
  lostAnswers: number
  /** Probability that a call to a worker times out and is carried out seconds later, per thousand. */
  lateOrders: number
  /** True if the stages of all queues need tickets of an admission service. */
  hasAdmission?: boolean
  /** Probability that an order to take a VM down does not arrive, per thousand. */
  lostUpkeep?: number
  /** Probability that an order to take a VM down times out and is carried out seconds later, per thousand. */
  lateUpkeep?: number
}

export function createConfiguration (hasAdmission: boolean, version = 1): CellConfiguration {
  const admission = hasAdmission ? { decideMs: SERVICE_DELAY_MS, perWorkerMs: 0, validMs: TICKET_VALIDITY_MS } : undefined
  const queue = { host: 'jobs.example', service: 'work', attemptLimit: 3, stretch: 2, targetMs: 500, timeoutMs: 3_000, admission }
  return {
    version,
    queues: [
      { ...queue, name: 'urgent', pathPrefix: '/urgent/', priority: 0 },
      { ...queue, name: 'bulk', pathPrefix: '/bulk/', priority: 2, stretch: 6 }
    ],
    retired: [],
    services: [{ name: 'work', standby: false }],
    document: '{}'
  }
}

export class SimulatedCell {
  readonly time = VirtualTime.create()
  readonly journal: RunInterval[] = []
  readonly workerModels = new Map<string, CalledWorkerModel>()
  readonly answers: Answer[] = []
  /** The durable state: the result of all committed decisions. */
  readonly durableState: ClusterState = createClusterState()
  scheduler!: Scheduler
  readonly vms: SimulatedVms
  private readonly random: RandomGenerator
  private readonly specs = new Map<string, JobSpec>()
  private term = 0
  private lastCall = 0
  private commits = 0
  private dispatcher: SimulatedDispatcher | undefined
  /** Steps of the current leader whose decisions are not committed yet, in order. */
  private pending: Array<{ decisions: Decision[], effects: Effect[] }> = []
  private lastIncarnation = 0

  private constructor (readonly plan: FaultPlan) {
    this.random = xoroshiro128plus(plan.seed)
    const workers = Array.from({ length: plan.workers }, (_, index) => `worker-${index}`)
    this.vms = SimulatedVms.create(workers, {
      now: () => this.time.now,
      after: (ms, act) => { this.time.after(ms, act) },
      isWorkerUp: worker => this.workerModels.has(worker),
      takeDown: (worker, ms) => { this.takeDown(worker, ms) }
    })
  }

  static create (plan: FaultPlan): SimulatedCell {
    const cell = new SimulatedCell(plan)
    cell.replaceLeader()
    cell.feed({ kind: 'configureCell', call: 0, cell: createConfiguration(plan.hasAdmission === true) })
    cell.feed({ kind: 'advisorsChanged', entries: ['entry-1', 'entry-2'] })
    for (let index = 0; index < plan.workers; index++) cell.startWorker(`worker-${index}`)
    cell.tick()
    return cell
  }

  /** Creates a cell and runs it until it has established sessions with its workers. */
  static async start (plan: Partial<FaultPlan> = {}): Promise<SimulatedCell> {
    const cell = SimulatedCell.create({ ...FAULT_FREE_PLAN, ...plan })
    await cell.time.runUntil(SESSION_SETUP_MS)
    return cell
  }

  /** Draws an integer from 0 up to, but not including, a limit. */
  drawInteger (limit: number): number {
    return uniformInt(this.random, 0, limit - 1)
  }

  /** Draws whether an event of this probability happens. */
  drawChance (perThousand: number): boolean {
    return this.drawInteger(1_000) < perThousand
  }

  /** Replaces the leader; decisions that are not committed are lost. */
  replaceLeader (): void {
    this.dispatcher?.stopLeading()
    this.pending = []
    this.term += 1
    const state = structuredClone(this.durableState)
    this.scheduler = Scheduler.create([StagedJobs.create()], state)
    this.dispatcher = SimulatedDispatcher.create(this, this.term)
    this.scheduler.startLeading(this.time.now)
    this.feed({ kind: 'advisorsChanged', entries: ['entry-1', 'entry-2'] })
  }

  feed (event: Event): void {
    const result = this.scheduler.handle(event, this.time.now)
    const { term } = this
    const immediate = result.effects.filter(({ kind }) => kind === 'askAdmission' || kind === 'listVms' || kind === 'watchWorker' || kind === 'unwatchWorker')
    const deferred = result.effects.filter(effect => !immediate.includes(effect))
    for (const effect of immediate) this.carryOut(effect)
    if (result.decisions.length === 0 && deferred.length === 0) return
    this.pending.push({ decisions: structuredClone(result.decisions), effects: deferred })
    this.time.after(COMMIT_DELAY_MS, () => {
      if (term !== this.term) return
      const step = this.pending.shift()
      for (const decision of step?.decisions ?? []) applyDecision(this.durableState, decision)
      this.commits += 1
      for (const effect of step?.effects ?? []) this.carryOut(effect)
    })
  }

  submit (id: string, queue: 'urgent' | 'bulk', stages: StageSpec[]): void {
    const spec = { payload: 'payload', stages }
    this.specs.set(id, spec)
    this.feed({ kind: 'acceptJob', call: ++this.lastCall, host: 'jobs.example', path: `/${queue}/${id}`, spec })
  }

  cancel (id: string, queue: 'urgent' | 'bulk'): void {
    this.feed({ kind: 'cancelJob', call: ++this.lastCall, host: 'jobs.example', path: `/${queue}/${id}` })
  }

  startWorker (id: string): void {
    this.lastIncarnation += 1
    const facts: CalledWorker = {
      id,
      incarnation: this.lastIncarnation,
      address: `${id}:1`,
      service: 'work',
      availabilityZone: 'zone',
      rack: 'rack',
      labels: [],
      capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
      isDraining: false,
      hasLeft: false
    }
    // The clock is exact or slow by 1 or 2 percent; the sessions allow for a drift of 2 percent.
    const speed = 0.98 + this.drawInteger(3) / 100
    const peers = (): CalledWorkerModel[] => [...this.workerModels.values()]
    const model = CalledWorkerModel.create(facts, this.time, this.journal, (task, run) => this.createBehaviour(task, run), peers, speed)
    this.workerModels.set(id, model)
    this.reportWorker(model)
  }

  crashWorker (id: string): void {
    this.takeDown(id, 1_000 + this.drawInteger(2_000))
  }

  private takeDown (id: string, ms: number): void {
    // A worker that is already down is not restarted a second time.
    if (!this.workerModels.has(id)) return
    this.workerModels.get(id)?.crash()
    this.workerModels.delete(id)
    this.time.after(ms, () => { this.startWorker(id) })
  }

  /** Starts an upkeep wave over the VMs of all running workers. */
  startWave (cap: number, durationMs: number): void {
    this.feed({ kind: 'startUpkeepWave', call: ++this.lastCall, id: 1, vms: [...this.workerModels.keys()].map(formatVmName), cap, durationMs })
  }

  isWaveOver (): boolean {
    const wave = this.durableState.upkeepWaves.get(1)
    return wave !== undefined && isWaveOver(wave)
  }

  getPhase (id: string): JobPhase | undefined {
    return this.durableState.jobs.get(id)?.phase
  }

  /** Drops all messages between the leader and a worker from now on. */
  disconnect (worker: string): void {
    const model = this.workerModels.get(worker)
    if (model !== undefined) model.isDisconnected = true
  }

  /** Asserts the invariants, and that these jobs have completed. */
  assertCompleted (ids: readonly string[]): void {
    this.assertInvariants()
    for (const id of ids) assert.equal(this.getPhase(id), 'completed', id)
  }

  /**
   * Asserts the invariants on the journals of all workers: no task runs twice at
   * once, stages keep their order, and no worker exceeds its capacity.
   */
  assertInvariants (): void {
    this.assertNoOverlap()
    this.assertStageOrder()
    this.assertWithinCapacity()
  }

  private assertNoOverlap (): void {
    const byTask = new Map<string, RunInterval[]>()
    for (const interval of this.journal) byTask.set(interval.task, [...byTask.get(interval.task) ?? [], interval])
    for (const [task, intervals] of byTask) {
      intervals.sort((one, other) => one.from - other.from)
      intervals.forEach((interval, index) => {
        const next = intervals[index + 1]
        if (next === undefined) return
        assert.ok(interval.to <= next.from, `seed ${this.plan.seed}: ${task} ran twice at once: ${describeInterval(interval)} and ${describeInterval(next)}`)
      })
    }
  }

  private assertStageOrder (): void {
    for (const interval of this.journal) {
      const ref = parseTaskRef(interval.task)
      const spec = ref === undefined ? undefined : this.specs.get(ref.job)
      if (ref === undefined || spec === undefined) continue
      for (const dependency of spec.stages[ref.stage].dependsOn) {
        for (let index = 0; index < spec.stages[dependency].taskCount; index++) {
          const name = `${ref.job}/${ref.occurrence}/${dependency}/${index}`
          const done = this.journal.some(other => other.task === name && other.endCause === 'done' && other.to <= interval.from)
          assert.ok(done, `seed ${this.plan.seed}: ${interval.task} started before ${name} was done`)
        }
      }
    }
  }

  private assertWithinCapacity (): void {
    const workers = new Set(this.journal.map(({ worker }) => worker))
    for (const worker of workers) {
      const intervals = this.journal.filter(interval => interval.worker === worker)
      for (const { from } of intervals) {
        const used = intervals.filter(other => other.from <= from && other.to > from).reduce((sum, other) => sum + other.resources.millicores, 0)
        assert.ok(used <= 16_000, `seed ${this.plan.seed}: ${worker} used ${used} millicores at ${from}`)
      }
    }
  }

  private createBehaviour (task: string, run: number): TaskBehaviour {
    const ref = parseTaskRef(task)
    const stage = this.specs.get(ref?.job ?? '')?.stages[ref?.stage ?? 0] ?? createStage()
    const isPoison = ref?.job.startsWith('poison') === true
    // The first run of every seventh task of a stage fails, except in gangs.
    const fails = isPoison || (!stage.gang && run === 1 && (ref?.index ?? 0) % 7 === 6)
    const durationMs = stage.estimateMs / 2 + this.drawInteger(stage.estimateMs)
    const { longRunning, fills, targetMs } = stage
    return { resources: stage.resources, durationMs: longRunning ? Infinity : durationMs, fails, gang: stage.gang ? formatStageId(task) : '', gangSize: stage.taskCount, fills, targetMs }
  }

  private tick (): void {
    this.time.after(TICK_INTERVAL_MS, () => {
      this.feed({ kind: 'tick' })
      this.tick()
    })
  }

  /** Reports a worker to the leader every 1.5 s while the worker runs and is connected. */
  private reportWorker (model: CalledWorkerModel): void {
    if (this.workerModels.get(model.facts.id) !== model) return
    if (!model.isDisconnected) this.feed({ kind: 'workerReported', call: ++this.lastCall, worker: model.facts })
    this.time.after(1_500, () => { this.reportWorker(model) })
  }

  private orderUpkeep (wave: number, vm: string): void {
    const { term, plan } = this
    const answer = (outcome: UpkeepOutcome, ms: number): void => {
      this.time.after(ms, () => { if (term === this.term) this.feed({ kind: 'upkeepOrdered', wave, vm, outcome }) })
    }
    if (this.drawChance(plan.lostUpkeep ?? 0)) return answer(UpkeepOutcome.unknown, UPKEEP_TIMEOUT_MS)
    if (this.drawChance(plan.lateUpkeep ?? 0)) {
      this.time.after(2_000 + this.drawInteger(10_000), () => { this.vms.orderUpkeep(vm, term) })
      return answer(UpkeepOutcome.unknown, UPKEEP_TIMEOUT_MS)
    }
    answer(this.vms.orderUpkeep(vm, term), CALL_DELAY_MS)
  }

  private carryOut (effect: Effect): void {
    if (effect.kind === 'reply') {
      this.answers.push(effect.answer)
    } else if (effect.kind === 'askAdmission') {
      const { entry, stage, workers } = effect
      const { term } = this
      const askedAt = this.time.now
      const tickets = workers.filter((_worker, index) => index % 2 === 0).map(worker => ({ worker, ticket: `${stage}@${worker}` }))
      this.time.after(SERVICE_DELAY_MS, () => {
        if (term === this.term) this.feed({ kind: 'admissionAnswered', entry, stage, workers, tickets, askedAt, isAnswered: true })
      })
    } else if (effect.kind === 'listVms') {
      const { term } = this
      const sentAt = this.time.now
      this.time.after(SERVICE_DELAY_MS, () => { if (term === this.term) this.feed({ kind: 'vmsListed', vms: this.vms.list(), sentAt }) })
    } else if (effect.kind === 'orderUpkeep') {
      this.orderUpkeep(effect.wave, effect.vm)
    } else if (effect.kind !== 'refuse' && effect.kind !== 'command' && effect.kind !== 'noteRunAnomaly') {
      this.dispatcher?.dispatch(effect)
    }
  }
}

function describeInterval ({ worker, run, from, to, endCause: cause }: RunInterval): string {
  return `run ${run} on ${worker} from ${from} to ${to} (${cause})`
}

/** Dispatches orders to the simulated workers through real sessions, with the faults of the plan. */
class SimulatedDispatcher extends OrderDispatcher {
  private readonly sessions = new Map<string, WorkerSession>()
  private isStopped = false

  private constructor (private readonly cell: SimulatedCell, private readonly term: number) {
    super()
  }

  static create (cell: SimulatedCell, term: number): SimulatedDispatcher {
    return new SimulatedDispatcher(cell, term)
  }

  override startLeading (): void {}

  override stopLeading (): void {
    this.isStopped = true
    for (const session of this.sessions.values()) session.stop()
  }

  override dispatch (effect: WorkerEffect): void {
    if (this.isStopped) return
    if (effect.kind === 'watchWorker') return this.watch(effect.worker)
    if (effect.kind === 'unwatchWorker') {
      this.sessions.get(effect.id)?.stop()
      this.sessions.delete(effect.id)
      return
    }
    const id = effect.kind === 'ackEnds' ? effect.id : effect.worker.id
    const session = this.sessions.get(id)
    if (session === undefined) return
    if (effect.kind === 'ackEnds') session.ack(effect.cursor)
    else if (effect.kind === 'stopRun') session.orderStop(effect.task, effect.run).catch(throwAsync)
    else if (effect.kind === 'paceRun') session.orderPace(effect.task, effect.run, effect.percent).catch(throwAsync)
    else if (effect.kind === 'startRun') session.orderStart(effect).catch(throwAsync)
  }

  private watch (worker: CalledWorker): void {
    const existing = this.sessions.get(worker.id)
    if (existing?.worker.incarnation === worker.incarnation) return
    existing?.stop()
    const { cell } = this
    const session = WorkerSession.create(worker, this.term, SimulatedWorkerClient.create(cell), { longestLeaseMs: 6_000, leaseMs: 4_000, clockDrift: 0.02, waitMs: 100, answerTimeoutMs: 300 }, {
      feed: event => { if (!this.isStopped) cell.feed(event) },
      clusterNow: () => cell.time.now,
      monotonicNow: () => cell.time.now,
      pause: ms => cell.time.pause(ms)
    })
    this.sessions.set(worker.id, session)
    session.run().catch(throwAsync)
  }
}

/** Calls simulated workers; requests and answers are delayed, lost or carried out late by the plan. */
class SimulatedWorkerClient extends WorkerClient {
  private constructor (private readonly cell: SimulatedCell) {
    super()
  }

  static create (cell: SimulatedCell): SimulatedWorkerClient {
    return new SimulatedWorkerClient(cell)
  }

  async start (worker: CalledWorker, order: StartOrder, timeoutMs: number): Promise<OrderAnswer> {
    return await this.call(worker, timeoutMs, model => model.start(order))
  }

  async stop (worker: CalledWorker, task: string, run: number, fence: number, timeoutMs: number): Promise<OrderAnswer> {
    return await this.call(worker, timeoutMs, model => model.stop(task, run, fence))
  }

  async list (worker: CalledWorker, order: ListOrder, timeoutMs: number): Promise<ListAnswer> {
    await this.cell.time.pause(order.waitMs)
    const answer = await this.call(worker, timeoutMs, model => model.list(order))
    return { running: [], ended: [], ...answer }
  }

  async pace (worker: CalledWorker, task: string, _run: number, percent: number, _fence: number, timeoutMs: number): Promise<OrderAnswer> {
    return await this.call(worker, timeoutMs, model => model.pace(task, percent))
  }

  close (): void {}

  private async call<A extends OrderAnswer> (worker: CalledWorker, timeoutMs: number, act: (model: CalledWorkerModel) => A): Promise<A | OrderAnswer> {
    const { cell } = this
    const { plan, time } = cell
    await time.pause(CALL_DELAY_MS + cell.drawInteger(CALL_DELAY_MS))
    const model = cell.workerModels.get(worker.id)
    if (model === undefined || model.isDisconnected || cell.drawChance(plan.lostRequests)) {
      await time.pause(timeoutMs)
      return { outcome: OrderOutcome.unknown }
    }
    if (model.facts.incarnation !== worker.incarnation) return { outcome: OrderOutcome.replaced }
    if (cell.drawChance(plan.lateOrders)) {
      time.after(2_000 + cell.drawInteger(10_000), () => { if (cell.workerModels.get(worker.id) === model) act(model) })
      await time.pause(timeoutMs)
      return { outcome: OrderOutcome.unknown }
    }
    const answer = act(model)
    if (cell.drawChance(plan.lostAnswers)) {
      await time.pause(timeoutMs)
      return { outcome: OrderOutcome.unknown }
    }
    await time.pause(CALL_DELAY_MS)
    return answer
  }
}

function throwAsync (thrown: unknown): void {
  setImmediate(() => { throw thrown })
}
