/**
 * Fault plans of the soak test: a series of overlapping faults generated from a
 * seed before the run. The same seed and shape always give the same plan.
 */

import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export const SoakFault = Object.freeze({
  /** SIGKILL, then a restart at the end of the fault. */
  kill: 'kill',
  /** SIGTERM, then a restart at the end of the fault. */
  stop: 'stop',
  /** SIGSTOP, then SIGCONT. */
  freeze: 'freeze',
  /** Bytes of the process are dropped silently in both directions; connections stay open. */
  silence: 'silence',
  /** Bytes are dropped silently from client to server only; connections stay open. */
  oneWay: 'oneWay',
  /** Connections are destroyed and refused. */
  reset: 'reset',
  /** Every chunk of data is delayed. */
  delay: 'delay',
  /** All traffic between a worker and the entries is dropped silently, in both directions. */
  targetCut: 'targetCut'
} as const)
export type SoakFault = typeof SoakFault[keyof typeof SoakFault]

export interface PlannedFault {
  /** Milliseconds from the start of the load. */
  atMs: number
  /** Duration of the fault in milliseconds. */
  durationMs: number
  kind: SoakFault
  /** Name of the affected controller or entry, or of the worker for `targetCut`. */
  component: string
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

/** Approximate mean time between the starts of two faults; a fault lasts longer on average, so faults overlap. */
const MEAN_GAP_MS = 900
/** Bounds of the duration of a fault. */
const MIN_DURATION_MS = 300
const MAX_DURATION_MS = 4_000

/** Kinds of faults of a controller or entry; a kind that is listed twice is twice as likely. */
const PROCESS_FAULTS = [
  SoakFault.kill, SoakFault.kill, SoakFault.stop, SoakFault.freeze, SoakFault.silence, SoakFault.oneWay, SoakFault.reset, SoakFault.delay
] as const

/** Creates the plan of a seed. A process has at most one fault at a time; several processes may have faults at once. */
export function createPlan (seed: number, shape: SoakShape): SoakPlan {
  const random = xoroshiro128plus(seed)
  const pickRandom = <T>(items: readonly T[]): T => items[uniformInt(random, 0, items.length - 1)]
  const createNames = (role: string, count: number): string[] => Array.from({ length: count }, (_, index) => `${role}-${index + 1}`)
  const controllers = createNames('controller', shape.controllers)
  const workers = createNames('worker', shape.workers)
  // A controller is listed twice, so it is chosen twice as often as an entry or a worker.
  const components = [...controllers, ...controllers, ...createNames('entry', shape.entries), ...workers]
  const faultEndByComponent = new Map<string, number>()
  const faults: PlannedFault[] = []
  for (let atMs = 0; ; atMs += uniformInt(random, 50, 2 * MEAN_GAP_MS)) {
    if (atMs > shape.durationMs) return { seed, ...shape, faults }
    const component = pickRandom(components)
    const kind = workers.includes(component) ? SoakFault.targetCut : pickRandom(PROCESS_FAULTS)
    const durationMs = uniformInt(random, MIN_DURATION_MS, MAX_DURATION_MS)
    if (atMs < (faultEndByComponent.get(component) ?? 0)) continue
    faultEndByComponent.set(component, atMs + durationMs)
    faults.push({ atMs, durationMs, kind, component })
  }
}

/** Formats a fault as one line of text. */
export function describeFault ({ atMs, durationMs, kind, component }: PlannedFault): string {
  return `${(atMs / 1_000).toFixed(1)} s: ${kind} of ${component} for ${(durationMs / 1_000).toFixed(1)} s`
}
