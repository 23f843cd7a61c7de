/**
 * Sessions of targets: announcement, renewal, leave and expiry. A session ends
 * when its lease has been expired for longer than the bound on clock drift, when
 * the target announces itself with a higher incarnation, or when the platform
 * reports that its VM is gone.
 */

import type { Announcement, Event, EventOf } from '../../types/events.js'
import type { Decision } from '../../types/decisions.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { TargetPhase, type TargetState } from '../../types/targets.js'
import { isAssigned } from '../../types/workloads.js'
import { ErrorKind } from '../../utils/errors.js'
import { Component } from '../component.js'
import type { Step } from '../step.js'
import { findAnnouncementFault, isSameAnnouncement, determineInitialPhase } from './announcements.js'
import { Leases } from './leases.js'

export interface SessionOptions {
  /** Number of requests in flight on a runner; part of the answer to its leave. Counts as 0 when absent. */
  countRequestsInFlight?: (runner: string) => number
}

export class Sessions extends Component {
  readonly handledKinds = ['announce', 'renew', 'leave'] as const
  private readonly leases: Leases
  /**
   * Cluster time in milliseconds at which a target was found lost, by name, earliest first. A new leader counts from its
   * own start.
   */
  private readonly lostSince = new Map<string, number>()

  private constructor (private readonly limits: Limits, private readonly options: SessionOptions) {
    super()
    this.leases = Leases.create(limits)
  }

  static create (limits: Limits, options: SessionOptions = {}): Sessions {
    return new Sessions(limits, options)
  }

  reset (state: ClusterState, now: number): void {
    this.leases.clear(now)
    this.lostSince.clear()
    for (const target of state.targets.values()) {
      if (target.phase === TargetPhase.lost) this.lostSince.set(target.name, now)
      else this.leases.renew(target.name, target.session, now)
    }
  }

  handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'announce': return this.announce(event, step)
      case 'renew': return this.renew(event, step)
      case 'leave': return this.leave(event, step)
    }
  }

  override observe (decision: Decision, _state: ClusterState, now: number): void {
    if (decision.kind === 'targetAnnounced') {
      this.lostSince.delete(decision.target.name)
      this.leases.renew(decision.target.name, decision.target.session, now)
    } else if (decision.kind === 'targetRemoved') {
      this.lostSince.delete(decision.name)
      this.leases.remove(decision.name)
    }
  }

  override tick (step: Step): void {
    for (const name of this.leases.listExpired(step.now)) {
      this.leases.remove(name)
      this.lostSince.set(name, step.now)
      this.setPhase(step, name, TargetPhase.lost)
    }
    this.removeLostTargets(step)
  }

  private announce (event: EventOf<'announce'>, step: Step): void {
    const { announcement, call } = event
    const fault = findAnnouncementFault(announcement)
    if (fault !== '') return step.refuse(call, ErrorKind.invalidArgument, fault)
    const existing = step.state.targets.get(announcement.name)
    if (existing === undefined || existing.phase === TargetPhase.lost) return this.openSession(event, step, existing)
    if (announcement.incarnation < existing.incarnation) {
      return step.refuse(call, ErrorKind.conflict, `a later incarnation of ${existing.name} has a session`)
    }
    if (announcement.incarnation === existing.incarnation) return this.repeatAnnouncement(event, step, existing)
    // Only a process on the same VM can guarantee that nothing of the old session runs; otherwise its lease must expire.
    const remainingMs = announcement.vm === existing.vm ? 0 : this.leases.computeRemainingMs(existing.name, step.now)
    if (remainingMs > 0) {
      const message = `the session of ${existing.name} on VM ${existing.vm} is not over yet`
      return step.refuse(call, ErrorKind.unavailable, message, remainingMs)
    }
    this.openSession(event, step, existing)
  }

  /** Answers a repeated announcement with the existing session; refuses one with different content. */
  private repeatAnnouncement (event: EventOf<'announce'>, step: Step, existing: TargetState): void {
    if (!isSameAnnouncement(event.announcement, existing)) {
      const message = `${existing.name} announced different content with the same incarnation, from ${existing.address}`
      return step.refuse(event.call, ErrorKind.conflict, message)
    }
    this.leases.renew(existing.name, existing.session, step.now)
    this.replySession(step, event.call, existing)
  }

  private openSession (event: EventOf<'announce'>, step: Step, existing: TargetState | undefined): void {
    const { announcement } = event
    const fence = step.state.fence + 1
    const target = createTarget(announcement, fence, determineInitialPhase(step.state, announcement, existing))
    step.decide({ kind: 'targetAnnounced', target })
    this.replySession(step, event.call, target)
  }

  private replySession (step: Step, call: number, target: TargetState): void {
    const { leaseMs, renewEveryMs } = this.limits
    step.reply(call, { kind: 'session', session: target.session, fence: target.fence, leaseMs, renewEveryMs })
  }

  private renew (event: EventOf<'renew'>, step: Step): void {
    const { leaseMs } = this.limits
    if (!isCurrentSession(step.state, event.name, event.session)) {
      return step.reply(event.call, { kind: 'renewed', leaseMs, acknowledged: [], sessionOver: true })
    }
    this.leases.renew(event.name, event.session, step.now)
    // All ended attempts can be acknowledged: the end of each is decided within this step or was decided before.
    const acknowledged = event.ended.map(end => `${end.task}#${end.attempt}`)
    step.reply(event.call, { kind: 'renewed', leaseMs, acknowledged, sessionOver: false })
  }

  private leave (event: EventOf<'leave'>, step: Step): void {
    if (!isCurrentSession(step.state, event.name, event.session)) {
      return step.refuse(event.call, ErrorKind.failedPrecondition, `the session of ${event.name} is over`)
    }
    this.setPhase(step, event.name, TargetPhase.leaving)
    step.reply(event.call, { kind: 'left', inFlight: this.countInFlight(step.state, event.name) })
  }

  private countInFlight (state: ClusterState, name: string): number {
    let count = this.options.countRequestsInFlight?.(name) ?? 0
    for (const workload of state.workloads.values()) {
      for (const task of workload.tasks) {
        if (task.target === name && isAssigned(task)) count += 1
      }
    }
    return count
  }

  private setPhase (step: Step, name: string, phase: TargetPhase): void {
    const target = step.state.targets.get(name)
    if (target === undefined || target.phase === phase) return
    step.decide({ kind: 'targetPhaseSet', name, session: target.session, phase })
  }

  /** Removes lost targets after the retention period. */
  private removeLostTargets (step: Step): void {
    for (const [name, since] of this.lostSince) {
      if (step.now - since < this.limits.retentionMs) return
      const session = step.state.targets.get(name)?.session ?? ''
      step.decide({ kind: 'targetRemoved', name, session })
      this.lostSince.delete(name)
    }
  }
}

/** True when a session is the current one of its target and the target is not lost. */
export function isCurrentSession (state: ClusterState, name: string, session: string): boolean {
  const target = state.targets.get(name)
  return target !== undefined && target.session === session && target.phase !== TargetPhase.lost
}

function createTarget (announcement: Announcement, fence: number, phase: TargetPhase): TargetState {
  return { ...announcement, session: `session-${fence}`, fence, phase }
}
