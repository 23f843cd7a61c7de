/**
 * What is learnt from finished runs, for loads in which declared times are far off, a
 * few tasks take many times as long as the rest, and the work changes. Estimates that
 * follow one run or one declaration would order and stop work wrongly.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { encode } from 'cbor-x'
import { Random } from '../../../bench/support/random.js'
import { createClusterState, OrderOutcome, recordWork, RunEndCause, RunTimeModel, type ClusterState, type RunTimeEstimate, type StageSpec } from '../src/index.js'
import { createStage } from './support/stages.js'
import { ScriptedLeader } from './support/scripted-leader.js'

const QUEUE = 'q'

/** A replicated state to which finished runs are added. */
class LearningScript {
  state: ClusterState = createClusterState()
  private readonly random = Random.create(1)

  static create (): LearningScript {
    return new LearningScript()
  }

  add (workMs: number, stage: Partial<StageSpec> = {}, queue = QUEUE): void {
    recordWork(this.state, queue, createStage(stage), workMs)
  }

  /** Adds runs whose work is spread about a median; a share of them takes 7 times as long. */
  addMany (count: number, medianMs: number, stage: (workMs: number) => Partial<StageSpec> = () => ({}), longShare = 0): void {
    for (let index = 0; index < count; index++) {
      const workMs = this.random.sampleLogNormal(medianMs, 0.3)
      this.add(this.random.sampleFraction() < longShare ? 7 * workMs : workMs, stage(workMs))
    }
  }

  estimate (stage: Partial<StageSpec> = {}): RunTimeEstimate {
    const model = RunTimeModel.create()
    model.attach(this.state)
    return model.estimate(QUEUE, createStage(stage))
  }
}

function assertWithin (value: number, low: number, high: number): void {
  assert.ok(value >= low && value <= high, `${value} is not between ${low} and ${high}`)
}

describe('an estimate of a run time', () => {
  it('is the declared time while nothing is known, also with a state of an earlier version', () => {
    const script = LearningScript.create()
    assertWithin(script.estimate({ estimateMs: 800 }).expectedMs, 799.9, 800.1)
    assert.equal(script.estimate({ estimateMs: 800 }).samples, 0)
    assert.equal(script.estimate({ estimateMs: 0 }).expectedMs, 0)
  })

  it('is not moved by the tasks that take 7 times as long, when those are 3 in 100', () => {
    const script = LearningScript.create()
    script.addMany(400, 1_000, () => ({ estimateMs: 1_000 }), 0.03)
    assertWithin(script.estimate({ estimateMs: 1_000 }).expectedMs, 850, 1_150)
    assertWithin(script.estimate({ estimateMs: 1_000 }).upperMs, 1_200, 2_000)
  })

  for (const factor of [0.1, 10]) {
    it(`corrects declared times that are all off by a factor of ${factor}, also where no run declared such a time`, () => {
      const script = LearningScript.create()
      script.addMany(100, 1_000, workMs => ({ estimateMs: workMs * factor }))
      assertWithin(script.estimate({ estimateMs: 1_000 * factor }).expectedMs, 800, 1_250)
      assertWithin(script.estimate({ estimateMs: 8_000 * factor }).expectedMs, 1_000, 12_000)
    })

    it(`moves by a factor of 2 at most, when one job declares ${factor} times the run time of a queue that declares well`, { todo: 'KNOWN-RED.txt, entry 22' }, () => {
      const script = LearningScript.create()
      script.addMany(200, 1_000, () => ({ estimateMs: 1_000 }))
      assertWithin(script.estimate({ estimateMs: 1_000 * factor }).expectedMs, 1_000 / 2, 1_000 * 2)
    })

    it(`moves by the weight of a declared time only, when one job declares ${factor} times the run time of its queue`, () => {
      const script = LearningScript.create()
      const random = Random.create(2)
      script.addMany(200, 1_000, workMs => ({ estimateMs: random.sampleLogNormal(workMs, 0.9) }))
      assertWithin(script.estimate({ estimateMs: 1_000 * factor }).expectedMs, 1_000 / 2, 1_000 * 2)
    })
  }

  it('moves by no more than its weight with one absurd value', () => {
    for (const absurdMs of [1e15, 1e-9]) {
      const script = LearningScript.create()
      script.addMany(50, 1_000)
      const { expectedMs, upperMs } = script.estimate()
      script.add(absurdMs)
      assertWithin(script.estimate().expectedMs / expectedMs, 0.95, 1.05)
      assertWithin(script.estimate().upperMs / upperMs, 0.9, 1.1)
    }
  })

  it('ignores what is no time', () => {
    const script = LearningScript.create()
    for (const workMs of [NaN, Infinity, -1, 0]) script.add(workMs)
    assert.equal(script.state.runTimes, undefined)
  })

  it('follows a change of the work within a few hundred runs', () => {
    const script = LearningScript.create()
    script.addMany(1_000, 1_000)
    script.addMany(300, 4_000)
    assertWithin(script.estimate().expectedMs, 3_000, 5_000)
  })

  it('tells images of one queue apart, and falls back to the queue for an image without samples', () => {
    const script = LearningScript.create()
    script.addMany(50, 300, () => ({ image: 'short', estimateMs: 0 }))
    script.addMany(50, 3_000, () => ({ image: 'long', estimateMs: 0 }))
    assertWithin(script.estimate({ image: 'short', estimateMs: 0 }).expectedMs, 250, 450)
    assertWithin(script.estimate({ image: 'long', estimateMs: 0 }).expectedMs, 2_200, 3_500)
    assertWithin(script.estimate({ image: 'new', estimateMs: 0 }).expectedMs, 300, 3_000)
  })

  it('gives a kind with one sample little weight against its queue', () => {
    const script = LearningScript.create()
    script.addMany(100, 1_000, () => ({ image: 'usual', estimateMs: 0 }))
    script.add(100_000, { image: 'rare', estimateMs: 0 })
    assertWithin(script.estimate({ image: 'rare', estimateMs: 0 }).expectedMs, 1_000, 2_000)
  })
})

describe('the learnt state', () => {
  it('stays under 256 KB, however many kinds of task there are', () => {
    const script = LearningScript.create()
    for (let kind = 0; kind < 1_000; kind++) {
      const name = 'x'.repeat(200)
      for (let octave = 0; octave < 30; octave++) script.add(2 ** octave, { image: `${name}${kind}`, estimateMs: 2 ** (kind % 30) }, `${name}-queue-${kind % 100}`)
    }
    const bytes = encode(script.state.runTimes).length
    assert.ok(bytes < 256 * 1_024, `${bytes} bytes`)
  })

  it('stays under 256 KB with names of 48 characters of three bytes each and samples of all lengths', () => {
    const script = LearningScript.create()
    for (let kind = 0; kind < 400; kind++) {
      const name = `${kind}`.padEnd(48, '\u20ac')
      for (let step = 0; step < 52; step++) script.add(2 ** (step / 2), { image: name, estimateMs: 1_000 }, `${kind % 60}`.padEnd(48, '\u20ac'))
    }
    const bytes = encode(script.state.runTimes).length
    assert.ok(bytes < 256 * 1_024, `${bytes} bytes`)
  })

  it('does not take a queue for an image of another queue', () => {
    const script = LearningScript.create()
    for (let index = 0; index < 50; index++) {
      script.add(100, { estimateMs: 0 }, 'a image b')
      script.add(60_000, { estimateMs: 0, image: 'b' }, 'a')
    }
    const { expectedMs } = RunTimeModel.create(script.state.runTimes).estimate('a image b', createStage({ estimateMs: 0 }))
    assert.ok(expectedMs < 150, `${expectedMs} ms`)
  })

  it('has the size of its histograms bounded after many samples', () => {
    const script = LearningScript.create()
    const random = Random.create(3)
    for (let index = 0; index < 20_000; index++) {
      const kind = index % 400
      script.add(random.sampleLogNormal(1_000, 3), { image: `image-${kind}`, estimateMs: 2 ** (kind % 20) })
    }
    const bytes = encode(script.state.runTimes).length
    assert.ok(bytes < 256 * 1_024, `${bytes} bytes`)
  })
})

describe('the work of a finished run', () => {
  const TASK = 'job/0/0/0'

  function createLeader (limits = { learntRunTimes: true }): ScriptedLeader {
    const leader = ScriptedLeader.create(limits)
    leader.addWorker('one')
    return leader
  }

  function estimate (leader: ScriptedLeader): RunTimeEstimate {
    return RunTimeModel.create(leader.state.runTimes).estimate(QUEUE, createStage({ estimateMs: 0 }))
  }

  it('is learnt from the committed end, so that the next leader knows it', () => {
    const leader = createLeader()
    leader.submit({ estimateMs: 0 })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.advance(900)
    leader.listEnd('one', TASK, 1, RunEndCause.done)
    leader.replaceLeader()
    assertWithin(estimate(leader).expectedMs, 700, 1_100)
  })

  it('is not recorded unless run times are to be learnt', () => {
    const leader = createLeader({ learntRunTimes: false })
    leader.submit({ estimateMs: 0 })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.advance(900)
    leader.listEnd('one', TASK, 1, RunEndCause.done)
    assert.equal(leader.state.runTimes, undefined)
  })

  it('is that of the whole task after a restart from a checkpoint', () => {
    const leader = createLeader()
    leader.submit({ estimateMs: 0, checkpoints: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.list('one', { running: [{ task: TASK, run: 1, checkpoint: 'half', percent: 50, load: 0 }] })
    leader.listEnd('one', TASK, 1, RunEndCause.lapsed)
    leader.advance(200)
    leader.answer('one', 'start', TASK, 2, OrderOutcome.done)
    leader.list('one', { running: [{ task: TASK, run: 2, checkpoint: 'half', percent: 50, load: 0 }] })
    leader.advance(1_000)
    leader.listEnd('one', TASK, 2, RunEndCause.done)
    assertWithin(estimate(leader).expectedMs, 1_600, 2_500)
  })

  it('is not that of the rest alone when a run that resumed near its end was listed at 0 percent only', { todo: 'KNOWN-RED.txt, entry 22' }, () => {
    const leader = createLeader()
    leader.submit({ estimateMs: 0, checkpoints: true })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.list('one', { running: [{ task: TASK, run: 1, checkpoint: 'nine tenths', percent: 90, load: 0 }] })
    leader.listEnd('one', TASK, 1, RunEndCause.lapsed)
    leader.advance(200)
    leader.answer('one', 'start', TASK, 2, OrderOutcome.done)
    leader.list('one', { running: [{ task: TASK, run: 2, checkpoint: '', percent: 0, load: 0 }] })
    leader.advance(200)
    leader.listEnd('one', TASK, 2, RunEndCause.done)
    const { expectedMs, samples } = estimate(leader)
    if (samples > 0) assertWithin(expectedMs, 1_600, 2_500)
  })

  it('excludes the time in which a gang waits for its last member, and counts once for the gang', () => {
    const leader = createLeader()
    leader.submit({ estimateMs: 0, gang: true, taskCount: 2 })
    leader.answer('one', 'start', TASK, 1, OrderOutcome.done)
    leader.advance(2_000)
    leader.answer('one', 'start', 'job/0/0/1', 1, OrderOutcome.done)
    leader.advance(400)
    leader.listEnd('one', TASK, 1, RunEndCause.done)
    assertWithin(estimate(leader).expectedMs, 300, 520)
    assert.equal(leader.state.runTimes?.work.get(QUEUE)?.samples, 1)
  })
})
