/**
 * What a measure is, and how its outcome is judged against its bound and aim.
 */

export interface RunOptions {
  /** Seed of everything generated. */
  seed: number
  /** Run a shorter version, whose figures are rougher. */
  quick: boolean
  /** Tells how far the measure is; shown on a terminal. */
  progress: (text: string) => void
}

export interface Outcome {
  value: number
  /** Further figures, by a name that tells the unit. */
  details: Record<string, number>
}

export const Better = Object.freeze({ higher: 'higher', lower: 'lower' } as const)
export type Better = typeof Better[keyof typeof Better]

export interface Measure {
  /** Short name in lower case with hyphens. */
  name: string
  /** What is measured, in a few words. */
  title: string
  unit: string
  better: Better
  /** Beyond it the bench fails; undefined when nothing is stated. */
  bound?: number
  aim?: number
  run: (options: RunOptions) => Outcome | Promise<Outcome>
}

export const Verdict = Object.freeze({
  aim: 'aim met',
  bound: 'in bound',
  broken: 'BROKEN',
  none: ''
} as const)
export type Verdict = typeof Verdict[keyof typeof Verdict]

/** How a value stands against the bound and the aim of its measure. */
export function judge (measure: Measure, value: number): Verdict {
  const { better, bound, aim } = measure
  const isAtLeast = (limit: number): boolean => better === Better.higher ? value >= limit : value <= limit
  if (bound !== undefined && !isAtLeast(bound)) return Verdict.broken
  if (aim !== undefined && isAtLeast(aim)) return Verdict.aim
  return bound === undefined && aim === undefined ? Verdict.none : Verdict.bound
}
