/**
 * Upkeep of VMs when the answers to orders are lost, ambiguous or come after a
 * change of leader. Each test passes the events to the scheduler one by one.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  createClusterState, Scheduler, StagedJobs, StageTaskPhase, UpkeepPhase, type ClusterState, type Event, type StepResult, type UpkeepOutcome
} from '../src/index.js'
import { createStage } from './support/stages.js'

const VM = 'vm-1'

class UpkeepHarness {
  private now = 1_000

  private constructor (readonly scheduler: Scheduler) {}

  static create (state: ClusterState = createClusterState()): UpkeepHarness {
    const harness = new UpkeepHarness(Scheduler.create([StagedJobs.create()], state))
    harness.scheduler.startLeading(harness.now)
    return harness
  }

  handle (event: Event): StepResult {
    return this.scheduler.handle(event, this.now)
  }

  /** Advances the time with ticks and answers each request for the list of VMs; returns the VMs that were ordered down. */
  advance (ms: number): string[] {
    const orders: string[] = []
    for (const end = this.now + ms; this.now < end; this.now += 100) {
      const { effects } = this.handle({ kind: 'tick' })
      for (const effect of effects) {
        if (effect.kind === 'orderUpkeep') orders.push(effect.vm)
        if (effect.kind === 'listVms') this.handle({ kind: 'vmsListed', sentAt: this.now, vms: [{ name: VM, isUp: true, worker: 'worker-1' }] })
      }
    }
    return orders
  }

  addWorker (incarnation: number): void {
    this.handle({
      kind: 'workerReported',
      call: 1,
      worker: {
        id: 'worker-1',
        incarnation,
        address: '127.0.0.1:1',
        service: 'work',
        availabilityZone: 'zone',
        rack: 'rack',
        labels: [],
        capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
        isDraining: false,
        hasLeft: false
      }
    })
    this.handle({ kind: 'workerListed', id: 'worker-1', incarnation, sentAt: this.now, running: [], ended: [], isTruncated: false })
  }

  answer (outcome: UpkeepOutcome): void {
    this.handle({ kind: 'upkeepOrdered', wave: 1, vm: VM, outcome })
  }

  get phase (): UpkeepPhase | undefined {
    return this.scheduler.state.upkeepWaves.get(1)?.vms.get(VM)
  }

  startWave (): void {
    this.handle({ kind: 'startUpkeepWave', call: 2, id: 1, vms: [VM], cap: 1, durationMs: 3_000 })
  }
}

describe('an upkeep order', () => {
  it('without an answer keeps its VM counted as down, even if a repeat is answered with busy', () => {
    const harness = UpkeepHarness.create()
    harness.startWave()
    harness.advance(1_000)
    harness.answer('unknown')
    harness.answer('busy')
    assert.equal(harness.phase, UpkeepPhase.ordered)
    assert.deepEqual(harness.advance(2_000).length > 0, true)
  })

  it('that is still on its way keeps its VM counted as down, even if a repeat is answered with busy', () => {
    const harness = UpkeepHarness.create()
    harness.startWave()
    const orders = harness.advance(2_000)
    assert.ok(orders.length > 1)
    orders.slice(1).forEach(() => { harness.answer('busy') })
    assert.equal(harness.phase, UpkeepPhase.ordered)
    harness.answer('done')
    assert.equal(harness.phase, UpkeepPhase.begun)
  })

  it('is sent again after a new evacuation when all of its repeats were answered with busy', () => {
    const harness = UpkeepHarness.create()
    harness.startWave()
    harness.advance(2_000).forEach(() => { harness.answer('busy') })
    assert.equal(harness.phase, UpkeepPhase.waiting)
  })

  it('that was answered with busy is sent again', () => {
    const harness = UpkeepHarness.create()
    harness.startWave()
    harness.advance(1_000)
    harness.answer('busy')
    assert.equal(harness.phase, UpkeepPhase.waiting)
    assert.ok(harness.advance(2_000).includes(VM))
  })

  it('of a previous leader does not end runs on a worker that was started after the upkeep', () => {
    const previousLeader = UpkeepHarness.create()
    previousLeader.startWave()
    previousLeader.advance(1_000)
    const { state } = previousLeader.scheduler
    const harness = UpkeepHarness.create(state)
    harness.handle({
      kind: 'configureCell',
      call: 3,
      cell: {
        version: 1,
        retired: [],
        services: [{ name: 'work', standby: false }],
        document: '',
        queues: [{ name: 'q', host: 'h', pathPrefix: '/q/', service: 'work', priority: 0, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 1_000 }]
      }
    })
    harness.addWorker(2)
    harness.handle({ kind: 'acceptJob', call: 4, host: 'h', path: '/q/job', spec: { payload: '', stages: [createStage({ estimateMs: 60_000 })] } })
    harness.advance(100)
    const task = state.jobs.get('job')?.occurrences.get(0)?.[0][0]
    assert.equal(task?.phase, StageTaskPhase.placed)
    harness.advance(1_000)
    harness.answer('done')
    assert.equal(task?.phase, StageTaskPhase.placed)
    harness.advance(1_500)
    assert.equal(harness.phase, UpkeepPhase.back)
  })

  it('that was answered with unfit skips its VM', () => {
    const harness = UpkeepHarness.create()
    harness.startWave()
    harness.advance(1_000)
    harness.answer('unfit')
    assert.equal(harness.phase, UpkeepPhase.skipped)
  })

  it('that is refused because of a higher fencing token is the last order of the leader', () => {
    const harness = UpkeepHarness.create()
    harness.startWave()
    harness.advance(1_000)
    harness.answer('fenced')
    assert.deepEqual(harness.advance(3_000), [])
  })
})

describe('an upkeep wave without VMs, cap or duration', () => {
  for (const [what, wave] of Object.entries({
    'no VM': { vms: [], cap: 1, durationMs: 1 }, 'no cap': { vms: [VM], cap: 0, durationMs: 1 }, 'no duration': { vms: [VM], cap: 1, durationMs: 0 }
  })) {
    it(`is refused: ${what}`, () => {
      const { effects } = UpkeepHarness.create().handle({ kind: 'startUpkeepWave', call: 2, id: 1, ...wave })
      assert.equal(effects[0].kind, 'refuse')
    })
  }
})
