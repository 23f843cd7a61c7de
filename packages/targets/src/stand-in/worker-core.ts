/**
 * Session and task state of a worker, without sockets or timers: it has one session at
 * a time, rejects commands of another session or with a lower fencing token, starts
 * an attempt at most once, and never starts an attempt that was stopped.
 */

import { ErrorKind, fail, type Command, type CommandResult, type Resources, type TaskEnd, type TaskUsage } from '@flamingorouter/scheduler'

/** One run of one attempt, as recorded in the journal. */
export interface TaskRun {
  task: string
  attempt: number
  worker: string
  vm: string
  resources: Resources
  /** Milliseconds since 1970. */
  begin: number
  /** Milliseconds since 1970; 0 while the attempt runs. */
  end: number
}

/** How a stand-in worker runs a task; decoded from the JSON in the payload of the task. */
export interface TaskPlan {
  /** Run time in milliseconds; a task with 0 runs until it is stopped. */
  runMs: number
  /** The task ends as failed once its run time has elapsed. */
  fails: boolean
  /** Reported usage as a fraction of the requested millicores and memory. */
  usageFactor: number
}

interface RunningTask {
  record: TaskRun
  plan: TaskPlan
  /** Milliseconds since 1970; 0 for a task that runs until it is stopped. */
  endsAt: number
}

/** Number of ended attempts that are remembered, so that a late start of one of them is rejected. */
const FINISHED_ATTEMPT_LIMIT = 10_000

export class WorkerCore {
  session = ''
  fence = 0
  /** Expiry of the lease in milliseconds since 1970; the lease is counted from the sending of the announcement or renewal. */
  leaseExpiresAt = 0
  readonly journal: TaskRun[] = []
  private readonly running = new Map<string, RunningTask>()
  private readonly unacknowledgedEnds = new Map<string, TaskEnd>()
  private readonly finishedKeys = new Set<string>()

  private constructor (
    readonly name: string,
    readonly vm: string,
    private readonly handleRunChange: (record: TaskRun) => void
  ) {}

  /** `handleRunChange` is called when a run begins and when it ends. */
  static create (name: string, vm: string, handleRunChange: (record: TaskRun) => void = () => {}): WorkerCore {
    return new WorkerCore(name, vm, handleRunChange)
  }

  get runningCount (): number {
    return this.running.size
  }

  /** Begins a session. The tasks of an earlier session must have been stopped by endSession. */
  openSession (session: string, fence: number, leaseExpiresAt: number): void {
    this.session = session
    this.fence = fence
    this.leaseExpiresAt = leaseExpiresAt
  }

  /**
   * Stops all tasks at once because the lease has expired or the session has ended.
   * The recorded end is never later than the expiry of the lease: a real worker has a
   * watchdog that stops tasks at that time even while its process is paused.
   */
  endSession (now: number): void {
    const end = Math.min(now, this.leaseExpiresAt)
    for (const { record } of this.running.values()) {
      record.end = end
      this.handleRunChange(record)
    }
    this.running.clear()
    this.unacknowledgedEnds.clear()
    this.session = ''
  }

  hasLeaseExpired (now: number): boolean {
    return this.session !== '' && now >= this.leaseExpiresAt
  }

  /**
   * Fails as a whole with failedPrecondition if the commands are for another session,
   * have a lower fencing token or arrive after the lease has expired. A rejected start
   * in the results would mean that the attempt will never run on this worker. That
   * can't be promised here: commands for a new session may arrive before the answer to
   * the announcement, and are accepted when they are sent again after it.
   */
  execute (session: string, fence: number, commands: readonly Command[], now: number): CommandResult[] {
    const rejection = this.findRejection(session, fence, now)
    if (rejection !== '') fail(ErrorKind.failedPrecondition, rejection)
    return commands.map(command => {
      const reason = this.applyCommand(command, now)
      return { task: command.task, attempt: command.attempt, accepted: reason === '', reason }
    })
  }

  /** Ends the tasks whose run time has elapsed. */
  endDueTasks (now: number): void {
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
    return [...this.unacknowledgedEnds.values()]
  }

  acknowledge (ends: readonly string[]): void {
    for (const key of ends) this.unacknowledgedEnds.delete(key)
  }

  private findRejection (session: string, fence: number, now: number): string {
    if (session !== this.session || this.session === '') return `session ${session} is not the current session of the worker`
    if (fence < this.fence) return `fencing token ${fence} is lower than the current token ${this.fence}`
    if (this.hasLeaseExpired(now)) return 'the lease of the worker has expired'
    return ''
  }

  private applyCommand (command: Command, now: number): string {
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
    if (this.finishedKeys.has(key)) return this.unacknowledgedEnds.has(key) ? '' : 'the attempt has already ended on this worker'
    const plan = decodeTaskPlan(payload)
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
    this.handleRunChange(record)
    this.running.set(key, { record, plan, endsAt: plan.runMs === 0 ? 0 : now + plan.runMs })
    return ''
  }

  private stop (key: string, command: Command, result: 'stopped' | 'checkpointed', now: number): string {
    const task = this.running.get(key)
    if (task !== undefined) {
      this.finish(key, task, result, now)
      return ''
    }
    // A start of the same attempt that arrives after this stop must not run.
    if (!this.finishedKeys.has(key)) {
      this.recordFinished(key)
      this.unacknowledgedEnds.set(key, { task: command.task, attempt: command.attempt, result: 'refused', reason: 'stopped before it started', runMs: 0 })
    }
    return ''
  }

  private finish (key: string, task: RunningTask, result: TaskEnd['result'], now: number): void {
    this.running.delete(key)
    this.recordFinished(key)
    const { record } = task
    record.end = now
    this.handleRunChange(record)
    this.unacknowledgedEnds.set(key, {
      task: record.task,
      attempt: record.attempt,
      result,
      reason: result === 'failed' ? 'the task failed' : '',
      runMs: now - record.begin
    })
  }

  private recordFinished (key: string): void {
    this.finishedKeys.add(key)
    if (this.finishedKeys.size <= FINISHED_ATTEMPT_LIMIT) return
    const oldest = this.finishedKeys.values().next().value
    if (oldest !== undefined) this.finishedKeys.delete(oldest)
  }
}

/** Decodes the plan in a payload. A payload that is empty or not JSON gives a task that runs until it is stopped. */
export function decodeTaskPlan (payload: Uint8Array): TaskPlan {
  const plan: TaskPlan = { runMs: 0, fails: false, usageFactor: 1 }
  if (payload.length === 0) return plan
  try {
    return { ...plan, ...JSON.parse(Buffer.from(payload).toString('utf8')) as Partial<TaskPlan> }
  } catch {
    return plan
  }
}
