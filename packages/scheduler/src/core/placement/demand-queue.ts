/**
 * The queue of demands, ordered by urgency and priority, then by the smallest
 * weighted dominant share of the team, then by arrival. Demands are grouped in
 * class queues, one for each rank, team and scheduling class. While the demands
 * of a class queue cannot be placed, the search for the next demand skips the
 * class queue as a whole, so that thousands of blocked tasks do not slow it down.
 */

import type { Demand } from './demand.js'
import type { QuotaAccount, QuotaAccounts } from './quota-accounts.js'
import { PriorityLevel, ClassQueueState, addToReadyList, computeRank, ClassQueue, removeFromReadyList, TeamQueue } from './class-queue.js'
import type { SchedulingClass, SchedulingClassTable } from './scheduling-classes.js'

export class DemandQueue {
  /** Blocked class queues whose demands may preempt other work. */
  readonly preemptingQueues = new Set<ClassQueue>()
  /** In descending order of rank. */
  private readonly levels: PriorityLevel[] = []

  private constructor (private readonly quotaAccounts: QuotaAccounts, private readonly schedulingClasses: SchedulingClassTable) {}

  static create (quotaAccounts: QuotaAccounts, schedulingClasses: SchedulingClassTable): DemandQueue {
    return new DemandQueue(quotaAccounts, schedulingClasses)
  }

  /**
   * Enqueues a demand unless it is queued already; returns its class queue, or undefined
   * when none of its tasks may be placed now.
   */
  add (demand: Demand): ClassQueue | undefined {
    if (demand.waitingCount === 0) return undefined
    const classQueue = demand.classQueue ?? this.getOrCreateClassQueue(demand)
    classQueue.add(demand)
    // A new demand need not wait for the next preemption attempt, unless the last one found too few victims.
    if (!classQueue.hasNoVictims) classQueue.nextPreemptionAt = 0
    if (classQueue.state === ClassQueueState.empty) this.setState(classQueue, classQueue.schedulingClass.isBlocked ? ClassQueueState.blocked : ClassQueueState.ready)
    return classQueue
  }

  remove (demand: Demand): void {
    const { classQueue } = demand
    if (classQueue === undefined) return
    classQueue.remove(demand)
    if (classQueue.isEmpty) this.setState(classQueue, ClassQueueState.empty)
  }

  /**
   * The class queue whose first demand is to be placed next; undefined when there is none.
   * Besides the ready class queues it considers the blocked ones of the reopened classes.
   */
  findNext (reopened: Iterable<SchedulingClass>): ClassQueue | undefined {
    let first = this.findFirstReady()
    for (const schedulingClass of reopened) {
      for (const classQueue of schedulingClass.classQueues) {
        if (classQueue.state === ClassQueueState.blocked && (first === undefined || isBefore(classQueue, first))) first = classQueue
      }
    }
    return first
  }

  private findFirstReady (): ClassQueue | undefined {
    for (const level of this.levels) {
      if (level.readyTeams.length > 0) return findOldest(findSmallestShare(level.readyTeams))
    }
    return undefined
  }

  setState (classQueue: ClassQueue, state: ClassQueueState): void {
    if (classQueue.state === state) return
    const { team: teamQueue } = classQueue
    if (classQueue.state === ClassQueueState.ready) removeFromReadyList(teamQueue.readyQueues, classQueue)
    if (classQueue.state === ClassQueueState.overQuota) teamQueue.account.overQuotaQueues.delete(classQueue)
    this.preemptingQueues.delete(classQueue)
    classQueue.state = state
    if (state === ClassQueueState.blocked && classQueue.schedulingClass.preempts) this.preemptingQueues.add(classQueue)
    if (state === ClassQueueState.ready) addToReadyList(teamQueue.readyQueues, classQueue)
    if (state === ClassQueueState.overQuota) teamQueue.account.overQuotaQueues.add(classQueue)
    if (state === ClassQueueState.empty) this.removeClassQueue(classQueue)
    this.updateLevel(teamQueue)
  }

  /** Marks the ready queues of a scheduling class as blocked. */
  blockClass (schedulingClass: SchedulingClass): void {
    for (const classQueue of schedulingClass.classQueues) {
      if (classQueue.state === ClassQueueState.ready) this.setState(classQueue, ClassQueueState.blocked)
    }
  }

  /** Marks the blocked queues of a scheduling class as ready. */
  unblockClass (schedulingClass: SchedulingClass): void {
    for (const classQueue of Array.from(schedulingClass.classQueues)) {
      if (classQueue.state === ClassQueueState.blocked) this.setState(classQueue, ClassQueueState.ready)
    }
  }

  /**
   * Ends the state `overQuota` of the class queues of a team: each becomes ready, or blocked
   * when its scheduling class is blocked.
   */
  retryOverQuota (quotaAccount: QuotaAccount): void {
    for (const classQueue of Array.from(quotaAccount.overQuotaQueues)) {
      this.setState(classQueue, classQueue.schedulingClass.isBlocked ? ClassQueueState.blocked : ClassQueueState.ready)
    }
  }

  /** All class queues that are not empty, in descending order of rank. */
  * listClassQueues (): Generator<ClassQueue> {
    for (const level of this.levels) {
      for (const teamQueue of level.teams.values()) yield * teamQueue.classQueues.values()
    }
  }

  private getOrCreateClassQueue (demand: Demand): ClassQueue {
    const schedulingClass = this.schedulingClasses.getOrCreate(demand)
    const teamQueue = this.getOrCreateTeamQueue(demand.workload.spec)
    let classQueue = teamQueue.classQueues.get(schedulingClass)
    if (classQueue === undefined) {
      classQueue = ClassQueue.create(teamQueue, schedulingClass)
      teamQueue.classQueues.set(schedulingClass, classQueue)
      schedulingClass.classQueues.add(classQueue)
    }
    return classQueue
  }

  private getOrCreateTeamQueue (spec: Demand['workload']['spec']): TeamQueue {
    const level = this.getOrCreateLevel(computeRank(spec))
    let teamQueue = level.teams.get(spec.team)
    if (teamQueue === undefined) level.teams.set(spec.team, teamQueue = TeamQueue.create(level, this.quotaAccounts.getOrCreate(spec.team)))
    return teamQueue
  }

  private getOrCreateLevel (rank: number): PriorityLevel {
    let position = 0
    while (position < this.levels.length && this.levels[position].rank > rank) position += 1
    if (this.levels[position]?.rank === rank) return this.levels[position]
    const level = PriorityLevel.create(rank)
    this.levels.splice(position, 0, level)
    return level
  }

  private removeClassQueue (classQueue: ClassQueue): void {
    classQueue.team.classQueues.delete(classQueue.schedulingClass)
    classQueue.schedulingClass.classQueues.delete(classQueue)
    this.schedulingClasses.removeIfUnused(classQueue.schedulingClass)
  }

  /**
   * Updates whether a team is in the ready list of its level. Removes a team without class
   * queues, and a level without teams.
   */
  private updateLevel (teamQueue: TeamQueue): void {
    const { level } = teamQueue
    if (teamQueue.readyQueues.length > 0) addToReadyList(level.readyTeams, teamQueue)
    else removeFromReadyList(level.readyTeams, teamQueue)
    if (teamQueue.classQueues.size > 0) return
    level.teams.delete(teamQueue.account.team)
    if (level.teams.size === 0) this.levels.splice(this.levels.indexOf(level), 1)
  }
}

function findSmallestShare (teamQueues: readonly TeamQueue[]): TeamQueue {
  let smallest = teamQueues[0]
  for (const teamQueue of teamQueues) {
    if (teamQueue.account.share < smallest.account.share) smallest = teamQueue
  }
  return smallest
}

/** The ready class queue of a team whose first demand arrived first. */
function findOldest (teamQueue: TeamQueue): ClassQueue {
  let oldest = teamQueue.readyQueues[0]
  let earliestArrival = Infinity
  for (const classQueue of teamQueue.readyQueues) {
    const arrivalOrder = classQueue.peek()?.arrivalOrder ?? Infinity
    if (arrivalOrder >= earliestArrival) continue
    oldest = classQueue
    earliestArrival = arrivalOrder
  }
  return oldest
}

/** True when the first demand of one class queue precedes that of the other in the order of the demand queue. */
function isBefore (one: ClassQueue, other: ClassQueue): boolean {
  if (one.rank !== other.rank) return one.rank > other.rank
  const [share, otherShare] = [one.team.account.share, other.team.account.share]
  if (share !== otherShare) return share < otherShare
  return (one.peek()?.arrivalOrder ?? Infinity) < (other.peek()?.arrivalOrder ?? Infinity)
}
