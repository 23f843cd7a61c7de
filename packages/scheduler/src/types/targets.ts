/**
 * Targets: the workers that run tasks and the runners that run requests. Each
 * announces itself and holds a session that lives as long as its lease.
 */

import type { Resources } from './resources.js'

export const TargetKind = Object.freeze({ worker: 'worker', runner: 'runner' } as const)
export type TargetKind = typeof TargetKind[keyof typeof TargetKind]

export const TargetPhase = Object.freeze({
  ready: 'ready',
  /** An operator or a platform notice keeps new work away. */
  draining: 'draining',
  /** It fails what others run, and takes no new work. */
  suspect: 'suspect',
  /** A suspect that takes one task as a probe; it is suspect again once that is placed. */
  probing: 'probing',
  /** It said that it leaves. */
  leaving: 'leaving',
  /** Its lease ran out; its work is released after the drift bound. */
  lost: 'lost'
} as const)
export type TargetPhase = typeof TargetPhase[keyof typeof TargetPhase]

export interface TargetState {
  name: string
  kind: TargetKind
  session: string
  /** Grows with each session of any target; a target refuses lower ones. */
  fence: number
  incarnation: number
  vm: string
  rack: string
  availabilityZone: string
  /** host:port */
  address: string
  /** Zero for a runner. */
  capacity: Resources
  /** Service of a runner; empty for a worker. */
  service: string
  slots: number
  connections: number
  phase: TargetPhase
}

/** True when new work may be placed on a target in this phase. */
export function takesWork (phase: TargetPhase): boolean {
  return phase === TargetPhase.ready || phase === TargetPhase.probing
}
