/**
 * A simulated VM service: it takes each VM down once per wave, rejects orders with
 * a fence below the highest seen for the VM, and records when each VM was down.
 * The plan of the cell makes its answers lost and its orders late.
 */

import { UpkeepOutcome, type ListedVm } from '@flamingorouter/scheduler'

export interface Outage { vm: string, from: number, to: number }

/** The functions of the cell that the simulated VM service uses. */
export interface VmOwner {
  now: () => number
  after: (ms: number, act: () => void) => void
  isWorkerUp: (worker: string) => boolean
  takeDown: (worker: string, ms: number) => void
}

/** How long a VM is down for upkeep, in milliseconds. */
export const OUTAGE_MS = 2_000

export class SimulatedVms {
  readonly outages: Outage[] = []
  private readonly fences = new Map<string, number>()

  private constructor (private readonly workers: readonly string[], private readonly owner: VmOwner) {}

  static create (workers: readonly string[], owner: VmOwner): SimulatedVms {
    return new SimulatedVms(workers, owner)
  }

  list (): ListedVm[] {
    return this.workers.map(worker => ({ name: formatVmName(worker), isUp: !this.isDown(formatVmName(worker)) && this.owner.isWorkerUp(worker), worker: this.isDown(formatVmName(worker)) ? '' : worker }))
  }

  /** Takes a VM down for its upkeep, unless it was down for it already; a repeated order is answered as done. */
  orderUpkeep (vm: string, fence: number): UpkeepOutcome {
    const worker = this.workers.find(each => formatVmName(each) === vm)
    if (worker === undefined) return UpkeepOutcome.unfit
    if (fence < (this.fences.get(vm) ?? 0)) return UpkeepOutcome.fenced
    this.fences.set(vm, fence)
    if (this.outages.some(outage => outage.vm === vm)) return UpkeepOutcome.done
    if (!this.owner.isWorkerUp(worker)) return UpkeepOutcome.busy
    this.outages.push({ vm, from: this.owner.now(), to: this.owner.now() + OUTAGE_MS })
    this.owner.takeDown(worker, OUTAGE_MS)
    return UpkeepOutcome.done
  }

  /** Returns the highest number of VMs that were down at the same time. */
  countMaxDown (): number {
    return Math.max(0, ...this.outages.map(({ from }) => this.outages.filter(other => other.from <= from && other.to > from).length))
  }

  private isDown (vm: string): boolean {
    return this.outages.some(outage => outage.vm === vm && outage.to > this.owner.now())
  }
}

export function formatVmName (worker: string): string {
  return `vm-of-${worker}`
}
