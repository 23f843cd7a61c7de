/**
 * Staged jobs on called workers, in a deployment of the size expected in two years:
 * the credit earned under a load of nine tenths of the capacity with bursts above
 * it, and the cost of the leader's decisions.
 */

import { Better, type Measure, type Outcome, type RunOptions } from '../registry.js'
import { createQueue, LARGE_FLEET, LARGE_FLEET_SHAPE, burstOfBoth } from '../support/load-patterns.js'
import { StagedJobSimulation, type StagedJobSimulationOptions, type JobClass } from '../support/staged-job-simulation.js'

const SECOND_MS = 1_000

/** Load of the consortium expected in two years: alerts, gangs that reconstruct events, and reconciliations in the queue `rain`. */
export const CONSORTIUM_GROWN: readonly JobClass[] = [
  {
    queue: createQueue('alert', 0, 3, 1.5, 250, 13, 0.13),
    jobsPerSecond: 77,
    credit: 0.4,
    stages: 1,
    tasksPerStage: 3,
    taskMs: 800,
    maxTaskMs: 2_000,
    millicores: 5_000,
    memoryMib: 18_000,
    gangShare: 0.3,
    checkpointShare: 0,
    failureShare: 0.02,
    allowedShare: 0.7
  },
  {
    queue: createQueue('event', 1, 3, 2.2, 1_000, 586, 5.9),
    jobsPerSecond: 4.2,
    credit: 8.44,
    stages: 1.2,
    tasksPerStage: 20,
    taskMs: 4_000,
    maxTaskMs: 10_000,
    millicores: 9_000,
    memoryMib: 26_000,
    gangShare: 1,
    checkpointShare: 0.5,
    failureShare: 0.005,
    allowedShare: 0.43
  },
  {
    queue: createQueue('rain', 2, 3, 4, 3_000, 117, 1.2),
    jobsPerSecond: 5.5,
    credit: 4,
    stages: 1.5,
    tasksPerStage: 25,
    taskMs: 3_400,
    maxTaskMs: 8_400,
    millicores: 3_500,
    memoryMib: 13_000,
    gangShare: 0,
    checkpointShare: 0.8,
    failureShare: 0.05,
    allowedShare: 0.52
  }
]

export const CONSORTIUM_GROWN_SHAPE: Omit<StagedJobSimulationOptions, 'seed' | 'durationMs' | 'burst'> = {
  workers: 246, workerMillicores: 32_000, workerMemoryMib: 131_072, entries: 46, stopMs: 900
}

export const calledLoad: Measure = {
  name: 'called-load',
  title: 'share of the possible credit earned by staged jobs on 246 called workers, with a burst of alerts and one of gangs',
  unit: '%',
  better: Better.higher,
  bound: 60,
  aim: 90,
  run: measureCalledLoad
}

export const calledLoadLarge: Measure = {
  name: 'called-load-large',
  title: 'share of the possible credit earned by staged jobs on 378 called workers, with two bursts and a loss of the leader',
  unit: '%',
  better: Better.higher,
  bound: 60,
  aim: 90,
  run: ({ seed, quick }) => report(StagedJobSimulation.run(LARGE_FLEET, {
    ...LARGE_FLEET_SHAPE, seed, durationMs: getDurationMs(quick), burst: burstOfBoth, withoutLeader: { fromMs: 2_500, toMs: 3_300 }
  }), getDurationMs(quick))
}

function getDurationMs (quick: boolean): number {
  return (quick ? 10 : 30) * SECOND_MS
}

function measureCalledLoad ({ seed, quick }: RunOptions): Outcome {
  return report(StagedJobSimulation.run(CONSORTIUM_GROWN, {
    ...CONSORTIUM_GROWN_SHAPE,
    seed,
    durationMs: getDurationMs(quick),
    burst: (queue, now) => {
      if (queue === 'alert' && now > 8 * SECOND_MS && now < 12 * SECOND_MS) return 2
      return queue === 'event' && now > 18 * SECOND_MS && now < 22 * SECOND_MS ? 1.8 : 1
    }
  }), getDurationMs(quick))
}

function report (simulation: StagedJobSimulation, durationMs: number): Outcome {
  // The simulation continues for 30 s after the end of the arrivals.
  const details: Record<string, number> = { 'decisions (ms a second)': simulation.decisionMs * SECOND_MS / (durationMs + 30 * SECOND_MS), starts: simulation.starts, stops: simulation.stops, questions: simulation.admission.queries }
  let possibleCredit = 0
  let earnedCredit = 0
  for (const [queue, report] of simulation.reports) {
    possibleCredit += report.possibleCredit
    earnedCredit += report.earnedCredit
    details[`${queue}: earned (%)`] = 100 * report.earnedCredit / report.possibleCredit
    details[`${queue}: in time (%)`] = 100 * report.inTime / report.jobs
    details[`${queue}: never or worthless (%)`] = 100 * (report.jobs - report.inTime - report.late) / report.jobs
  }
  return { value: 100 * earnedCredit / possibleCredit, details }
}
