/**
 * Preemption: when urgent work finds no free resources, the tasks with the
 * lowest cost of preemption are stopped and their resources are held for the
 * urgent work. Only preemptible tasks of a lower rank are stopped. A task that
 * was preempted never preempts another one, so that one start never causes a
 * chain of preemptions.
 */

import type { Step } from '../step.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { ResourceHolds } from './resource-holds.js'
import { computeRank } from './class-queue.js'
import { addResources, copyResources, isWithin } from './resource-arithmetic.js'
import type { Allocation, Worker } from './worker.js'

/** A task that was preempted this often is not preempted again. */
export const TASK_PREEMPTION_LIMIT = 3
/** Number of workers with enough reclaimable resources that are compared for one task. */
const WORKER_SAMPLE_SIZE = 64
/** Run time from which the lost work has its full cost. */
const FULL_LOSS_RUN_TIME_MS = 600_000
/** Cost of the work lost at that run time. All costs are relative and have no unit. */
const FULL_LOSS_COST = 10
/** Added for each level of urgency above the lowest. */
const URGENCY_COST = 200
/** Cost of stopping any task. */
const STOP_COST = 10
/** Added for each earlier preemption of the task. */
const REPEAT_COST = 20

/** The tasks to stop on one worker for one task, and their total cost. */
interface VictimChoice {
  readonly worker: Worker
  readonly victims: readonly Allocation[]
  readonly cost: number
}

export class Preemption {
  private workers: Worker[] = []
  private cursor = 0

  private constructor (private readonly fleet: Fleet, private readonly holds: ResourceHolds) {}

  static create (fleet: Fleet, holds: ResourceHolds): Preemption {
    return new Preemption(fleet, holds)
  }

  /**
   * Stops other tasks to free resources for up to `wanted` tasks of a demand, for a gang for
   * all of them or none. Returns the number of tasks for which resources are being freed.
   */
  preempt (demand: Demand, wanted: number, step: Step): number {
    this.workers = Array.from(this.fleet.workers.values())
    const choices: VictimChoice[] = []
    while (choices.length < wanted) {
      const choice = this.chooseWorker(demand, step.now)
      if (choice === undefined) break
      this.applyChoice(demand, choice)
      choices.push(choice)
    }
    if (demand.isGang && choices.length < wanted) {
      this.revertChoices(demand, choices)
      return 0
    }
    for (const choice of choices) stopVictims(choice.victims, step)
    return choices.length
  }

  private applyChoice (demand: Demand, choice: VictimChoice): void {
    for (const victim of choice.victims) this.fleet.setStopping(victim, true)
    this.holds.holdForTask(demand, choice.worker)
  }

  private revertChoices (demand: Demand, choices: readonly VictimChoice[]): void {
    for (const choice of choices) {
      const hold = demand.holds.get(choice.worker)
      if (hold !== undefined) this.holds.releaseTask(hold)
      for (const victim of choice.victims) this.fleet.setStopping(victim, false)
    }
  }

  /**
   * The choice with the lowest cost among a sample of workers. The sample starts where the
   * last one ended, so that all workers are considered equally often.
   */
  private chooseWorker (demand: Demand, now: number): VictimChoice | undefined {
    const { urgency } = demand.workload.spec
    let best: VictimChoice | undefined
    let compared = 0
    for (let tried = 0; tried < this.workers.length && compared < WORKER_SAMPLE_SIZE; tried += 1) {
      this.cursor = (this.cursor + 1) % this.workers.length
      const worker = this.workers[this.cursor]
      if (!worker.isUsable || !demand.isWorkerAllowed(worker)) continue
      if (!isWithin(demand.need, worker.sumReclaimable(urgency))) continue
      compared += 1
      const choice = chooseVictims(worker, demand, now)
      if (choice !== undefined && (best === undefined || choice.cost < best.cost)) best = choice
    }
    return best
  }
}

/**
 * Victims on a worker that suffice for one task, in ascending order of cost; undefined when
 * stopping all candidates does not.
 */
function chooseVictims (worker: Worker, demand: Demand, now: number): VictimChoice | undefined {
  const reclaimable = copyResources(worker.free)
  addResources(reclaimable, worker.stoppingResources)
  const rank = computeRank(demand.workload.spec)
  const victims: Allocation[] = []
  const candidates = Array.from(worker.allocations)
    .filter(allocation => isVictim(allocation, rank))
    .map(allocation => ({ allocation, cost: computeCost(allocation, now) }))
    .sort((one, other) => one.cost - other.cost)
  let cost = 0
  for (const candidate of candidates) {
    if (isWithin(demand.need, reclaimable)) break
    addResources(reclaimable, candidate.allocation.size)
    victims.push(candidate.allocation)
  }
  if (!isWithin(demand.need, reclaimable)) return undefined
  // Victims that are not needed are kept running, the most expensive first.
  for (const victim of Array.from(victims).reverse()) {
    addResources(reclaimable, victim.size, -1)
    if (isWithin(demand.need, reclaimable)) victims.splice(victims.indexOf(victim), 1)
    else addResources(reclaimable, victim.size)
  }
  for (const victim of victims) cost += computeCost(victim, now)
  return { worker, victims, cost }
}

function isVictim (allocation: Allocation, rank: number): boolean {
  if (allocation.preemptibleUrgency === 0 || allocation.isStopping) return false
  if (computeRank(allocation.demand.workload.spec) >= rank) return false
  return (allocation.demand.preemptionCounts.get(allocation.index) ?? 0) < TASK_PREEMPTION_LIMIT
}

/**
 * Cost of preempting a task. A gang is stopped as a whole, so the cost is multiplied by its
 * number of allocations.
 */
function computeCost (allocation: Allocation, now: number): number {
  const { demand, index, placedAt } = allocation
  const { urgency, priority } = demand.workload.spec
  const lostWork = Math.min(1, (now - placedAt) / FULL_LOSS_RUN_TIME_MS) * FULL_LOSS_COST
  const repeatCost = (demand.preemptionCounts.get(index) ?? 0) * REPEAT_COST
  const cost = STOP_COST + (urgency - 1) * URGENCY_COST + priority + lostWork + repeatCost
  return demand.isGang ? cost * demand.allocations.size : cost
}

function stopVictims (victims: readonly Allocation[], step: Step): void {
  for (const victim of victims) {
    const { demand } = victim
    const stoppedTogether = demand.isGang ? Array.from(demand.allocations.values()) : [victim]
    for (const allocation of stoppedTogether) stopTask(allocation, allocation === victim, step)
  }
}

function stopTask (allocation: Allocation, isChosenVictim: boolean, step: Step): void {
  const { demand, index } = allocation
  const task = demand.workload.tasks[index]
  // The allocation of a chosen victim was marked as stopping when the victim was chosen.
  if (task === undefined || task.stopping !== '' || (allocation.isStopping && !isChosenVictim)) return
  demand.preemptionCounts.set(index, (demand.preemptionCounts.get(index) ?? 0) + 1)
  step.decide({ kind: 'taskStopping', id: demand.id, index, attempt: task.attempt, stopping: 'preempt' })
}
