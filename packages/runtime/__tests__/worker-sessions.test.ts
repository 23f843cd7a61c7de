/**
 * The leader's sessions with its workers: a burst of orders must not hold up the
 * event loop, on which the leader's role and the leases of its workers depend.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OrderOutcome, type CalledWorker } from '@flamingorouter/scheduler'
import { monotonicNow, NoopLog, SlicedQueue, WorkerClient, WorkerSessions, type ListAnswer, type ListOrder, type OrderAnswer, type WorkerEffect } from '../src/index.js'

const LIMITS = { longestLeaseMs: 6_000, leaseMs: 4_000, clockDrift: 0.02, waitMs: 1_000, answerTimeoutMs: 450 }

/** Time that sending one order takes, in milliseconds. */
const SEND_MS = 1

function createWorker (id: string): CalledWorker {
  return {
    id,
    incarnation: 1,
    address: `${id}:1`,
    service: 'work',
    availabilityZone: 'zone',
    rack: 'rack',
    labels: [],
    capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
    isDraining: false,
    hasLeft: false
  }
}

/** Counts the calls; each takes processor time to send, and none is answered. */
class BusyClient extends WorkerClient {
  readonly calls: string[] = []

  static create (): BusyClient {
    return new BusyClient()
  }

  override start (worker: CalledWorker, { task }: { task: string }): Promise<OrderAnswer> {
    return this.send(`start ${task} on ${worker.id}`)
  }

  override stop (worker: CalledWorker, task: string): Promise<OrderAnswer> {
    return this.send(`stop ${task} on ${worker.id}`)
  }

  override list (worker: CalledWorker): Promise<ListAnswer> {
    return this.send(`list ${worker.id}`) as Promise<ListAnswer>
  }

  override async pace (): Promise<OrderAnswer> {
    return { outcome: OrderOutcome.done }
  }

  override close (): void {}

  private send (call: string): Promise<OrderAnswer> {
    this.calls.push(call)
    for (const startedAt = monotonicNow(); monotonicNow() - startedAt < SEND_MS;);
    return new Promise(() => {})
  }
}

function createStart (worker: CalledWorker, index: number): WorkerEffect {
  return { kind: 'startRun', worker, task: `job/0/0/${index}`, run: 1, payload: '', checkpoint: '', ticket: '' }
}

function nextTurn (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}

describe('the sessions with called workers', () => {
  it('let the event loop turn while a new leader establishes hundreds of them', async () => {
    const client = BusyClient.create()
    const sessions = WorkerSessions.create(client, LIMITS, NoopLog.create())
    sessions.startLeading(1, () => {})
    for (let index = 0; index < 250; index++) sessions.dispatch({ kind: 'watchWorker', worker: createWorker(`worker-${index}`) })
    let turns = 0
    for (; client.calls.length < 250 && turns < 1_000; turns++) await nextTurn()
    assert.equal(client.calls.length, 250)
    assert.ok(turns >= 5, `the event loop turned ${turns} times`)
    sessions.stopLeading()
  })

  it('send the orders to a worker in the order in which they were given', async () => {
    const client = BusyClient.create()
    const sessions = WorkerSessions.create(client, LIMITS, NoopLog.create())
    sessions.startLeading(1, () => {})
    const worker = createWorker('worker')
    sessions.dispatch({ kind: 'watchWorker', worker })
    const expected = ['list worker']
    for (let index = 0; index < 30; index++) {
      const task = `job/0/0/${index}`
      sessions.dispatch({ kind: 'startRun', worker, task, run: 1, payload: '', checkpoint: '', ticket: '' })
      sessions.dispatch({ kind: 'stopRun', worker, task, run: 1, reason: '' })
      expected.push(`start ${task} on worker`, `stop ${task} on worker`)
    }
    while (client.calls.length < expected.length) await nextTurn()
    assert.deepEqual(client.calls, expected)
    sessions.stopLeading()
  })

  it('have a higher fencing token for each new incarnation, so that it refuses what was sent to the ones before', () => {
    const client = BusyClient.create()
    const fences: number[] = []
    client.list = async (_worker: CalledWorker, order?: ListOrder) => {
      fences.push(order?.fence ?? 0)
      return await new Promise(() => {})
    }
    const sessions = WorkerSessions.create(client, LIMITS, NoopLog.create())
    for (const term of [1, 2]) {
      sessions.startLeading(term, () => {})
      sessions.dispatch({ kind: 'watchWorker', worker: createWorker('worker') })
      sessions.dispatch({ kind: 'watchWorker', worker: { ...createWorker('worker'), incarnation: 2 } })
      sessions.dispatch({ kind: 'unwatchWorker', id: 'worker', incarnation: 2 })
      sessions.dispatch({ kind: 'watchWorker', worker: { ...createWorker('worker'), incarnation: 3 } })
    }
    sessions.stopLeading()
    assert.equal(fences.length, 6)
    fences.forEach((fence, index) => assert.ok(index === 0 || fence > fences[index - 1], `${fence} after ${fences[index - 1]}`))
  })

  it('report that orders gather, and once when they have been sent', async () => {
    const client = BusyClient.create()
    const sessions = WorkerSessions.create(client, LIMITS, NoopLog.create())
    const reports: boolean[] = []
    sessions.startLeading(1, event => { if (event.kind === 'orderBacklogChanged') reports.push(event.isBacklogged) })
    const worker = createWorker('worker')
    sessions.dispatch({ kind: 'watchWorker', worker })
    for (let index = 0; index < 250; index++) sessions.dispatch(createStart(worker, index))
    assert.deepEqual(reports, [true])
    while (client.calls.length < 251) await nextTurn()
    assert.deepEqual(reports, [true, false])
    sessions.stopLeading()
  })

  it('do not hold up the placement of work while a new leader establishes hundreds of them', async () => {
    const client = BusyClient.create()
    const sessions = WorkerSessions.create(client, LIMITS, NoopLog.create())
    const reports: boolean[] = []
    sessions.startLeading(1, event => { if (event.kind === 'orderBacklogChanged') reports.push(event.isBacklogged) })
    for (let index = 0; index < 250; index++) sessions.dispatch({ kind: 'watchWorker', worker: createWorker(`worker-${index}`) })
    sessions.dispatch(createStart(createWorker('worker-0'), 0))
    while (client.calls.length < 251) await nextTurn()
    assert.deepEqual(reports, [])
    assert.ok(client.calls.indexOf('start job/0/0/0 on worker-0') < 100, 'the order was sent after most of the lists')
    sessions.stopLeading()
  })

  it('send an order to a worker whose session is still to be established after that session began', async () => {
    const client = BusyClient.create()
    const sessions = WorkerSessions.create(client, LIMITS, NoopLog.create())
    sessions.startLeading(1, () => {})
    for (let index = 0; index < 250; index++) sessions.dispatch({ kind: 'watchWorker', worker: createWorker(`worker-${index}`) })
    const worker = createWorker('worker-249')
    sessions.dispatch({ kind: 'stopRun', worker, task: 'job/0/0/0', run: 1, reason: '' })
    while (client.calls.length < 251) await nextTurn()
    assert.deepEqual(client.calls.slice(-2), ['list worker-249', 'stop job/0/0/0 on worker-249'])
    sessions.stopLeading()
  })

  it('send no order that waits when the leadership is lost', async () => {
    const client = BusyClient.create()
    const sessions = WorkerSessions.create(client, LIMITS, NoopLog.create())
    sessions.startLeading(1, () => {})
    for (let index = 0; index < 100; index++) sessions.dispatch({ kind: 'watchWorker', worker: createWorker(`worker-${index}`) })
    sessions.stopLeading()
    const sent = client.calls.length
    for (let turn = 0; turn < 20; turn++) await nextTurn()
    assert.ok(sent < 100)
    assert.equal(client.calls.length, sent)
  })
})

describe('a sliced queue', () => {
  it('carries out what there is time for in a turn, and the rest in the next turns', () => {
    let now = 0
    const carriedOut: number[] = []
    const deferred: Array<() => void> = []
    const queue = SlicedQueue.create<number>({
      carryOut: item => {
        carriedOut.push(item)
        now += 16
      },
      sliceMs: 40,
      now: () => now,
      defer: run => { deferred.push(run) }
    })
    for (let item = 0; item < 7; item++) queue.push(item)
    assert.deepEqual(carriedOut, [0, 1, 2])
    assert.equal(queue.length, 4)
    while (deferred.length > 0) deferred.shift()?.()
    assert.deepEqual(carriedOut, [0, 1, 2, 3, 4, 5, 6])
    assert.equal(queue.length, 0)
  })
})
