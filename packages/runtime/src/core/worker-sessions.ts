/**
 * The leader's sessions with all called workers, by worker id.
 */

import type { CalledWorker, Event } from '@flamingorouter/scheduler'
import { clusterNow, monotonicNow } from './clock.js'
import { OrderDispatcher, type WorkerEffect } from './order-dispatcher.js'
import type { RuntimeLog } from './runtime-log.js'
import { SlicedQueue } from './sliced-queue.js'
import { computeSessionFence, WorkerSession, type LeaseLimits, type SessionOwner, type WorkerClient } from './worker-session.js'

/** Number of effects that wait to be carried out from which no more work is placed; sending them takes about one slice. */
const BACKLOG_LIMIT = 100

/** Number of waiting effects at which work is placed again; hysteresis avoids a report for each effect. */
const BACKLOG_END = 20

export class WorkerSessions extends OrderDispatcher {
  private readonly sessions = new Map<string, WorkerSession>()
  /** The term in which this process leads. */
  private term = 0
  /** Number of sessions in this term. */
  private sessionCount = 0
  private owner: SessionOwner | undefined
  /** True once the scheduler was told that effects wait to be carried out. */
  private isBacklogged = false
  /** A new leader establishes all sessions at once, and a pass may order hundreds of starts. */
  private readonly effects = SlicedQueue.create<WorkerEffect>({
    carryOut: effect => { this.carryOut(effect) },
    now: monotonicNow,
    defer: run => setImmediate(() => {
      run()
      this.reportBacklog()
    })
  })

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

  override startLeading (term: number, feed: (event: Event) => void): void {
    this.stopLeading()
    this.term = term
    this.sessionCount = 0
    this.owner = { feed, clusterNow, monotonicNow, pause }
  }

  override stopLeading (): void {
    for (const session of this.sessions.values()) session.stop()
    this.sessions.clear()
    this.effects.clear()
    this.isBacklogged = false
    this.owner = undefined
  }

  override dispatch (effect: WorkerEffect): void {
    this.effects.push(effect)
    this.reportBacklog()
  }

  private reportBacklog (): void {
    const { length } = this.effects
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
    await session.orderStart({ task, run, payload, checkpoint, ticket })
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
