/**
 * The rounds of placing: after each event, held room that became free is used
 * first, then the queue is served until it is empty or blocked, then urgent work
 * that found no room preempts, then the oldest work reserves room.
 */

import type { TaskState } from '../../types/workloads.js'
import type { Step } from '../step.js'
import type { Demand } from './demand.js'
import { planGang } from './gangs.js'
import type { Indexes } from './indexes.js'
import { Preemption } from './preemption.js'
import { LineState, type ShapeLine } from './lines.js'
import type { Shape } from './shapes.js'
import type { Worker } from './worker.js'

/** Gangs that are tried again after room became free, in one round. */
const GANGS_PER_ROUND = 4
const GANG_RETRY_MS = 20
const PREEMPTIONS_PER_ROUND = 16
const PREEMPTION_RETRY_MS = 100
const RESERVE_EVERY_MS = 250

export class Placer {
  private readonly preemption: Preemption
  private step: Step | undefined
  private left = 0
  private nextGangsAt = 0
  private nextReservationsAt = 0

  private constructor (private readonly indexes: Indexes, private readonly placementsPerStep: number) {
    this.preemption = Preemption.create(indexes.fleet, indexes.holds)
  }

  static create (indexes: Indexes, placementsPerStep: number): Placer {
    return new Placer(indexes, placementsPerStep)
  }

  /** Places what can be placed now, up to the bound of one step. */
  run (step: Step): void {
    if (this.step !== step) {
      this.step = step
      this.left = this.placementsPerStep
    }
    this.indexes.wake(step.now)
    this.placeHolders(step)
    this.openGangs(step)
    this.serveQueue(step)
    this.preempt(step)
    this.reserve(step)
    this.placeHolders(step)
  }

  private serveQueue (step: Step): void {
    while (this.left > 0) {
      this.reopenShapes()
      const line = this.indexes.queue.next(this.indexes.shapes.listReopened())
      const demand = line?.peek()
      if (line === undefined || demand === undefined) return
      if (!this.indexes.ledger.isAllowed(demand)) {
        this.indexes.queue.setState(line, LineState.overQuota)
      } else if (demand.isGang) {
        this.placeGang(demand, step)
      } else {
        this.placeOne(line, demand, step)
      }
    }
  }

  /** Puts the lines of shapes back that may search the whole fleet again. */
  private reopenShapes (): void {
    for (const shape of this.indexes.shapes.listReopened()) {
      if (shape.openWorkers !== undefined) continue
      this.indexes.shapes.settle(shape)
      this.indexes.queue.reopen(shape)
    }
  }

  private placeOne (line: ShapeLine, demand: Demand, step: Step): void {
    const { shapes, fleet, queue } = this.indexes
    const worker = shapes.find(line.shape, demand, fleet)
    const task = demand.nextWaiting()
    if (worker === undefined) queue.block(line.shape)
    else if (task === undefined) queue.remove(demand)
    else this.place(demand, task, worker, step)
  }

  private placeGang (gang: Demand, step: Step): boolean {
    const { fleet, holds, reservations, shapes, queue } = this.indexes
    const plan = planGang(gang, fleet)
    if (plan === undefined) {
      if (gang.line === undefined) return false
      shapes.block(gang.line.shape)
      queue.block(gang.line.shape)
      return false
    }
    reservations.cancel(gang)
    holds.releaseAll(gang)
    for (const [at, task] of gang.listWaiting().entries()) this.place(gang, task, plan[at], step)
    return true
  }

  private place (demand: Demand, task: TaskState, worker: Worker, step: Step): void {
    this.left -= 1
    step.decide({
      kind: 'taskPlaced',
      id: demand.id,
      index: task.index,
      attempt: task.attempt + 1,
      target: worker.name,
      session: worker.target.session
    })
  }

  /** Starts tasks on the room that was held for them. */
  private placeHolders (step: Step): void {
    for (const demand of this.indexes.holds.takeToTry()) {
      if (!this.indexes.ledger.isAllowed(demand)) continue
      if (!demand.isGang) this.placeHeld(demand, step)
      else if (demand.isWholeGang && demand.waitingCount > 0) this.placeGang(demand, step)
    }
  }

  private placeHeld (demand: Demand, step: Step): void {
    for (const hold of Array.from(demand.holds.values())) {
      for (let ready = hold.worker.countReady(hold); ready > 0 && hold.count > 0; ready -= 1) {
        const task = demand.nextWaiting()
        if (task === undefined || demand.waitingCount === 0 || !this.indexes.ledger.isAllowed(demand)) return
        this.indexes.holds.release(hold)
        this.place(demand, task, hold.worker, step)
      }
    }
  }

  private openGangs (step: Step): void {
    if (step.now < this.nextGangsAt) return
    this.nextGangsAt = step.now + GANG_RETRY_MS
    this.indexes.shapes.openGangs(this.indexes.fleet, GANGS_PER_ROUND)
  }

  private preempt (step: Step): void {
    let left = PREEMPTIONS_PER_ROUND
    const lines: ShapeLine[] = []
    for (const line of this.indexes.queue.preemptors) {
      if (step.now >= line.nextPreemptionAt) lines.push(line)
    }
    const vain = new Set<Shape>()
    for (const line of lines.sort((one, other) => other.rank - one.rank)) {
      if (left <= 0) return
      // What found nothing to stop at a higher rank finds nothing at this one.
      if (vain.has(line.shape)) line.nextPreemptionAt = step.now + PREEMPTION_RETRY_MS
      else left -= this.preemptForLine(line, left, step)
      if (line.lacksVictims) vain.add(line.shape)
    }
  }

  /** Its demands need the same, so that the first that finds nothing to stop speaks for all after it. */
  private preemptForLine (line: ShapeLine, most: number, step: Step): number {
    let made = 0
    line.lacksVictims = false
    for (const demand of line.list()) {
      if (made >= most) return made
      if (this.countPreemptions(demand, 1) > 0) this.placeOnHeadroom(demand, step)
      const wanted = this.countPreemptions(demand, most - made)
      if (wanted <= 0) continue
      this.indexes.headroom.notePreemption(step.now)
      const count = this.preemption.preempt(demand, wanted, step)
      made += count
      if (count === wanted) continue
      line.lacksVictims = true
      break
    }
    line.nextPreemptionAt = step.now + PREEMPTION_RETRY_MS
    return made
  }

  /** Starts tasks of a demand on room that was kept for urgent work, as far as it goes. */
  private placeOnHeadroom (demand: Demand, step: Step): void {
    while (!demand.isGang && demand.waitingCount > demand.heldCount && this.indexes.ledger.isAllowed(demand)) {
      const worker = this.indexes.headroom.take(demand)
      const task = demand.nextWaiting()
      if (worker === undefined || task === undefined) return
      this.place(demand, task, worker, step)
    }
  }

  /** For how many tasks others may be preempted: those of a gang together. */
  private countPreemptions (demand: Demand, most: number): number {
    const account = this.indexes.ledger.get(demand.workload.spec.team)
    const wanted = demand.preemptorCount - demand.heldCount
    const allowed = Math.min(wanted, account.countAllowed(demand.need) - demand.heldCount)
    if (demand.isGang) return allowed + demand.heldCount === demand.waitingCount ? allowed : 0
    return Math.min(most, allowed)
  }

  private reserve (step: Step): void {
    if (step.now < this.nextReservationsAt) return
    this.nextReservationsAt = step.now + RESERVE_EVERY_MS
    this.indexes.reservations.update(this.indexes.queue.list(), step.now)
  }
}
