/**
 * Upkeep of VMs: an operator asks that each VM of a wave be taken down once, with
 * a limit on how many are down at the same time. The VM service takes the VMs
 * down and brings them back; the scheduler decides when.
 */

export const UpkeepPhase = Object.freeze({
  waiting: 'waiting',
  /** The order was sent or is about to be sent, so the VM may be down. */
  ordered: 'ordered',
  /** The order was carried out; the VM is not up again yet. */
  begun: 'begun',
  /** The upkeep is done and the VM is up again. */
  back: 'back',
  /** The VM service reported that the VM does not exist or does not belong to the wave. */
  skipped: 'skipped'
} as const)
export type UpkeepPhase = typeof UpkeepPhase[keyof typeof UpkeepPhase]

export interface UpkeepWave {
  /** Number chosen by the operator. */
  id: number
  /** Phase of each VM by its name. */
  vms: Map<string, UpkeepPhase>
  /** VMs that may be down at the same time. */
  cap: number
  /** Cluster time in milliseconds at which the wave was accepted. */
  acceptedAt: number
  /** Time within which the wave should be complete, in milliseconds. */
  durationMs: number
}

/** A VM as the VM service lists it. */
export interface ListedVm {
  name: string
  isUp: boolean
  /** Worker on the VM; empty when there is none. */
  worker: string
}

/** Result of an order to take a VM down. */
export const UpkeepOutcome = Object.freeze({
  /** The VM is down, or its upkeep in this wave is done. */
  done: 'done',
  /** The VM is not up or is about to go away; nothing was done. */
  busy: 'busy',
  /** A later leader has issued orders for the VM. */
  fenced: 'fenced',
  /** There is no such VM, or it does not belong to the wave. */
  unfit: 'unfit',
  /** No answer so far: the order may have been carried out, or may still be. */
  unknown: 'unknown'
} as const)
export type UpkeepOutcome = typeof UpkeepOutcome[keyof typeof UpkeepOutcome]

export function isWaveOver (wave: UpkeepWave): boolean {
  for (const phase of wave.vms.values()) {
    if (phase !== UpkeepPhase.back && phase !== UpkeepPhase.skipped) return false
  }
  return true
}
