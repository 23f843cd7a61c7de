/**
 * One session with a called worker: what its list requests tell a worker, or the next
 * incarnation of it, that carries them out late.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, RunEndCause, type CalledWorker, type EndedRun, type Event } from '@flamingorouter/scheduler'
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
    return { outcome: OrderOutcome.done, clockMs: 1_000, running: [], ended: this.ended, isTruncated: false }
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

/** Gives prepared answers to starts and lists, and counts the starts. */
class ScriptedClient extends ListingClient {
  starts = 0

  private constructor (private readonly answerStart: (attempt: number) => OrderAnswer | Promise<OrderAnswer>, private readonly isUp: boolean) {
    super()
  }

  static script (answerStart: (attempt: number) => OrderAnswer | Promise<OrderAnswer>, isUp = true): ScriptedClient {
    return new ScriptedClient(answerStart, isUp)
  }

  override async start (): Promise<OrderAnswer> {
    this.starts += 1
    return await this.answerStart(this.starts)
  }

  override async list (): Promise<ListAnswer> {
    return { outcome: this.isUp ? OrderOutcome.done : OrderOutcome.unknown, clockMs: this.isUp ? 1_000 : undefined, running: [], ended: [], isTruncated: false }
  }
}

async function yieldTurn (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}

describe('a start order', () => {
  const ORDER = { task: 'job/0/0/0', run: 1, payload: '', checkpoint: '', ticket: '' }

  /** Orders a start, and returns how it ended. */
  async function orderStart (client: WorkerClient, prepare: (session: WorkerSession) => void = () => {}): Promise<{ outcome: OrderOutcome, unanswered: number }> {
    const events: Event[] = []
    const session = WorkerSession.create(WORKER, 1, client, LIMITS, {
      feed: event => { events.push(event) }, clusterNow: () => 0, monotonicNow: () => 0, pause: async () => { await yieldTurn() }
    })
    prepare(session)
    await session.orderStart(ORDER, WORKER.capacity)
    session.stop()
    const ordered = events.find(({ kind }) => kind === 'runOrdered')
    assert.ok(ordered?.kind === 'runOrdered')
    return { outcome: ordered.outcome, unanswered: ordered.unanswered }
  }

  function shrink (session: WorkerSession): void {
    session.worker = { ...WORKER, capacity: { ...WORKER.capacity, millicores: 8_000 } }
  }

  it('that waited until the worker had shrunk is not sent', async () => {
    const client = ScriptedClient.script(() => ({ outcome: OrderOutcome.done }))
    assert.deepEqual(await orderStart(client, shrink), { outcome: OrderOutcome.noRoom, unanswered: 0 })
    assert.equal(client.starts, 0)
  })

  it('without an answer is not repeated once the worker has shrunk', async () => {
    let session: WorkerSession | undefined
    const client = ScriptedClient.script(() => {
      if (session !== undefined) shrink(session)
      return { outcome: OrderOutcome.unknown }
    })
    const ended = await orderStart(client, created => { session = created })
    assert.deepEqual(ended, { outcome: OrderOutcome.noRoom, unanswered: 1 })
    assert.equal(client.starts, 1)
  })

  it('that was refused a connection at each attempt counts as not sent', async () => {
    const client = ScriptedClient.script(() => ({ outcome: OrderOutcome.unknown, isRefused: true }))
    assert.deepEqual(await orderStart(client), { outcome: OrderOutcome.unsent, unanswered: 0 })
  })

  it('that was refused a connection only after an attempt without an answer may be carried out', async () => {
    const client = ScriptedClient.script(attempt => ({ outcome: OrderOutcome.unknown, isRefused: attempt > 1 }))
    assert.deepEqual(await orderStart(client), { outcome: OrderOutcome.unknown, unanswered: 1 })
  })

  it('without an answer is not repeated while the worker is silent, since the next process at its address may carry it out', async () => {
    const client = ScriptedClient.script(async () => {
      await yieldTurn()
      return { outcome: OrderOutcome.unknown }
    }, false)
    const ended = await orderStart(client, session => { session.run().catch(assert.fail) })
    assert.deepEqual(ended, { outcome: OrderOutcome.unknown, unanswered: 1 })
    assert.equal(client.starts, 1)
  })
})
