/**
 * The placement round that runs after each event. Tasks start on resources held
 * for them first. Then the queue is served until it is empty, all of it is
 * blocked or over quota, or the limit for one step is reached. After that, work
 * that may preempt and found no free resources preempts other tasks, and
 * resources are reserved for the work that has waited longest.
 */

import type { TaskState } from '../../types/workloads.js'
import type { Step } from '../step.js'
import type { Demand } from './demand.js'
import { planGang } from './plan-gang.js'
import type { PlacementIndexes } from './placement-indexes.js'
import { Preemption } from './preemption.js'
import { ClassQueueState, type ClassQueue } from './class-queue.js'
import type { SchedulingClass } from './scheduling-classes.js'
import type { Worker } from './worker.js'

/** Limit of blocked gangs that are retried in one round. */
const GANG_RETRIES_PER_ROUND = 4
/** Minimum time between two rounds that retry blocked gangs. */
const GANG_RETRY_INTERVAL_MS = 20
/** Limit of tasks for which others are preempted in one round; a gang may exceed it. */
const PREEMPTIONS_PER_ROUND = 16
/** Minimum time between two preemption attempts for one class queue. */
const PREEMPTION_RETRY_INTERVAL_MS = 100
/** Minimum time between two updates of the reservations. */
const RESERVATION_INTERVAL_MS = 250

export class Placer {
  private readonly preemption: Preemption
  private step: Step | undefined
  /** Placements left before the queue is no longer served in the current step; negative when other placements exceeded the limit. */
  private remainingPlacements = 0
  /** Cluster time in milliseconds before which no blocked gang is retried. */
  private nextGangRetryAt = 0
  /** Cluster time in milliseconds before which the reservations are not updated. */
  private nextReservationAt = 0

  private constructor (private readonly indexes: PlacementIndexes, private readonly placementsPerStep: number) {
    this.preemption = Preemption.create(indexes.fleet, indexes.holds)
  }

  static create (indexes: PlacementIndexes, placementsPerStep: number): Placer {
    return new Placer(indexes, placementsPerStep)
  }

  /**
   * Runs one round. Several calls within one step share the limit of `placementsPerStep`
   * placements from the queue.
   */
  run (step: Step): void {
    if (this.step !== step) {
      this.step = step
      this.remainingPlacements = this.placementsPerStep
    }
    this.indexes.processTimers(step.now)
    this.placeOnHolds(step)
    this.retryGangs(step)
    this.serveQueue(step)
    this.preempt(step)
    this.reserve(step)
    this.placeOnHolds(step)
  }

  private serveQueue (step: Step): void {
    while (this.remainingPlacements > 0) {
      this.unblockReopenedQueues()
      const classQueue = this.indexes.queue.findNext(this.indexes.schedulingClasses.listReopened())
      const demand = classQueue?.peek()
      if (classQueue === undefined || demand === undefined) return
      if (!this.indexes.quotaAccounts.isWithinQuota(demand)) {
        this.indexes.queue.setState(classQueue, ClassQueueState.overQuota)
      } else if (demand.isGang) {
        this.placeGang(demand, step)
      } else {
        this.placeTask(classQueue, demand, step)
      }
    }
  }

  /** Unblocks the queues of each scheduling class that may search the whole fleet again. */
  private unblockReopenedQueues (): void {
    for (const schedulingClass of this.indexes.schedulingClasses.listReopened()) {
      if (schedulingClass.candidateWorkers !== undefined) continue
      this.indexes.schedulingClasses.markUnblocked(schedulingClass)
      this.indexes.queue.unblockClass(schedulingClass)
    }
  }

  private placeTask (classQueue: ClassQueue, demand: Demand, step: Step): void {
    const { schedulingClasses, fleet, queue } = this.indexes
    const worker = schedulingClasses.findWorker(classQueue.schedulingClass, demand, fleet)
    const task = demand.findFirstWaiting()
    if (worker === undefined) queue.blockClass(classQueue.schedulingClass)
    else if (task === undefined) queue.remove(demand)
    else this.place(demand, task, worker, step)
  }

  private placeGang (gang: Demand, step: Step): boolean {
    const { fleet, holds, reservations, schedulingClasses, queue } = this.indexes
    const plan = planGang(gang, fleet)
    if (plan === undefined) {
      if (gang.classQueue === undefined) return false
      schedulingClasses.block(gang.classQueue.schedulingClass)
      queue.blockClass(gang.classQueue.schedulingClass)
      return false
    }
    reservations.cancel(gang)
    holds.releaseAll(gang)
    for (const [position, task] of gang.listWaiting().entries()) this.place(gang, task, plan[position], step)
    return true
  }

  private place (demand: Demand, task: TaskState, worker: Worker, step: Step): void {
    this.remainingPlacements -= 1
    step.decide({
      kind: 'taskPlaced',
      id: demand.id,
      index: task.index,
      attempt: task.attempt + 1,
      target: worker.name,
      session: worker.target.session
    })
  }

  /** Places tasks on the resources that are held for them. */
  private placeOnHolds (step: Step): void {
    for (const demand of this.indexes.holds.takeStartCandidates()) {
      if (!this.indexes.quotaAccounts.isWithinQuota(demand)) continue
      if (!demand.isGang) this.placeDemandOnHolds(demand, step)
      else if (demand.isWholeGangWaiting && demand.waitingCount > 0) this.placeGang(demand, step)
    }
  }

  private placeDemandOnHolds (demand: Demand, step: Step): void {
    for (const hold of Array.from(demand.holds.values())) {
      for (let startable = hold.worker.countStartable(hold); startable > 0 && hold.count > 0; startable -= 1) {
        const task = demand.findFirstWaiting()
        if (task === undefined || demand.waitingCount === 0 || !this.indexes.quotaAccounts.isWithinQuota(demand)) return
        this.indexes.holds.releaseTask(hold)
        this.place(demand, task, hold.worker, step)
      }
    }
  }

  private retryGangs (step: Step): void {
    if (step.now < this.nextGangRetryAt) return
    this.nextGangRetryAt = step.now + GANG_RETRY_INTERVAL_MS
    this.indexes.schedulingClasses.reopenGangs(this.indexes.fleet, GANG_RETRIES_PER_ROUND)
  }

  private preempt (step: Step): void {
    let remaining = PREEMPTIONS_PER_ROUND
    const classQueues: ClassQueue[] = []
    for (const classQueue of this.indexes.queue.preemptingQueues) {
      if (step.now >= classQueue.nextPreemptionAt) classQueues.push(classQueue)
    }
    const classesWithoutVictims = new Set<SchedulingClass>()
    for (const classQueue of classQueues.sort((one, other) => other.rank - one.rank)) {
      if (remaining <= 0) return
      // A class without victims for a queue of higher rank has none for one of lower rank either.
      if (classesWithoutVictims.has(classQueue.schedulingClass)) classQueue.nextPreemptionAt = step.now + PREEMPTION_RETRY_INTERVAL_MS
      else remaining -= this.preemptForQueue(classQueue, remaining, step)
      if (classQueue.hasNoVictims) classesWithoutVictims.add(classQueue.schedulingClass)
    }
  }

  /**
   * Preempts other work for the demands of one queue; returns the number of tasks for which
   * resources are being freed. The demands request the same resources, so the first one
   * without enough victims ends the attempt for all that follow.
   */
  private preemptForQueue (classQueue: ClassQueue, limit: number, step: Step): number {
    let preemptedFor = 0
    classQueue.hasNoVictims = false
    for (const demand of classQueue.listDemands()) {
      if (preemptedFor >= limit) return preemptedFor
      if (this.countPreemptions(demand, 1) > 0) this.placeOnHeadroom(demand, step)
      const wanted = this.countPreemptions(demand, limit - preemptedFor)
      if (wanted <= 0) continue
      this.indexes.headroom.recordPreemptionAttempt(step.now)
      const preempted = this.preemption.preempt(demand, wanted, step)
      preemptedFor += preempted
      if (preempted === wanted) continue
      classQueue.hasNoVictims = true
      break
    }
    classQueue.nextPreemptionAt = step.now + PREEMPTION_RETRY_INTERVAL_MS
    return preemptedFor
  }

  /** Places tasks of a demand on the headroom kept for urgent work, until no such task or no headroom is left. */
  private placeOnHeadroom (demand: Demand, step: Step): void {
    while (!demand.isGang && demand.waitingCount > demand.heldTaskCount && this.indexes.quotaAccounts.isWithinQuota(demand)) {
      const worker = this.indexes.headroom.claim(demand)
      const task = demand.findFirstWaiting()
      if (worker === undefined || task === undefined) return
      this.place(demand, task, worker, step)
    }
  }

  /**
   * Number of tasks for which others may be preempted now, at most `limit`. For a gang it is
   * the number of all tasks without held resources, whatever the limit, or 0 when the quota or
   * an earlier preemption of one of its tasks rules out any of them.
   */
  private countPreemptions (demand: Demand, limit: number): number {
    const quotaAccount = this.indexes.quotaAccounts.getOrCreate(demand.workload.spec.team)
    const wanted = demand.preemptingTaskCount - demand.heldTaskCount
    const allowed = Math.min(wanted, quotaAccount.countTasksWithinQuota(demand.need) - demand.heldTaskCount)
    if (demand.isGang) return allowed + demand.heldTaskCount === demand.waitingCount ? allowed : 0
    return Math.min(limit, allowed)
  }

  private reserve (step: Step): void {
    if (step.now < this.nextReservationAt) return
    this.nextReservationAt = step.now + RESERVATION_INTERVAL_MS
    this.indexes.reservations.update(this.indexes.queue.listClassQueues(), step.now)
  }
}
