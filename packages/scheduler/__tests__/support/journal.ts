/**
 * What fake workers wrote down of their runs, and the checks on it. It knows
 * nothing of the scheduler: only who ran what, where, from when to when.
 */

import type { Resources } from '../../src/index.js'

export interface Run {
  task: string
  attempt: number
  worker: string
  vm: string
  resources: Resources
  /** True when the task must never run twice. */
  once: boolean
  from: number
  /** Infinity while it runs. */
  to: number
  /** How the worker saw it end; empty while it runs or when it was cut down. */
  result: string
}

export class Journal {
  readonly runs: Run[] = []

  static create (): Journal {
    return new Journal()
  }

  open (run: Omit<Run, 'to' | 'result'>): Run {
    const opened = { ...run, to: Infinity, result: '' }
    this.runs.push(opened)
    return opened
  }

  of (task: string): Run[] {
    return this.runs.filter(run => run.task === task)
  }

  /** Every break of a promise that the runs show. */
  violations (capacities: ReadonlyMap<string, Resources>): string[] {
    return [...findOverlaps(this.runs), ...findRepeats(this.runs), ...findOverCapacity(this.runs, capacities)]
  }
}

function findOverlaps (runs: readonly Run[]): string[] {
  const found: string[] = []
  const last = new Map<string, Run>()
  for (const run of [...runs].sort((one, other) => one.from - other.from)) {
    const before = last.get(run.task)
    if (before !== undefined && before.to > run.from) {
      found.push(`${run.task} ran on ${before.worker} until ${before.to} and on ${run.worker} from ${run.from}`)
    }
    if (before === undefined || before.to < run.to) last.set(run.task, run)
  }
  return found
}

function findRepeats (runs: readonly Run[]): string[] {
  const found: string[] = []
  const attempts = new Map<string, string>()
  const finished = new Set<string>()
  for (const run of runs) {
    const attempt = `${run.worker} ${run.attempt}`
    const first = attempts.get(run.task) ?? attempt
    attempts.set(run.task, first)
    if (run.once && first !== attempt) found.push(`${run.task} ran as ${first} and as ${attempt}`)
    const key = `${run.task}#${run.attempt}`
    if (finished.has(key)) found.push(`${key} ran again after its end`)
    if (run.result !== '') finished.add(key)
  }
  return found
}

function findOverCapacity (runs: readonly Run[], capacities: ReadonlyMap<string, Resources>): string[] {
  const found: string[] = []
  for (const [vm, capacity] of capacities) {
    const changes = runs.filter(run => run.vm === vm).flatMap(run => [
      { at: run.from, by: run.resources, sign: 1 },
      { at: run.to, by: run.resources, sign: -1 }
    ])
    changes.sort((one, other) => one.at - other.at || one.sign - other.sign)
    const used = { millicores: 0, memoryMib: 0, accelerators: 0 }
    for (const { at, by, sign } of changes) {
      for (const dimension of ['millicores', 'memoryMib', 'accelerators'] as const) {
        used[dimension] += sign * by[dimension]
        if (used[dimension] > capacity[dimension]) found.push(`${vm} held ${used[dimension]} ${dimension} at ${at}`)
      }
    }
  }
  return found
}
