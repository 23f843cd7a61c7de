/**
 * Cancels of jobs that are not known: a submission under such an id may still be on its way, held up in a process that
 * stands still, and must not run a job whose caller was told that it does not exist.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { createClusterState, Scheduler, StagedJobs, type ClusterState, type Effect, type Event, type Limits } from '../src/index.js'
import { createQueue, createView, listStarts } from './support/staged-cells.js'
import { createStage } from './support/stages.js'

const RETENTION_MS = 300_000
const SPEC = { payload: '', stages: [createStage()] }

describe('the cancel of an unknown job', () => {
  let scheduler: Scheduler
  let now: number

  function lead (state: ClusterState, limits: Partial<Limits> = {}): void {
    scheduler = Scheduler.create([StagedJobs.create(limits)], state)
    scheduler.startLeading(now)
    handle({ kind: 'workerReported', call: 1, worker: createView('one').worker })
    handle({ kind: 'workerListed', id: 'one', incarnation: 1, sentAt: now, running: [], ended: [], isTruncated: false })
  }

  function handle (event: Event): readonly Effect[] {
    now += 1
    return scheduler.handle(event, now).effects
  }

  function call (kind: 'readJob' | 'cancelJob', id: string): Effect | undefined {
    return handle({ kind, call: 2, host: 'jobs.example', path: `/q/${id}` }).find(effect => effect.kind === 'reply' || effect.kind === 'refuse')
  }

  function submit (id: string): { answer: Effect | undefined, starts: string[] } {
    const effects = handle({ kind: 'acceptJob', call: 3, host: 'jobs.example', path: `/q/${id}`, spec: SPEC })
    return { answer: effects.find(effect => effect.kind === 'reply' || effect.kind === 'refuse'), starts: [...listStarts(effects), ...listStarts(handle({ kind: 'tick' }))] }
  }

  function expectGone (effect: Effect | undefined): void {
    assert.deepEqual(effect, { kind: 'reply', call: 2, answer: { kind: 'job', phase: undefined, isStarted: false } })
  }

  function expectRefused (id: string): void {
    const { answer, starts } = submit(id)
    assert.ok(answer?.kind === 'refuse', `the answer is ${JSON.stringify(answer)}`)
    assert.equal(answer.error, 'unavailable')
    assert.ok(answer.retryAfterMs > 0 && answer.retryAfterMs <= RETENTION_MS, `retry after ${answer.retryAfterMs} ms`)
    assert.deepEqual(starts, [])
    expectGone(call('readJob', id))
  }

  beforeEach(() => {
    now = 1_000
    lead(createClusterState())
    handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [createQueue()], retired: [], services: [], document: '' } })
  })

  // Guards against the task of a job that was cancelled with 410 while an entry that stood still held its submission.
  it('refuses each submission that arrives later, and starts nothing', () => {
    expectGone(call('cancelJob', 'late'))
    expectRefused('late')
    expectRefused('late')
    expectGone(call('cancelJob', 'late'))
    expectRefused('late')
  })

  it('leaves other jobs alone', () => {
    call('cancelJob', 'late')
    assert.deepEqual(submit('other').starts, ['other/0/0/0'])
  })

  it('is known to the next leader', () => {
    call('cancelJob', 'late')
    lead(structuredClone(scheduler.state))
    expectRefused('late')
  })

  it('is kept while many other ids are cancelled', () => {
    call('cancelJob', 'late')
    for (let index = 0; index < 5_000; index++) call('cancelJob', `other-${index}`)
    expectRefused('late')
    expectRefused('other-0')
  })

  it('lets a submission after the time stated in the refusal run', () => {
    call('cancelJob', 'late')
    const { answer } = submit('late')
    now += answer?.kind === 'refuse' ? answer.retryAfterMs : 0
    assert.deepEqual(submit('late').starts, ['late/0/0/0'])
  })

  it('counts the time from the last cancel', () => {
    call('cancelJob', 'late')
    now += RETENTION_MS - 1_000
    call('cancelJob', 'late')
    now += 2_000
    call('cancelJob', 'other')
    expectRefused('late')
  })

  describe('at the limit of ids', () => {
    beforeEach(() => {
      lead(scheduler.state, { cancelledIdLimit: 3 })
      for (const id of ['one', 'two', 'three']) expectGone(call('cancelJob', id))
    })

    it('is refused with the time after which there is room, and no id is forgotten for it', () => {
      const answer = call('cancelJob', 'four')
      assert.ok(answer?.kind === 'refuse' && answer.error === 'resourceExhausted')
      for (const id of ['one', 'two', 'three']) expectRefused(id)
      now += answer.retryAfterMs
      expectGone(call('cancelJob', 'four'))
      expectRefused('four')
    })

    it('is acknowledged for an id that is kept already', () => {
      expectGone(call('cancelJob', 'two'))
    })

    it('does not concern the cancel of a known job', () => {
      submit('known')
      assert.deepEqual(call('cancelJob', 'known'), { kind: 'reply', call: 2, answer: { kind: 'job', phase: 'cancelled', isStarted: true } })
    })

    it('takes no room for an id under which no job can be submitted', () => {
      now += RETENTION_MS
      for (const id of ['a.b', 'a/b', 'x'.repeat(129), '']) call('cancelJob', id)
      assert.equal(scheduler.state.cancelledIds.size, 3)
    })

    it('drops the ids whose time is over with the next cancel', () => {
      now += RETENTION_MS
      expectGone(call('cancelJob', 'four'))
      assert.equal(scheduler.state.cancelledIds.size, 1)
    })
  })

  it('takes the same room for an id of any length', () => {
    for (const id of ['a', 'x'.repeat(128)]) call('cancelJob', id)
    assert.deepEqual([...scheduler.state.cancelledIds.keys()].map(key => key.length), [12, 12])
  })
})
