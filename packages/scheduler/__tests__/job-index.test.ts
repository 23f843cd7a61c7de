/**
 * What a leader looks for among its jobs must stay cheap while closed jobs, which are kept for minutes, pile up.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createClusterState, Scheduler, StagedJobs, type ClusterState, type Event, type JobQueue } from '../src/index.js'
import { createStage } from './support/stages.js'

const QUEUE: JobQueue = {
  name: 'queue', host: 'jobs.example', pathPrefix: '/queue/', service: 'work', priority: 0, attemptLimit: 2, stretch: 1.5, targetMs: 250, timeoutMs: 3_000
}

/** A state in which reads of a closed job are counted. */
function countReadsOfClosedJobs (state: ClusterState): () => number {
  let reads = 0
  for (const [id, job] of state.jobs) {
    if (job.phase === 'live') continue
    state.jobs.set(id, new Proxy(job, {
      get: (target, property, receiver) => {
        reads += 1
        return Reflect.get(target, property, receiver)
      }
    }))
  }
  return () => reads
}

function createState (closedJobs: number, liveJobs: number): ClusterState {
  const scheduler = Scheduler.create([StagedJobs.create()], createClusterState())
  const feed = (event: Event): void => { scheduler.handle(event, 0) }
  scheduler.startLeading(0)
  feed({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [QUEUE], retired: [], services: [], document: '' } })
  for (let index = 0; index < closedJobs + liveJobs; index++) {
    const path = `/queue/job-${index}`
    feed({ kind: 'acceptJob', call: 1, host: QUEUE.host, path, spec: { payload: '', stages: [createStage()] } })
    if (index < closedJobs) feed({ kind: 'cancelJob', call: 1, host: QUEUE.host, path })
  }
  return scheduler.state
}

describe('the number of waiting jobs of a queue', () => {
  it('is read without a walk through the closed jobs, by a leader that accepted them and by the next one', () => {
    const state = createState(500, 3)
    const scheduler = Scheduler.create([StagedJobs.create()], state)
    scheduler.startLeading(1)
    scheduler.handle({ kind: 'tick' }, 1)
    const readClosed = countReadsOfClosedJobs(state)
    const { effects } = scheduler.handle({ kind: 'readJob', call: 7, host: QUEUE.host, path: QUEUE.pathPrefix }, 2)
    assert.deepEqual(effects.filter(({ kind }) => kind === 'reply'), [{ kind: 'reply', call: 7, answer: { kind: 'jobsWaiting', count: 3 } }])
    assert.ok(readClosed() <= 10, `${readClosed()} reads of closed jobs`)
  })
})
