/**
 * A leader of staged jobs whose events a test scripts one by one: it has a queue with
 * an attempt limit of two, and workers that hold four small tasks each.
 */

import {
  Scheduler, StagedJobs, type CalledWorker, type ClusterState, type Effect, type Event, type EventOf, type Limits, type OrderOutcome, type ReportedRun, type RunEndCause, type StageSpec, type StageTask
} from '../../src/index.js'
import { createStage } from './stages.js'

const JOB_CALL = { call: 3, host: 'jobs.example', path: '/q/job' }

export class ScriptedLeader {
  now = 1_000
  private scheduler: Scheduler
  private readonly endNumbers = new Map<string, number>()

  private constructor (private readonly limits: Partial<Limits>) {
    this.scheduler = Scheduler.create([StagedJobs.create(limits)])
    this.scheduler.startLeading(this.now)
  }

  static create (limits: Partial<Limits> = {}): ScriptedLeader {
    const leader = new ScriptedLeader(limits)
    const queue = { name: 'q', host: 'jobs.example', pathPrefix: '/q/', service: 'work', priority: 1, attemptLimit: 2, stretch: 2, targetMs: 500, timeoutMs: 3_000 }
    leader.handle({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [queue], retired: [], services: [], document: '' } })
    return leader
  }

  get state (): ClusterState {
    return this.scheduler.state
  }

  /** Passes an event to the scheduler 10 ms after the one before. */
  handle (event: Event): readonly Effect[] {
    return this.handleAt(event, this.now + 10)
  }

  /** Passes an event to the scheduler at a cluster time. */
  handleAt (event: Event, now: number): readonly Effect[] {
    this.now = now
    return this.scheduler.handle(event, now).effects
  }

  /** Another process takes over with the replicated state of this one. */
  replaceLeader (): void {
    this.scheduler = Scheduler.create([StagedJobs.create(this.limits)], structuredClone(this.state))
    this.now += 10
    this.scheduler.startLeading(this.now)
  }

  /** Advances the time by ticks; returns the effects. */
  advance (ms: number): Effect[] {
    const effects: Effect[] = []
    for (const end = this.now + ms; this.now < end;) effects.push(...this.handle({ kind: 'tick' }))
    return effects
  }

  submit (stage: Partial<StageSpec> = {}): readonly Effect[] {
    return this.handle({ kind: 'acceptJob', ...JOB_CALL, spec: { payload: '', stages: [createStage(stage)] } })
  }

  report (id: string, incarnation = 1, facts: Partial<CalledWorker> = {}): readonly Effect[] {
    const worker: CalledWorker = {
      id,
      incarnation,
      address: `${id}:1`,
      service: 'work',
      availabilityZone: 'zone',
      rack: 'rack',
      labels: [],
      capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
      isDraining: false,
      hasLeft: false,
      ...facts
    }
    return this.handle({ kind: 'workerReported', call: 2, worker })
  }

  /** A worker lists its runs, at a request that was sent after all events so far. */
  list (id: string, { incarnation = 1, clockMs, running = [], ended = [], isTruncated = false }: Partial<EventOf<'workerListed'>> = {}): readonly Effect[] {
    return this.handle({ kind: 'workerListed', id, incarnation, sentAt: this.now + 5, clockMs, running, ended, isTruncated })
  }

  /** A worker lists the end of one run. */
  listEnd (id: string, task: string, run: number, cause: RunEndCause, incarnation = 1): readonly Effect[] {
    const number = (this.endNumbers.get(id) ?? 0) + 1
    this.endNumbers.set(id, number)
    return this.list(id, { incarnation, ended: [{ number, task, run, cause, checkpoint: '' }] })
  }

  addWorker (id: string, incarnation = 1): readonly Effect[] {
    return [...this.report(id, incarnation), ...this.list(id, { incarnation })]
  }

  answer (id: string, order: 'start' | 'stop', task: string, run: number, outcome: OrderOutcome, options: Partial<EventOf<'runOrdered'>> = {}): readonly Effect[] {
    return this.handle({ kind: 'runOrdered', id, incarnation: 1, order, task, run, outcome, unanswered: 0, sentAt: this.now, ...options })
  }

  getTask (index = 0): StageTask | undefined {
    return this.state.jobs.get('job')?.occurrences.get(0)?.[0]?.[index]
  }
}

export function createReportedRun (task: string, run: number): ReportedRun {
  return { task, run, checkpoint: '', percent: 10, load: 0 }
}

/** The orders among some effects, as `start TASK run N on WORKER` and `stop ...`. */
export function listOrders (effects: readonly Effect[]): string[] {
  return effects.flatMap(effect => {
    if (effect.kind === 'startRun') return [`start ${effect.task} run ${effect.run} on ${effect.worker.id}`]
    if (effect.kind === 'stopRun') return [`stop ${effect.task} run ${effect.run} on ${effect.worker.id}`]
    return []
  })
}
