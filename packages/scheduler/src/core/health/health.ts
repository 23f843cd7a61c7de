/**
 * Health of workers and of workloads. A worker that fails tasks which succeed
 * elsewhere becomes suspect: it gets no new work except one probe after a backoff,
 * and is ready again once a probe or an earlier task succeeds there, or when no
 * probe was placed for some time. A workload that fails on several workers is
 * itself delayed.
 */

import type { Decision, DecisionOf } from '../../types/decisions.js'
import type { Event } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, TargetPhase, type TargetState } from '../../types/targets.js'
import { EndCause, TaskPhase } from '../../types/workloads.js'
import { Component } from '../component.js'
import type { Step } from '../step.js'
import { computeExponentialBackoffMs } from '../tasks/backoff.js'
import { Evidence } from './evidence.js'
import { type WorkRecord, WorkRecords } from './work-records.js'

/** At most one worker in this many may be suspect; when more of them fail, the workers are not the cause. One may be suspect in a smaller cell too. */
const WORKERS_PER_SUSPECT = 3
/** Number of workers on which work must fail before its workload is delayed. */
const FAILING_WORKERS_MIN = 2
/** Delay of the first probe as a multiple of the delay before the first retry of a failed task. */
const PROBE_BACKOFF_FACTOR = 8
/** A suspect on which no probe was placed for this long, in milliseconds, becomes ready without one. */
const PROBE_WAIT_MAX_MS = 10_000
/** A probe that still runs this long after its placement, in milliseconds, counts as successful. */
const PROBE_SUCCESS_RUN_MS = 10_000

interface WorkerHealth {
  evidence: Evidence
  /** Times that the worker became suspect or failed a probe; determines the delay before the next probe. */
  suspicions: number
  /** Cluster time in milliseconds from which a suspect may be probed. */
  probeAt: number
  probe: Probe | undefined
}

interface Probe { id: string, index: number, attempt: number, placedAt: number }

type End = DecisionOf<'taskEnded' | 'taskRequeued'>
type Placement = DecisionOf<'taskPlaced'>

export class Health extends Component {
  readonly handledKinds = [] as const
  private readonly records = WorkRecords.create()
  private readonly workers = new Map<string, WorkerHealth>()
  /** Ends of attempts in this step that are not evaluated yet. */
  private readonly ends: End[] = []
  /** Names of targets that got a probe in this step; they become suspect again until it ends. */
  private readonly newlyProbed = new Set<string>()

  private constructor (private readonly limits: Limits) {
    super()
  }

  static create (limits: Limits): Health {
    return new Health(limits)
  }

  reset (state: ClusterState, now: number): void {
    this.records.clear()
    this.workers.clear()
    this.ends.length = 0
    this.newlyProbed.clear()
    for (const target of state.targets.values()) {
      if (!isSuspect(target)) continue
      this.getOrCreateHealth(target.name).probeAt = now + this.probeDelayMs(1)
      // A target that a previous leader set to probing is suspect again and waits for its next probe.
      if (target.phase === TargetPhase.probing) this.newlyProbed.add(target.name)
    }
  }

  handle (_event: Event, _step: Step): void {}

  override observe (decision: Decision, state: ClusterState, now: number): void {
    switch (decision.kind) {
      case 'taskPlaced': return this.handlePlacement(decision, state, now)
      case 'taskEnded':
      case 'taskRequeued':
        if (decision.target !== '') this.ends.push(decision)
        return
      case 'targetReadmitted': this.workers.delete(decision.name); return
      case 'vmReadmitted':
        for (const target of state.targets.values()) {
          if (target.vm === decision.vm) this.workers.delete(target.name)
        }
        return
      case 'targetRemoved': this.workers.delete(decision.name)
    }
  }

  override reconcile (step: Step): void {
    for (const end of this.ends.splice(0)) this.evaluateEnd(step, end)
    for (const name of this.newlyProbed) this.setPhase(step, name, TargetPhase.probing, TargetPhase.suspect)
    this.newlyProbed.clear()
  }

  override tick (step: Step): void {
    for (const [name, health] of this.workers) {
      const target = step.state.targets.get(name)
      if (target === undefined) continue
      // Without this, gangs and tasks that are too large to serve as a probe could wait for this worker without end. Its
      // evidence is kept, so that one more failure makes it suspect again.
      const isOverdue = step.now - health.probeAt >= PROBE_WAIT_MAX_MS
      if (isOverdue && health.probe === undefined) this.setPhase(step, name, TargetPhase.probing, TargetPhase.ready)
      if (target.phase !== TargetPhase.suspect) continue
      if (health.probe !== undefined) this.checkProbe(step, target, health, health.probe)
      else if (step.now >= health.probeAt) this.setPhase(step, name, TargetPhase.suspect, TargetPhase.probing)
    }
  }

  private handlePlacement (decision: Placement, state: ClusterState, now: number): void {
    if (state.targets.get(decision.target)?.phase !== TargetPhase.probing) return
    const { id, index, attempt } = decision
    this.getOrCreateHealth(decision.target).probe = { id, index, attempt, placedAt: now }
    this.newlyProbed.add(decision.target)
  }

  private evaluateEnd (step: Step, end: End): void {
    const spec = step.state.workloads.get(end.id)?.spec
    const target = step.state.targets.get(end.target)
    const isFailure = end.cause === EndCause.failed || end.cause === EndCause.refused
    const isConclusive = isFailure || end.cause === EndCause.succeeded
    if (target === undefined) return
    const health = this.workers.get(end.target)
    const isProbe = health?.probe !== undefined && isSameAttempt(health.probe, end)
    if (health !== undefined && isProbe) health.probe = undefined
    if (spec === undefined || !isConclusive) return
    const record = this.records.add(spec, end.target, isFailure)
    if (isFailure) this.delayWorkload(step, end.id, record)
    if (isSuspect(target)) {
      if (isProbe && isFailure) this.scheduleNextProbe(step, this.getOrCreateHealth(target.name))
      else if (!isFailure) this.markReady(step, target)
      return
    }
    const { evidence } = this.getOrCreateHealth(target.name)
    evidence.addEnd(record, target.name, isFailure)
    if (isFailure && evidence.isSufficient) this.markSuspect(step, target)
  }

  private markSuspect (step: Step, target: TargetState): void {
    if (target.phase !== TargetPhase.ready || !canSuspectMore(step.state)) return
    this.scheduleNextProbe(step, this.getOrCreateHealth(target.name))
    this.setPhase(step, target.name, TargetPhase.ready, TargetPhase.suspect)
  }

  private scheduleNextProbe (step: Step, health: WorkerHealth): void {
    health.suspicions += 1
    health.probeAt = step.now + this.probeDelayMs(health.suspicions)
  }

  private markReady (step: Step, target: TargetState): void {
    this.workers.delete(target.name)
    this.setPhase(step, target.name, target.phase, TargetPhase.ready)
  }

  private checkProbe (step: Step, target: TargetState, health: WorkerHealth, probe: Probe): void {
    const task = step.state.workloads.get(probe.id)?.tasks[probe.index]
    if (task?.attempt !== probe.attempt) {
      health.probe = undefined
    } else if (task.phase === TaskPhase.running && step.now - probe.placedAt >= PROBE_SUCCESS_RUN_MS) {
      this.markReady(step, target)
    }
  }

  /** Delays a workload whose work fails on several workers; the delay grows exponentially with each round. */
  private delayWorkload (step: Step, id: string, record: WorkRecord): void {
    const workload = step.state.workloads.get(id)
    if (workload === undefined || workload.ended || step.now < workload.notBefore) return
    const workersNeeded = Math.min(FAILING_WORKERS_MIN, countWorkers(step.state))
    if (record.failedOn.size < workersNeeded) return
    record.delayCount += 1
    step.decide({ kind: 'workloadDelayed', id, notBefore: step.now + computeExponentialBackoffMs(this.limits, record.delayCount) })
  }

  private probeDelayMs (suspicions: number): number {
    return computeExponentialBackoffMs({ ...this.limits, backoffBaseMs: this.limits.backoffBaseMs * PROBE_BACKOFF_FACTOR }, suspicions)
  }

  private getOrCreateHealth (name: string): WorkerHealth {
    const existing = this.workers.get(name)
    if (existing !== undefined) return existing
    const health = { evidence: Evidence.create(), suspicions: 0, probeAt: 0, probe: undefined }
    this.workers.set(name, health)
    return health
  }

  private setPhase (step: Step, name: string, from: TargetPhase, to: TargetPhase): void {
    const target = step.state.targets.get(name)
    if (target === undefined || target.phase !== from) return
    step.decide({ kind: 'targetPhaseSet', name, session: target.session, phase: to })
  }
}

function isSuspect (target: TargetState): boolean {
  return target.phase === TargetPhase.suspect || target.phase === TargetPhase.probing
}

function isSameAttempt (probe: Probe, end: End): boolean {
  return probe.id === end.id && probe.index === end.index && probe.attempt === end.attempt
}

function countWorkers (state: ClusterState): number {
  let count = 0
  for (const target of state.targets.values()) {
    if (target.kind === TargetKind.worker && target.phase !== TargetPhase.lost) count += 1
  }
  return count
}

/** True while another worker may become suspect; never in a cell with a single worker. */
function canSuspectMore (state: ClusterState): boolean {
  const workers = countWorkers(state)
  let suspects = 0
  for (const target of state.targets.values()) {
    if (isSuspect(target)) suspects += 1
  }
  return workers > 1 && suspects < Math.max(1, Math.floor(workers / WORKERS_PER_SUSPECT))
}
