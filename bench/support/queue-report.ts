/**
 * What the jobs of one queue, or of one account, earned in a simulation.
 */

import type { DrawnJob } from './drawn-jobs.js'

/** Share of its credit that a job earns when it misses its objective. */
const LATE_CREDIT_SHARE = 0.2
/** Multiple of the objective after which a job earns nothing. */
const LATE_LIMIT_FACTOR = 3

/**
 * Jobs and credit of one queue. `inTime` counts the jobs that were completed within their
 * objective, and `late` those that were completed within LATE_LIMIT_FACTOR times their objective.
 */
export interface QueueReport { jobs: number, inTime: number, late: number, possibleCredit: number, earnedCredit: number }

export function createQueueReport (): QueueReport {
  return { jobs: 0, inTime: 0, late: 0, possibleCredit: 0, earnedCredit: 0 }
}

export function countJob (report: QueueReport, { objectiveMs, credit }: DrawnJob, tookMs: number): void {
  report.jobs += 1
  report.possibleCredit += credit
  if (tookMs <= objectiveMs) {
    report.inTime += 1
    report.earnedCredit += credit
  } else if (tookMs <= LATE_LIMIT_FACTOR * objectiveMs) {
    report.late += 1
    report.earnedCredit += LATE_CREDIT_SHARE * credit
  }
}
