/**
 * A fake worker that keeps the contract of docs/TARGETS.md, and can be cut off,
 * paused, crashed, given a clock that drifts, or made to fail what it starts.
 */

import {
  DEFAULT_LIMITS, type Announcement, type Answer, type Command, type CommandResult, type Event, type Resources,
  type TaskEnd, TaskResult
} from '../../src/index.js'
import type { Run } from './journal.js'
import type { World } from './world.js'

interface Running { task: string, attempt: number, resources: Resources, run: Run | undefined, endsAt: number, isStopping: boolean }

export class FakeWorker {
  session = ''
  incarnation = 1
  /** Neither hears nor is heard. */
  isCut = false
  isPaused = false
  isDown = false
  /** What tasks that it starts come to. */
  flaw: '' | 'fails' | 'refuses' = ''
  /** How much of its declaration a task uses. */
  useFactor = 1
  /** Throttled attempts, with their processor limit and when it lapses. */
  readonly throttled = new Map<string, { millicores: number, until: number }>()
  readonly running = new Map<string, Running>()
  private readonly seen = new Map<string, number>()
  private readonly refused = new Set<string>()
  private readonly finals = new Map<string, TaskEnd>()
  private readonly ended = new Map<string, TaskEnd>()
  private leaseUntil = 0

  private constructor (
    private readonly world: World,
    readonly name: string,
    public vm: string,
    readonly capacity: Resources,
    /** Local milliseconds in one true millisecond. */
    readonly rate: number
  ) {}

  static create (world: World, name: string, capacity: Resources, rate = 1): FakeWorker {
    const worker = new FakeWorker(world, name, `vm-${name}`, capacity, rate)
    worker.beat()
    return worker
  }

  get announcement (): Announcement {
    const { name, vm, capacity, incarnation } = this
    const address = `${name}:1`
    return { name, kind: 'worker', incarnation, vm, rack: 'r', availabilityZone: 'z', address, capacity, service: '', slots: 0, connections: 0 }
  }

  pause (): void {
    this.isPaused = true
    for (const running of this.running.values()) this.closeRun(running, '')
  }

  /** Looks at its clock before it lets anything run on. */
  resume (): void {
    this.isPaused = false
    this.checkLease()
    for (const running of this.running.values()) this.openRun(running)
    this.endDue()
  }

  /** Loses everything, and comes back as a new incarnation. */
  crash (): void {
    this.stopAll()
    this.isDown = true
    this.incarnation += 1
  }

  /** Loses a task without a word, which the contract forbids. */
  forget (key: string): void {
    const running = this.running.get(key)
    if (running !== undefined) this.closeRun(running, '')
    this.running.delete(key)
  }

  restart (): void {
    this.isDown = false
  }

  /** Throws when the commands are not for the session that it has. */
  execute (session: string, commands: readonly Command[]): CommandResult[] {
    if (session !== this.session) throw new Error('another session')
    return commands.map(command => this.obey(command))
  }

  private local (): number {
    return this.world.now * this.rate
  }

  private beat (): void {
    if (!this.isDown && !this.isPaused) {
      if (this.session === '') this.announce()
      else this.renew()
    }
    this.world.after(DEFAULT_LIMITS.renewEveryMs / this.rate, () => { this.beat() })
  }

  private announce (): void {
    const sentAt = this.local()
    const { incarnation } = this
    this.call({ kind: 'announce', call: 0, entry: 'entry', announcement: this.announcement }, answer => {
      if (answer.kind !== 'session' || incarnation !== this.incarnation || this.session !== '') return
      if (sentAt + answer.leaseMs <= this.local()) return
      this.session = answer.session
      this.extend(sentAt + answer.leaseMs)
    })
  }

  private renew (): void {
    const sentAt = this.local()
    const { session, name } = this
    const running = [...this.running.values()].map(({ task, attempt, resources }) => ({ task, attempt, usage: this.use(`${task}#${attempt}`, resources) }))
    const ended = [...this.ended.values()]
    this.call({ kind: 'renew', call: 0, entry: 'entry', name, session, running, ended }, answer => {
      if (answer.kind !== 'renewed' || session !== this.session) return
      if (answer.sessionOver) return this.sessionOver()
      for (const key of answer.acknowledged) this.ended.delete(key)
      this.extend(sentAt + answer.leaseMs)
    })
  }

  private call (event: Event, answered: (answer: Answer) => void): void {
    const { incarnation } = this
    if (this.isCut) return
    this.world.toLeader(event, answer => {
      if (this.isCut || this.isPaused || this.isDown || incarnation !== this.incarnation) return
      this.checkLease()
      answered(answer)
    })
  }

  private extend (until: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, until)
    this.world.after((this.leaseUntil - this.local()) / this.rate, () => { this.checkLease() })
  }

  private checkLease (): void {
    if (this.isPaused || this.isDown || this.session === '') return
    // Timers may be a rounding early, hence the hair.
    if (this.local() >= this.leaseUntil - 1e-6) this.sessionOver()
  }

  private sessionOver (): void {
    this.stopAll()
    this.incarnation += 1
  }

  private stopAll (): void {
    for (const running of this.running.values()) this.closeRun(running, '')
    for (const index of [this.running, this.seen, this.refused, this.finals, this.ended]) index.clear()
    this.session = ''
  }

  private use (key: string, { millicores, memoryMib, accelerators }: Resources): Resources {
    const throttle = this.throttled.get(key)
    const limit = throttle !== undefined && this.local() < throttle.until ? throttle.millicores : Infinity
    return { millicores: Math.min(limit, millicores * this.useFactor), memoryMib: memoryMib * this.useFactor, accelerators }
  }

  private obey (command: Command): CommandResult {
    const { task, attempt, action } = command
    const key = `${task}#${attempt}`
    const accepted = { task, attempt, accepted: true, reason: '' }
    if (action.kind === 'start') {
      if (attempt > (this.seen.get(task) ?? 0)) this.start(task, attempt, action.resources)
      return { ...accepted, accepted: !this.refused.has(key) }
    }
    if (action.kind === 'throttle') {
      this.throttled.set(key, { millicores: action.millicores, until: this.local() + DEFAULT_LIMITS.leaseMs })
    } else this.stop(task, attempt, action.kind === 'checkpoint' ? TaskResult.checkpointed : TaskResult.stopped)
    return accepted
  }

  private start (task: string, attempt: number, resources: Resources): void {
    const key = `${task}#${attempt}`
    this.seen.set(task, attempt)
    if (this.flaw === 'refuses') {
      this.refused.add(key)
      return
    }
    const runMs = this.flaw === 'fails' ? 50 : this.world.runMs(task)
    const running: Running = { task, attempt, resources, run: undefined, endsAt: this.world.now + runMs, isStopping: false }
    this.running.set(key, running)
    this.openRun(running)
    this.world.after(runMs, () => { this.endDue() })
  }

  private stop (task: string, attempt: number, result: TaskResult): void {
    const key = `${task}#${attempt}`
    const running = this.running.get(key)
    if (running === undefined) {
      this.refuseUnseen(task, attempt)
      const end = this.finals.get(key) ?? { task, attempt, result: TaskResult.refused, reason: 'never started', runMs: 0 }
      this.ended.set(key, end)
    } else if (!running.isStopping) {
      running.isStopping = true
      this.world.after(this.world.pick(0, 400), () => {
        if (this.running.get(key) === running && !this.isPaused) this.finish(running, result)
      })
    }
  }

  /** A start that comes after its stop finds that the attempt is over. */
  private refuseUnseen (task: string, attempt: number): void {
    if (attempt <= (this.seen.get(task) ?? 0)) return
    this.seen.set(task, attempt)
    this.refused.add(`${task}#${attempt}`)
  }

  private endDue (): void {
    if (this.isPaused) return
    for (const running of this.running.values()) {
      if (running.endsAt > this.world.now + 1e-6) continue
      const isFailure = this.flaw === 'fails' || this.world.isFailing(running.task)
      this.finish(running, isFailure ? TaskResult.failed : TaskResult.succeeded)
    }
  }

  private finish (running: Running, result: TaskResult): void {
    const { task, attempt } = running
    const key = `${task}#${attempt}`
    const runMs = Math.round(this.world.now - (running.run?.from ?? 0))
    this.closeRun(running, result)
    this.running.delete(key)
    const end = { task, attempt, result, reason: '', runMs }
    this.finals.set(key, end)
    this.ended.set(key, end)
  }

  private openRun (running: Running): void {
    const { task, attempt, resources } = running
    running.run = this.world.journal.open({
      task, attempt, resources, worker: this.name, vm: this.vm, once: this.world.isOnce(task), from: this.world.now
    })
  }

  private closeRun (running: Running, result: string): void {
    if (running.run === undefined) return
    if (running.run.to === Infinity) running.run.to = this.world.now
    running.run.result = result
  }
}
