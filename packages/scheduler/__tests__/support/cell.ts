/**
 * A cell in simulated time for tests and benchmarks of the placement. The
 * scheduler runs with the placement as its only real component; decisions of
 * the other components are given by the test.
 */

import {
  applyDecision,
  createClusterState,
  EndCause,
  Component,
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

/**
 * A component that makes the decisions given by a test. The `entryLost` event that triggers
 * it stands for any event.
 */
class ScriptedComponent extends Component {
  override readonly handledKinds: readonly EventKind[] = ['entryLost']
  /** Decisions to make at the next event. */
  pending: Decision[] = []

  static create (): ScriptedComponent {
    return new ScriptedComponent()
  }

  override reset (): void {}

  override handle (_event: Event, step: Step): void {
    const decisions = this.pending
    this.pending = []
    for (const decision of decisions) step.decide(decision)
  }
}

export type TaskPlaced = Extract<Decision, { kind: 'taskPlaced' }>
export type TaskStopping = Extract<Decision, { kind: 'taskStopping' }>

export class Cell {
  /** Cluster time in milliseconds. */
  now = 0
  private readonly script: ScriptedComponent
  private readonly scheduler: Scheduler
  private lastFence = 0
  private nextTickAt = 0

  private constructor (options: PlacementOptions) {
    this.script = ScriptedComponent.create()
    this.scheduler = Scheduler.create([this.script, Placement.create(options)], createClusterState())
    this.scheduler.startLeading(this.now)
  }

  static create (options: PlacementOptions = {}): Cell {
    return new Cell(options)
  }

  get state () {
    return this.scheduler.state
  }

  /**
   * Makes decisions at the current time, followed by a tick when one is due; returns all
   * decisions that were made.
   */
  step (...decisions: Decision[]): Decision[] {
    this.script.pending.push(...decisions)
    const decided = this.scheduler.handle({ kind: 'entryLost', entry: '' }, this.now).decisions
    return this.now < this.nextTickAt ? decided : [...decided, ...this.tick()]
  }

  private tick (): Decision[] {
    this.nextTickAt = this.now + TICK_MS
    return this.scheduler.handle({ kind: 'tick' }, this.now).decisions
  }

  /** Applies decisions that the placement does not observe, and then starts a new leader. */
  restart (...decisions: Decision[]): void {
    for (const decision of decisions) applyDecision(this.state, decision)
    this.scheduler.startLeading(this.now)
  }

  /** Advances the time by some milliseconds and makes decisions. */
  advance (ms: number, ...decisions: Decision[]): Decision[] {
    this.now += ms
    return this.step(...decisions)
  }

  /** The explanation for a workload; undefined when it was refused. */
  explain (id: string): Answer | undefined {
    const { effects } = this.scheduler.handle({ kind: 'explain', call: 1, id }, this.now)
    for (const effect of effects) {
      if (effect.kind === 'reply') return effect.answer
    }
    return undefined
  }

  createAnnounced (facts: Partial<TargetState> & { name: string }): Decision {
    this.lastFence += 1
    return {
      kind: 'targetAnnounced',
      target: {
        kind: TargetKind.worker,
        session: `session-${this.lastFence}`,
        fence: this.lastFence,
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

  createApplied (id: string, spec: Partial<WorkloadSpec> = {}): Decision {
    return { kind: 'workloadApplied', id, owner: 'owner', spec: createSpec(spec), version: 1, at: this.now }
  }

  /** A task in the durable state; throws when there is none. */
  getTask (id: string, index: number): TaskState {
    const task = this.state.workloads.get(id)?.tasks[index]
    if (task === undefined) throw new Error(`task ${id}/${index} does not exist`)
    return task
  }

  createStarted (id: string, index: number): Decision {
    return { kind: 'taskStarted', id, index, attempt: this.getTask(id, index).attempt }
  }

  createEnded (id: string, index: number, phase: TaskPhase = TaskPhase.succeeded): Decision {
    const { attempt, target } = this.getTask(id, index)
    return { kind: 'taskEnded', id, index, attempt, target, phase, cause: EndCause.succeeded, reason: '' }
  }

  createRequeued (id: string, index: number, hasFailed = false): Decision {
    const { attempt, target, failures } = this.getTask(id, index)
    return {
      kind: 'taskRequeued',
      id,
      index,
      attempt,
      target,
      failures: hasFailed ? failures + 1 : failures,
      cause: hasFailed ? EndCause.failed : EndCause.stopped,
      reason: '',
      at: this.now,
      notBefore: 0
    }
  }
}

/** An amount of resources in whole cores and GiB. */
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

export function listPlaced (decisions: readonly Decision[]): TaskPlaced[] {
  return decisions.filter((decision): decision is TaskPlaced => decision.kind === 'taskPlaced')
}

export function listStopping (decisions: readonly Decision[]): TaskStopping[] {
  return decisions.filter((decision): decision is TaskStopping => decision.kind === 'taskStopping')
}
