/**
 * What a seed stands for: a series of faults that overlap, drawn before the run
 * and without any time or chance of its own.
 */

import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export const SoakFault = Object.freeze({
  /** SIGKILL, and started again. */
  kill: 'kill',
  /** SIGTERM, and started again once it ended. */
  stop: 'stop',
  /** SIGSTOP, then SIGCONT. */
  freeze: 'freeze',
  /** Nothing passes in either direction, without a sign. */
  silence: 'silence',
  /** Nothing passes towards the process. */
  oneWay: 'oneWay',
  /** Connections are destroyed and refused. */
  reset: 'reset',
  /** Every chunk is held back. */
  delay: 'delay',
  /** The processes of the runner or worker end and come back by themselves. */
  targetCut: 'targetCut'
} as const)
export type SoakFault = typeof SoakFault[keyof typeof SoakFault]

export interface PlannedFault {
  /** Milliseconds from the start of the load. */
  atMs: number
  forMs: number
  kind: SoakFault
  /** Process, or worker of a cut. */
  victim: string
}

export interface SoakPlan {
  seed: number
  controllers: number
  entries: number
  workers: number
  durationMs: number
  faults: PlannedFault[]
}

export interface SoakShape { controllers: number, entries: number, workers: number, durationMs: number }

/** Mean time between two faults, in milliseconds; each lasts longer, so that they overlap. */
const GAP_MS = 900
const SHORTEST_MS = 300
const LONGEST_MS = 4_000

/** What each kind of victim may suffer. */
const OF_PROCESS = [
  SoakFault.kill, SoakFault.kill, SoakFault.stop, SoakFault.freeze, SoakFault.silence, SoakFault.oneWay, SoakFault.reset, SoakFault.delay
] as const

/** Faults of one seed. One process suffers one fault at a time; any number of processes may suffer at once. */
export function createPlan (seed: number, shape: SoakShape): SoakPlan {
  const random = xoroshiro128plus(seed)
  const pick = <T>(items: readonly T[]): T => items[uniformInt(random, 0, items.length - 1)]
  const name = (role: string, count: number): string[] => Array.from({ length: count }, (_, index) => `${role}-${index + 1}`)
  const controllers = name('controller', shape.controllers)
  const workers = name('worker', shape.workers)
  const victims = [...controllers, ...controllers, ...name('entry', shape.entries), ...workers]
  const busyUntil = new Map<string, number>()
  const faults: PlannedFault[] = []
  for (let atMs = 0; ; atMs += uniformInt(random, 50, 2 * GAP_MS)) {
    if (atMs > shape.durationMs) return { seed, ...shape, faults }
    const victim = pick(victims)
    const kind = workers.includes(victim) ? SoakFault.targetCut : pick(OF_PROCESS)
    const forMs = uniformInt(random, SHORTEST_MS, LONGEST_MS)
    if (atMs < (busyUntil.get(victim) ?? 0)) continue
    busyUntil.set(victim, atMs + forMs)
    faults.push({ atMs, forMs, kind, victim })
  }
}

/** One line for a fault. */
export function describeFault ({ atMs, forMs, kind, victim }: PlannedFault): string {
  return `${(atMs / 1_000).toFixed(1)} s: ${kind} of ${victim} for ${(forMs / 1_000).toFixed(1)} s`
}
