/**
 * The sessions of a leader with all workers that it calls.
 */

import type { CalledWorker, Event } from '@flamingorouter/scheduler'
import { clusterNow, monotonicNow } from './clock.js'
import { OrderCarrier, type WorkerEffect } from './order-carrier.js'
import type { RuntimeLog } from './runtime-log.js'
import { WorkerSession, type LeaseLimits, type SessionOwner, type WorkerCaller } from './worker-session.js'

export class WorkerSessions extends OrderCarrier {
  private readonly sessions = new Map<string, WorkerSession>()
  private fence = 0
  private owner: SessionOwner | undefined

  private constructor (
    private readonly caller: WorkerCaller,
    private readonly limits: LeaseLimits,
    private readonly log: RuntimeLog
  ) {
    super()
  }

  static create (caller: WorkerCaller, limits: LeaseLimits, log: RuntimeLog): WorkerSessions {
    return new WorkerSessions(caller, limits, log)
  }

  override lead (term: number, feed: (event: Event) => void): void {
    this.follow()
    this.fence = term
    this.owner = { feed, clusterNow, monotonicNow, pause }
  }

  override follow (): void {
    for (const session of this.sessions.values()) session.stop()
    this.sessions.clear()
    this.owner = undefined
  }

  override carry (effect: WorkerEffect): void {
    if (effect.kind === 'watchWorker') return this.watch(effect.worker)
    if (effect.kind === 'unwatchWorker') return this.unwatch(effect.id, effect.incarnation)
    if (effect.kind === 'ackEnds') {
      const session = this.sessions.get(effect.id)
      if (session?.worker.incarnation === effect.incarnation) session.ack(effect.cursor)
      return
    }
    const session = this.sessions.get(effect.worker.id)
    if (session?.worker.incarnation !== effect.worker.incarnation) return
    this.order(session, effect).catch((thrown: unknown) => {
      this.log.error('order_failed', { worker: effect.worker.id, task: effect.task, run: effect.run, error: String(thrown) })
    })
  }

  private async order (session: WorkerSession, effect: Extract<WorkerEffect, { task: string }>): Promise<void> {
    if (effect.kind === 'stopRun') return await session.orderStop(effect.task, effect.run)
    if (effect.kind === 'paceRun') return await session.pace(effect.task, effect.run, effect.percent)
    const { task, run, payload, checkpoint, ticket } = effect
    await session.start({ task, run, payload, checkpoint, ticket })
  }

  private watch (worker: CalledWorker): void {
    const { owner } = this
    if (owner === undefined) return
    const known = this.sessions.get(worker.id)
    if (known !== undefined && known.worker.incarnation === worker.incarnation) {
      known.worker = worker
      return
    }
    known?.stop()
    if (known !== undefined) this.caller.close(known.worker)
    const session = WorkerSession.create(worker, this.fence, this.caller, this.limits, owner)
    this.sessions.set(worker.id, session)
    session.run().catch((thrown: unknown) => {
      this.log.error('session_failed', { worker: worker.id, incarnation: worker.incarnation, error: String(thrown) })
    })
  }

  private unwatch (id: string, incarnation: number): void {
    const session = this.sessions.get(id)
    if (session?.worker.incarnation !== incarnation) return
    session.stop()
    this.sessions.delete(id)
    this.caller.close(session.worker)
  }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
