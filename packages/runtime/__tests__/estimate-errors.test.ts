/**
 * The error of learnt run times as a metric: it must show the ratio by queue, and must not
 * grow with the number of queues that ever existed.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createClusterState, JobPhase, type ClusterState, type Decision } from '@flamingorouter/scheduler'
import { MetricsRegistry } from '../src/core/metrics-registry.js'

const REF = { job: 'job', occurrence: 0, stage: 0, index: 0 }

function createState (queue: string): ClusterState {
  const stage = {
    taskCount: 1,
    resources: { millicores: 1, memoryMib: 1, accelerators: 0 },
    estimateMs: 1_000,
    dependsOn: [],
    checkpoints: false,
    gang: false,
    rackLocal: false,
    requiredLabel: '',
    dataRack: '',
    perWorkerLimit: 0,
    speculative: false,
    longRunning: false,
    image: '',
    targetMs: 0,
    fills: false,
    disruptionBudget: 0
  }
  const state = createClusterState()
  state.jobs.set('job', { id: 'job', queue, spec: { payload: '', stages: [stage] }, phase: JobPhase.live, acceptedAt: 0, closedAt: 0, started: true, occurrences: new Map() })
  return state
}

function countLines (registry: MetricsRegistry): string[] {
  return registry.render().split('\n').filter(line => line.startsWith('flamingorouter_run_time_error_ratio'))
}

describe('the error of learnt run times', () => {
  it('is shown by queue as the 50th and 90th percentile of real over expected time', () => {
    const registry = MetricsRegistry.create()
    const ends: Decision[] = Array.from({ length: 20 }, () => ({ kind: 'runEnded', ref: REF, run: 1, succeeded: true, workMs: 4_000 }))
    registry.recordDecisions(ends, createState('q'), 0)
    const [p50, p90] = countLines(registry)
    assert.match(p50, /\{queue="q",quantile="0.5"\} [345]/)
    assert.match(p90, /\{queue="q",quantile="0.9"\} [345]/)
  })

  it('is absent where the work of runs is not known', () => {
    const registry = MetricsRegistry.create()
    registry.recordDecisions([{ kind: 'runEnded', ref: REF, run: 1, succeeded: true }], createState('q'), 0)
    assert.deepEqual(countLines(registry), [])
  })

  it('is kept for 64 queues at most', () => {
    const registry = MetricsRegistry.create()
    for (let queue = 0; queue < 100; queue++) registry.recordDecisions([{ kind: 'runEnded', ref: REF, run: 1, succeeded: true, workMs: 4_000 }], createState(`q-${queue}`), 0)
    assert.equal(countLines(registry).length, 2 * 64)
  })
})
