/**
 * The way from the leader to the simulated workers: real sessions, and a client
 * that makes calls lost, late, refused or carried out by another incarnation, as
 * the plan of the cell says.
 */

import {
  computeSessionFence, OrderDispatcher, WorkerClient, WorkerSession, type ListAnswer, type ListOrder, type OrderAnswer, type StartOrder, type WorkerEffect
} from '@flamingorouter/runtime'
import { OrderOutcome, type CalledWorker, type Event } from '@flamingorouter/scheduler'
import type { Arrival, CalledWorkerModel } from './called-worker-model.js'
import type { FaultPlan } from './fault-plan.js'
import type { VirtualTime } from './virtual-time.js'

/** Shortest time that a call to a worker, and its answer, take, in milliseconds. */
export const CALL_DELAY_MS = 3

/** Delay of an order that is carried out late: at least this time, and less than this time and the spread. */
const LATE_ORDER_MS = 2_000
const LATE_ORDER_SPREAD_MS = 10_000

export function formatWorkerAddress (host: string): string {
  return `${host}:1`
}

export function readHost ({ address }: CalledWorker): string {
  return address.slice(0, address.indexOf(':'))
}

/** The part of the simulated cell that carries orders. */
export interface OrderCarrier {
  readonly time: VirtualTime
  readonly plan: FaultPlan
  readonly workerModels: ReadonlyMap<string, CalledWorkerModel>
  drawInteger: (limit: number) => number
  drawChance: (perThousand: number) => boolean
  feed: (event: Event) => void
}

/** Dispatches orders to the simulated workers through real sessions, under the same conditions as `WorkerSessions`. */
export class SimulatedDispatcher extends OrderDispatcher {
  private readonly sessions = new Map<string, WorkerSession>()
  private sessionCount = 0
  private isStopped = false

  private constructor (private readonly cell: OrderCarrier, private readonly term: number) {
    super()
  }

  static create (cell: OrderCarrier, term: number): SimulatedDispatcher {
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
    const { id, incarnation } = 'worker' in effect ? effect.worker : effect
    const session = this.sessions.get(id)
    if (session?.worker.incarnation !== incarnation) return
    switch (effect.kind) {
      case 'unwatchWorker':
        session.stop()
        this.sessions.delete(id)
        return
      case 'ackEnds': return session.ack(effect.cursor)
      case 'stopRun': session.orderStop(effect.task, effect.run).catch(throwAsync); return
      case 'paceRun': session.orderPace(effect.task, effect.run, effect.percent).catch(throwAsync); return
      case 'startRun': session.orderStart(effect, effect.worker.capacity).catch(throwAsync)
    }
  }

  private watch (worker: CalledWorker): void {
    const existing = this.sessions.get(worker.id)
    if (existing?.worker.incarnation === worker.incarnation) {
      existing.worker = worker
      return
    }
    existing?.stop()
    const { cell } = this
    this.sessionCount += 1
    const session = WorkerSession.create(worker, computeSessionFence(this.term, this.sessionCount), SimulatedWorkerClient.create(cell), { longestLeaseMs: 6_000, leaseMs: 4_000, clockDrift: 0.02, waitMs: 100, answerTimeoutMs: 300 }, {
      feed: event => { if (!this.isStopped) cell.feed(event) },
      clusterNow: () => cell.time.now,
      monotonicNow: () => cell.time.now,
      pause: ms => cell.time.pause(ms)
    })
    this.sessions.set(worker.id, session)
    session.run().catch(throwAsync)
  }
}

/** Carries out an order on a worker. */
type Act<A> = (model: CalledWorkerModel, arrival: Arrival) => A

/** Calls simulated workers; requests and answers are delayed, lost or carried out late by the plan. */
class SimulatedWorkerClient extends WorkerClient {
  private constructor (private readonly cell: OrderCarrier) {
    super()
  }

  static create (cell: OrderCarrier): SimulatedWorkerClient {
    return new SimulatedWorkerClient(cell)
  }

  async start (worker: CalledWorker, order: StartOrder, timeoutMs: number): Promise<OrderAnswer> {
    return await this.call(worker, timeoutMs, (model, arrival) => model.start(order, arrival))
  }

  async stop (worker: CalledWorker, task: string, run: number, fence: number, timeoutMs: number): Promise<OrderAnswer> {
    return await this.call(worker, timeoutMs, model => model.stop(task, run, fence))
  }

  async list (worker: CalledWorker, order: ListOrder, timeoutMs: number): Promise<ListAnswer> {
    const isLongPoll = this.cell.plan.hasLongPolling === true
    if (!isLongPoll) await this.cell.time.pause(order.waitMs)
    const answer = await this.call(worker, timeoutMs, (model, arrival) => model.list(order, arrival), isLongPoll ? order.waitMs : 0, true)
    return { running: [], ended: [], isTruncated: true, ...answer }
  }

  async pace (worker: CalledWorker, task: string, run: number, percent: number, fence: number, timeoutMs: number): Promise<OrderAnswer> {
    return await this.call(worker, timeoutMs, model => model.pace(task, run, percent, fence))
  }

  close (): void {}

  /** Calls a worker; a list request waits there for an end, and only its answer names the incarnation (`isList`). */
  private async call<A extends OrderAnswer> (worker: CalledWorker, timeoutMs: number, act: Act<A>, waitMs = 0, isList = false): Promise<OrderAnswer> {
    const { cell } = this
    const { plan, time } = cell
    const deadline = time.now + timeoutMs
    await time.pause(CALL_DELAY_MS + cell.drawInteger(CALL_DELAY_MS) + this.drawJitter())
    const model = cell.workerModels.get(readHost(worker))
    if (model === undefined || model.isDisconnected || cell.drawChance(plan.lostRequests)) return await this.lose(worker, timeoutMs, act, model)
    const isReplaced = model.facts.incarnation !== worker.incarnation
    if (isReplaced && (plan.hasStrayCalls !== true || model.facts.id !== worker.id)) return { outcome: OrderOutcome.replaced }
    if (cell.drawChance(plan.lateOrders)) {
      this.carryOutLater(worker, act, model)
      return await this.timeOut(timeoutMs)
    }
    let answer: OrderAnswer = act(model, { delayMs: 0, incarnation: worker.incarnation })
    if (cell.drawChance(plan.lostAnswers)) return await this.timeOut(timeoutMs)
    if (waitMs > 0 && answer.outcome === OrderOutcome.done) {
      await model.waitForEnd(waitMs)
      if (model.isCrashed && !model.isDisconnected) return { outcome: OrderOutcome.unknown, isClosed: true }
      if (model.isDisconnected) return await this.timeOut(deadline - time.now)
      answer = model.createListAnswer()
    }
    const answerDelayMs = CALL_DELAY_MS + this.drawJitter()
    if (plan.jitterMs !== undefined && time.now + answerDelayMs > deadline) return await this.timeOut(deadline - time.now)
    await time.pause(answerDelayMs)
    return isReplaced && isList ? { outcome: OrderOutcome.restarted } : answer
  }

  /** Does not deliver a call, or delivers it seconds later to the worker that then has the id. */
  private async lose<A> (worker: CalledWorker, timeoutMs: number, act: Act<A>, model: CalledWorkerModel | undefined): Promise<OrderAnswer> {
    const { cell } = this
    const { plan, time } = cell
    const isUnreachable = model === undefined || model.isDisconnected
    if (isUnreachable && plan.refusedConnections !== undefined && cell.drawChance(plan.refusedConnections)) {
      await time.pause(CALL_DELAY_MS)
      return { outcome: OrderOutcome.unknown, isRefused: true }
    }
    if (plan.hasStrayLateOrders === true && cell.drawChance(plan.lateOrders)) this.carryOutLater(worker, act, model)
    return await this.timeOut(timeoutMs)
  }

  private carryOutLater<A> (worker: CalledWorker, act: Act<A>, model: CalledWorkerModel | undefined): void {
    const { cell } = this
    const delayMs = LATE_ORDER_MS + cell.drawInteger(LATE_ORDER_SPREAD_MS)
    cell.time.after(delayMs, () => {
      const current = cell.workerModels.get(readHost(worker))
      if (current === undefined || current.facts.id !== worker.id || (current !== model && !this.isStrayAllowed(current))) return
      act(current, { delayMs, incarnation: worker.incarnation })
    })
  }

  private isStrayAllowed (model: CalledWorkerModel): boolean {
    const { hasStrayLateOrders, isStrayAfterFirstList } = this.cell.plan
    return hasStrayLateOrders === true && (isStrayAfterFirstList !== true || model.isKnown)
  }

  private async timeOut (ms: number): Promise<OrderAnswer> {
    await this.cell.time.pause(ms)
    return { outcome: OrderOutcome.unknown }
  }

  private drawJitter (): number {
    const { jitterMs } = this.cell.plan
    return jitterMs === undefined ? 0 : this.cell.drawInteger(jitterMs + 1)
  }
}

function throwAsync (thrown: unknown): void {
  setImmediate(() => { throw thrown })
}
