/**
 * The groups of generated schedules. Each adds one kind of fault to those that all
 * groups have: lost and late calls, answers that overtake each other, runs that take
 * time to stop or fail, crashed and cut-off workers, and new leaders.
 */

import type { FaultPlan } from './fault-plan.js'
import type { FaultRates, ScheduleGroup } from './fault-schedule.js'

const COMMON_PLAN: Partial<FaultPlan> = {
  lostRequests: 20, lostAnswers: 30, lateOrders: 40, jitterMs: 40, stopMs: 800, hasLongPolling: true, failures: 200, hasGangBreaks: true
}

const COMMON_RATES: Partial<FaultRates> = { crashes: 150, cuts: 200, newLeaders: 100 }

const SHORT_TASKS = { jobs: 24, estimateMs: 500, faultsEndAt: 16_000, jobsEndAt: 90_000 }

const LONG_TASKS = { jobs: 10, estimateMs: 8_000, faultsEndAt: 30_000, jobsEndAt: 240_000 }

const RESTART_PLAN: Partial<FaultPlan> = { ...COMMON_PLAN, delayedReports: 100 }

const RESTART_RATES: Partial<FaultRates> = { ...COMMON_RATES, quickRestarts: 250, cutRestarts: 200 }

const STRAY_ORDER_PLAN: Partial<FaultPlan> = { ...RESTART_PLAN, hasStrayLateOrders: true, isStrayAfterFirstList: true, hasStrayCalls: true }

const REFUSALS: Partial<FaultPlan> = { unhealthyStarts: 100, hasTicketCheck: true }

const MANY_SHORT_TASKS = { ...SHORT_TASKS, jobs: 60, jobsEndAt: 150_000 }

const DEADLY: Partial<FaultPlan> = { deadlyJobs: 100, hasNewIds: true, refusedConnections: 700 }

const LONG_RUNS: Partial<FaultPlan> = { runMs: [6_000, 10_000] }

export const SCHEDULE_GROUPS = {
  knownFaults: { plan: COMMON_PLAN, rates: COMMON_RATES, ...SHORT_TASKS },
  refusedStarts: { plan: { ...COMMON_PLAN, ...REFUSALS }, rates: COMMON_RATES, ...SHORT_TASKS },
  restarts: { plan: RESTART_PLAN, rates: RESTART_RATES, ...SHORT_TASKS },
  strayCalls: { plan: { ...RESTART_PLAN, hasStrayCalls: true }, rates: RESTART_RATES, ...SHORT_TASKS },
  strayLateOrders: { plan: STRAY_ORDER_PLAN, rates: RESTART_RATES, ...SHORT_TASKS },
  strayLateStarts: { plan: { ...STRAY_ORDER_PLAN, isStrayAfterFirstList: false }, rates: RESTART_RATES, ...SHORT_TASKS },
  strayOrdersAndRefusals: { plan: { ...STRAY_ORDER_PLAN, ...REFUSALS, hasRoomCheck: true }, rates: RESTART_RATES, ...SHORT_TASKS },
  departures: {
    plan: { ...RESTART_PLAN, ...LONG_RUNS, delayedLeaves: 500, refusedConnections: 500 }, rates: { ...COMMON_RATES, retirements: 250 }, ...LONG_TASKS
  },
  longTasks: { plan: { ...COMMON_PLAN, ...LONG_RUNS }, rates: COMMON_RATES, ...LONG_TASKS },
  lateLeases: { plan: { ...COMMON_PLAN, ...LONG_RUNS, hasLateLeases: true }, rates: COMMON_RATES, ...LONG_TASKS },
  deadlyTasks: { plan: { ...COMMON_PLAN, ...DEADLY }, rates: COMMON_RATES, ...MANY_SHORT_TASKS },
  deadlyTasksAndRestarts: { plan: { ...RESTART_PLAN, ...DEADLY, hasNewIds: false }, rates: RESTART_RATES, ...MANY_SHORT_TASKS },
  resizes: { plan: { ...COMMON_PLAN, delayedReports: 400, runMs: [1_000, 4_000] }, rates: { ...COMMON_RATES, crashes: 50, cuts: 50, resizes: 900 }, ...LONG_TASKS, jobs: 40 },
  truncatedLists: {
    plan: { ...COMMON_PLAN, listedEnds: 2, lostAnswers: 100, runMs: [400, 600] }, rates: { ...COMMON_RATES, newLeaders: 500 }, ...SHORT_TASKS, jobs: 40
  },
  newLeaders: {
    plan: { ...STRAY_ORDER_PLAN, ...REFUSALS, ...LONG_RUNS, refusedConnections: 200 },
    rates: { ...RESTART_RATES, newLeaders: 300 },
    ...LONG_TASKS
  }
} as const satisfies Record<string, ScheduleGroup>

export type ScheduleGroupName = keyof typeof SCHEDULE_GROUPS
