/**
 * Records the runs on fake workers and checks them for violations of the
 * scheduler's guarantees. The checks use no state of the scheduler, only which
 * worker ran which attempt, on which VM, and when.
 */

import type { Resources } from '../../src/index.js'

/** One uninterrupted execution of an attempt; an attempt that is paused and resumed has several. */
export interface RecordedRun {
  task: string
  attempt: number
  worker: string
  vm: string
  resources: Resources
  /** True when the task may run at most once: no second attempt and no second worker. */
  mustRunOnce: boolean
  /** Simulated time in milliseconds. */
  from: number
  /** Simulated time in milliseconds; Infinity while it runs. */
  to: number
  /** Result that the worker reports; empty while it runs, or when it was interrupted. */
  result: string
}

export class RunJournal {
  readonly runs: RecordedRun[] = []

  static create (): RunJournal {
    return new RunJournal()
  }

  /** Records the start of a run. */
  recordStart (run: Omit<RecordedRun, 'to' | 'result'>): RecordedRun {
    const opened = { ...run, to: Infinity, result: '' }
    this.runs.push(opened)
    return opened
  }

  listRuns (task: string): RecordedRun[] {
    return this.runs.filter(run => run.task === task)
  }

  /** Descriptions of all violations: overlapping runs of a task, forbidden repeats, and exceeded capacities. Empty when there are none. */
  findViolations (capacities: ReadonlyMap<string, Resources>): string[] {
    return [...findOverlaps(this.runs), ...findRepeats(this.runs), ...findOverCapacity(this.runs, capacities)]
  }
}

function findOverlaps (runs: readonly RecordedRun[]): string[] {
  const found: string[] = []
  const last = new Map<string, RecordedRun>()
  for (const run of [...runs].sort((one, other) => one.from - other.from)) {
    const before = last.get(run.task)
    if (before !== undefined && before.to > run.from) {
      found.push(`${run.task} ran on ${before.worker} until ${before.to} and on ${run.worker} from ${run.from}`)
    }
    if (before === undefined || before.to < run.to) last.set(run.task, run)
  }
  return found
}

function findRepeats (runs: readonly RecordedRun[]): string[] {
  const found: string[] = []
  const attempts = new Map<string, string>()
  const finished = new Set<string>()
  for (const run of runs) {
    const attempt = `${run.worker} ${run.attempt}`
    const first = attempts.get(run.task) ?? attempt
    attempts.set(run.task, first)
    if (run.mustRunOnce && first !== attempt) found.push(`${run.task} ran as ${first} and as ${attempt}`)
    const key = `${run.task}#${run.attempt}`
    if (finished.has(key)) found.push(`${key} ran again after its end`)
    if (run.result !== '') finished.add(key)
  }
  return found
}

function findOverCapacity (runs: readonly RecordedRun[], capacities: ReadonlyMap<string, Resources>): string[] {
  const found: string[] = []
  for (const [vm, capacity] of capacities) {
    const changes = runs.filter(run => run.vm === vm).flatMap(run => [
      { at: run.from, resources: run.resources, sign: 1 },
      { at: run.to, resources: run.resources, sign: -1 }
    ])
    changes.sort((one, other) => one.at - other.at || one.sign - other.sign)
    const used = { millicores: 0, memoryMib: 0, accelerators: 0 }
    for (const { at, resources, sign } of changes) {
      for (const dimension of ['millicores', 'memoryMib', 'accelerators'] as const) {
        used[dimension] += sign * resources[dimension]
        if (used[dimension] > capacity[dimension]) found.push(`${vm} held ${used[dimension]} ${dimension} at ${at}`)
      }
    }
  }
  return found
}
