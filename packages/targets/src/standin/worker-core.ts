/**
 * The rules that a worker keeps, without sockets or timers: one session at a
 * time, no start under another session or a lower fence, starting twice is one
 * start, and no start after a stop of the same attempt.
 */

import { ErrorKind, fail, type Command, type CommandResult, type Resources, type TaskEnd, type TaskUsage } from '@flamingorouter/scheduler'

/** One run of one attempt, for checkers that read the journal afterwards. */
export interface TaskRun {
  task: string
  attempt: number
  worker: string
  vm: string
  resources: Resources
  /** Milliseconds since 1970. */
  begin: number
  /** 0 while it runs. */
  end: number
}

/** What a start asks of a stand-in; read from the payload as JSON. */
export interface RunPlan {
  /** 0 runs until it is stopped. */
  runMs: number
  fails: boolean
  /** Share of the declared resources that is reported as used. */
  usageFactor: number
}

interface RunningTask {
  record: TaskRun
  plan: RunPlan
  endsAt: number
}

/** Ended attempts that are remembered, so that a late start of one is refused. */
const HISTORY_LIMIT = 10_000

export class WorkerCore {
  session = ''
  fence = 0
  /** When the lease runs out, in milliseconds; counted from the sending of the renewal. */
  leaseUntil = 0
  readonly journal: TaskRun[] = []
  private readonly running = new Map<string, RunningTask>()
  private readonly ended = new Map<string, TaskEnd>()
  private readonly finished = new Set<string>()

  private constructor (
    readonly name: string,
    readonly vm: string,
    private readonly recorded: (record: TaskRun) => void
  ) {}

  /** `recorded` is told of each run as it begins and as it ends. */
  static create (name: string, vm: string, recorded: (record: TaskRun) => void = () => {}): WorkerCore {
    return new WorkerCore(name, vm, recorded)
  }

  get runningCount (): number {
    return this.running.size
  }

  /** Begins a session. Nothing of an earlier session runs any more. */
  openSession (session: string, fence: number, leaseUntil: number): void {
    this.session = session
    this.fence = fence
    this.leaseUntil = leaseUntil
  }

  /**
   * Stops everything at once: the lease ran out, or the session is over. A
   * watchdog stops tasks at the end of the lease even while this process is
   * paused, so that no run reaches past it.
   */
  endSession (now: number): void {
    const end = Math.min(now, this.leaseUntil)
    for (const { record } of this.running.values()) {
      record.end = end
      this.recorded(record)
    }
    this.running.clear()
    this.ended.clear()
    this.session = ''
  }

  isLeaseOver (now: number): boolean {
    return this.session !== '' && now >= this.leaseUntil
  }

  /**
   * Fails as a whole when the commands are for another session: a refusal of a
   * single start promises that this attempt never runs here, which does not hold
   * for commands that came before the answer to the announcement.
   */
  execute (session: string, fence: number, commands: readonly Command[], now: number): CommandResult[] {
    const refusal = this.refuse(session, fence, now)
    if (refusal !== '') fail(ErrorKind.failedPrecondition, refusal)
    return commands.map(command => {
      const reason = this.act(command, now)
      return { task: command.task, attempt: command.attempt, accepted: reason === '', reason }
    })
  }

  /** Ends the tasks whose run time is over. */
  advance (now: number): void {
    for (const [key, task] of this.running) {
      if (task.endsAt === 0 || now < task.endsAt) continue
      this.finish(key, task, task.plan.fails ? 'failed' : 'succeeded', now)
    }
  }

  listRunning (): TaskUsage[] {
    return [...this.running.values()].map(({ record, plan }) => ({
      task: record.task,
      attempt: record.attempt,
      usage: {
        millicores: Math.round(record.resources.millicores * plan.usageFactor),
        memoryMib: Math.round(record.resources.memoryMib * plan.usageFactor),
        accelerators: record.resources.accelerators
      }
    }))
  }

  listEnded (): TaskEnd[] {
    return [...this.ended.values()]
  }

  acknowledge (ends: readonly string[]): void {
    for (const key of ends) this.ended.delete(key)
  }

  private refuse (session: string, fence: number, now: number): string {
    if (session !== this.session || this.session === '') return `session ${session} is not open here`
    if (fence < this.fence) return `fence ${fence} is below ${this.fence}`
    if (this.isLeaseOver(now)) return 'the lease is over'
    return ''
  }

  private act (command: Command, now: number): string {
    const key = `${command.task}#${command.attempt}`
    const { action } = command
    switch (action.kind) {
      case 'start': return this.start(key, command, action.resources, action.payload, now)
      case 'stop': return this.stop(key, command, 'stopped', now)
      case 'checkpoint': return this.stop(key, command, 'checkpointed', now)
      case 'throttle': return ''
    }
  }

  private start (key: string, command: Command, resources: Resources, payload: Uint8Array, now: number): string {
    if (this.running.has(key)) return ''
    if (this.finished.has(key)) return this.ended.has(key) ? '' : 'the attempt has ended here'
    const plan = readPlan(payload)
    const record: TaskRun = {
      task: command.task,
      attempt: command.attempt,
      worker: this.name,
      vm: this.vm,
      resources,
      begin: now,
      end: 0
    }
    this.journal.push(record)
    this.recorded(record)
    this.running.set(key, { record, plan, endsAt: plan.runMs === 0 ? 0 : now + plan.runMs })
    return ''
  }

  private stop (key: string, command: Command, result: 'stopped' | 'checkpointed', now: number): string {
    const task = this.running.get(key)
    if (task !== undefined) {
      this.finish(key, task, result, now)
      return ''
    }
    // A start that is still on its way must not run after this stop.
    if (!this.finished.has(key)) {
      this.remember(key)
      this.ended.set(key, { task: command.task, attempt: command.attempt, result: 'refused', reason: 'stopped before it started', runMs: 0 })
    }
    return ''
  }

  private finish (key: string, task: RunningTask, result: TaskEnd['result'], now: number): void {
    this.running.delete(key)
    this.remember(key)
    const { record } = task
    record.end = now
    this.recorded(record)
    this.ended.set(key, {
      task: record.task,
      attempt: record.attempt,
      result,
      reason: result === 'failed' ? 'the task failed' : '',
      runMs: now - record.begin
    })
  }

  private remember (key: string): void {
    this.finished.add(key)
    if (this.finished.size <= HISTORY_LIMIT) return
    const oldest = this.finished.values().next().value
    if (oldest !== undefined) this.finished.delete(oldest)
  }
}

/** Reads a plan from a payload; anything that is not one runs until it is stopped. */
export function readPlan (payload: Uint8Array): RunPlan {
  const plan: RunPlan = { runMs: 0, fails: false, usageFactor: 1 }
  if (payload.length === 0) return plan
  try {
    return { ...plan, ...JSON.parse(Buffer.from(payload).toString('utf8')) as Partial<RunPlan> }
  } catch {
    return plan
  }
}
