/**
 * Upkeep of VMs: an operator asks that each VM of a wave goes down once, with at
 * most so many down at the same time. Whoever runs the VMs takes them down and
 * brings them back; the scheduler decides when.
 */

export const UpkeepPhase = Object.freeze({
  waiting: 'waiting',
  /** The order is or may be on its way, so the VM may be down. */
  ordered: 'ordered',
  /** The order was carried out; the VM is not back yet. */
  begun: 'begun',
  /** It had its upkeep and is up again. */
  back: 'back',
  /** It does not exist, or is not of the wave, as the VM service said. */
  skipped: 'skipped'
} as const)
export type UpkeepPhase = typeof UpkeepPhase[keyof typeof UpkeepPhase]

export interface UpkeepWave {
  /** Number that the operator chose. */
  id: number
  /** Phase of each VM by its name. */
  vms: Map<string, UpkeepPhase>
  /** VMs that may be down at the same time. */
  cap: number
  /** Cluster time in milliseconds at which the wave was accepted. */
  acceptedAt: number
  /** Time in which the wave should be over, in milliseconds. */
  durationMs: number
}

/** A VM as the VM service lists it. */
export interface ListedVm {
  name: string
  isUp: boolean
  /** Worker on it; empty when there is none. */
  worker: string
}

/** What became of the order to take a VM down. */
export const UpkeepOutcome = Object.freeze({
  /** It is down, or had its upkeep in this wave. */
  done: 'done',
  /** It is not up, or about to leave; nothing was done. */
  busy: 'busy',
  /** A later leader has given orders for it. */
  fenced: 'fenced',
  /** There is no such VM, or it is not of the wave. */
  unfit: 'unfit',
  /** No answer, or none yet: it may be carried out, also later. */
  unknown: 'unknown'
} as const)
export type UpkeepOutcome = typeof UpkeepOutcome[keyof typeof UpkeepOutcome]

export function isWaveOver (wave: UpkeepWave): boolean {
  for (const phase of wave.vms.values()) {
    if (phase !== UpkeepPhase.back && phase !== UpkeepPhase.skipped) return false
  }
  return true
}
