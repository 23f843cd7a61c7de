/**
 * Two incarnations of a worker under one id, and calls to the first one that arrive
 * late, in every order. The worker here knows only what the interface of workers says:
 * it keeps the highest fencing token that it has seen and does nothing for a lower one;
 * a new incarnation has seen none.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { computeSessionFence } from '../src/index.js'

const TASK = 'job/0/0/0'

/** End of the lease that calls of the former session request, and of that of the new one, on the clock of the new incarnation. */
const FORMER_LEASE_MS = 9_000
const NEW_LEASE_MS = 4_000

class Incarnation {
  fence = 0
  leaseUntilMs = 0
  /** Runs in progress, of one task; more than one is a violation. */
  readonly running = new Set<number>()
  private highestClosedRun = 0

  static create (): Incarnation {
    return new Incarnation()
  }

  start (fence: number, run: number, untilMs: number): boolean {
    if (!this.accepts(fence)) return false
    this.extend(untilMs)
    if (run <= this.highestClosedRun) return false
    this.running.add(run)
    return true
  }

  stop (fence: number, run: number): boolean {
    if (!this.accepts(fence)) return false
    this.highestClosedRun = Math.max(this.highestClosedRun, run)
    for (const active of this.running) if (active <= run) this.running.delete(active)
    return true
  }

  list (fence: number, untilMs = 0): number[] | undefined {
    if (!this.accepts(fence)) return undefined
    this.extend(untilMs)
    return [...this.running]
  }

  private accepts (fence: number): boolean {
    if (fence < this.fence) return false
    this.fence = fence
    return true
  }

  private extend (untilMs: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, untilMs)
  }
}

type LateCall = 'start' | 'list' | 'stop'

const LATE_CALLS: readonly LateCall[] = ['start', 'list', 'stop']

function listOrders<T> (items: readonly T[]): T[][] {
  if (items.length === 0) return [[]]
  return items.flatMap((item, index) => listOrders([...items.slice(0, index), ...items.slice(index + 1)]).map(rest => [item, ...rest]))
}

/** Each order of the late calls, and how many of them arrive before the first list of the new session. */
function listArrivals (): Array<{ early: LateCall[], late: LateCall[] }> {
  return listOrders(LATE_CALLS).flatMap(order => [0, 1, 2, 3].map(count => ({ early: order.slice(0, count), late: order.slice(count) })))
}

function deliver (worker: Incarnation, call: LateCall, fence: number): boolean {
  if (call === 'start') return worker.start(fence, 1, FORMER_LEASE_MS)
  if (call === 'stop') return worker.stop(fence, 1)
  return worker.list(fence, FORMER_LEASE_MS) !== undefined
}

const SESSIONS = [
  { name: 'of one leader', former: computeSessionFence(3, 1), next: computeSessionFence(3, 2) },
  { name: 'of two leaders', former: computeSessionFence(3, 9_999_999), next: computeSessionFence(4, 1) }
]

describe('late calls to the former incarnation of a worker', () => {
  for (const { name, former, next } of SESSIONS) {
    describe(`in sessions ${name}`, () => {
      for (const { early, late } of listArrivals()) {
        it(`change nothing after the first list of the new one (${early.join(', ')} | ${late.join(', ')})`, () => {
          const worker = Incarnation.create()
          for (const call of early) deliver(worker, call, former)
          const leaseBefore = worker.leaseUntilMs
          const listed = worker.list(next)
          assert.ok(listed !== undefined, 'the new session is refused')
          for (const call of late) assert.equal(deliver(worker, call, former), false, `a late ${call} is carried out`)
          assert.deepEqual([...worker.running], listed, 'what runs is not what was listed')
          assert.equal(worker.leaseUntilMs, leaseBefore)
          // The leader stops what it did not place there, and only then starts the next run of the task.
          for (const run of listed) assert.ok(worker.stop(next, run))
          assert.ok(worker.start(next, 2, NEW_LEASE_MS), `${TASK} does not start`)
          for (const call of late) assert.equal(deliver(worker, call, former), false)
          assert.deepEqual([...worker.running], [2])
        })
      }
    })
  }
})
