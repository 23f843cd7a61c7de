/**
 * Queues and workers of staged jobs for tests, and the starts among some effects.
 */

import { WorkerView, type CalledWorker, type Effect, type JobQueue } from '../../src/index.js'

export function createQueue (queue: Partial<JobQueue> = {}): JobQueue {
  return {
    name: 'q', host: 'jobs.example', pathPrefix: '/q/', service: 'work', priority: 1, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000, ...queue
  }
}

export function createView (id: string, millicores = 16_000): WorkerView {
  const worker: CalledWorker = {
    id,
    incarnation: 1,
    address: `${id}:1`,
    service: 'work',
    availabilityZone: 'zone',
    rack: 'rack',
    labels: ['kind', 'rack'],
    capacity: { millicores, memoryMib: 65_536, accelerators: 0 },
    isDraining: false,
    hasLeft: false
  }
  const view = WorkerView.create(worker, 0)
  view.hasAcceptedToken = true
  return view
}

export function listStarts (effects: readonly Effect[]): string[] {
  return effects.flatMap(effect => effect.kind === 'startRun' ? [effect.task] : [])
}
