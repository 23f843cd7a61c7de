/**
 * Workers that are lost for good around a change of the leader. The next leader never reads their clock, so that no lease
 * of its own lapses; it must forget them all the same, or their capacity holds back work for ever.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RunEndCause, type Effect, type StageSpec } from '../src/index.js'
import { createStage } from './support/stages.js'
import { createReportedRun, listOrders, ScriptedLeader } from './support/scripted-leader.js'

const WORKERS = ['one', 'two', 'three']

/** The longest lease on a clock that is 2% slow, and the time in which a former leader may have extended it, in milliseconds. */
const LONGEST_LEASE_MS = 9_123

/** A task that leaves no room for a small one beside it. */
const WIDE: Partial<StageSpec> = { resources: { millicores: 15_500, memoryMib: 64, accelerators: 0 } }
const SMALL: Partial<StageSpec> = { resources: { millicores: 1_000, memoryMib: 64, accelerators: 0 } }

/** A leader with three workers; those that are up list their runs when it is replaced. */
class ChangingLeader {
  readonly leader = ScriptedLeader.create()
  readonly up = new Set(WORKERS)

  static create (): ChangingLeader {
    const changing = new ChangingLeader()
    for (const id of WORKERS) changing.leader.addWorker(id)
    return changing
  }

  replace (): void {
    this.leader.replaceLeader()
    for (const id of this.up) this.list(id)
  }

  list (id: string): readonly Effect[] {
    const running = [...this.leader.state.jobs.values()].flatMap(job => (job.occurrences.get(0)?.[0] ?? []).flatMap(({ worker, run }, index) => {
      return worker === id ? [createReportedRun(`${job.id}/0/0/${index}`, run)] : []
    }))
    return this.leader.list(id, { running })
  }

  submit (job: string, stage: Partial<StageSpec>): string[] {
    const effects = this.leader.handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: `/q/${job}`, spec: { payload: '', stages: [createStage(stage)] } })
    return listOrders([...effects, ...this.leader.advance(300)])
  }

  get known (): string[] {
    return [...this.leader.state.calledWorkers.keys()]
  }
}

describe('a worker that is lost for good before the next leader reaches it', () => {
  // Guards against a lost worker that counts as capacity for ever, so that a gang that would need it holds back all other work.
  it('is forgotten once no lease can remain there, and a gang that would need it holds nothing back', () => {
    const changing = ChangingLeader.create()
    changing.up.delete('three')
    changing.replace()
    changing.leader.advance(LONGEST_LEASE_MS + 200)
    assert.deepEqual(changing.known, ['one', 'two'])
    assert.deepEqual(changing.submit('gang', { ...WIDE, gang: true, taskCount: 3 }), [])
    assert.equal(changing.submit('plain', SMALL).length, 1)
  })

  it('is not called any more', () => {
    const changing = ChangingLeader.create()
    changing.up.delete('three')
    changing.replace()
    const unwatched = changing.leader.advance(LONGEST_LEASE_MS + 200).flatMap(effect => effect.kind === 'unwatchWorker' ? [effect.id] : [])
    assert.deepEqual(unwatched, ['three'])
  })

  it('counts from the last leader, if several follow each other', () => {
    const changing = ChangingLeader.create()
    changing.up.delete('three')
    changing.replace()
    changing.leader.advance(5_000)
    changing.replace()
    changing.leader.advance(LONGEST_LEASE_MS - 200)
    assert.deepEqual(changing.known, WORKERS)
    changing.leader.advance(400)
    assert.deepEqual(changing.known, ['one', 'two'])
  })

  it('has its tasks started elsewhere only once no lease can remain there', () => {
    const changing = ChangingLeader.create()
    changing.submit('job', SMALL)
    const lost = changing.leader.state.jobs.get('job')?.occurrences.get(0)?.[0][0].worker ?? ''
    changing.up.delete(lost)
    changing.replace()
    assert.deepEqual(listOrders(changing.leader.advance(LONGEST_LEASE_MS - 200)), [])
    const [order = ''] = listOrders(changing.leader.advance(600))
    assert.match(order, /^start job\/0\/0\/0 run 2 on /)
    assert.ok(!order.endsWith(lost), order)
  })

  it('is forgotten, too, when it is draining', () => {
    const changing = ChangingLeader.create()
    changing.leader.report('three', 1, { isDraining: true })
    changing.up.delete('three')
    changing.replace()
    changing.leader.advance(LONGEST_LEASE_MS + 200)
    assert.deepEqual(changing.known, ['one', 'two'])
  })

  it('is forgotten, too, when it reported itself to a leader that never reached it', () => {
    const changing = ChangingLeader.create()
    changing.leader.report('four')
    changing.leader.advance(LONGEST_LEASE_MS + 200)
    assert.deepEqual(changing.known, WORKERS)
  })
})

describe('a worker that reports itself and that the leader cannot reach', () => {
  it('stays known, and does not count as capacity for a gang', () => {
    const changing = ChangingLeader.create()
    changing.up.delete('three')
    changing.replace()
    for (let waitedMs = 0; waitedMs < 2 * LONGEST_LEASE_MS; waitedMs += 1_000) {
      changing.leader.report('three')
      changing.leader.advance(1_000)
    }
    assert.deepEqual(changing.known, WORKERS)
    assert.deepEqual(changing.submit('gang', { ...WIDE, gang: true, taskCount: 3 }), [])
    assert.equal(changing.submit('plain', SMALL).length, 1)
  })
})

describe('a worker that was cut off around a change of the leader', () => {
  it('counts again when it comes back under its id: a gang that needs it is started', () => {
    const changing = ChangingLeader.create()
    changing.up.delete('three')
    changing.replace()
    changing.leader.advance(LONGEST_LEASE_MS + 200)
    changing.submit('gang', { ...WIDE, gang: true, taskCount: 3 })
    const effects = [...changing.leader.addWorker('three'), ...changing.leader.advance(300)]
    assert.equal(listOrders(effects).length, 3)
  })

  it('counts all the while if it comes back before a lease can be over', () => {
    const changing = ChangingLeader.create()
    changing.up.delete('three')
    changing.replace()
    changing.leader.advance(LONGEST_LEASE_MS - 500)
    changing.list('three')
    changing.leader.advance(LONGEST_LEASE_MS)
    assert.deepEqual(changing.known, WORKERS)
    assert.equal(changing.submit('gang', { ...WIDE, gang: true, taskCount: 3 }).length, 3)
  })

  it('is told to stop what it still runs after the task was started elsewhere, and the end of that run counts for nothing', () => {
    const changing = ChangingLeader.create()
    changing.submit('job', SMALL)
    const lost = changing.leader.state.jobs.get('job')?.occurrences.get(0)?.[0][0].worker ?? ''
    changing.up.delete(lost)
    changing.replace()
    changing.leader.advance(LONGEST_LEASE_MS + 400)
    const placed = changing.leader.state.jobs.get('job')?.occurrences.get(0)?.[0][0]
    assert.equal(placed?.run, 2)
    changing.leader.report(lost)
    const orders = listOrders(changing.leader.list(lost, { running: [createReportedRun('job/0/0/0', 1)] }))
    assert.deepEqual(orders, [`stop job/0/0/0 run 1 on ${lost}`])
    changing.leader.listEnd(lost, 'job/0/0/0', 1, RunEndCause.lapsed)
    assert.equal(changing.leader.state.jobs.get('job')?.occurrences.get(0)?.[0][0].worker, placed?.worker)
  })
})
