/**
 * Preemption: urgent work that finds no room has the least costly work stopped,
 * and the room that this frees is held for it. Only work of a lower rank that
 * may be preempted is stopped, and a task that was preempted never preempts
 * another, so that one start never leads to a chain of stops.
 */

import type { Step } from '../step.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { Holds } from './holds.js'
import { rankOf } from './lines.js'
import { addSize, copySize, isWithin } from './sizes.js'
import type { Holding, Worker } from './worker.js'

/** A task preempted this often is left alone. */
export const MOST_PREEMPTIONS = 3
/** Workers with enough to stop that are compared for one task. */
const SAMPLE = 64
/** Run time at which the work lost counts in full, in milliseconds. */
const FULL_LOSS_MS = 600_000
const FULL_LOSS_COST = 10
const URGENCY_COST = 200
const STOP_COST = 10
const REPEAT_COST = 20

interface Choice {
  readonly worker: Worker
  readonly victims: readonly Holding[]
  readonly cost: number
}

export class Preemption {
  private workers: Worker[] = []
  private cursor = 0

  private constructor (private readonly fleet: Fleet, private readonly holds: Holds) {}

  static create (fleet: Fleet, holds: Holds): Preemption {
    return new Preemption(fleet, holds)
  }

  /** Makes room for some tasks of a demand, all or none of a gang; returns for how many it did. */
  preempt (demand: Demand, wanted: number, step: Step): number {
    this.workers = Array.from(this.fleet.workers.values())
    const choices: Choice[] = []
    while (choices.length < wanted) {
      const choice = this.choose(demand, step.now)
      if (choice === undefined) break
      this.take(demand, choice)
      choices.push(choice)
    }
    if (demand.isGang && choices.length < wanted) {
      this.undo(demand, choices)
      return 0
    }
    for (const choice of choices) stopVictims(choice.victims, step)
    return choices.length
  }

  private take (demand: Demand, choice: Choice): void {
    for (const victim of choice.victims) this.fleet.setStopping(victim, true)
    this.holds.keep(demand, choice.worker)
  }

  private undo (demand: Demand, choices: readonly Choice[]): void {
    for (const choice of choices) {
      const hold = demand.holds.get(choice.worker)
      if (hold !== undefined) this.holds.release(hold)
      for (const victim of choice.victims) this.fleet.setStopping(victim, false)
    }
  }

  /** The cheapest of a sample of workers, taken in turn so that none is favoured. */
  private choose (demand: Demand, now: number): Choice | undefined {
    const { urgency } = demand.workload.spec
    let best: Choice | undefined
    let compared = 0
    for (let tried = 0; tried < this.workers.length && compared < SAMPLE; tried += 1) {
      this.cursor = (this.cursor + 1) % this.workers.length
      const worker = this.workers[this.cursor]
      if (!worker.usable || !demand.isAllowed(worker)) continue
      if (!isWithin(demand.need, worker.countReclaimable(urgency))) continue
      compared += 1
      const choice = chooseVictims(worker, demand, now)
      if (choice !== undefined && (best === undefined || choice.cost < best.cost)) best = choice
    }
    return best
  }
}

function chooseVictims (worker: Worker, demand: Demand, now: number): Choice | undefined {
  const room = copySize(worker.free)
  addSize(room, worker.stopping)
  const rank = rankOf(demand.workload.spec)
  const victims: Holding[] = []
  const candidates = Array.from(worker.holdings)
    .filter(holding => isVictim(holding, rank))
    .map(holding => ({ holding, cost: costOf(holding, now) }))
    .sort((one, other) => one.cost - other.cost)
  let cost = 0
  for (const candidate of candidates) {
    if (isWithin(demand.need, room)) break
    addSize(room, candidate.holding.size)
    victims.push(candidate.holding)
  }
  if (!isWithin(demand.need, room)) return undefined
  // The dearest that turn out not to be needed are spared.
  for (const victim of Array.from(victims).reverse()) {
    addSize(room, victim.size, -1)
    if (isWithin(demand.need, room)) victims.splice(victims.indexOf(victim), 1)
    else addSize(room, victim.size)
  }
  for (const victim of victims) cost += costOf(victim, now)
  return { worker, victims, cost }
}

function isVictim (holding: Holding, rank: number): boolean {
  if (holding.rank === 0 || holding.stopping) return false
  if (rankOf(holding.demand.workload.spec) >= rank) return false
  return (holding.demand.preempted.get(holding.index) ?? 0) < MOST_PREEMPTIONS
}

/** A gang is stopped as a whole, and costs as much. */
function costOf (holding: Holding, now: number): number {
  const { demand, index, since } = holding
  const { urgency, priority } = demand.workload.spec
  const lost = Math.min(1, (now - since) / FULL_LOSS_MS) * FULL_LOSS_COST
  const repeated = (demand.preempted.get(index) ?? 0) * REPEAT_COST
  const cost = STOP_COST + (urgency - 1) * URGENCY_COST + priority + lost + repeated
  return demand.isGang ? cost * demand.holdings.size : cost
}

function stopVictims (victims: readonly Holding[], step: Step): void {
  for (const victim of victims) {
    const { demand } = victim
    const together = demand.isGang ? Array.from(demand.holdings.values()) : [victim]
    for (const holding of together) stopOne(holding, holding === victim, step)
  }
}

function stopOne (holding: Holding, isMarked: boolean, step: Step): void {
  const { demand, index } = holding
  const task = demand.workload.tasks[index]
  if (task === undefined || task.stopping !== '' || (holding.stopping && !isMarked)) return
  demand.preempted.set(index, (demand.preempted.get(index) ?? 0) + 1)
  step.decide({ kind: 'taskStopping', id: demand.id, index, attempt: task.attempt, stopping: 'preempt' })
}
