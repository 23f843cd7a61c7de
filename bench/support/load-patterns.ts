/**
 * Loads of staged jobs that a cell meets at its worst, in the product's own terms, for
 * replays of the scheduler's decisions. Each pattern is nine tenths of the capacity on a
 * quiet day; bursts, a time without a leader or a higher factor come on top.
 */

import type { JobQueue } from '../../packages/scheduler/src/index.js'
import type { SimulatedAccount } from './account-load.js'
import type { JobClass, StagedJobSimulationOptions } from './staged-job-simulation.js'

const SECOND_MS = 1_000

export function createQueue (
  name: string, priority: number, attemptLimit: number, stretch: number, targetMs: number, decideMs: number, perWorkerMs: number
): JobQueue {
  return {
    name,
    host: 'jobs.example',
    pathPrefix: `/${name}/`,
    service: 'service',
    priority,
    attemptLimit,
    stretch,
    targetMs,
    timeoutMs: 3_000,
    admission: { decideMs, perWorkerMs, validMs: 2_500 }
  }
}

/** A cell of hundreds of workers: short urgent lookups, long wide gangs, and bulk reconciliations in small tasks. */
export const LARGE_FLEET: readonly JobClass[] = [
  {
    queue: createQueue('lookup', 0, 2, 1.5, 250, 20.8, 0.3),
    jobsPerSecond: 75.8,
    credit: 0.413,
    stages: 1,
    tasksPerStage: 3.1,
    taskMs: 800,
    maxTaskMs: 2_000,
    millicores: 16_000,
    memoryMib: 16_000,
    gangShare: 0.3,
    checkpointShare: 0,
    failureShare: 0.02,
    allowedShare: 0.7,
    estimateDeviation: 0.6
  },
  {
    queue: createQueue('rebuild', 1, 2, 2.2, 1_000, 494, 7.15),
    jobsPerSecond: 6.55,
    credit: 5.46,
    stages: 1.2,
    tasksPerStage: 13,
    taskMs: 6_200,
    maxTaskMs: 16_000,
    millicores: 18_000,
    memoryMib: 18_000,
    gangShare: 1,
    checkpointShare: 0.5,
    failureShare: 0.002,
    allowedShare: 0.35,
    estimateDeviation: 0.6
  },
  {
    queue: createQueue('recon', 2, 4, 4, 3_000, 182, 2.6),
    jobsPerSecond: 8.55,
    credit: 2.62,
    stages: 1.5,
    tasksPerStage: 24,
    taskMs: 2_200,
    maxTaskMs: 5_400,
    millicores: 11_000,
    memoryMib: 16_000,
    gangShare: 0,
    checkpointShare: 0.8,
    failureShare: 0.02,
    allowedShare: 0.45
  }
]

/** Latencies are those of a leader that uses all of its processor time. */
export const LARGE_FLEET_SHAPE: Omit<StagedJobSimulationOptions, 'seed' | 'durationMs' | 'burst'> = {
  workers: 378, workerMillicores: 64_000, workerMemoryMib: 131_072, entries: 100, stopMs: 200, commitLatencyMs: 40, callLatencyMs: 25
}

/** The uneven cell of docs/design/competing-and-uneven-load.md, with the mean of its demand; declared run times are off by a factor of e^0.5. */
export const UNEVEN_CELL: readonly JobClass[] = [
  {
    queue: createQueue('urgent', 0, 2, 1.5, 250, 0, 0.67),
    jobsPerSecond: 68,
    credit: 1,
    stages: 1,
    tasksPerStage: 3,
    taskMs: 680,
    maxTaskMs: 2_000,
    millicores: 5_000,
    memoryMib: 8_000,
    gangShare: 0,
    checkpointShare: 0,
    failureShare: 0.02,
    allowedShare: 0.7,
    estimateDeviation: 0.5
  },
  {
    queue: createQueue('gang', 1, 2, 2.2, 1_000, 350, 15),
    jobsPerSecond: 2.9,
    credit: 5,
    stages: 1,
    tasksPerStage: 20,
    taskMs: 4_200,
    maxTaskMs: 16_000,
    millicores: 9_000,
    memoryMib: 12_000,
    gangShare: 1,
    checkpointShare: 0.5,
    failureShare: 0.002,
    allowedShare: 0.35,
    estimateDeviation: 0.5
  },
  {
    queue: createQueue('bulk', 2, 4, 4, 3_000, 75, 2.5),
    jobsPerSecond: 7.6,
    credit: 2.5,
    stages: 1.5,
    tasksPerStage: 25,
    taskMs: 1_900,
    maxTaskMs: 5_400,
    millicores: 3_500,
    memoryMib: 8_000,
    gangShare: 0,
    checkpointShare: 0.8,
    failureShare: 0.02,
    allowedShare: 0.45,
    estimateDeviation: 0.5
  }
]

/** Latencies are those of a leader that uses all of its processor time. */
export const UNEVEN_CELL_SHAPE: Omit<StagedJobSimulationOptions, 'seed' | 'durationMs' | 'burst'> = {
  workers: 246, workerMillicores: 32_000, workerMemoryMib: 65_536, entries: 35, stopMs: 200, commitLatencyMs: 40, callLatencyMs: 25
}

/** A burst of short urgent work, and later one of long wide jobs. */
export function burstOfBoth (queue: string, now: number): number {
  if (queue === 'lookup' && now > 6 * SECOND_MS && now < 10 * SECOND_MS) return 2.3
  return queue === 'rebuild' && now > 20 * SECOND_MS && now < 24 * SECOND_MS ? 1.7 : 1
}

/** The classes with their arrival rates multiplied by a factor. */
export function scaleLoad (classes: readonly JobClass[], factor: number): JobClass[] {
  return classes.map(jobClass => ({ ...jobClass, jobsPerSecond: jobClass.jobsPerSecond * factor }))
}

/**
 * A cell whose callers compete: 20 accounts, a few of them large, on 245 workers. The
 * queues ask for somewhat more than the workers have at the usual rate.
 */
export const FULL_CELL: readonly JobClass[] = [
  {
    queue: createQueue('urgent', 0, 2, 1.5, 250, 11, 0.3),
    jobsPerSecond: 46,
    credit: 0.413,
    stages: 1,
    tasksPerStage: 3,
    taskMs: 1_000,
    maxTaskMs: 2_500,
    millicores: 9_900,
    memoryMib: 16_000,
    gangShare: 0.3,
    checkpointShare: 0,
    failureShare: 0.02,
    allowedShare: 0.7,
    estimateDeviation: 0.7
  },
  {
    queue: createQueue('gang', 1, 2, 2.2, 1_000, 590, 7),
    jobsPerSecond: 2.5,
    credit: 5.46,
    stages: 1.2,
    tasksPerStage: 16,
    taskMs: 6_200,
    maxTaskMs: 16_000,
    millicores: 18_000,
    memoryMib: 18_000,
    gangShare: 1,
    checkpointShare: 0.5,
    failureShare: 0.002,
    allowedShare: 0.35,
    estimateDeviation: 0.7
  },
  {
    queue: createQueue('bulk', 2, 4, 4, 3_000, 72, 2.6),
    jobsPerSecond: 11,
    credit: 2.62,
    stages: 1.5,
    tasksPerStage: 25,
    taskMs: 2_200,
    maxTaskMs: 5_400,
    millicores: 6_900,
    memoryMib: 12_000,
    gangShare: 0,
    checkpointShare: 0.8,
    failureShare: 0.02,
    allowedShare: 0.45,
    estimateDeviation: 0.7
  }
]

export const FULL_CELL_SHAPE: Omit<StagedJobSimulationOptions, 'seed' | 'durationMs' | 'burst'> = {
  workers: 245, workerMillicores: 64_000, workerMemoryMib: 262_144, entries: 31, stopMs: 200, commitLatencyMs: 20, callLatencyMs: 5
}

/** Shares of the arrivals of 20 accounts: three large ones, seven of a middle size and ten small ones. */
const ACCOUNT_SHARES = Object.freeze([0.2, 0.14, 0.1, ...Array<number>(7).fill(0.05), ...Array<number>(10).fill(0.021)])

/** Accounts whose weights are their usual numbers of jobs per second, times `headroom`. */
export function createAccounts (classes: readonly JobClass[], headroom = 1.2): SimulatedAccount[] {
  const jobsPerSecond = classes.reduce((sum, jobClass) => sum + jobClass.jobsPerSecond, 0)
  return ACCOUNT_SHARES.map((share, index) => ({ name: `account-${index}`, weight: headroom * share * jobsPerSecond, share }))
}

/** The accounts with one of them sending several times its usual rate from 6 s to 10 s. */
export function heatAccount (accounts: readonly SimulatedAccount[], name: string, factor: number): SimulatedAccount[] {
  return accounts.map(account => account.name !== name ? account : { ...account, burst: now => now > 6 * SECOND_MS && now < 10 * SECOND_MS ? factor : 1 })
}

/** A cell whose workers are of two generations, whose declared times are far off, and in which 3 of 100 tasks take 7 times as long. */
export const MIXED_FLEET: readonly JobClass[] = [
  {
    queue: createQueue('lookup', 0, 2, 1.5, 250, 14, 0.2),
    jobsPerSecond: 68,
    credit: 0.413,
    stages: 1,
    tasksPerStage: 3,
    taskMs: 680,
    maxTaskMs: 2_000,
    millicores: 5_000,
    memoryMib: 8_000,
    gangShare: 0.3,
    checkpointShare: 0,
    failureShare: 0.02,
    allowedShare: 0.7,
    estimateDeviation: 0.6,
    longShare: 0.03
  },
  {
    queue: createQueue('rebuild', 1, 2, 2.2, 1_000, 560, 8),
    jobsPerSecond: 2.9,
    credit: 5.46,
    stages: 1.2,
    tasksPerStage: 20,
    taskMs: 4_200,
    maxTaskMs: 12_000,
    millicores: 9_000,
    memoryMib: 12_000,
    gangShare: 1,
    checkpointShare: 0.5,
    failureShare: 0.002,
    allowedShare: 0.35,
    estimateDeviation: 0.6,
    longShare: 0.03
  },
  {
    queue: createQueue('recon', 2, 4, 4, 3_000, 105, 1.5),
    jobsPerSecond: 7.6,
    credit: 2.62,
    stages: 1.5,
    tasksPerStage: 25,
    taskMs: 1_900,
    maxTaskMs: 5_000,
    millicores: 3_500,
    memoryMib: 5_000,
    gangShare: 0,
    checkpointShare: 0.8,
    failureShare: 0.02,
    allowedShare: 0.45,
    estimateDeviation: 0.9,
    longShare: 0.03
  }
]

export const MIXED_FLEET_SHAPE: Omit<StagedJobSimulationOptions, 'seed' | 'durationMs' | 'burst'> = {
  workers: 246, workerMillicores: 32_000, workerMemoryMib: 65_536, entries: 35, stopMs: 200, commitLatencyMs: 40, callLatencyMs: 25, speeds: [0.7, 0.7, 1.7]
}

/** Demand that swings by 0.55 in 17 s. */
export function swing (_queue: string, now: number): number {
  return 1 + 0.55 * Math.sin(2 * Math.PI * now / (17 * SECOND_MS))
}
