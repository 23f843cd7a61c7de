/**
 * A simulated called worker: one life of a process that keeps the highest fence and
 * a lease on its own slow clock, numbers the ends of its runs, and writes a journal
 * that the tests check. Unless the plan makes it check its capacity, it starts what
 * it is told to start, so that violations by the scheduler appear in the journal.
 */

import type { ListAnswer, ListOrder, OrderAnswer, StartOrder } from '@flamingorouter/runtime'
import { OrderOutcome, RunEndCause, type CalledWorker, type EndedRun, type Resources, type ReportedRun } from '@flamingorouter/scheduler'
import type { FaultPlan } from './fault-plan.js'
import { formatStageId, type RunInterval } from './run-journal.js'
import type { VirtualTime } from './virtual-time.js'

interface ActiveRun { task: string, run: number, interval: RunInterval, gang: string, durationMs: number, fails: boolean, fills: boolean, targetMs: number, pace: number }

/** A capacity of a worker, and the virtual time from which it holds, in milliseconds. */
export interface CapacityChange { at: number, capacity: Resources }

interface UnacknowledgedEnd { end: EndedRun, interval: RunInterval }

/** The simulated behaviour of a task while it runs. */
export interface TaskBehaviour { resources: Resources, durationMs: number, fails: boolean, gang: string, gangSize: number, fills: boolean, targetMs: number, crashesWorker: boolean }

/** The part of the simulated cell that a worker uses. */
export interface WorkerSurroundings {
  time: VirtualTime
  plan: FaultPlan
  journal: RunInterval[]
  createBehaviour: (task: string, run: number) => TaskBehaviour
  /** All workers that are up, including this one. */
  peers: () => CalledWorkerModel[]
  /** Draws an integer from 0 up to, but not including, a limit. */
  drawInteger: (limit: number) => number
  /** Ends the process of a worker, which starts again later. */
  crash: (model: CalledWorkerModel) => void
}

/** Longest lease that the worker accepts, in milliseconds of its clock. */
const LONGEST_LEASE_MS = 6_000

/** Time after which a member of an incomplete gang ends, in milliseconds. */
const GANG_TIMEOUT_MS = 3_000

/** Time after which the other members of a gang end once one of them has ended, in milliseconds. */
const GANG_BREAK_MS = 50

/** Time from the start of a long-running task until it reports full progress, in milliseconds. */
const STARTUP_MS = 500

/** Time that a run takes to stop if the plan sets no limit, in milliseconds. */
const STOP_MS = 100

/** Time from the start of a deadly task to the crash of its worker, in milliseconds. */
const DEADLY_MS = 10

/** Cause of the end of a run whose worker crashed. */
export const CRASHED_END = 'crashed'

/** Cause of the end of a run that crashed its worker. */
export const DEADLY_END = 'crashed its worker'

/** Maximum number of ends in one list if the plan sets no limit. */
const LISTED_END_LIMIT = 500

/** How an order arrives at a worker: how late, and for which incarnation it was meant. */
export interface Arrival { delayMs: number, incarnation: number }

/** Formats a ticket of the simulated admission service, which names the life of the worker and the end of its validity. */
export function formatTicket (stage: string, worker: string, incarnation: number, validUntil: number): string {
  return [stage, worker, incarnation, validUntil].join('@')
}

export class CalledWorkerModel {
  /** True while all messages between the leader and this worker are dropped. */
  isDisconnected = false
  /** True if the worker answers but none of its runs makes progress. */
  isHung = false
  isCrashed = false
  /** True once a list request that was meant for this life of the process was carried out. */
  isKnown = false
  private fence = 0
  private leaseUntil = 0
  /** Virtual time at which the lease last lapsed. */
  private lapsedAt = -Infinity
  private lastEndNumber = 0
  private readonly activeRuns = new Map<string, ActiveRun>()
  private readonly highestClosedRuns = new Map<string, number>()
  private unacknowledgedEnds: UnacknowledgedEnd[] = []
  /** Resolve the list requests that wait for an end. */
  private waiting: Array<() => void> = []
  private readonly startedAt: number
  /** Its capacities, each with the virtual time from which it holds. */
  readonly capacities: CapacityChange[]
  private sequence = 0

  private constructor (
    readonly facts: CalledWorker,
    private readonly surroundings: WorkerSurroundings,
    /** Rate of the worker's clock relative to virtual time. */
    private readonly speed: number
  ) {
    this.startedAt = surroundings.time.now
    this.capacities = [{ at: this.startedAt, capacity: facts.capacity }]
  }

  static create (facts: CalledWorker, surroundings: WorkerSurroundings, speed: number): CalledWorkerModel {
    return new CalledWorkerModel(facts, surroundings, speed)
  }

  get capacity (): Resources {
    return this.capacities[this.capacities.length - 1].capacity
  }

  /** Shrinks or grows its capacity; what runs already goes on. */
  setCapacity (capacity: Resources): void {
    this.capacities.push({ at: this.now, capacity })
  }

  /** What it says of itself now. */
  createReport (): CalledWorker {
    this.sequence += 1
    return { ...this.facts, capacity: this.capacity, sequence: this.sequence }
  }

  get clockMs (): number {
    return Math.floor(1_000 + (this.now - this.startedAt) * this.speed)
  }

  start (order: StartOrder, arrival: Arrival): OrderAnswer {
    this.expireLease()
    const { task, run, fence } = order
    if (this.isUnhealthy()) return this.createAnswer(OrderOutcome.unhealthy)
    if (fence < this.fence) return this.createAnswer(OrderOutcome.fenced)
    this.fence = fence
    const untilMs = this.shiftLease(order.untilMs, arrival)
    const active = this.activeRuns.get(task)
    if (active?.run === run) {
      this.extendLease(untilMs)
      return this.createAnswer(OrderOutcome.done)
    }
    if (run <= (this.highestClosedRuns.get(task) ?? 0) || active !== undefined) {
      this.extendLease(untilMs)
      return this.createAnswer(OrderOutcome.superseded)
    }
    if (untilMs <= this.clockMs) return this.createAnswer(OrderOutcome.late)
    if (!this.isTicketValid(order)) return this.createAnswer(OrderOutcome.noTicket)
    this.extendLease(untilMs)
    const behaviour = this.surroundings.createBehaviour(task, run)
    if (!this.hasRoom(behaviour.resources)) return this.createAnswer(OrderOutcome.noRoom)
    this.beginRun(task, run, behaviour, this.describeArrival(arrival))
    return this.createAnswer(OrderOutcome.done)
  }

  stop (task: string, run: number, fence: number): OrderAnswer {
    this.expireLease()
    if (fence < this.fence) return this.createAnswer(OrderOutcome.fenced)
    this.fence = fence
    this.highestClosedRuns.set(task, Math.max(run, this.highestClosedRuns.get(task) ?? 0))
    const active = this.activeRuns.get(task)
    const { time, plan, drawInteger } = this.surroundings
    const stopMs = plan.stopMs === undefined ? STOP_MS : 1 + drawInteger(plan.stopMs)
    if (active !== undefined && active.run <= run) time.after(stopMs, () => { this.endRun(active, RunEndCause.stopped) })
    return this.createAnswer(OrderOutcome.done)
  }

  /** Carries out a list request, and returns the answer that is sent if it does not wait. */
  list (order: ListOrder, arrival: Arrival): ListAnswer {
    this.expireLease()
    if (arrival.incarnation === this.facts.incarnation) this.isKnown = true
    if (order.fence < this.fence) return { ...this.createAnswer(OrderOutcome.fenced), running: [], ended: [], isTruncated: true }
    this.fence = order.fence
    this.acknowledge(order.cursor)
    if (order.untilMs !== undefined) this.extendLease(this.shiftLease(order.untilMs, arrival))
    return this.createListAnswer()
  }

  /** Waits until a run has ended that is not acknowledged, or the process ends, but no longer than `waitMs`. */
  async waitForEnd (waitMs: number): Promise<void> {
    if (this.unacknowledgedEnds.length > 0) return
    await new Promise<void>(resolve => {
      this.waiting.push(resolve)
      this.surroundings.time.after(waitMs, resolve)
    })
  }

  createListAnswer (): ListAnswer {
    this.expireLease()
    const running = [...this.activeRuns.values()].map(active => this.createReportedRun(active))
    const limit = this.surroundings.plan.listedEnds ?? LISTED_END_LIMIT
    const ended = this.unacknowledgedEnds.slice(0, limit).map(({ end }) => end)
    return { ...this.createAnswer(OrderOutcome.done), running, ended, isTruncated: ended.length >= limit }
  }

  pace (task: string, run: number, percent: number, fence: number): OrderAnswer {
    this.expireLease()
    if (fence < this.fence) return this.createAnswer(OrderOutcome.fenced)
    this.fence = fence
    const active = this.activeRuns.get(task)
    if (active?.run === run) active.pace = percent
    return this.createAnswer(OrderOutcome.done)
  }

  /** Tail latency of a serving task on this worker, as a share of its target; each best-effort task at full pace adds a third. */
  get tailLatencyShare (): number {
    return [...this.activeRuns.values()].reduce((sum, { fills, pace }) => sum + (fills ? pace / 300 : 0), 0.5)
  }

  /** Ends the worker process and all of its runs; their ends are not reported. */
  crash (): void {
    this.isCrashed = true
    for (const active of [...this.activeRuns.values()]) this.endRun(active, CRASHED_END)
    this.resolveWaiting()
  }

  findActiveRun (gang: string): ActiveRun | undefined {
    return [...this.activeRuns.values()].find(active => active.gang === gang)
  }

  countGangMembers (gang: string, run: number): number {
    return [...this.activeRuns.values()].filter(active => active.gang === gang && active.run === run).length
  }

  /** Ends the members of a gang run on this worker, either with a common cause or each with its own result. */
  endGangMembers (gang: string, run: number, getCause: (fails: boolean) => RunEndCause | undefined): void {
    for (const active of [...this.activeRuns.values()]) {
      if (active.gang !== gang || active.run !== run) continue
      const cause = getCause(active.fails)
      if (cause !== undefined) this.endRun(active, cause)
    }
  }

  hasFailingGangMember (gang: string, run: number): boolean {
    return [...this.activeRuns.values()].some(active => active.gang === gang && active.run === run && active.fails)
  }

  private get now (): number {
    return this.surroundings.time.now
  }

  private describeArrival ({ delayMs, incarnation }: Arrival): string {
    const late = delayMs > 0 ? `, carried out ${delayMs} ms late` : ''
    if (incarnation === this.facts.incarnation) return late
    return `${late}, ordered from #${incarnation} ${this.isKnown ? 'after' : 'before'} the first list request to its worker`
  }

  private createAnswer (outcome: OrderOutcome): OrderAnswer {
    return { outcome, clockMs: this.clockMs }
  }

  private createReportedRun ({ task, run, interval, durationMs, targetMs }: ActiveRun): ReportedRun {
    const load = Math.round(targetMs * this.tailLatencyShare)
    if (durationMs === Infinity) return { task, run, checkpoint: '', percent: this.now - interval.from > STARTUP_MS ? 100 : 0, load }
    const percent = this.isHung ? 0 : Math.min(99, Math.floor((this.now - interval.from) * 100 / durationMs))
    return { task, run, checkpoint: '', percent, load }
  }

  private isUnhealthy (): boolean {
    const { plan, drawInteger } = this.surroundings
    return plan.unhealthyStarts !== undefined && drawInteger(1_000) < plan.unhealthyStarts
  }

  /** A ticket is valid for its stage, in this life of the worker, and for a limited time. */
  private isTicketValid ({ task, ticket }: StartOrder): boolean {
    const { hasTicketCheck, hasAdmission } = this.surroundings.plan
    if (hasTicketCheck !== true || hasAdmission !== true) return true
    const [stage, worker, incarnation, validUntil] = ticket.split('@')
    const { id, incarnation: own } = this.facts
    return stage === formatStageId(task) && worker === id && Number(incarnation) === own && this.now < Number(validUntil)
  }

  private hasRoom ({ millicores, memoryMib }: Resources): boolean {
    if (this.surroundings.plan.hasRoomCheck !== true) return true
    const active = [...this.activeRuns.values()].map(({ interval }) => interval.resources)
    const usedMillicores = active.reduce((sum, resources) => sum + resources.millicores, 0)
    const usedMemoryMib = active.reduce((sum, resources) => sum + resources.memoryMib, 0)
    const { capacity } = this
    return usedMillicores + millicores <= capacity.millicores && usedMemoryMib + memoryMib <= capacity.memoryMib
  }

  private beginRun (task: string, run: number, behaviour: TaskBehaviour, origin: string): void {
    const { resources, durationMs, fails, gang, gangSize, fills, targetMs, crashesWorker } = behaviour
    const { time, peers, journal } = this.surroundings
    const worker = `${this.facts.id}#${this.facts.incarnation}`
    const interval: RunInterval = { task, run, worker, from: this.now, to: Infinity, endCause: '', resources, isAcknowledged: false, origin }
    const active: ActiveRun = { task, run, interval, gang, durationMs, fails, fills, targetMs, pace: 100 }
    this.activeRuns.set(task, active)
    journal.push(interval)
    if (crashesWorker) time.after(DEADLY_MS, () => { this.endDeadly(active) })
    if (durationMs === Infinity) return
    if (gang === '') {
      time.after(durationMs, () => { if (!this.isHung) this.endRun(active, fails ? RunEndCause.failed : RunEndCause.done) })
      return
    }
    const hasAllMembers = (): boolean => peers().reduce((sum, peer) => sum + peer.countGangMembers(gang, run), 0) === gangSize
    if (hasAllMembers()) {
      time.after(durationMs, () => {
        if (!hasAllMembers()) return
        const isFailing = peers().some(peer => peer.hasFailingGangMember(gang, run))
        const getCause = (memberFails: boolean): RunEndCause | undefined => isFailing ? (memberFails ? RunEndCause.failed : undefined) : RunEndCause.done
        for (const peer of peers()) peer.endGangMembers(gang, run, getCause)
      })
    }
    time.after(GANG_TIMEOUT_MS, () => { if (this.activeRuns.get(task) === active && !hasAllMembers()) this.endRun(active, RunEndCause.alone) })
  }

  private endDeadly (active: ActiveRun): void {
    if (this.activeRuns.get(active.task) !== active) return
    this.endRun(active, DEADLY_END)
    this.surroundings.crash(this)
  }

  private endRun (active: ActiveRun, cause: string): void {
    if (this.activeRuns.get(active.task) !== active) return
    this.activeRuns.delete(active.task)
    this.highestClosedRuns.set(active.task, Math.max(active.run, this.highestClosedRuns.get(active.task) ?? 0))
    active.interval.to = this.now
    active.interval.endCause = cause
    if (cause !== RunEndCause.done) this.breakGang(active)
    if (cause === CRASHED_END || cause === DEADLY_END) return
    this.lastEndNumber += 1
    const end = { number: this.lastEndNumber, task: active.task, run: active.run, cause: cause as RunEndCause, checkpoint: '' }
    this.unacknowledgedEnds.push({ end, interval: active.interval })
    this.resolveWaiting()
  }

  private breakGang ({ gang, run }: ActiveRun): void {
    const { plan, time, peers } = this.surroundings
    if (gang === '' || plan.hasGangBreaks !== true) return
    time.after(GANG_BREAK_MS, () => {
      for (const peer of peers()) peer.endGangMembers(gang, run, () => RunEndCause.broken)
    })
  }

  private acknowledge (cursor: number): void {
    for (const { end, interval } of this.unacknowledgedEnds) {
      if (end.number <= cursor && this.lapsedAt <= interval.to) interval.isAcknowledged = true
    }
    this.unacknowledgedEnds = this.unacknowledgedEnds.filter(({ end }) => end.number > cursor)
  }

  private resolveWaiting (): void {
    for (const resolve of this.waiting.splice(0)) resolve()
  }

  /** The end of the lease that a late order requests, in milliseconds on this worker's clock. */
  private shiftLease (untilMs: number, { delayMs }: Arrival): number {
    return this.surroundings.plan.hasLateLeases === true ? Math.floor(untilMs + delayMs * this.speed) : untilMs
  }

  private extendLease (untilMs: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clockMs + LONGEST_LEASE_MS))
    this.surroundings.time.after((this.leaseUntil - this.clockMs) / this.speed + 1, () => { this.expireLease() })
  }

  private expireLease (): void {
    if (this.clockMs < this.leaseUntil || this.isCrashed) return
    // Only the first call after the end of a lease finds it lapsed; a later one ends nothing.
    const endedAt = this.startedAt + (this.leaseUntil - 1_000) / this.speed
    if (this.leaseUntil > 0) this.lapsedAt = Math.max(this.lapsedAt, endedAt)
    for (const active of [...this.activeRuns.values()]) this.endRun(active, RunEndCause.lapsed)
  }
}
