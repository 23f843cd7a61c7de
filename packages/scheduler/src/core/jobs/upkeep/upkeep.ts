/**
 * Takes the VMs of an upkeep wave down with little loss of work on a busy pool. A
 * VM is first evacuated: it gets no new work for as long as the duration of the
 * wave permits, then runs with checkpoints are stopped. Only then is it ordered
 * down, provided that the cap on VMs that are down and the disruption budgets of
 * the serving stages permit it. A VM whose order may be in flight counts as down
 * until it is confirmed to be back.
 */

import { WorkerLoss, type EventOf } from '../../../types/events.js'
import { isWaveOver, UpkeepOutcome, UpkeepPhase, type ListedVm, type UpkeepWave } from '../../../types/upkeep.js'
import { ErrorKind } from '../../../utils/errors.js'
import type { Step } from '../../step.js'
import type { RunManager } from '../runs/run-manager.js'
import { isSafeToTakeDown } from '../workers/serving-stages.js'
import type { WorkerView } from '../workers/worker-view.js'

/** Interval at which the list of VMs is requested while a wave is in progress; each request has a cost. */
const LIST_INTERVAL_MS = 500

/** Time after which an order without a definite answer is sent again. */
const RESEND_INTERVAL_MS = 500

/** Expected outage of a VM: the stated 2 s for its upkeep, and the delay until a list shows the VM as up. */
const OUTAGE_MS = 2_800

/** Time that tasks get to stop with a last checkpoint before their VM is ordered down. */
const STOP_LEAD_MS = 1_200

/** Maximum time from the start of an evacuation until the VM may be ordered down although tasks still run there; most tasks end within it. */
const EVACUATION_LIMIT_MS = 8_000

/** Number of waves that are kept in the replicated state; waves in progress are kept beyond it. */
const WAVE_LIMIT = 100

/** The evacuation of a VM that is to be taken down next; it gets no new work. */
interface Evacuation {
  wave: number
  /** View of the worker on the VM; undefined when no worker is known. */
  view: WorkerView | undefined
  /** True when a previous leader ordered the VM down; the worker on it may already be one that started after the upkeep. */
  isInherited: boolean
  /** Cluster time in milliseconds from which tasks with checkpoints are stopped; Infinity for an inherited order. */
  stopAt: number
  /** Cluster time in milliseconds from which the VM may be ordered down although tasks still run there; Infinity for an inherited order. */
  downAt: number
}

export class Upkeep {
  private readonly evacuations = new Map<string, Evacuation>()
  /** Cluster time of the last order for a VM, or of the last change of its phase by this leader, by VM name. */
  private readonly changedAt = new Map<string, number>()
  /** VMs with an order that got no definite answer; it may still be carried out seconds later. */
  private readonly unconfirmed = new Set<string>()
  /** Number of orders that are on their way and may still get an answer, by VM name. */
  private readonly unanswered = new Map<string, number>()
  /** The latest list of VMs, by name. */
  private vms = new Map<string, ListedVm>()
  /** Cluster time at which the stored list was requested; -Infinity before the first one. */
  private listSentAt = -Infinity
  /** Cluster time of the last request for a list. */
  private lastRequestAt = -Infinity
  /** Cluster time at which this leader took over. */
  private leaderSince = 0
  /** True once an order was refused because another leader has a higher fencing token; no further orders are sent. */
  private isFencedOff = false

  private constructor (private readonly runManager: RunManager) {}

  static create (runManager: RunManager): Upkeep {
    return new Upkeep(runManager)
  }

  reset (now: number): void {
    this.evacuations.clear()
    this.changedAt.clear()
    this.unconfirmed.clear()
    this.unanswered.clear()
    this.vms.clear()
    this.listSentAt = -Infinity
    this.lastRequestAt = -Infinity
    this.leaderSince = now
    this.isFencedOff = false
  }

  /** Accepts a wave. Idempotent: a repeated request gets the same reply. */
  startWave (event: EventOf<'startUpkeepWave'>, step: Step): void {
    const { id, vms, cap, durationMs } = event
    const fault = findWaveFault(event)
    if (fault !== '') return step.refuse(event.call, ErrorKind.invalidArgument, fault)
    if (!step.state.upkeepWaves.has(id)) {
      const phases = new Map(vms.map(vm => [vm, UpkeepPhase.waiting] as const))
      step.decide({ kind: 'upkeepWaveAccepted', wave: { id, vms: phases, cap, acceptedAt: step.now, durationMs }, limit: WAVE_LIMIT })
    }
    step.reply(event.call, { kind: 'upkeepWave', isKnown: true, isOver: false })
  }

  readWave (event: EventOf<'readUpkeepWave'>, step: Step): void {
    const wave = step.state.upkeepWaves.get(event.id)
    step.decide({ kind: 'leadershipProbed' })
    step.reply(event.call, { kind: 'upkeepWave', isKnown: wave !== undefined, isOver: wave !== undefined && isWaveOver(wave) })
  }

  /** Stores a list of VMs; a failed request or a list requested before the stored one is ignored. */
  handleVmList (event: EventOf<'vmsListed'>): void {
    if (event.vms === undefined || event.sentAt < this.listSentAt) return
    this.listSentAt = event.sentAt
    this.vms = new Map(event.vms.map(vm => [vm.name, vm]))
  }

  /** Handles the answer to an order, or the lack of one. Answers for a VM in another phase are ignored. */
  handleOrderAnswer (event: EventOf<'upkeepOrdered'>, step: Step): void {
    const { wave, vm, outcome } = event
    if (step.state.upkeepWaves.get(wave)?.vms.get(vm) !== UpkeepPhase.ordered) return
    this.countUnanswered(vm, -1)
    switch (outcome) {
      case UpkeepOutcome.done: return this.confirmDown(step, wave, vm)
      case UpkeepOutcome.busy:
        // Another order may still arrive, so the VM counts as down until a definite answer.
        if (!this.unconfirmed.has(vm) && this.unanswered.get(vm) === 0) this.setPhase(step, wave, vm, UpkeepPhase.waiting)
        return
      case UpkeepOutcome.unfit:
        this.endEvacuation(vm)
        return this.setPhase(step, wave, vm, UpkeepPhase.skipped)
      case UpkeepOutcome.unknown: this.unconfirmed.add(vm); return
      case UpkeepOutcome.fenced: this.isFencedOff = true
    }
  }

  tick (step: Step): void {
    if (this.isFencedOff) return
    const waves = [...step.state.upkeepWaves.values()].filter(wave => !isWaveOver(wave))
    if (waves.length === 0) return
    if (step.now - this.lastRequestAt >= LIST_INTERVAL_MS) {
      this.lastRequestAt = step.now
      step.effects.push({ kind: 'listVms' })
    }
    for (const wave of waves) this.advanceWave(step, wave)
  }

  private advanceWave (step: Step, wave: UpkeepWave): void {
    for (const [vm, phase] of wave.vms) {
      if (phase === UpkeepPhase.begun && this.isBack(vm)) this.setPhase(step, wave.id, vm, UpkeepPhase.back)
      if (phase === UpkeepPhase.ordered) this.resendOrder(step, wave.id, vm)
    }
    this.startEvacuations(step, wave)
    for (const [vm, evacuation] of this.evacuations) {
      if (evacuation.wave === wave.id) this.evacuate(step, wave, vm, evacuation)
    }
  }

  /** Resends an order without a definite answer. A VM that is no longer listed does not exist any more and is skipped. */
  private resendOrder (step: Step, wave: number, vm: string): void {
    if (step.now - this.lastChangeAt(vm) < RESEND_INTERVAL_MS || this.listSentAt <= this.lastChangeAt(vm)) return
    if (!this.vms.has(vm)) {
      this.endEvacuation(vm)
      return this.setPhase(step, wave, vm, UpkeepPhase.skipped)
    }
    if (!this.evacuations.has(vm)) this.inheritOrder(wave, vm)
    this.order(step, wave, vm)
  }

  /** Takes over a VM that a previous leader ordered down; that order counts as unconfirmed. */
  private inheritOrder (wave: number, vm: string): void {
    this.unconfirmed.add(vm)
    const view = this.findView(vm)
    if (view !== undefined) view.isEvacuating = view.isGoingDown = true
    this.evacuations.set(vm, { wave, view, isInherited: true, stopAt: Infinity, downAt: Infinity })
  }

  /** Starts to evacuate the VMs on which the least non-preemptible work runs, as many as the cap allows. */
  private startEvacuations (step: Step, wave: UpkeepWave): void {
    const evacuating = [...this.evacuations.values()].filter(evacuation => evacuation.wave === wave.id).length
    const available = wave.cap - evacuating
    if (available <= 0 || this.listSentAt === -Infinity) return
    const candidates = [...wave.vms].flatMap(([vm, phase]) => {
      if (phase !== UpkeepPhase.waiting || this.evacuations.has(vm) || step.now - this.lastChangeAt(vm) < RESEND_INTERVAL_MS) return []
      const view = this.findView(vm)
      return [{ vm, view, lossMillicores: view === undefined ? 0 : nonPreemptibleMillicores(view) }]
    })
    candidates.sort((one, other) => one.lossMillicores - other.lossMillicores)
    const waiting = [...wave.vms.values()].filter(phase => phase === UpkeepPhase.waiting).length
    // The remaining VMs go down in rounds of as many as the cap allows, which share the remaining time equally.
    const roundMs = (wave.acceptedAt + wave.durationMs - step.now) / Math.ceil(waiting / wave.cap)
    const evacuationMs = Math.min(EVACUATION_LIMIT_MS, Math.max(0, roundMs - OUTAGE_MS))
    for (const { vm, view } of candidates.slice(0, available)) {
      const downAt = step.now + evacuationMs
      if (view !== undefined) view.isEvacuating = true
      this.evacuations.set(vm, { wave: wave.id, view, isInherited: false, downAt, stopAt: Math.max(step.now, downAt - STOP_LEAD_MS) })
    }
  }

  private evacuate (step: Step, wave: UpkeepWave, vm: string, { view, stopAt, downAt }: Evacuation): void {
    if (wave.vms.get(vm) !== UpkeepPhase.waiting) return
    if (view !== undefined && step.now >= stopAt) this.runManager.orders.stopPreemptibleRuns(step, view, 'its VM goes down for upkeep')
    const isEmpty = view === undefined || view.runs.size === 0
    if (!isEmpty && step.now < downAt) return
    const down = [...wave.vms.values()].filter(phase => phase === UpkeepPhase.ordered || phase === UpkeepPhase.begun).length
    if (down >= wave.cap) return
    if (view !== undefined && !isSafeToTakeDown(step.state, this.runManager.views, view)) return this.runManager.orders.moveExcessServingTasks(step, view)
    if (view !== undefined) view.isGoingDown = true
    this.setPhase(step, wave.id, vm, UpkeepPhase.ordered)
    this.order(step, wave.id, vm)
  }

  private order (step: Step, wave: number, vm: string): void {
    this.changedAt.set(vm, step.now)
    this.countUnanswered(vm, 1)
    step.effects.push({ kind: 'orderUpkeep', wave, vm })
  }

  private countUnanswered (vm: string, change: number): void {
    this.unanswered.set(vm, (this.unanswered.get(vm) ?? 0) + change)
  }

  /** Records that a VM is down: no run that was on it exists any more, unless the order was inherited. */
  private confirmDown (step: Step, wave: number, vm: string): void {
    const { view, isInherited = true } = this.evacuations.get(vm) ?? {}
    if (view !== undefined && !isInherited) this.runManager.handleLapse(step, view.id, view.worker.incarnation, WorkerLoss.upkeep, 'its VM went down for upkeep')
    this.endEvacuation(vm)
    this.setPhase(step, wave, vm, UpkeepPhase.begun)
  }

  private endEvacuation (vm: string): void {
    const view = this.evacuations.get(vm)?.view
    if (view !== undefined) view.isEvacuating = view.isGoingDown = false
    this.evacuations.delete(vm)
    this.unconfirmed.delete(vm)
    this.unanswered.delete(vm)
  }

  private setPhase (step: Step, wave: number, vm: string, phase: UpkeepPhase): void {
    if (phase === UpkeepPhase.waiting) this.endEvacuation(vm)
    this.changedAt.set(vm, step.now)
    step.decide({ kind: 'upkeepPhaseSet', wave, vm, phase })
  }

  /** True when a list that was requested after the VM went down shows it as up, or no longer contains it. */
  private isBack (vm: string): boolean {
    if (this.listSentAt <= this.lastChangeAt(vm)) return false
    const listed = this.vms.get(vm)
    return listed === undefined || listed.isUp
  }

  private lastChangeAt (vm: string): number {
    return this.changedAt.get(vm) ?? this.leaderSince
  }

  private findView (vm: string): WorkerView | undefined {
    return this.runManager.views.get(this.vms.get(vm)?.worker ?? '')
  }
}

/** Processor capacity used by runs that would lose their progress if the VM went down; best-effort runs do not count. */
function nonPreemptibleMillicores (view: WorkerView): number {
  let millicores = 0
  for (const run of view.runs.values()) {
    if (!run.isPreemptible && !run.fills) millicores += run.resources.millicores
  }
  return millicores
}

/** Why a wave is invalid; empty when it is valid. */
export function findWaveFault ({ id, vms, cap, durationMs }: Omit<EventOf<'startUpkeepWave'>, 'call'>): string {
  if (!Number.isSafeInteger(id) || id < 0) return 'the id of the wave is negative or not an integer'
  if (vms.length === 0) return 'the wave contains no VM'
  if (!Number.isSafeInteger(cap) || cap < 1) return 'the cap of the wave is not a positive integer, so no VM could be taken down'
  return durationMs > 0 ? '' : 'the duration of the wave is not positive'
}
