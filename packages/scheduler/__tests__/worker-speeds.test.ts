/**
 * The speeds of workers of two generations, learnt from progress and ends of tasks whose
 * run times are spread and of which 3 in 100 take 7 times as long. A speed that follows
 * single tasks, or that is learnt too late, would send urgent work to the wrong workers.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Random } from '../../../bench/support/random.js'
import { computeScore, createRun, WorkerSpeeds, type Candidate, type Run, type SchedulingUnit } from '../src/index.js'
import { createStage } from './support/stages.js'

const EXPECTED_MS = 3_000
const DEVIATION = 0.4
const WORK = { expectedMs: EXPECTED_MS, deviation: DEVIATION }
const RUNS_PER_WORKER = 6
const STEP_MS = 250

/** Workers of given speeds that always have six runs of different jobs each, and list them each second. */
class SpeedScript {
  readonly speeds = WorkerSpeeds.create()
  readonly real: Map<string, number>
  /** Work of the ended runs, by worker, computed with the learnt speeds. */
  readonly work = new Map<string, number[]>()
  private readonly views = new Map<string, { runs: Map<string, Run>, speedLog: number }>()
  private readonly doneMs = new Map<Run, number>()
  private readonly workMs = new Map<Run, number>()
  private readonly random = Random.create(5)
  private now = 1_000
  private lastJob = 0

  private constructor (speeds: readonly number[]) {
    this.real = new Map(speeds.map((speed, index) => [`worker-${index}`, speed]))
    for (const worker of this.real.keys()) this.views.set(worker, { runs: new Map(), speedLog: 0 })
  }

  static create (speeds: readonly number[]): SpeedScript {
    return new SpeedScript(speeds)
  }

  run (ms: number): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += STEP_MS
      for (const [worker, { runs }] of this.views) this.advance(worker, runs)
      this.speeds.refresh(this.now, this.views)
    }
  }

  /** Learnt speed relative to that of another worker. */
  compare (worker: string, other: string): number {
    return this.speeds.speedOf(worker) / this.speeds.speedOf(other)
  }

  private advance (worker: string, runs: Map<string, Run>): void {
    for (const run of [...runs.values()]) {
      const done = (this.doneMs.get(run) ?? 0) + STEP_MS * (this.real.get(worker) ?? 1)
      const whole = this.workMs.get(run) ?? 0
      this.doneMs.set(run, done)
      if (done >= whole) {
        runs.delete(run.task)
        const elapsedMs = this.now - run.placedAt
        this.work.set(worker, [...this.work.get(worker) ?? [], elapsedMs * this.speeds.speedOf(worker)])
        this.speeds.recordEnd(worker, run, elapsedMs, WORK, this.now)
      } else if (this.now % 1_000 === 0) {
        run.percent = Math.floor(100 * done / whole)
        this.speeds.recordProgress(worker, run, WORK, this.now)
      }
    }
    while (runs.size < RUNS_PER_WORKER) this.start(runs)
  }

  private start (runs: Map<string, Run>): void {
    this.lastJob += 1
    const ref = { job: `job-${this.lastJob}`, occurrence: 0, stage: 0, index: 0 }
    const run = createRun(ref, `job-${this.lastJob}/0/0/0`, 1, createStage(), 1, this.now)
    run.progress = { baseAt: this.now, basePercent: 0, isWhole: true }
    const isLong = this.random.sampleFraction() < 0.03
    this.workMs.set(run, this.random.sampleLogNormal(EXPECTED_MS, DEVIATION) * (isLong ? 7 : 1))
    runs.set(run.task, run)
  }
}

const TWO_GENERATIONS = Array.from({ length: 24 }, (_, index) => index % 3 === 2 ? 1.7 : 0.7)

function assertWithin (value: number, low: number, high: number): void {
  assert.ok(value >= low && value <= high, `${value} is not between ${low} and ${high}`)
}

describe('the speeds of workers of two generations', () => {
  it('are told apart within 8 s by nearly all comparisons', () => {
    const script = SpeedScript.create(TWO_GENERATIONS)
    script.run(8_000)
    const fast = [...script.real].filter(([, speed]) => speed > 1).map(([worker]) => script.speeds.speedOf(worker))
    const slow = [...script.real].filter(([, speed]) => speed < 1).map(([worker]) => script.speeds.speedOf(worker))
    const confused = slow.filter(speed => speed > Math.min(...fast)).length
    assert.ok(confused <= 2, `${confused} of ${slow.length} slow workers seem faster than a fast one`)
  })

  it('are about right on average within 20 s', () => {
    const script = SpeedScript.create(TWO_GENERATIONS)
    script.run(20_000)
    const mean = (isFast: boolean): number => {
      const speeds = [...script.real].filter(([, speed]) => (speed > 1) === isFast).map(([worker]) => script.speeds.speedOf(worker))
      return speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length
    }
    assertWithin(mean(true) / mean(false), 1.7 / 0.7 * 0.75, 1.7 / 0.7 * 1.25)
  })

  it('take the speed out of the work of a run', () => {
    const script = SpeedScript.create(TWO_GENERATIONS)
    script.run(40_000)
    const median = (isFast: boolean): number => {
      const work = [...script.real].filter(([, speed]) => (speed > 1) === isFast).flatMap(([worker]) => script.work.get(worker)?.slice(20) ?? [])
      return work.sort((one, other) => one - other)[work.length >> 1]
    }
    assertWithin(median(true) / median(false), 0.75, 1.35)
  })

  it('are learnt again within seconds after a change of the leader', () => {
    const script = SpeedScript.create(TWO_GENERATIONS)
    script.run(20_000)
    script.speeds.clear()
    assert.equal(script.compare('worker-2', 'worker-0'), 1)
    script.run(6_000)
    assert.ok(script.compare('worker-2', 'worker-0') > 1.3, `${script.compare('worker-2', 'worker-0')}`)
  })
})

describe('a worker whose speed changes', () => {
  it('is followed within 4 s when it turns slow, and within 6 s when it recovers', () => {
    const script = SpeedScript.create(Array.from({ length: 24 }, () => 1))
    script.run(15_000)
    assertWithin(script.compare('worker-3', 'worker-4'), 0.6, 1.6)
    script.real.set('worker-3', 0.15)
    script.run(4_000)
    assert.ok(script.speeds.speedOf('worker-3') < 0.5, `${script.speeds.speedOf('worker-3')}`)
    script.real.set('worker-3', 1)
    script.run(6_000)
    assert.ok(script.speeds.speedOf('worker-3') > 0.6, `${script.speeds.speedOf('worker-3')}`)
  })

  it('keeps its peers where they are', () => {
    const script = SpeedScript.create(Array.from({ length: 24 }, () => 1))
    script.run(15_000)
    for (let index = 0; index < 4; index++) script.real.set(`worker-${index}`, 0.15)
    script.run(4_000)
    const peers = [...script.real.keys()].slice(4).map(worker => script.speeds.speedOf(worker))
    assertWithin(peers.reduce((sum, speed) => sum + speed, 0) / peers.length, 0.8, 1.5)
  })
})

describe('a single task that takes 7 times as long', () => {
  it('does not make its worker seem slow', () => {
    const speeds = WorkerSpeeds.create()
    const runs = new Map<string, Run>()
    for (let job = 0; job < 4; job++) {
      const run = createRun({ job: `job-${job}`, occurrence: 0, stage: 0, index: 0 }, `job-${job}/0/0/0`, 1, createStage(), 1, 0)
      run.progress = { baseAt: 0, basePercent: 0, isWhole: true }
      runs.set(run.task, run)
    }
    for (let now = 1_000; now <= 4_000; now += 1_000) {
      for (const [task, run] of runs) {
        run.percent += task === 'job-0/0/0/0' ? 4 : 30
        speeds.recordProgress('one', run, WORK, now)
      }
      speeds.refresh(now, new Map([['one', { runs, speedLog: 0 }], ['two', { runs: new Map(), speedLog: 0 }]]))
    }
    assert.ok(speeds.speedOf('one') > 0.8, `${speeds.speedOf('one')}`)
  })
})

describe('the choice of a worker', () => {
  /** The score of a worker with some free capacity and a speed, for a task of a queue; the lowest one is chosen. */
  function score (priority: number, millicores: number, speed: number): number {
    const candidate = { view: { failureRate: 0, speedLog: Math.log(speed) }, free: { millicores, memoryMib: 0, accelerators: 0 }, isReserved: false }
    const unit = { spec: createStage(), queue: { priority } }
    return computeScore(candidate as unknown as Candidate, unit as unknown as SchedulingUnit, new Map())
  }

  it('sends urgent tasks to fast workers, also where they leave a larger gap', () => {
    assert.ok(score(0, 16_000, 1.7) < score(0, 8_000, 0.7))
  })

  it('keeps the best fit for other tasks, so that room for large tasks is left', () => {
    assert.ok(score(1, 16_000, 1.7) > score(1, 8_000, 0.7))
  })

  it('keeps the best fit for urgent tasks on workers of like speed', () => {
    assert.ok(score(0, 16_000, 1) > score(0, 8_000, 1))
  })
})

describe('a worker that has no work for a quarter of an hour again and again', () => {
  const WORKERS = ['idle', 'a', 'b', 'c', 'd']
  const PAUSE_MS = 900_000
  const BUSY_MS = 30_000

  it('keeps the speed that its runs show', () => {
    const speeds = WorkerSpeeds.create()
    const views = new Map(WORKERS.map(worker => [worker, { runs: new Map<string, Run>(), speedLog: 0 }]))
    let now = 1_000
    let lastJob = 0
    const endRun = (worker: string, elapsedMs: number): void => {
      const job = `job-${++lastJob}`
      const run = createRun({ job, occurrence: 0, stage: 0, index: 0 }, `${job}/0/0/0`, 1, createStage(), 1, now - elapsedMs)
      speeds.recordEnd(worker, { ...run, progress: { baseAt: now - elapsedMs, basePercent: 0, isWhole: true } }, elapsedMs, { expectedMs: 1_000, deviation: 0.2 }, now)
    }
    const work = (durationMs: number, isBusy: boolean): void => {
      for (const end = now + durationMs; now < end; now += 500) {
        for (const worker of WORKERS) {
          if (worker !== 'idle' || isBusy) endRun(worker, worker === 'idle' ? 900 + 200 * ((now / 500) % 2) : 1_000)
        }
        speeds.refresh(now, views)
      }
    }
    for (let pause = 0; pause < 6; pause++) {
      work(BUSY_MS, true)
      work(PAUSE_MS, false)
    }
    work(BUSY_MS, true)
    const speed = speeds.speedOf('idle')
    assert.ok(speed > 0.8 && speed < 1.25, `${speed}`)
  })
})
