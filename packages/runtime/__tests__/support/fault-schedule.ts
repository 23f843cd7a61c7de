/**
 * Generated schedules of faults on staged jobs: each group guards against one way
 * in which a task can run twice, start too often or overload a worker.
 */

import assert from 'node:assert/strict'
import { createStage } from '../../../scheduler/__tests__/support/stages.js'
import type { FaultPlan } from './fault-plan.js'
import { DEADLY_JOB, SimulatedCell } from './simulated-cell.js'

/** Faults of workers and leaders; each probability is per thousand and second. */
export interface FaultRates {
  crashes: number
  /** Cuts between the leader and a worker that runs on. */
  cuts: number
  /** Restarts of a worker that take less than 100 ms. */
  quickRestarts: number
  /** Restarts of a worker that is cut off before and after. */
  cutRestarts: number
  /** Workers that announce their end, and start again under their id. */
  retirements: number
  newLeaders: number
  /** Changes of the capacity of a worker, to between none and all of its full one. */
  resizes: number
}

/** The schedules of one group, which differ only by their seed. */
export interface ScheduleGroup {
  plan: Partial<FaultPlan>
  rates: Partial<FaultRates>
  /** Number of jobs, which are submitted in equal intervals while there are faults. */
  jobs: number
  estimateMs: number
  /** Virtual time at which the faults end, in milliseconds. */
  faultsEndAt: number
  /** Virtual time at which all jobs must have ended, in milliseconds. */
  jobsEndAt: number
}

/** Time after the end of the last job in which orders that are still late may be carried out, in milliseconds. */
const LATE_ORDERS_MS = 13_000

/** Number of quarters in the full capacity of a worker. */
const FULL_QUARTERS = 4

const FAULT_INTERVAL_MS = 1_000

/** Submits jobs of one and of two stages, of which every third is urgent and every fourth is a gang. */
export function submitMixedJobs (cell: SimulatedCell, count: number): string[] {
  return Array.from({ length: count }, (_, index) => submitMixedJob(cell, index, 500))
}

function submitMixedJob (cell: SimulatedCell, index: number, estimateMs: number): string {
  const isDeadly = cell.plan.deadlyJobs !== undefined && cell.drawChance(cell.plan.deadlyJobs)
  const id = `${isDeadly ? DEADLY_JOB : 'job'}-${index}`
  const twoStages = [createStage({ taskCount: 1 + cell.drawInteger(8), estimateMs }), createStage({ taskCount: 2, dependsOn: [0], estimateMs })]
  const gang = [createStage({ taskCount: 2 + cell.drawInteger(3), gang: true, estimateMs })]
  cell.submit(id, index % 3 === 0 ? 'urgent' : 'bulk', index % 4 === 0 ? gang : twoStages)
  return id
}

/** Runs one schedule of a group; asserts the invariants, and that every job ends once there are no more faults. */
export async function runSchedule (group: ScheduleGroup, seed: number): Promise<SimulatedCell> {
  const cell = await SimulatedCell.start({ seed, workers: 5, hasAdmission: seed % 2 === 0, ...group.plan })
  const ids: string[] = []
  for (let timeMs = FAULT_INTERVAL_MS; timeMs < group.faultsEndAt; timeMs += FAULT_INTERVAL_MS) {
    await cell.time.runUntil(timeMs)
    generateFaults(cell, group.rates)
    // A submission that is not committed when the leader is replaced is lost, and the caller would repeat it.
    await cell.time.runUntil(timeMs + FAULT_INTERVAL_MS / 2)
    const jobCount = Math.ceil(group.jobs * timeMs / group.faultsEndAt)
    while (ids.length < jobCount) ids.push(submitMixedJob(cell, ids.length, group.estimateMs))
  }
  cell.endFaults()
  for (const host of cell.workerModels.keys()) cell.resizeWorker(host, FULL_QUARTERS)
  const isOver = (): boolean => ids.every(id => isClosed(cell, id))
  while (!isOver() && cell.time.now < group.jobsEndAt) await cell.time.runUntil(cell.time.now + FAULT_INTERVAL_MS)
  await cell.time.runUntil(cell.time.now + LATE_ORDERS_MS)
  cell.assertInvariants()
  for (const id of ids) assert.ok(isClosed(cell, id), `seed ${seed}: ${id} is ${cell.getPhase(id)}`)
  return cell
}

function isClosed (cell: SimulatedCell, id: string): boolean {
  return ['completed', 'failed'].includes(cell.getPhase(id) ?? '')
}

function generateFaults (cell: SimulatedCell, rates: Partial<FaultRates>): void {
  const { crashes = 0, cuts = 0, quickRestarts = 0, cutRestarts = 0, retirements = 0, newLeaders = 0, resizes = 0 } = rates
  const worker = `worker-${cell.drawInteger(cell.plan.workers)}`
  if (cell.drawChance(crashes)) cell.crashWorker(worker)
  else if (cell.drawChance(quickRestarts)) cell.restartWorker(worker, 10 + cell.drawInteger(80))
  else if (cell.drawChance(cutRestarts)) cutAndRestart(cell, worker)
  else if (cell.drawChance(retirements)) cell.retireWorker(worker, 10 + cell.drawInteger(2_000))
  else if (cell.drawChance(cuts)) cut(cell, worker)
  if (cell.drawChance(newLeaders)) cell.replaceLeader()
  if (resizes > 0 && cell.drawChance(resizes)) cell.resizeWorker(`worker-${cell.drawInteger(cell.plan.workers)}`, cell.drawInteger(FULL_QUARTERS + 1))
}

function cut (cell: SimulatedCell, worker: string): void {
  const model = cell.workerModels.get(worker)
  if (model === undefined) return
  model.isDisconnected = true
  cell.time.after(1_000 + cell.drawInteger(9_000), () => { model.isDisconnected = false })
}

function cutAndRestart (cell: SimulatedCell, worker: string): void {
  cell.disconnect(worker)
  const downMs = 10 + cell.drawInteger(1_000)
  const cutMs = cell.drawInteger(3_000)
  cell.time.after(cell.drawInteger(3_000), () => { cell.restartBehindCut(worker, downMs, cutMs) })
}
