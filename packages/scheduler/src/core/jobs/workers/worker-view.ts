/**
 * The leader's view of each called worker: its free capacity, the runs that are
 * or may be on it, and whether it can take more work. The view is volatile; a new
 * leader queries each worker again under its own fencing token.
 */

import { parseTaskRef, type CalledWorker, type StageSpec, type TaskRef } from '../../../types/jobs.js'
import type { Resources } from '../../../types/resources.js'
import type { AccountCharge } from '../accounts/account-usage.js'
import { FULL_PACE_PERCENT } from './pacing.js'
import type { RunProgress } from '../runs/run-progress.js'

export const RunStatus = Object.freeze({
  /** It was placed by a previous leader, or on a former incarnation; whether it runs is unknown until the worker has been queried. */
  inherited: 'inherited',
  /** Its start was ordered but is not confirmed. */
  starting: 'starting',
  running: 'running',
  stopping: 'stopping'
} as const)
export type RunStatus = typeof RunStatus[keyof typeof RunStatus]

export interface Run {
  /** `job/occurrence/stage/index` of the task. */
  task: string
  ref: TaskRef
  /** Number of the run of its task, counted from 1. */
  run: number
  status: RunStatus
  resources: Resources
  /** Best effort: uses only processor time that other tasks leave idle; its processor demand does not count as used capacity. */
  fills: boolean
  /** Priority of its queue; 0 is the highest. */
  priority: number
  image: string
  /** It keeps its progress in checkpoints, is not in a gang and not long-running, so it can be stopped without loss. */
  isPreemptible: boolean
  /** It runs until its job is cancelled. */
  isLongRunning: boolean
  /** Cluster time at which its job misses its objective; Infinity when not known. */
  objectiveAt: number
  /** Cluster time after which the result of its job has no value; Infinity when not known. */
  worthlessAt: number
  /** Declared run time in milliseconds; 0 when not known. */
  estimateMs: number
  /** Cluster time of the placement; for an inherited run, the time at which this leader took over. */
  placedAt: number
  /** Cluster time from which the resend interval is counted; 0 when no order awaits an answer. */
  resendWaitStartsAt: number
  /** Cluster time at which the last order was confirmed; 0 before that. */
  confirmedAt: number
  /** Last reported progress, 0 to 100. */
  percent: number
  /** Reference point for its speed; undefined until the run is confirmed or its worker lists it. */
  progress: RunProgress | undefined
  /** Last reported load: tail latency in milliseconds of a serving task, millicores in use of any other; 0 when not reported. */
  load: number
  /** Tail latency in milliseconds that it must stay below; 0 when it does not serve users. */
  targetMs: number
  /** Permitted speed in percent of its full speed. */
  pace: number
  /** Last known checkpoint; empty when there is none. */
  checkpoint: string
  /** Why it is being stopped; empty while it is not. */
  stopReason: string
  /** True when it was started from a checkpoint. */
  isResumed: boolean
  /** Reading of its worker's clock in milliseconds at which it had certainly started; undefined before it is known to have. */
  startedClockMs: number | undefined
  /** True if its task is suspected to crash workers; nothing else is started there during its startup. */
  isSuspect: boolean
  /** True if a previous leader placed it, until this leader learns that it runs there. */
  isInherited: boolean
  /** True if the crash of a former incarnation was counted for it, until the worker lists it as running. */
  isCrashCounted: boolean
  /** Send time of the last list request whose answer named it as running; undefined before the first. */
  listedAt: number | undefined
  /** Send time of the first list request since its last order whose answer named it neither as running nor as ended; undefined if none. */
  missingSince: number | undefined
  /** True once the worker confirmed that the run was started. */
  hasStarted: boolean
  /** The replicated state does not contain this placement; the run is tracked only until it has ended. */
  isOrphan: boolean
  /**
   * What it counts against the cap of the account of its job; undefined if the job has none. Always a property: runs of unlike
   * shapes made all decisions take 2.5 times as long at 378 workers.
   */
  charge: AccountCharge | undefined
}

/** Time without a list or a report after which the capacity of a worker counts as stale, in milliseconds. */
const STALE_CAPACITY_MS = 2_000

/** Longest time for which a worker that answers again is given no work for want of a report, in milliseconds. */
const REPORT_WAIT_MS = 3_000

export class WorkerView {
  readonly runs = new Map<string, Run>()
  /** True once the worker has answered a query with the fencing token of this leader; reset when its runs have lapsed. */
  hasAcceptedToken = false
  /**
   * True if the worker can be expected to take work, now or after a short silence: this leader has reached it, or took it over
   * so lately that a lease may remain there. A report alone does not tell that the worker can be called.
   */
  isExpected = false
  /** Cluster time at which the worker was found to have started again, before it reported its new incarnation; 0 if it was not. */
  restartedAt = 0
  /** True while the worker does not answer. */
  isSilent = false
  /** Cluster time until which a worker that was silent gets no new work unless it reports its capacity; 0 if it has. */
  private awaitsReportUntil = 0
  /** Cluster time at which it closed its connections, as a process that ends does; undefined while it answers, or only does not. */
  closedAt: number | undefined
  /** Highest sequence number of its reports; 0 if they have none. */
  reportSequence = 0
  /** Cluster time of its last list; before the first to this leader, that at which its capacity was still known to hold. */
  private contactAt: number
  /** Cluster time of its last report that was not late; 0 before the first to this leader. */
  private reportedAt = 0
  /** Latest reading of its clock in milliseconds; 0 before the first. */
  clockMs = 0
  /** Highest number of a run end that was processed. */
  cursor = 0
  /** Send time of the latest list request before which no run ended without its end being known; -Infinity before the first. */
  endsKnownUntil = -Infinity
  /** True while its VM is being evacuated for upkeep; it gets no new work. */
  isEvacuating = false
  /** True while an order to take its VM down may be in flight. */
  isGoingDown = false
  /** Cluster time in milliseconds before which it gets no new work. */
  cooldownUntil = 0
  /** Moving average of the share of runs on this worker that failed, 0 to 1. */
  failureRate = 0
  /** Logarithm of its speed relative to its peers, computed again in intervals; 0 where speeds are not learnt. */
  speedLog = 0
  private usedMillicores = 0
  private usedMemoryMib = 0
  private usedAccelerators = 0
  /** In use by long-running tasks. */
  readonly longRunning: Resources = { millicores: 0, memoryMib: 0, accelerators: 0 }
  /** Increases when a long-running run is added or removed, or is told to stop. */
  longRunningVersion = 0
  /** Number of runs of suspected tasks. */
  private suspectCount = 0
  /** Increases when a run that counts against the cap of an account is added or removed. */
  chargeVersion = 0

  private constructor (
    public worker: CalledWorker,
    /** Cluster time at which this leader learned of this incarnation, or knew that its runs were over; meaningful until it is reached. */
    public unreachedSince: number,
    capacityKnownAt: number
  ) {
    this.contactAt = capacityKnownAt
  }

  /** `capacityKnownAt` is the cluster time at which the capacity of the worker was still known to hold. */
  static create (worker: CalledWorker, unreachedSince: number, capacityKnownAt = unreachedSince): WorkerView {
    const view = new WorkerView(worker, unreachedSince, capacityKnownAt)
    view.reportSequence = worker.sequence ?? 0
    return view
  }

  /** Records that the worker has listed its runs. After a long time its capacity may have changed, unless it was reported meanwhile. */
  recordContact (now: number): void {
    if (now - Math.max(this.contactAt, this.reportedAt) > STALE_CAPACITY_MS) this.awaitsReportUntil = now + REPORT_WAIT_MS
    this.contactAt = now
    this.isSilent = false
  }

  recordReport (sequence: number, now: number): void {
    if (sequence < this.reportSequence) return
    this.reportSequence = sequence
    this.reportedAt = now
    this.awaitsReportUntil = 0
  }

  get id (): string {
    return this.worker.id
  }

  /** Cluster time of the last sign of the worker, while this leader has not reached it. */
  get lastSignAt (): number {
    return Math.max(this.unreachedSince, this.reportedAt)
  }

  get freeMillicores (): number {
    return this.worker.capacity.millicores - this.usedMillicores
  }

  get freeMemoryMib (): number {
    return this.worker.capacity.memoryMib - this.usedMemoryMib
  }

  get freeAccelerators (): number {
    return this.worker.capacity.accelerators - this.usedAccelerators
  }

  /** True for a worker that this leader has not listed yet, and that may take work once it has. */
  get isUnlisted (): boolean {
    return !this.hasAcceptedToken && !this.isSilent && !this.worker.isDraining && this.worker.address !== ''
  }

  /** True when new runs may be placed on the worker. */
  isSchedulable (now: number): boolean {
    return this.hasAcceptedToken && !this.isSilent && !this.isEvacuating && !this.worker.isDraining && now >= this.cooldownUntil && now >= this.awaitsReportUntil && !this.isProbed(now)
  }

  /** True while a run that is suspected to crash workers may still do so, and another start could not be told apart from it. */
  isProbed (now: number): boolean {
    if (this.suspectCount === 0) return false
    return [...this.runs.values()].some(run => run.isSuspect && mayCrashSoon(this, run, now))
  }

  /** Number of runs that may still crash the worker in their startup. */
  countStartups (now: number): number {
    return [...this.runs.values()].filter(run => mayCrashSoon(this, run, now)).length
  }

  /** Adds a run and counts its resources as used; replaces another run of the same task. */
  add (run: Run): void {
    this.remove(run.task)
    this.runs.set(run.task, run)
    this.updateUsage(run, 1)
  }

  remove (task: string): void {
    const run = this.runs.get(task)
    if (run === undefined) return
    this.runs.delete(task)
    this.updateUsage(run, -1)
  }

  private updateUsage (run: Run, sign: number): void {
    if (!run.fills) this.usedMillicores += sign * run.resources.millicores
    this.usedMemoryMib += sign * run.resources.memoryMib
    this.usedAccelerators += sign * run.resources.accelerators
    if (run.isLongRunning) {
      this.longRunningVersion += 1
      if (!run.fills) this.longRunning.millicores += sign * run.resources.millicores
      this.longRunning.memoryMib += sign * run.resources.memoryMib
      this.longRunning.accelerators += sign * run.resources.accelerators
    }
    if (run.isSuspect) this.suspectCount += sign
    if (run.charge !== undefined) this.chargeVersion += 1
  }
}

/** Creates a run that is placed at `now` and whose start is ordered. */
export function createRun (ref: TaskRef, task: string, run: number, stage: StageSpec, priority: number, now: number): Run {
  const { resources, fills, image } = stage
  const isPreemptible = stage.checkpoints && !stage.gang && !stage.longRunning
  return {
    task,
    ref,
    run,
    status: RunStatus.starting,
    resources,
    fills,
    priority,
    image,
    isPreemptible,
    isLongRunning: stage.longRunning,
    objectiveAt: Infinity,
    worthlessAt: Infinity,
    estimateMs: stage.estimateMs,
    placedAt: now,
    resendWaitStartsAt: now,
    confirmedAt: 0,
    percent: 0,
    progress: undefined,
    load: 0,
    targetMs: stage.targetMs,
    pace: FULL_PACE_PERCENT,
    checkpoint: '',
    stopReason: '',
    isResumed: false,
    startedClockMs: undefined,
    isSuspect: false,
    isInherited: false,
    isCrashCounted: false,
    listedAt: undefined,
    missingSince: undefined,
    hasStarted: false,
    isOrphan: false,
    charge: undefined
  }
}

/** Creates a run that a worker lists although the replicated state does not place it there. */
export function createOrphanRun (task: string, run: number, resources: Resources, now: number): Run {
  const ref = parseTaskRef(task) ?? { job: task, occurrence: 0, stage: 0, index: 0 }
  return {
    task,
    ref,
    run,
    status: RunStatus.running,
    resources,
    fills: false,
    priority: 0,
    image: '',
    isPreemptible: false,
    isLongRunning: false,
    objectiveAt: Infinity,
    worthlessAt: Infinity,
    estimateMs: 0,
    placedAt: now,
    resendWaitStartsAt: 0,
    confirmedAt: now,
    percent: 0,
    progress: undefined,
    load: 0,
    targetMs: 0,
    pace: FULL_PACE_PERCENT,
    checkpoint: '',
    stopReason: '',
    isResumed: false,
    startedClockMs: undefined,
    isSuspect: false,
    isInherited: false,
    isCrashCounted: false,
    listedAt: undefined,
    missingSince: undefined,
    hasStarted: true,
    isOrphan: true,
    charge: undefined
  }
}

/** Time after its start for which a run is suspected if its worker crashes, in milliseconds. */
const STARTUP_MS = 250

/** True unless the worker is known to have been up when the startup of the run was over. */
export function isInStartup (view: WorkerView, { startedClockMs }: Run): boolean {
  return startedClockMs === undefined || view.clockMs - startedClockMs < STARTUP_MS
}

/** Time after the confirmation of a start in which a crash of the worker would have closed its connections, in milliseconds. */
const CLOSING_MS = 400

/** Time after the placement of a run for which its start may still be open, in milliseconds: as long as the start is repeated, and a margin. */
const LATE_START_MS = 5_000

/**
 * True while a run may still crash its worker in its startup: it is in its startup, and a crash might not have been noticed yet.
 * A worker that leaves orders unanswered, or restarts again and again, would otherwise be waited for without end.
 */
function mayCrashSoon (view: WorkerView, run: Run, now: number): boolean {
  return now - run.placedAt < LATE_START_MS && isInStartup(view, run) && !(run.status === RunStatus.running && now - run.confirmedAt >= CLOSING_MS)
}

/** Time that a placement usually takes until its start order arrives, in milliseconds. */
const START_DELAY_MS = 100

/**
 * True when a worker closed its connections so soon after the placement of a run whose start it confirmed that the run was
 * certainly there. A confirmation may come late, after a repeated order.
 */
export function wasClosedInStartup ({ closedAt = Infinity }: WorkerView, { status, placedAt, isInherited }: Run): boolean {
  return status === RunStatus.running && !isInherited && closedAt - placedAt < STARTUP_MS + START_DELAY_MS
}

/** True when the worker has a task that serves users under a latency target. */
export function isServing (view: WorkerView): boolean {
  for (const run of view.runs.values()) {
    if (run.targetMs > 0 && !run.fills) return true
  }
  return false
}
