/**
 * Simulates a leader with its log, fake workers and the messages between them in
 * simulated time. Messages can be lost, delayed and duplicated, and a leader can be
 * replaced while decisions are not committed. Processing takes no simulated time,
 * so load is not modelled.
 */

import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import {
  applyDecision, createClusterState, createComponents, DEFAULT_LIMITS, isAnswerEffect, Scheduler, createTaskKey, Urgency,
  type Answer, type ClusterState, type Decision, type Effect, type ErrorKind, type Event, type Limits, type Resources,
  type TaskState, type WorkloadSpec
} from '../../src/index.js'
import { RunJournal } from './run-journal.js'
import { FakeWorker } from './fake-worker.js'

export type Refused = { kind: 'refused', error: ErrorKind, message: string }
export type CommandEffect = Extract<Effect, { kind: 'command' }>
type Reply = (answer: Answer) => void

/** Network and commit conditions: probabilities in percent, maximum delays in milliseconds. */
export interface NetworkConditions { lossPercent: number, duplicatePercent: number, delayMs: number, commitMs: number }

interface Timer { runAt: number, order: number, run: () => void }
interface LogEntry { decisions: Decision[], effects: Effect[] }

export class SimulatedCluster {
  /** Simulated time in milliseconds. */
  now = 0
  network: NetworkConditions = { lossPercent: 0, duplicatePercent: 0, delayMs: 1, commitMs: 1 }
  readonly journal = RunJournal.create()
  readonly workers: FakeWorker[] = []
  /** All committed decisions, in order. */
  readonly committed: Decision[] = []
  /** All commands that were sent, delivered or not. */
  readonly commands: CommandEffect[] = []
  /** Replaces the delivery of commands to workers; the network conditions then do not apply to them. */
  interceptCommand: ((effect: CommandEffect, deliver: () => void) => void) | undefined
  /** Run time of a task in milliseconds. */
  runMsOf: (task: string) => number = () => 5_000
  /** Whether a task that has run for its run time fails. */
  failsTask: (task: string) => boolean = () => false
  scheduler: Scheduler
  readonly limits: Limits
  private readonly committedState: ClusterState = createClusterState()
  private readonly random
  /** Sorted by time. */
  private readonly timers: Timer[] = []
  private readonly replies = new Map<number, Reply>()
  private readonly refusals = new Map<number, (refused: Refused) => void>()
  private uncommitted: LogEntry[] = []
  private leaderNumber = 0
  private isLed = true
  /** Difference in milliseconds between the clock of the leader and the simulated time; changes with each leader. */
  private clockOffset = 0
  private timerCount = 0
  private callCount = 0

  private constructor (seed: number, limits: Partial<Limits>) {
    this.random = xoroshiro128plus(seed)
    this.limits = { ...DEFAULT_LIMITS, ...limits }
    this.scheduler = this.createLeader()
    this.tick()
  }

  static create (seed = 1, limits: Partial<Limits> = {}): SimulatedCluster {
    return new SimulatedCluster(seed, limits)
  }

  /** The committed state. */
  get state (): ClusterState {
    return this.committedState
  }

  /** A random integer between two bounds, both included. */
  randomInt (min: number, max: number): number {
    return uniformInt(this.random, min, max)
  }

  /** Runs a callback after a simulated time; callbacks for the same time run in the order of their registration. */
  schedule (ms: number, run: () => void): void {
    this.timerCount += 1
    const timer = { runAt: this.now + Math.max(0, ms), order: this.timerCount, run }
    let position = this.timers.length
    while (position > 0 && this.timers[position - 1].runAt > timer.runAt) position -= 1
    this.timers.splice(position, 0, timer)
  }

  /** Advances the simulated time and runs the timers that are due. */
  advance (ms: number): void {
    const until = this.now + ms
    for (let next = this.timers[0]; next !== undefined && next.runAt <= until; next = this.timers[0]) {
      this.timers.shift()
      this.now = next.runAt
      next.run()
    }
    this.now = until
  }

  addWorker (name: string, capacity: Resources = createResources(4, 8), clockRate = 1): FakeWorker {
    const worker = FakeWorker.create(this, name, capacity, clockRate)
    this.workers.push(worker)
    return worker
  }

  getWorker (name: string): FakeWorker {
    const worker = this.workers.find(worker => worker.name === name)
    if (worker === undefined) throw new Error(`no worker ${name}`)
    return worker
  }

  getTask (id: string, index = 0): TaskState {
    const task = this.committedState.workloads.get(id)?.tasks[index]
    if (task === undefined) throw new Error(`no task ${createTaskKey(id, index)}`)
    return task
  }

  runMs (task: string): number {
    return this.runMsOf(task)
  }

  isFailing (task: string): boolean {
    return this.failsTask(task)
  }

  /** True for a task that may run at most once: it is neither idempotent nor preemptible, and not of a service. */
  mustRunOnce (task: string): boolean {
    const spec = this.committedState.workloads.get(task.slice(0, task.lastIndexOf('/')))?.spec
    return spec !== undefined && !spec.idempotent && !spec.preemptible && spec.kind !== 'service'
  }

  findViolations (): string[] {
    return this.journal.findViolations(new Map(this.workers.map(worker => [worker.vm, worker.capacity])))
  }

  /** Sends an event to the leader over the simulated network. */
  sendToLeader (event: Event, reply?: Reply): void {
    this.send(() => { this.feed(event, reply) })
  }

  /** Delivers an event to the leader at once, commits everything and returns the answer; throws when there is none. */
  callLeader (event: Event): Answer | Refused {
    let answered: Answer | Refused | undefined
    this.feed(event, answer => { answered = answer }, refused => { answered = refused })
    this.commitAll()
    if (answered === undefined) throw new Error(`no answer to ${event.kind}`)
    return answered
  }

  submit (spec: Partial<WorkloadSpec>, requestId = ''): string {
    const answer = this.callLeader({ kind: 'submitJob', call: 0, origin: createOrigin(requestId), spec: createJob(spec) })
    if (answer.kind !== 'applied') throw new Error(JSON.stringify(answer))
    return answer.id
  }

  cancel (id: string): Answer | Refused {
    return this.callLeader({ kind: 'cancelJobs', call: 0, origin: createOrigin(), id, selector: {} })
  }

  /** Replaces the leader. The new one starts from the committed entries and the first `kept` uncommitted ones. */
  changeLeader (kept = 0): void {
    const entries = this.uncommitted
    this.uncommitted = []
    this.leaderNumber += 1
    for (const entry of entries.slice(0, kept)) this.applyCommitted(entry)
    this.clockOffset = this.randomInt(-200, 200)
    this.replies.clear()
    this.refusals.clear()
    this.scheduler = this.createLeader()
  }

  /** Leaves the cluster without a leader for a time, then starts a new one. */
  loseLeader (ms: number): void {
    this.isLed = false
    this.schedule(ms, () => {
      this.isLed = true
      this.changeLeader(this.randomInt(0, this.uncommitted.length))
    })
  }

  /** Commits all entries of the leader. */
  commitAll (): void {
    while (this.uncommitted.length > 0) this.commitFirst()
  }

  get hasLeader (): boolean {
    return this.isLed
  }

  private createLeader (): Scheduler {
    const scheduler = Scheduler.create(createComponents(this.limits), structuredClone(this.committedState))
    scheduler.startLeading(this.leaderClock)
    return scheduler
  }

  private get leaderClock (): number {
    return Math.round(this.now + this.clockOffset)
  }

  private tick (): void {
    if (this.isLed) this.feed({ kind: 'tick' })
    this.schedule(100, () => { this.tick() })
  }

  private feed (event: Event, reply?: Reply, refuse?: (refused: Refused) => void): void {
    if (!this.isLed) return
    const numberedEvent = this.assignCall(event, reply, refuse)
    const { decisions, effects } = this.scheduler.handle(numberedEvent, this.leaderClock)
    if (decisions.length === 0 && effects.length === 0) return
    // Cloned, as encoding would do, so that later changes of the state do not affect the entry.
    this.uncommitted.push(structuredClone({ decisions, effects }))
    const { leaderNumber } = this
    this.schedule(this.randomInt(0, this.network.commitMs), () => {
      if (leaderNumber === this.leaderNumber && this.isLed) this.commitFirst()
    })
  }

  private assignCall (event: Event, reply?: Reply, refuse?: (refused: Refused) => void): Event {
    if (!('call' in event)) return event
    this.callCount += 1
    if (reply !== undefined) this.replies.set(this.callCount, reply)
    if (refuse !== undefined) this.refusals.set(this.callCount, refuse)
    return { ...event, call: this.callCount }
  }

  private commitFirst (): void {
    const entry = this.uncommitted.shift()
    if (entry === undefined) return
    this.applyCommitted(entry)
    for (const effect of entry.effects) this.performEffect(effect)
  }

  private applyCommitted (entry: LogEntry): void {
    for (const decision of structuredClone(entry.decisions)) {
      applyDecision(this.committedState, decision)
      this.committed.push(decision)
    }
  }

  private performEffect (effect: Effect): void {
    if (effect.kind === 'command') {
      this.commands.push(effect)
      const deliver = (): void => { this.deliver(effect) }
      if (this.interceptCommand !== undefined) this.interceptCommand(effect, deliver)
      else this.send(deliver)
      return
    }
    if (!isAnswerEffect(effect)) return
    const reply = this.replies.get(effect.call)
    const refuse = this.refusals.get(effect.call)
    this.replies.delete(effect.call)
    this.refusals.delete(effect.call)
    if (effect.kind === 'refuse') refuse?.({ kind: 'refused', error: effect.error, message: effect.message })
    else if (refuse !== undefined) reply?.(effect.answer)
    else this.send(() => { reply?.(effect.answer) })
  }

  private deliver (effect: CommandEffect): void {
    const { target, session, commands } = effect
    const worker = this.getWorker(target)
    if (worker.isPaused) return this.schedule(500, () => { this.deliver(effect) })
    try {
      if (worker.isDisconnected || worker.isDown) throw new Error('unreachable')
      const results = worker.execute(session, commands)
      this.sendToLeader({ kind: 'commandResults', target, session, results })
    } catch (error) {
      this.sendToLeader({ kind: 'commandsLost', target, session, commands, reason: String(error) })
    }
  }

  private send (arrive: () => void): void {
    const { lossPercent, duplicatePercent, delayMs } = this.network
    if (this.randomInt(1, 100) <= lossPercent) return
    this.schedule(this.randomInt(0, delayMs), arrive)
    if (this.randomInt(1, 100) <= duplicatePercent) this.schedule(this.randomInt(0, 20 * delayMs), arrive)
  }
}

export function createResources (cores: number, gib: number, accelerators = 0): Resources {
  return { millicores: cores * 1_000, memoryMib: gib * 1_024, accelerators }
}

export function createOrigin (requestId = '', digest = 'digest'): { actor: string, requestId: string, method: string, digest: string } {
  return { actor: 'operator', requestId, method: 'method', digest }
}

export function createJob (spec: Partial<WorkloadSpec> = {}): WorkloadSpec {
  return {
    name: 'job',
    kind: 'batch',
    firm: 'firm',
    team: 'team',
    taskCount: 1,
    resources: createResources(1, 1),
    urgency: Urgency.normal,
    priority: 0,
    policy: '',
    estimateMs: 0,
    idempotent: true,
    retryLimit: 3,
    preemptible: false,
    availabilityZones: [],
    labels: {},
    payload: new Uint8Array(0),
    ...spec
  }
}
