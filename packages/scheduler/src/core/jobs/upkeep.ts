/**
 * Takes the VMs of a wave down one after the other. It answers a wave over a busy
 * pool: a VM gets no new work for as long as the wave has time to spare, then what
 * keeps checkpoints is stopped, and only then it is ordered down, never with more
 * down than the cap allows or more serving tasks away than their step may miss.
 * A VM whose order may be on its way counts as down until it is surely back.
 */

import type { EventOf } from '../../types/events.js'
import { isWaveOver, UpkeepOutcome, UpkeepPhase, type ListedVm, type UpkeepWave } from '../../types/upkeep.js'
import { ErrorKind } from '../../utils/errors.js'
import type { Step } from '../step.js'
import type { Runs } from './runs.js'
import { mayTakeDown } from './serving.js'
import type { WorkerView } from './workers.js'

/** Time between two readings of the list of VMs while a wave is on, in milliseconds; each reading has a price. */
const LIST_MS = 500

/** Pause before an order without a clear answer is sent again, in milliseconds. */
const REPEAT_MS = 500

/** How long a VM is down for its upkeep and noticed as back, in milliseconds: 2 s as stated, and a reading. */
const OUTAGE_MS = 2_800

/** Time for tasks to be stopped with their last checkpoint, in milliseconds. */
const STOP_MS = 1_200

/** Longest time that a VM is kept free of new work before it goes down, in milliseconds: most tasks end by then. */
const LONGEST_EVACUATION_MS = 8_000

/** Waves that are remembered. */
const WAVES_KEPT = 100

/** A VM that gets no new work since it goes down next. */
interface Evacuation {
  wave: number
  /** Worker on it; undefined when none is known. */
  view: WorkerView | undefined
  /** A former leader ordered the VM down; the worker may be the one that came after. */
  isInherited: boolean
  /** Cluster time from which on tasks with checkpoints are stopped. */
  stopAt: number
  /** Cluster time from which on what still runs there is given up. */
  downAt: number
}

export class Upkeep {
  private readonly evacuations = new Map<string, Evacuation>()
  /** Cluster time of the last order for a VM, or of the last change of its phase by this leader. */
  private readonly touchedAt = new Map<string, number>()
  /** VMs with an order that was not answered; it may be carried out seconds later. */
  private readonly unclear = new Set<string>()
  private vms = new Map<string, ListedVm>()
  /** Cluster time at which the list that is held was asked for. */
  private listedAt = -Infinity
  private askedAt = -Infinity
  private ledSince = 0
  private isFencedOff = false

  private constructor (private readonly runs: Runs) {}

  static create (runs: Runs): Upkeep {
    return new Upkeep(runs)
  }

  reset (now: number): void {
    this.evacuations.clear()
    this.touchedAt.clear()
    this.unclear.clear()
    this.vms.clear()
    this.listedAt = -Infinity
    this.askedAt = -Infinity
    this.ledSince = now
    this.isFencedOff = false
  }

  /** Accepts a wave once; a repeat is told the same. */
  startWave (event: EventOf<'startUpkeepWave'>, step: Step): void {
    const { id, vms, cap, durationMs } = event
    const fault = waveFault(event)
    if (fault !== '') return step.refuse(event.call, ErrorKind.invalidArgument, fault)
    if (!step.state.upkeepWaves.has(id)) {
      const phases = new Map(vms.map(vm => [vm, UpkeepPhase.waiting] as const))
      step.decide({ kind: 'upkeepWaveAccepted', wave: { id, vms: phases, cap, acceptedAt: step.now, durationMs }, limit: WAVES_KEPT })
    }
    step.reply(event.call, { kind: 'upkeepWave', isKnown: true, isOver: false })
  }

  readWave (event: EventOf<'readUpkeepWave'>, step: Step): void {
    const wave = step.state.upkeepWaves.get(event.id)
    step.decide({ kind: 'leadershipProbed' })
    step.reply(event.call, { kind: 'upkeepWave', isKnown: wave !== undefined, isOver: wave !== undefined && isWaveOver(wave) })
  }

  listed (event: EventOf<'vmsListed'>): void {
    if (event.vms === undefined || event.sentAt < this.listedAt) return
    this.listedAt = event.sentAt
    this.vms = new Map(event.vms.map(vm => [vm.name, vm]))
  }

  ordered (event: EventOf<'upkeepOrdered'>, step: Step): void {
    const { wave, vm, outcome } = event
    if (step.state.upkeepWaves.get(wave)?.vms.get(vm) !== UpkeepPhase.ordered) return
    switch (outcome) {
      case UpkeepOutcome.done: return this.begin(step, wave, vm)
      case UpkeepOutcome.busy:
        // An earlier order may still come through, so the VM counts as down until that is settled.
        if (!this.unclear.has(vm)) this.setPhase(step, wave, vm, UpkeepPhase.waiting)
        return
      case UpkeepOutcome.unfit:
        this.endEvacuation(vm)
        return this.setPhase(step, wave, vm, UpkeepPhase.skipped)
      case UpkeepOutcome.unknown: this.unclear.add(vm); return
      case UpkeepOutcome.fenced: this.isFencedOff = true
    }
  }

  tick (step: Step): void {
    if (this.isFencedOff) return
    const waves = [...step.state.upkeepWaves.values()].filter(wave => !isWaveOver(wave))
    if (waves.length === 0) return
    if (step.now - this.askedAt >= LIST_MS) {
      this.askedAt = step.now
      step.effects.push({ kind: 'listVms' })
    }
    for (const wave of waves) this.advance(step, wave)
  }

  private advance (step: Step, wave: UpkeepWave): void {
    for (const [vm, phase] of wave.vms) {
      if (phase === UpkeepPhase.begun && this.isBack(vm)) this.setPhase(step, wave.id, vm, UpkeepPhase.back)
      if (phase === UpkeepPhase.ordered) this.repeat(step, wave.id, vm)
    }
    this.chooseNext(step, wave)
    for (const [vm, evacuation] of this.evacuations) {
      if (evacuation.wave === wave.id) this.evacuate(step, wave, vm, evacuation)
    }
  }

  /** Orders again what has no clear answer; a VM that is not listed any more has left. */
  private repeat (step: Step, wave: number, vm: string): void {
    if (step.now - this.touched(vm) < REPEAT_MS || this.listedAt <= this.touched(vm)) return
    if (!this.vms.has(vm)) {
      this.endEvacuation(vm)
      return this.setPhase(step, wave, vm, UpkeepPhase.skipped)
    }
    if (!this.evacuations.has(vm)) this.inherit(wave, vm)
    this.order(step, wave, vm)
  }

  private inherit (wave: number, vm: string): void {
    this.unclear.add(vm)
    const view = this.viewOf(vm)
    if (view !== undefined) view.isEvacuating = view.isGoingDown = true
    this.evacuations.set(vm, { wave, view, isInherited: true, stopAt: Infinity, downAt: Infinity })
  }

  /** Begins to empty the VMs that lose the least by going down next. */
  private chooseNext (step: Step, wave: UpkeepWave): void {
    const evacuating = [...this.evacuations.values()].filter(evacuation => evacuation.wave === wave.id).length
    const free = wave.cap - evacuating
    if (free <= 0 || this.listedAt === -Infinity) return
    const candidates = [...wave.vms].flatMap(([vm, phase]) => {
      if (phase !== UpkeepPhase.waiting || this.evacuations.has(vm) || step.now - this.touched(vm) < REPEAT_MS) return []
      const view = this.viewOf(vm)
      return [{ vm, view, heldMillicores: view === undefined ? 0 : heldMillicores(view) }]
    })
    candidates.sort((one, other) => one.heldMillicores - other.heldMillicores)
    const waiting = [...wave.vms.values()].filter(phase => phase === UpkeepPhase.waiting).length
    const roundMs = (wave.acceptedAt + wave.durationMs - step.now) / Math.ceil(waiting / wave.cap)
    const evacuationMs = Math.min(LONGEST_EVACUATION_MS, Math.max(0, roundMs - OUTAGE_MS))
    for (const { vm, view } of candidates.slice(0, free)) {
      const downAt = step.now + evacuationMs
      if (view !== undefined) view.isEvacuating = true
      this.evacuations.set(vm, { wave: wave.id, view, isInherited: false, downAt, stopAt: Math.max(step.now, downAt - STOP_MS) })
    }
  }

  private evacuate (step: Step, wave: UpkeepWave, vm: string, { view, stopAt, downAt }: Evacuation): void {
    if (wave.vms.get(vm) !== UpkeepPhase.waiting) return
    if (view !== undefined && step.now >= stopAt) this.runs.stopPreemptible(step, view, 'its VM goes down for upkeep')
    const isEmpty = view === undefined || view.runs.size === 0
    if (!isEmpty && step.now < downAt) return
    const down = [...wave.vms.values()].filter(phase => phase === UpkeepPhase.ordered || phase === UpkeepPhase.begun).length
    if (down >= wave.cap) return
    if (view !== undefined && !mayTakeDown(step.state, this.runs.views, view)) return this.runs.thinOut(step, view)
    if (view !== undefined) view.isGoingDown = true
    this.setPhase(step, wave.id, vm, UpkeepPhase.ordered)
    this.order(step, wave.id, vm)
  }

  private order (step: Step, wave: number, vm: string): void {
    this.touchedAt.set(vm, step.now)
    step.effects.push({ kind: 'orderUpkeep', wave, vm })
  }

  /** The VM is down: nothing that was on it runs any more. */
  private begin (step: Step, wave: number, vm: string): void {
    const { view, isInherited = true } = this.evacuations.get(vm) ?? {}
    if (view !== undefined && !isInherited) this.runs.lapse(step, view.id, view.worker.incarnation, 'its VM went down for upkeep')
    this.endEvacuation(vm)
    this.setPhase(step, wave, vm, UpkeepPhase.begun)
  }

  private endEvacuation (vm: string): void {
    const view = this.evacuations.get(vm)?.view
    if (view !== undefined) view.isEvacuating = view.isGoingDown = false
    this.evacuations.delete(vm)
    this.unclear.delete(vm)
  }

  private setPhase (step: Step, wave: number, vm: string, phase: UpkeepPhase): void {
    if (phase === UpkeepPhase.waiting) this.endEvacuation(vm)
    this.touchedAt.set(vm, step.now)
    step.decide({ kind: 'upkeepPhaseSet', wave, vm, phase })
  }

  /** True when a list that was asked for after the VM went down shows it up, or not at all. */
  private isBack (vm: string): boolean {
    if (this.listedAt <= this.touched(vm)) return false
    const listed = this.vms.get(vm)
    return listed === undefined || listed.isUp
  }

  private touched (vm: string): number {
    return this.touchedAt.get(vm) ?? this.ledSince
  }

  private viewOf (vm: string): WorkerView | undefined {
    return this.runs.views.get(this.vms.get(vm)?.worker ?? '')
  }
}

/** Room held by tasks that would lose their work if the VM went down. */
function heldMillicores (view: WorkerView): number {
  let held = 0
  for (const run of view.runs.values()) {
    if (!run.isPreemptible && !run.fills) held += run.resources.millicores
  }
  return held
}

function waveFault ({ id, vms, cap, durationMs }: EventOf<'startUpkeepWave'>): string {
  if (!Number.isSafeInteger(id) || id < 0) return 'the wave needs a number'
  if (vms.length === 0) return 'the wave names no VM'
  if (!Number.isSafeInteger(cap) || cap < 1) return 'the wave allows no VM to be down'
  return durationMs > 0 ? '' : 'the wave has no time'
}
