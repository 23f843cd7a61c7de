/**
 * Client accounts of a simulated load. Each account draws its jobs from a source of its
 * own, so that a burst of one account leaves the jobs of all others as they are, and
 * two replays can be compared account by account.
 */

import type { ClientAccount } from '../../packages/scheduler/src/index.js'
import type { JobClass } from './drawn-jobs.js'
import { Random } from './random.js'
import type { QueueReport } from './staged-job-simulation.js'

export interface SimulatedAccount {
  /** Also the digest of its only key. */
  name: string
  /** Jobs per second that it is owed. */
  weight: number
  /** Its share of the usual arrivals of each queue. */
  share: number
  /** Returns the factor by which its usual rate is multiplied at a time; absent for an even rate. */
  burst?: (now: number) => number
  /** Time after which its callers cancel their jobs, in milliseconds; absent for callers that wait. */
  leavesAfterMs?: number
}

/** What became of one job: `waitMs` is the time to its first start, or to the end of the replay without one; `tookMs` is Infinity for a job that was not completed. */
export interface JobWait { queue: string, isBeyondWeight: boolean, submittedAt: number, objectiveMs: number, tookMs: number, waitMs: number }

export interface AccountReport extends QueueReport { waits: JobWait[] }

/** Arrivals of one queue and, where there are accounts, of one of them. */
export interface JobStream { jobClass: JobClass, account: SimulatedAccount | undefined, random: Random }

export function createStreams (classes: readonly JobClass[], accounts: readonly SimulatedAccount[] | undefined, random: Random, seed: number): JobStream[] {
  if (accounts === undefined) return classes.map(jobClass => ({ jobClass, account: undefined, random }))
  return classes.flatMap((jobClass, row) => accounts.map((account, column) => ({ jobClass, account, random: Random.create(seed + 1_000 * (row + 1) + 10 * column) })))
}

export function createClientAccount ({ name, weight }: SimulatedAccount): ClientAccount {
  return { name, keyDigests: [name], weight, cap: { millicores: 0, memoryMib: 0, accelerators: 0 }, priority: 0 }
}

/** Mean time in milliseconds to the first start of the jobs that some accounts submitted in a period, limited to the replay. */
export function computeMeanWait (reports: Iterable<AccountReport>, isWanted: (job: JobWait) => boolean = () => true): number {
  const waits = [...reports].flatMap(report => report.waits).filter(isWanted)
  return waits.reduce((sum, { waitMs }) => sum + waitMs, 0) / Math.max(1, waits.length)
}
