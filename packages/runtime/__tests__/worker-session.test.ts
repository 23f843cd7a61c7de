/**
 * One session with a called worker: what its list requests tell a worker, or the next
 * incarnation of it, that carries them out late.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, RunEndCause, type CalledWorker, type EndedRun } from '@flamingorouter/scheduler'
import { WorkerClient, WorkerSession, type ListAnswer, type ListOrder, type OrderAnswer } from '../src/index.js'

const LIMITS = { longestLeaseMs: 6_000, leaseMs: 4_000, clockDrift: 0.02, waitMs: 1_000, answerTimeoutMs: 450 }

const WORKER: CalledWorker = {
  id: 'worker',
  incarnation: 1,
  address: 'worker:1',
  service: 'work',
  availabilityZone: 'zone',
  rack: 'rack',
  labels: [],
  capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
  isDraining: false,
  hasLeft: false
}

const END: EndedRun = { number: 1, task: 'job/0/0/0', run: 1, cause: RunEndCause.done, checkpoint: '' }

/** Answers each list request with the ends that are not acknowledged, and keeps the cursors that it was sent. */
class ListingClient extends WorkerClient {
  readonly cursors: number[] = []
  private ended = [END]

  static create (): ListingClient {
    return new ListingClient()
  }

  override async start (): Promise<OrderAnswer> {
    return { outcome: OrderOutcome.done }
  }

  override async stop (): Promise<OrderAnswer> {
    return { outcome: OrderOutcome.done }
  }

  override async list (_worker: CalledWorker, { cursor }: ListOrder): Promise<ListAnswer> {
    this.cursors.push(cursor)
    this.ended = this.ended.filter(({ number }) => number > cursor)
    return { outcome: OrderOutcome.done, clockMs: 1_000, running: [], ended: this.ended }
  }

  override async pace (): Promise<OrderAnswer> {
    return { outcome: OrderOutcome.done }
  }

  override close (): void {}
}

describe('the list requests of a session', () => {
  it('do not repeat an acknowledgement that was answered, which the next incarnation would apply to its own ends', async () => {
    const client = ListingClient.create()
    const session = WorkerSession.create(WORKER, 1, client, LIMITS, {
      feed: event => {
        if (event.kind === 'workerListed' && event.ended.length > 0) session.ack(END.number)
        if (client.cursors.length === 4) session.stop()
      },
      clusterNow: () => 0,
      monotonicNow: () => 0,
      pause: async () => {}
    })
    await session.run()
    assert.deepEqual(client.cursors, [0, 1, 0, 0])
  })
})
