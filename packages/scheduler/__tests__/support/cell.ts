/**
 * A cell in fake time for tests and benchmarks of the placement: the scheduler
 * with the placement alone, and plain decisions in place of the other parts.
 */

import {
  applyDecision,
  createClusterState,
  EndCause,
  Part,
  Placement,
  Scheduler,
  TargetKind,
  TargetPhase,
  TaskPhase,
  Urgency,
  WorkloadKind,
  type Answer,
  type Decision,
  type Event,
  type EventKind,
  type PlacementOptions,
  type Resources,
  type Step,
  type TargetState,
  type TaskState,
  type WorkloadSpec
} from '../../src/index.js'

const TICK_MS = 100

/** Decides what a test tells it to. The event that leads to it stands for any other. */
class Script extends Part {
  override readonly handles: readonly EventKind[] = ['entryLost']
  pending: Decision[] = []

  static create (): Script {
    return new Script()
  }

  override reset (): void {}

  override handle (_event: Event, step: Step): void {
    const decisions = this.pending
    this.pending = []
    for (const decision of decisions) step.decide(decision)
  }
}

export type Placed = Extract<Decision, { kind: 'taskPlaced' }>
export type Stopping = Extract<Decision, { kind: 'taskStopping' }>

export class Cell {
  now = 0
  private readonly script: Script
  private readonly scheduler: Scheduler
  private fences = 0
  private nextTickAt = 0

  private constructor (options: PlacementOptions) {
    this.script = Script.create()
    this.scheduler = Scheduler.create([this.script, Placement.create(options)], createClusterState())
    this.scheduler.lead(this.now)
  }

  static create (options: PlacementOptions = {}): Cell {
    return new Cell(options)
  }

  get state () {
    return this.scheduler.state
  }

  /** Decides at the present time, and returns everything decided with it. */
  step (...decisions: Decision[]): Decision[] {
    this.script.pending.push(...decisions)
    const decided = this.scheduler.handle({ kind: 'entryLost', entry: '' }, this.now).decisions
    return this.now < this.nextTickAt ? decided : [...decided, ...this.tick()]
  }

  private tick (): Decision[] {
    this.nextTickAt = this.now + TICK_MS
    return this.scheduler.handle({ kind: 'tick' }, this.now).decisions
  }

  /** Applies decisions without the placement, which then starts anew. */
  restart (...decisions: Decision[]): void {
    for (const decision of decisions) applyDecision(this.state, decision)
    this.scheduler.lead(this.now)
  }

  /** Moves the time on and steps. */
  advance (ms: number, ...decisions: Decision[]): Decision[] {
    this.now += ms
    return this.step(...decisions)
  }

  explain (id: string): Answer | undefined {
    const { effects } = this.scheduler.handle({ kind: 'explain', call: 1, id }, this.now)
    for (const effect of effects) {
      if (effect.kind === 'reply') return effect.answer
    }
    return undefined
  }

  announced (facts: Partial<TargetState> & { name: string }): Decision {
    this.fences += 1
    return {
      kind: 'targetAnnounced',
      target: {
        kind: TargetKind.worker,
        session: `session-${this.fences}`,
        fence: this.fences,
        incarnation: 1,
        vm: facts.name,
        rack: 'rack-0',
        availabilityZone: 'zone-0',
        address: '127.0.0.1:1',
        capacity: createResources(32, 128),
        service: '',
        slots: 0,
        connections: 0,
        phase: TargetPhase.ready,
        ...facts
      }
    }
  }

  applied (id: string, spec: Partial<WorkloadSpec> = {}): Decision {
    return { kind: 'workloadApplied', id, owner: 'owner', spec: createSpec(spec), version: 1, at: this.now }
  }

  task (id: string, index: number): TaskState {
    const task = this.state.workloads.get(id)?.tasks[index]
    if (task === undefined) throw new Error(`no task ${id}/${index}`)
    return task
  }

  started (id: string, index: number): Decision {
    return { kind: 'taskStarted', id, index, attempt: this.task(id, index).attempt }
  }

  ended (id: string, index: number, phase: TaskPhase = TaskPhase.succeeded): Decision {
    const { attempt, target } = this.task(id, index)
    return { kind: 'taskEnded', id, index, attempt, target, phase, cause: EndCause.succeeded, reason: '' }
  }

  requeued (id: string, index: number, failed = false): Decision {
    const { attempt, target, failures } = this.task(id, index)
    return {
      kind: 'taskRequeued',
      id,
      index,
      attempt,
      target,
      failures: failed ? failures + 1 : failures,
      cause: failed ? EndCause.failed : EndCause.stopped,
      reason: '',
      at: this.now,
      notBefore: 0
    }
  }
}

/** An amount of whole cores and GiB. */
export function createResources (cores: number, gib: number, accelerators = 0): Resources {
  return { millicores: cores * 1_000, memoryMib: gib * 1_024, accelerators }
}

export function createSpec (spec: Partial<WorkloadSpec> = {}): WorkloadSpec {
  return {
    name: 'workload',
    kind: WorkloadKind.batch,
    firm: 'firm',
    team: 'team',
    taskCount: 1,
    resources: createResources(1, 1),
    urgency: Urgency.normal,
    priority: 0,
    policy: '',
    estimateMs: 0,
    idempotent: true,
    retryLimit: 0,
    preemptible: true,
    availabilityZones: [],
    labels: {},
    payload: new Uint8Array(0),
    ...spec
  }
}

export function listPlaced (decisions: readonly Decision[]): Placed[] {
  return decisions.filter((decision): decision is Placed => decision.kind === 'taskPlaced')
}

export function listStopping (decisions: readonly Decision[]): Stopping[] {
  return decisions.filter((decision): decision is Stopping => decision.kind === 'taskStopping')
}
