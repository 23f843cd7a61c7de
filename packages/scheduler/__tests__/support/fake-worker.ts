/**
 * A fake worker that follows the contract of docs/TARGETS.md. It can be
 * disconnected, paused or crashed, have a drifting clock, and be made to fail or
 * refuse the tasks that it starts.
 */

import {
  DEFAULT_LIMITS, type Announcement, type Answer, type Command, type CommandResult, type Event, type Resources,
  type TaskEnd, TaskResult
} from '../../src/index.js'
import type { RecordedRun } from './run-journal.js'
import type { SimulatedCluster } from './simulated-cluster.js'

/** `endsAt` is a simulated time in milliseconds; `run` is undefined before the start is recorded. */
interface RunningAttempt { task: string, attempt: number, resources: Resources, run: RecordedRun | undefined, endsAt: number, isStopping: boolean }

export class FakeWorker {
  session = ''
  incarnation = 1
  /** True while all messages to and from the worker are lost. */
  isDisconnected = false
  /** True while the process of the worker is suspended, so that it executes nothing and sends nothing. */
  isPaused = false
  /** True from a crash until the restart. */
  isDown = false
  /** Injected fault: started tasks fail after a short time, or starts are refused; empty for none. */
  startFault: '' | 'fails' | 'refuses' = ''
  /** Ratio of the resources that a task uses to those that it declared. */
  usageFactor = 1
  /** Throttled attempts, by `task#attempt`, with their processor limit and the local time at which it expires. */
  readonly throttled = new Map<string, { millicores: number, until: number }>()
  /** Running attempts, by `task#attempt`. */
  readonly running = new Map<string, RunningAttempt>()
  /** Highest attempt that was started or refused, by task. */
  private readonly lastAttempts = new Map<string, number>()
  /** Refused attempts, by `task#attempt`. */
  private readonly refused = new Set<string>()
  /** Results of all finished attempts, by `task#attempt`. */
  private readonly results = new Map<string, TaskEnd>()
  /** Ends that the leader has not acknowledged yet. */
  private readonly unacknowledged = new Map<string, TaskEnd>()
  /** Local time in milliseconds at which the lease expires. */
  private leaseUntil = 0

  private constructor (
    private readonly cluster: SimulatedCluster,
    readonly name: string,
    public vm: string,
    readonly capacity: Resources,
    /** Local milliseconds for each millisecond of simulated time. */
    readonly clockRate: number
  ) {}

  static create (cluster: SimulatedCluster, name: string, capacity: Resources, clockRate = 1): FakeWorker {
    const worker = new FakeWorker(cluster, name, `vm-${name}`, capacity, clockRate)
    worker.announceOrRenew()
    return worker
  }

  get announcement (): Announcement {
    const { name, vm, capacity, incarnation } = this
    const address = `${name}:1`
    return { name, kind: 'worker', incarnation, vm, rack: 'r', availabilityZone: 'z', address, capacity, service: '', slots: 0, connections: 0 }
  }

  pause (): void {
    this.isPaused = true
    for (const running of this.running.values()) this.recordEnd(running, '')
  }

  /** Checks the lease against the local clock before any task continues. */
  resume (): void {
    this.isPaused = false
    this.checkLease()
    for (const running of this.running.values()) this.recordStart(running)
    this.finishDue()
  }

  /** Stops without keeping any state; after `restart` the worker announces a new incarnation. */
  crash (): void {
    this.stopAll()
    this.isDown = true
    this.incarnation += 1
  }

  /** Drops a task without reporting its end, which violates the contract. */
  dropTask (key: string): void {
    const running = this.running.get(key)
    if (running !== undefined) this.recordEnd(running, '')
    this.running.delete(key)
  }

  restart (): void {
    this.isDown = false
  }

  /** Executes commands; throws when they are not for the current session. */
  execute (session: string, commands: readonly Command[]): CommandResult[] {
    if (session !== this.session) throw new Error('the commands are for another session')
    return commands.map(command => this.executeCommand(command))
  }

  private localNow (): number {
    return this.cluster.now * this.clockRate
  }

  private announceOrRenew (): void {
    if (!this.isDown && !this.isPaused) {
      if (this.session === '') this.announce()
      else this.renew()
    }
    this.cluster.schedule(DEFAULT_LIMITS.renewEveryMs / this.clockRate, () => { this.announceOrRenew() })
  }

  private announce (): void {
    const sentAt = this.localNow()
    const { incarnation } = this
    this.callLeader({ kind: 'announce', call: 0, entry: 'entry', announcement: this.announcement }, answer => {
      if (answer.kind !== 'session' || incarnation !== this.incarnation || this.session !== '') return
      if (sentAt + answer.leaseMs <= this.localNow()) return
      this.session = answer.session
      this.extendLease(sentAt + answer.leaseMs)
    })
  }

  private renew (): void {
    const sentAt = this.localNow()
    const { session, name } = this
    const running = [...this.running.values()].map(({ task, attempt, resources }) => ({ task, attempt, usage: this.computeUsage(`${task}#${attempt}`, resources) }))
    const ended = [...this.unacknowledged.values()]
    this.callLeader({ kind: 'renew', call: 0, entry: 'entry', name, session, running, ended }, answer => {
      if (answer.kind !== 'renewed' || session !== this.session) return
      if (answer.sessionOver) return this.endSession()
      for (const key of answer.acknowledged) this.unacknowledged.delete(key)
      this.extendLease(sentAt + answer.leaseMs)
    })
  }

  private callLeader (event: Event, onAnswer: (answer: Answer) => void): void {
    const { incarnation } = this
    if (this.isDisconnected) return
    this.cluster.sendToLeader(event, answer => {
      if (this.isDisconnected || this.isPaused || this.isDown || incarnation !== this.incarnation) return
      this.checkLease()
      onAnswer(answer)
    })
  }

  private extendLease (until: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, until)
    this.cluster.schedule((this.leaseUntil - this.localNow()) / this.clockRate, () => { this.checkLease() })
  }

  private checkLease (): void {
    if (this.isPaused || this.isDown || this.session === '') return
    // Rounding can make timers fire slightly early, so a small tolerance is subtracted.
    if (this.localNow() >= this.leaseUntil - 1e-6) this.endSession()
  }

  private endSession (): void {
    this.stopAll()
    this.incarnation += 1
  }

  private stopAll (): void {
    for (const running of this.running.values()) this.recordEnd(running, '')
    for (const collection of [this.running, this.lastAttempts, this.refused, this.results, this.unacknowledged]) collection.clear()
    this.session = ''
  }

  private computeUsage (key: string, { millicores, memoryMib, accelerators }: Resources): Resources {
    const throttle = this.throttled.get(key)
    const limit = throttle !== undefined && this.localNow() < throttle.until ? throttle.millicores : Infinity
    return { millicores: Math.min(limit, millicores * this.usageFactor), memoryMib: memoryMib * this.usageFactor, accelerators }
  }

  private executeCommand (command: Command): CommandResult {
    const { task, attempt, action } = command
    const key = `${task}#${attempt}`
    const accepted = { task, attempt, accepted: true, reason: '' }
    if (action.kind === 'start') {
      if (attempt > (this.lastAttempts.get(task) ?? 0)) this.start(task, attempt, action.resources)
      return { ...accepted, accepted: !this.refused.has(key) }
    }
    if (action.kind === 'throttle') {
      this.throttled.set(key, { millicores: action.millicores, until: this.localNow() + DEFAULT_LIMITS.leaseMs })
    } else this.stop(task, attempt, action.kind === 'checkpoint' ? TaskResult.checkpointed : TaskResult.stopped)
    return accepted
  }

  private start (task: string, attempt: number, resources: Resources): void {
    const key = `${task}#${attempt}`
    this.lastAttempts.set(task, attempt)
    if (this.startFault === 'refuses') {
      this.refused.add(key)
      return
    }
    const runMs = this.startFault === 'fails' ? 50 : this.cluster.runMs(task)
    const running: RunningAttempt = { task, attempt, resources, run: undefined, endsAt: this.cluster.now + runMs, isStopping: false }
    this.running.set(key, running)
    this.recordStart(running)
    this.cluster.schedule(runMs, () => { this.finishDue() })
  }

  private stop (task: string, attempt: number, result: TaskResult): void {
    const key = `${task}#${attempt}`
    const running = this.running.get(key)
    if (running === undefined) {
      this.refuseUnstarted(task, attempt)
      const end = this.results.get(key) ?? { task, attempt, result: TaskResult.refused, reason: 'never started', runMs: 0 }
      this.unacknowledged.set(key, end)
    } else if (!running.isStopping) {
      running.isStopping = true
      this.cluster.schedule(this.cluster.randomInt(0, 400), () => {
        if (this.running.get(key) === running && !this.isPaused) this.finish(running, result)
      })
    }
  }

  /** Marks an attempt that was never started as refused, so that a start that arrives after its stop is refused too. */
  private refuseUnstarted (task: string, attempt: number): void {
    if (attempt <= (this.lastAttempts.get(task) ?? 0)) return
    this.lastAttempts.set(task, attempt)
    this.refused.add(`${task}#${attempt}`)
  }

  private finishDue (): void {
    if (this.isPaused) return
    for (const running of this.running.values()) {
      if (running.endsAt > this.cluster.now + 1e-6) continue
      const isFailure = this.startFault === 'fails' || this.cluster.isFailing(running.task)
      this.finish(running, isFailure ? TaskResult.failed : TaskResult.succeeded)
    }
  }

  private finish (running: RunningAttempt, result: TaskResult): void {
    const { task, attempt } = running
    const key = `${task}#${attempt}`
    const runMs = Math.round(this.cluster.now - (running.run?.from ?? 0))
    this.recordEnd(running, result)
    this.running.delete(key)
    const end = { task, attempt, result, reason: '', runMs }
    this.results.set(key, end)
    this.unacknowledged.set(key, end)
  }

  private recordStart (running: RunningAttempt): void {
    const { task, attempt, resources } = running
    running.run = this.cluster.journal.recordStart({
      task, attempt, resources, worker: this.name, vm: this.vm, mustRunOnce: this.cluster.mustRunOnce(task), from: this.cluster.now
    })
  }

  private recordEnd (running: RunningAttempt, result: string): void {
    if (running.run === undefined) return
    if (running.run.to === Infinity) running.run.to = this.cluster.now
    running.run.result = result
  }
}
