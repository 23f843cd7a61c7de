/**
 * The leader's sessions with all called workers, by worker id.
 */

import type { CalledWorker, Event } from '@flamingorouter/scheduler'
import { clusterNow, monotonicNow } from './clock.js'
import { OrderDispatcher, type RecordWork, type WorkerEffect } from './order-dispatcher.js'
import type { RuntimeLog } from './runtime-log.js'
import { SlicedQueue } from './sliced-queue.js'
import { computeSessionFence, WorkerSession, type LeaseLimits, type SessionOwner, type WorkerClient } from './worker-session.js'

/**
 * Time for which orders are sent in one turn of the event loop, in milliseconds: below a heartbeat interval of the replicas,
 * and long enough that a process whose turns are slow still sends as much as it decides.
 */
const ORDER_SLICE_MS = 40

/**
 * Time for which sessions are established in one turn, in milliseconds. A new leader establishes all of them before leases
 * lapse; between two slices, workers that have answered get work, and calls are accepted.
 */
const SESSION_SLICE_MS = 30

/** Number of orders that wait to be sent from which no more work is placed; sending them takes about one slice. */
const BACKLOG_LIMIT = 100

/** Number of waiting orders at which work is placed again; hysteresis avoids a report for each order. */
const BACKLOG_END = 20

export class WorkerSessions extends OrderDispatcher {
  private readonly sessions = new Map<string, WorkerSession>()
  /** The term in which this process leads. */
  private term = 0
  /** Number of sessions in this term. */
  private sessionCount = 0
  private owner: SessionOwner | undefined
  private recordWork: RecordWork | undefined
  /** True once the scheduler was told that orders wait to be sent. */
  private isBacklogged = false
  /** A pass may order hundreds of starts. */
  private readonly orders = this.createQueue(ORDER_SLICE_MS)
  /** Sessions that begin and end, and orders that depend on one that is still to begin. */
  private readonly sessionChanges = this.createQueue(SESSION_SLICE_MS)

  private constructor (
    private readonly client: WorkerClient,
    private readonly limits: LeaseLimits,
    private readonly log: RuntimeLog
  ) {
    super()
  }

  static create (client: WorkerClient, limits: LeaseLimits, log: RuntimeLog): WorkerSessions {
    return new WorkerSessions(client, limits, log)
  }

  override startLeading (term: number, feed: (event: Event) => void, recordWork?: RecordWork): void {
    this.stopLeading()
    this.recordWork = recordWork
    this.term = term
    this.sessionCount = 0
    this.owner = { feed, clusterNow, monotonicNow, pause }
  }

  override stopLeading (): void {
    for (const session of this.sessions.values()) session.stop()
    this.sessions.clear()
    this.orders.clear()
    this.sessionChanges.clear()
    this.isBacklogged = false
    this.owner = undefined
  }

  override dispatch (effect: WorkerEffect): void {
    if (this.changesSession(effect)) return this.sessionChanges.push(effect)
    this.orders.push(effect)
    this.reportBacklog()
  }

  private createQueue (sliceMs: number): SlicedQueue<WorkerEffect> {
    return SlicedQueue.create<WorkerEffect>({
      carryOut: effect => { this.carryOut(effect) },
      sliceMs,
      now: monotonicNow,
      recordTurn: spentMs => { this.recordWork?.('sendOrders', spentMs) },
      defer: run => setImmediate(() => {
        run()
        this.reportBacklog()
      })
    })
  }

  /** True for an effect that begins or ends a session, and for an order to a worker whose session may still be to begin. */
  private changesSession (effect: WorkerEffect): boolean {
    if (effect.kind === 'watchWorker' || effect.kind === 'unwatchWorker') return true
    if (this.sessionChanges.length === 0) return false
    const [id, incarnation] = effect.kind === 'ackEnds' ? [effect.id, effect.incarnation] : [effect.worker.id, effect.worker.incarnation]
    return this.sessions.get(id)?.worker.incarnation !== incarnation
  }

  private reportBacklog (): void {
    const { length } = this.orders
    const isBacklogged = this.isBacklogged ? length > BACKLOG_END : length >= BACKLOG_LIMIT
    if (isBacklogged === this.isBacklogged) return
    this.isBacklogged = isBacklogged
    this.owner?.feed({ kind: 'orderBacklogChanged', isBacklogged })
  }

  private carryOut (effect: WorkerEffect): void {
    if (effect.kind === 'watchWorker') return this.startSession(effect.worker)
    if (effect.kind === 'unwatchWorker') return this.endSession(effect.id, effect.incarnation)
    if (effect.kind === 'ackEnds') {
      const session = this.sessions.get(effect.id)
      if (session?.worker.incarnation === effect.incarnation) session.ack(effect.cursor)
      return
    }
    const session = this.sessions.get(effect.worker.id)
    if (session?.worker.incarnation !== effect.worker.incarnation) return
    this.sendOrder(session, effect).catch((thrown: unknown) => {
      this.log.error('order_failed', { worker: effect.worker.id, task: effect.task, run: effect.run, error: String(thrown) })
    })
  }

  private async sendOrder (session: WorkerSession, effect: Extract<WorkerEffect, { task: string }>): Promise<void> {
    if (effect.kind === 'stopRun') return await session.orderStop(effect.task, effect.run)
    if (effect.kind === 'paceRun') return await session.orderPace(effect.task, effect.run, effect.percent)
    const { task, run, payload, checkpoint, ticket } = effect
    await session.orderStart({ task, run, payload, checkpoint, ticket }, effect.worker.capacity)
  }

  private startSession (worker: CalledWorker): void {
    const { owner } = this
    if (owner === undefined) return
    const existing = this.sessions.get(worker.id)
    if (existing !== undefined && existing.worker.incarnation === worker.incarnation) {
      existing.worker = worker
      return
    }
    existing?.stop()
    if (existing !== undefined) this.client.close(existing.worker)
    this.sessionCount += 1
    const session = WorkerSession.create(worker, computeSessionFence(this.term, this.sessionCount), this.client, this.limits, owner)
    this.sessions.set(worker.id, session)
    session.run().catch((thrown: unknown) => {
      this.log.error('session_failed', { worker: worker.id, incarnation: worker.incarnation, error: String(thrown) })
    })
  }

  private endSession (id: string, incarnation: number): void {
    const session = this.sessions.get(id)
    if (session?.worker.incarnation !== incarnation) return
    session.stop()
    this.sessions.delete(id)
    this.client.close(session.worker)
  }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
