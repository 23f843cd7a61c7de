/**
 * A leader with its log, real sessions and stand-in workers in virtual time. The
 * calls between them are lost, late or unanswered by a seeded plan; leaders are
 * replaced with decisions that are not committed yet; workers crash, are cut off
 * and come back. Nothing here decides: it carries, and checks the journals.
 */

import assert from 'node:assert/strict'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import {
  OrderCarrier, WorkerCaller, WorkerSession, type ListAnswer, type ListOrder, type OrderAnswer, type StartOrder, type WorkerEffect
} from '@flamingorouter/runtime'
import {
  applyDecision, createClusterState, isWaveOver, JobPhase, OrderOutcome, parseTaskRef, Scheduler, StagedJobs, UpkeepOutcome, type Answer, type CalledWorker, type CellConfiguration,
  type ClusterState, type Decision, type Effect, type Event, type JobSpec, type StageSpec
} from '@flamingorouter/scheduler'
import { createStage } from '../../../scheduler/__tests__/support/stages.js'
import { CalledVms, nameVm } from './called-vms.js'
import { CalledWorkerModel, stepOf, type Behaviour, type Interval } from './called-worker.js'
import { VirtualTime } from './virtual-time.js'

const COMMIT_MS = 12
const CALL_MS = 3
const TICK_MS = 60
const ADVISED_MS = 20
const TICKET_MS = 2_500
const UNANSWERED_MS = 500

/** Time in which a new cell has reached its workers. */
const FORMED_MS = 500

/** No call is lost or late. */
export const QUIET: Plan = Object.freeze({ seed: 1, workers: 6, lostRequests: 0, lostAnswers: 0, lateOrders: 0 })

export interface Plan {
  seed: number
  workers: number
  /** Shares of a thousand of the calls. */
  lostRequests: number
  lostAnswers: number
  lateOrders: number
  hasAdmission?: boolean
  /** Shares of a thousand of the orders to take a VM down. */
  lostUpkeep?: number
  lateUpkeep?: number
}

export function createConfiguration (hasAdmission: boolean, version = 1): CellConfiguration {
  const admission = hasAdmission ? { decideMs: ADVISED_MS, perWorkerMs: 0, validMs: TICKET_MS } : undefined
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

export class CalledCell {
  readonly time = VirtualTime.create()
  readonly journal: Interval[] = []
  readonly models = new Map<string, CalledWorkerModel>()
  readonly answers: Answer[] = []
  /** The durable state: what was committed. */
  readonly durable: ClusterState = createClusterState()
  scheduler!: Scheduler
  readonly vms: CalledVms
  private readonly random: RandomGenerator
  private readonly specs = new Map<string, JobSpec>()
  private term = 0
  private call = 0
  private commits = 0
  private carrier: ModelCarrier | undefined
  /** Decisions of the present leader that are on their way into the log. */
  private pending: Array<{ decisions: Decision[], effects: Effect[] }> = []
  private lives = 0

  private constructor (readonly plan: Plan) {
    this.random = xoroshiro128plus(plan.seed)
    const workers = Array.from({ length: plan.workers }, (_, index) => `worker-${index}`)
    this.vms = CalledVms.create(workers, {
      now: () => this.time.now,
      after: (ms, act) => { this.time.after(ms, act) },
      isWorkerUp: worker => this.models.has(worker),
      takeDown: (worker, ms) => { this.takeDown(worker, ms) }
    })
  }

  static create (plan: Plan): CalledCell {
    const cell = new CalledCell(plan)
    cell.lead()
    cell.feed({ kind: 'configureCell', call: 0, cell: createConfiguration(plan.hasAdmission === true) })
    cell.feed({ kind: 'advisorsChanged', entries: ['entry-1', 'entry-2'] })
    for (let index = 0; index < plan.workers; index++) cell.startWorker(`worker-${index}`)
    cell.tick()
    return cell
  }

  /** A cell that has reached its workers. */
  static async start (plan: Partial<Plan> = {}): Promise<CalledCell> {
    const cell = CalledCell.create({ ...QUIET, ...plan })
    await cell.time.runUntil(FORMED_MS)
    return cell
  }

  /** A number from 0 to below a limit. */
  pick (limit: number): number {
    return uniformInt(this.random, 0, limit - 1)
  }

  isChance (perThousand: number): boolean {
    return this.pick(1_000) < perThousand
  }

  /** Another leader takes over; what was not committed is lost. */
  lead (): void {
    this.carrier?.follow()
    this.pending = []
    this.term += 1
    const state = structuredClone(this.durable)
    this.scheduler = Scheduler.create([StagedJobs.create()], state)
    this.carrier = ModelCarrier.create(this, this.term)
    this.scheduler.lead(this.time.now)
    this.feed({ kind: 'advisorsChanged', entries: ['entry-1', 'entry-2'] })
  }

  feed (event: Event): void {
    const result = this.scheduler.handle(event, this.time.now)
    const { term } = this
    const immediate = result.effects.filter(({ kind }) => kind === 'askAdmission' || kind === 'listVms' || kind === 'watchWorker' || kind === 'unwatchWorker')
    const held = result.effects.filter(effect => !immediate.includes(effect))
    for (const effect of immediate) this.release(effect)
    if (result.decisions.length === 0 && held.length === 0) return
    this.pending.push({ decisions: structuredClone(result.decisions), effects: held })
    this.time.after(COMMIT_MS, () => {
      if (term !== this.term) return
      const step = this.pending.shift()
      for (const decision of step?.decisions ?? []) applyDecision(this.durable, decision)
      this.commits += 1
      for (const effect of step?.effects ?? []) this.release(effect)
    })
  }

  submit (id: string, queue: 'urgent' | 'bulk', stages: StageSpec[]): void {
    const spec = { payload: 'payload', stages }
    this.specs.set(id, spec)
    this.feed({ kind: 'acceptJob', call: ++this.call, host: 'jobs.example', path: `/${queue}/${id}`, spec })
  }

  cancel (id: string, queue: 'urgent' | 'bulk'): void {
    this.feed({ kind: 'cancelJob', call: ++this.call, host: 'jobs.example', path: `/${queue}/${id}` })
  }

  startWorker (id: string): void {
    this.lives += 1
    const facts: CalledWorker = {
      id,
      incarnation: this.lives,
      address: `${id}:1`,
      service: 'work',
      availabilityZone: 'zone',
      rack: 'rack',
      labels: [],
      capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
      isDraining: false,
      hasLeft: false
    }
    const speed = 0.98 + this.pick(3) / 100
    const peers = (): CalledWorkerModel[] => [...this.models.values()]
    const model = CalledWorkerModel.create(facts, this.time, this.journal, (task, run) => this.behave(task, run), peers, speed)
    this.models.set(id, model)
    this.report(model)
  }

  crashWorker (id: string): void {
    this.takeDown(id, 1_000 + this.pick(2_000))
  }

  private takeDown (id: string, ms: number): void {
    // One that is down already comes back once.
    if (!this.models.has(id)) return
    this.models.get(id)?.crash()
    this.models.delete(id)
    this.time.after(ms, () => { this.startWorker(id) })
  }

  /** Starts a wave of upkeep over all VMs. */
  startWave (cap: number, durationMs: number): void {
    this.feed({ kind: 'startUpkeepWave', call: ++this.call, id: 1, vms: [...this.models.keys()].map(nameVm), cap, durationMs })
  }

  isWaveOver (): boolean {
    const wave = this.durable.upkeepWaves.get(1)
    return wave !== undefined && isWaveOver(wave)
  }

  phaseOf (id: string): JobPhase | undefined {
    return this.durable.jobs.get(id)?.phase
  }

  /** Nothing passes between the leader and a worker from now on. */
  cut (worker: string): void {
    const model = this.models.get(worker)
    if (model !== undefined) model.isCut = true
  }

  /** The promises hold, and these jobs have completed. */
  assertCompleted (ids: readonly string[]): void {
    this.check()
    for (const id of ids) assert.equal(this.phaseOf(id), 'completed', id)
  }

  /** Checks what every worker wrote down against the promises. */
  check (): void {
    this.checkOverlaps()
    this.checkOrder()
    this.checkCapacity()
  }

  private checkOverlaps (): void {
    const byTask = new Map<string, Interval[]>()
    for (const interval of this.journal) byTask.set(interval.task, [...byTask.get(interval.task) ?? [], interval])
    for (const [task, intervals] of byTask) {
      intervals.sort((one, other) => one.from - other.from)
      intervals.forEach((interval, index) => {
        const next = intervals[index + 1]
        if (next === undefined) return
        assert.ok(interval.to <= next.from, `seed ${this.plan.seed}: ${task} ran twice: ${describe(interval)} and ${describe(next)}`)
      })
    }
  }

  private checkOrder (): void {
    for (const interval of this.journal) {
      const ref = parseTaskRef(interval.task)
      const spec = ref === undefined ? undefined : this.specs.get(ref.job)
      if (ref === undefined || spec === undefined) continue
      for (const before of spec.stages[ref.stage].dependsOn) {
        for (let index = 0; index < spec.stages[before].taskCount; index++) {
          const name = `${ref.job}/${ref.occurrence}/${before}/${index}`
          const done = this.journal.some(other => other.task === name && other.how === 'done' && other.to <= interval.from)
          assert.ok(done, `seed ${this.plan.seed}: ${interval.task} started before ${name} was done`)
        }
      }
    }
  }

  private checkCapacity (): void {
    const workers = new Set(this.journal.map(({ worker }) => worker))
    for (const worker of workers) {
      const intervals = this.journal.filter(interval => interval.worker === worker)
      for (const { from } of intervals) {
        const used = intervals.filter(other => other.from <= from && other.to > from).reduce((sum, other) => sum + other.resources.millicores, 0)
        assert.ok(used <= 16_000, `seed ${this.plan.seed}: ${worker} held ${used} millicores at ${from}`)
      }
    }
  }

  private behave (task: string, run: number): Behaviour {
    const ref = parseTaskRef(task)
    const stage = this.specs.get(ref?.job ?? '')?.stages[ref?.stage ?? 0] ?? createStage()
    const isPoison = ref?.job.startsWith('poison') === true
    const fails = isPoison || (!stage.gang && run === 1 && (ref?.index ?? 0) % 7 === 6)
    const durationMs = stage.estimateMs / 2 + this.pick(stage.estimateMs)
    const { longRunning, fills, targetMs } = stage
    return { resources: stage.resources, durationMs: longRunning ? Infinity : durationMs, fails, gang: stage.gang ? stepOf(task) : '', gangSize: stage.taskCount, fills, targetMs }
  }

  private tick (): void {
    this.time.after(TICK_MS, () => {
      this.feed({ kind: 'tick' })
      this.tick()
    })
  }

  private report (model: CalledWorkerModel): void {
    if (this.models.get(model.facts.id) !== model) return
    if (!model.isCut) this.feed({ kind: 'workerReported', call: ++this.call, worker: model.facts })
    this.time.after(1_500, () => { this.report(model) })
  }

  private orderUpkeep (wave: number, vm: string): void {
    const { term, plan } = this
    const answer = (outcome: UpkeepOutcome, ms: number): void => {
      this.time.after(ms, () => { if (term === this.term) this.feed({ kind: 'upkeepOrdered', wave, vm, outcome }) })
    }
    if (this.isChance(plan.lostUpkeep ?? 0)) return answer(UpkeepOutcome.unknown, UNANSWERED_MS)
    if (this.isChance(plan.lateUpkeep ?? 0)) {
      this.time.after(2_000 + this.pick(10_000), () => { this.vms.order(vm, term) })
      return answer(UpkeepOutcome.unknown, UNANSWERED_MS)
    }
    answer(this.vms.order(vm, term), CALL_MS)
  }

  private release (effect: Effect): void {
    if (effect.kind === 'reply') {
      this.answers.push(effect.answer)
    } else if (effect.kind === 'askAdmission') {
      const { entry, stage, workers } = effect
      const { term } = this
      const askedAt = this.time.now
      const tickets = workers.filter((_worker, index) => index % 2 === 0).map(worker => ({ worker, ticket: `${stage}@${worker}` }))
      this.time.after(ADVISED_MS, () => {
        if (term === this.term) this.feed({ kind: 'admissionAnswered', entry, stage, workers, tickets, askedAt, isAnswered: true })
      })
    } else if (effect.kind === 'listVms') {
      const { term } = this
      const sentAt = this.time.now
      this.time.after(ADVISED_MS, () => { if (term === this.term) this.feed({ kind: 'vmsListed', vms: this.vms.list(), sentAt }) })
    } else if (effect.kind === 'orderUpkeep') {
      this.orderUpkeep(effect.wave, effect.vm)
    } else if (effect.kind !== 'refuse' && effect.kind !== 'command') {
      this.carrier?.carry(effect)
    }
  }
}

function describe ({ worker, run, from, to, how }: Interval): string {
  return `run ${run} on ${worker} from ${from} to ${to} (${how})`
}

/** Carries orders to the models, with the faults of the plan. */
class ModelCarrier extends OrderCarrier {
  private readonly sessions = new Map<string, WorkerSession>()
  private isOver = false

  private constructor (private readonly cell: CalledCell, private readonly term: number) {
    super()
  }

  static create (cell: CalledCell, term: number): ModelCarrier {
    return new ModelCarrier(cell, term)
  }

  override lead (): void {}

  override follow (): void {
    this.isOver = true
    for (const session of this.sessions.values()) session.stop()
  }

  override carry (effect: WorkerEffect): void {
    if (this.isOver) return
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
    else if (effect.kind === 'stopRun') session.orderStop(effect.task, effect.run).catch(raise)
    else if (effect.kind === 'paceRun') session.pace(effect.task, effect.run, effect.percent).catch(raise)
    else if (effect.kind === 'startRun') session.start(effect).catch(raise)
  }

  private watch (worker: CalledWorker): void {
    const known = this.sessions.get(worker.id)
    if (known?.worker.incarnation === worker.incarnation) return
    known?.stop()
    const { cell } = this
    const session = WorkerSession.create(worker, this.term, ModelCaller.create(cell), { longestLeaseMs: 6_000, leaseMs: 4_000, clockDrift: 0.02, waitMs: 100, answerMs: 300 }, {
      feed: event => { if (!this.isOver) cell.feed(event) },
      clusterNow: () => cell.time.now,
      monotonicNow: () => cell.time.now,
      pause: ms => cell.time.pause(ms)
    })
    this.sessions.set(worker.id, session)
    session.run().catch(raise)
  }
}

class ModelCaller extends WorkerCaller {
  private constructor (private readonly cell: CalledCell) {
    super()
  }

  static create (cell: CalledCell): ModelCaller {
    return new ModelCaller(cell)
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
    await time.pause(CALL_MS + cell.pick(CALL_MS))
    const model = cell.models.get(worker.id)
    if (model === undefined || model.isCut || cell.isChance(plan.lostRequests)) {
      await time.pause(timeoutMs)
      return { outcome: OrderOutcome.unknown }
    }
    if (model.facts.incarnation !== worker.incarnation) return { outcome: OrderOutcome.replaced }
    if (cell.isChance(plan.lateOrders)) {
      time.after(2_000 + cell.pick(10_000), () => { if (cell.models.get(worker.id) === model) act(model) })
      await time.pause(timeoutMs)
      return { outcome: OrderOutcome.unknown }
    }
    const answer = act(model)
    if (cell.isChance(plan.lostAnswers)) {
      await time.pause(timeoutMs)
      return { outcome: OrderOutcome.unknown }
    }
    await time.pause(CALL_MS)
    return answer
  }
}

function raise (thrown: unknown): void {
  setImmediate(() => { throw thrown })
}
