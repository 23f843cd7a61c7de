/**
 * Drains and readmits VMs and targets on request of operators and on notices of
 * the platform, and removes the targets of VMs that no longer exist.
 */

import type { Event, EventOf } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { TargetPhase, type TargetState } from '../../types/targets.js'
import { ErrorKind } from '../../utils/errors.js'
import { type ChangeRequest, ChangeRecorder } from '../changes/change-recorder.js'
import { Component } from '../component.js'
import type { Step } from '../step.js'
import { isDrained } from './announcements.js'

/** Phases from which a drain changes a target to draining. */
const DRAINABLE: readonly TargetPhase[] = [TargetPhase.ready, TargetPhase.suspect, TargetPhase.probing]

/** Phases from which a readmission makes a target ready. */
const READMITTABLE: readonly TargetPhase[] = [TargetPhase.draining, TargetPhase.suspect, TargetPhase.probing]

export class Drains extends Component {
  readonly handledKinds = ['drain', 'readmit', 'vmGone'] as const
  private readonly changeRecorder: ChangeRecorder

  private constructor (limits: Limits) {
    super()
    this.changeRecorder = ChangeRecorder.create(limits)
  }

  static create (limits: Limits): Drains {
    return new Drains(limits)
  }

  reset (): void {}

  handle (event: Event, step: Step): void {
    if (event.kind !== 'drain' && event.kind !== 'readmit' && event.kind !== 'vmGone') return
    const subject = event.vm === '' && event.kind !== 'vmGone' ? `target ${event.target}` : `vm ${event.vm}`
    const change: ChangeRequest = { call: event.call, origin: event.origin, subject }
    if (this.changeRecorder.answerIfRepeat(step, change)) return
    if (event.kind === 'vmGone') return this.removeVm(event, change, step)
    if ((event.vm === '') === (event.target === '')) {
      return this.changeRecorder.refuse(step, change, ErrorKind.invalidArgument, 'exactly one of vm and target is required')
    }
    if (event.target !== '' && !step.state.targets.has(event.target)) {
      return this.changeRecorder.refuse(step, change, ErrorKind.notFound, `no target ${event.target}`)
    }
    if (event.kind === 'drain') this.drain(event, change, step)
    else this.readmit(event, change, step)
  }

  private drain (event: EventOf<'drain'>, change: ChangeRequest, step: Step): void {
    const targets = selectTargets(step.state, event.vm, event.target)
    if (event.vm !== '') step.decide({ kind: 'vmDrained', vm: event.vm, reason: event.reason })
    else step.decide({ kind: 'targetDrained', name: event.target, reason: event.reason })
    for (const target of targets) {
      if (DRAINABLE.includes(target.phase)) setPhase(step, target, TargetPhase.draining)
    }
    const after = event.reason === '' ? 'drained' : `drained: ${event.reason}`
    this.changeRecorder.accept(step, change, { kind: 'targets', count: targets.length }, '', after)
  }

  /** Lifts a drain or a suspicion. A target becomes ready only if neither it nor its VM is drained any more. */
  private readmit (event: EventOf<'readmit'>, change: ChangeRequest, step: Step): void {
    const targets = selectTargets(step.state, event.vm, event.target)
    if (event.vm !== '') step.decide({ kind: 'vmReadmitted', vm: event.vm })
    else step.decide({ kind: 'targetReadmitted', name: event.target })
    for (const target of targets) {
      if (!READMITTABLE.includes(target.phase) || isDrained(step.state, target)) continue
      setPhase(step, target, TargetPhase.ready)
    }
    this.changeRecorder.accept(step, change, { kind: 'targets', count: targets.length }, 'drained', 'in use')
  }

  /** Removes the targets of a VM after the platform confirmed that nothing runs on it any more. */
  private removeVm (event: EventOf<'vmGone'>, change: ChangeRequest, step: Step): void {
    const targets = selectTargets(step.state, event.vm, '')
    for (const target of targets) step.decide({ kind: 'targetRemoved', name: target.name, session: target.session })
    if (step.state.drainedVms.has(event.vm)) step.decide({ kind: 'vmReadmitted', vm: event.vm })
    this.changeRecorder.accept(step, change, { kind: 'targets', count: targets.length }, '', 'gone')
  }
}

function setPhase (step: Step, target: TargetState, phase: TargetPhase): void {
  step.decide({ kind: 'targetPhaseSet', name: target.name, session: target.session, phase })
}

/** Targets on a VM or, when a name is given, the target of that name. */
function selectTargets (state: ClusterState, vm: string, name: string): TargetState[] {
  const targets: TargetState[] = []
  for (const target of state.targets.values()) {
    if (name === '' ? target.vm === vm : target.name === name) targets.push(target)
  }
  return targets
}
