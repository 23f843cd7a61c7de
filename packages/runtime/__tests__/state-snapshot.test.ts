/** What the replicated state keeps through a snapshot. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { encodeValue } from '@flamingorouter/controllers'
import { createClusterState, Scheduler, StagedJobs, type Event } from '@flamingorouter/scheduler'
import { createQueue } from '../../scheduler/__tests__/support/staged-cells.js'
import { createStage } from '../../scheduler/__tests__/support/stages.js'
import { decodeState } from '../src/index.js'

describe('a snapshot of the state', () => {
  function cancelLate (scheduler: Scheduler): void {
    scheduler.startLeading(1)
    scheduler.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [createQueue()], retired: [], services: [], document: '' } }, 1)
    scheduler.handle({ kind: 'cancelJob', call: 2, host: 'jobs.example', path: '/q/late' }, 2)
  }

  // Guards against a submission that is accepted after a member was restored, although its job had been cancelled with 410.
  it('keeps the ids of unknown jobs that were cancelled', () => {
    const scheduler = Scheduler.create([StagedJobs.create()])
    cancelLate(scheduler)
    const restored = Scheduler.create([StagedJobs.create()], decodeState(encodeValue(scheduler.state)))
    restored.startLeading(3)
    const submission: Event = { kind: 'acceptJob', call: 3, host: 'jobs.example', path: '/q/late', spec: { payload: '', stages: [createStage()] } }
    const { effects } = restored.handle(submission, 4)
    assert.deepEqual(effects.map(effect => effect.kind === 'refuse' ? effect.error : effect.kind), ['unavailable'])
  })

  it('of an earlier version, which kept no such ids, can be read', () => {
    const { cancelledIds, ...earlier } = createClusterState()
    assert.equal(cancelledIds.size, 0)
    cancelLate(Scheduler.create([StagedJobs.create()], decodeState(encodeValue(earlier))))
  })
})
