/**
 * Targets: the workers that run tasks and the runners that answer requests. Each
 * announces itself and gets a session that is valid as long as its lease.
 */

import type { Resources } from './resources.js'

export const TargetKind = Object.freeze({ worker: 'worker', runner: 'runner' } as const)
export type TargetKind = typeof TargetKind[keyof typeof TargetKind]

export const TargetPhase = Object.freeze({
  ready: 'ready',
  /** An operator or a platform notice excludes the target from new work. */
  draining: 'draining',
  /** The target fails work that succeeds elsewhere, and gets no new work. */
  suspect: 'suspect',
  /** A suspect that may get one task as a probe; it is suspect again once the probe is placed. */
  probing: 'probing',
  /** The target has announced that it is shutting down. */
  leaving: 'leaving',
  /** The lease has expired; the work of the target is released after the drift bound. */
  lost: 'lost'
} as const)
export type TargetPhase = typeof TargetPhase[keyof typeof TargetPhase]

export interface TargetState {
  name: string
  kind: TargetKind
  session: string
  /** Fencing token: increases with each session of any target; a target rejects lower ones. */
  fence: number
  /** Increases with each start of the target. */
  incarnation: number
  vm: string
  rack: string
  availabilityZone: string
  /** Host and port as `host:port`. */
  address: string
  /** Zero for a runner. */
  capacity: Resources
  /** Service of a runner; empty for a worker. */
  service: string
  /** Requests that a runner runs at the same time; 0 for a worker. */
  slots: number
  /** Connections that a runner accepts at the same time; 0 for a worker. */
  connections: number
  phase: TargetPhase
}

/** True when new work may be placed on a target in this phase. */
export function isSchedulable (phase: TargetPhase): boolean {
  return phase === TargetPhase.ready || phase === TargetPhase.probing
}
