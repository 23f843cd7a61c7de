/**
 * The queues in which demands wait: one for each rank, team and scheduling
 * class.
 */

import type { WorkloadSpec } from '../../types/workloads.js'
import type { Demand } from './demand.js'
import type { QuotaAccount } from './quota-accounts.js'
import type { SchedulingClass } from './scheduling-classes.js'

/** Greater than the largest priority, so that urgency outweighs any priority. */
const PRIORITY_RANGE = 1_000

/** Rank in the queue by urgency and then priority; demands of a higher rank are served first. */
export function computeRank (spec: WorkloadSpec): number {
  return spec.urgency * PRIORITY_RANGE + spec.priority
}

export const ClassQueueState = Object.freeze({
  /** It has demands that may be placed. */
  ready: 'ready',
  /** The last search found no worker for its scheduling class. */
  blocked: 'blocked',
  /** The quota of the team does not allow the next task, or all tasks of the gang. */
  overQuota: 'overQuota',
  empty: 'empty'
} as const)
export type ClassQueueState = typeof ClassQueueState[keyof typeof ClassQueueState]

/** Demands of one rank, team and scheduling class in order of arrival. */
export class ClassQueue {
  state: ClassQueueState = ClassQueueState.empty
  /** Position in `readyQueues` of the team; -1 when not ready. */
  readyPosition = -1
  /** Cluster time in milliseconds before which no preemption is attempted for it. */
  nextPreemptionAt = 0
  /** True when the last preemption for it did not find enough victims. */
  hasNoVictims = false
  /** When one of its tasks was last placed, in milliseconds of cluster time; 0 before the first. */
  lastPlacedAt = 0
  /** Number of demands in this queue. */
  private demandCount = 0
  /** In order of arrival; also contains removed demands, whose `classQueue` is another one or undefined. */
  private demands: Demand[] = []
  /** Index in `demands` before which all demands were removed. */
  private head = 0

  private constructor (readonly team: TeamQueue, readonly schedulingClass: SchedulingClass) {}

  static create (team: TeamQueue, schedulingClass: SchedulingClass): ClassQueue {
    return new ClassQueue(team, schedulingClass)
  }

  get rank (): number {
    return this.team.level.rank
  }

  get isEmpty (): boolean {
    return this.demandCount === 0
  }

  /** Inserts a demand by order of arrival; has no effect when it is in this queue already. */
  add (demand: Demand): void {
    if (demand.classQueue === this) return
    let position = this.demands.length
    while (position > this.head && this.demands[position - 1].arrivalOrder > demand.arrivalOrder) position -= 1
    if (this.demands[position - 1] !== demand || position === this.head) this.demands.splice(position, 0, demand)
    demand.classQueue = this
    this.demandCount += 1
  }

  /** Removes a demand in constant time; the array element is skipped later. */
  remove (demand: Demand): void {
    demand.classQueue = undefined
    this.demandCount -= 1
    if (this.demandCount > 0) return
    this.demands = []
    this.head = 0
  }

  /** The first demand; undefined when the queue is empty. */
  peek (): Demand | undefined {
    while (this.head < this.demands.length) {
      const demand = this.demands[this.head]
      if (demand.classQueue === this) return demand
      this.head += 1
    }
    return undefined
  }

  /**
   * Cluster time in milliseconds since which none of its tasks was placed although its
   * first demand waited; Infinity when empty.
   */
  get starvedSince (): number {
    return Math.max(this.lastPlacedAt, this.peek()?.waitingSince ?? Infinity)
  }

  /** The demands of the queue in order of arrival. */
  * listDemands (): Generator<Demand> {
    for (let position = this.head; position < this.demands.length; position += 1) {
      if (this.demands[position].classQueue === this) yield this.demands[position]
    }
  }
}

/** The class queues of one team at one rank. */
export class TeamQueue {
  readonly classQueues = new Map<SchedulingClass, ClassQueue>()
  readonly readyQueues: ClassQueue[] = []
  /** Position in `readyTeams` of the level; -1 without a ready class queue. */
  readyPosition = -1

  private constructor (readonly level: PriorityLevel, readonly account: QuotaAccount) {}

  static create (level: PriorityLevel, account: QuotaAccount): TeamQueue {
    return new TeamQueue(level, account)
  }
}

/** All teams with demands of one rank. */
export class PriorityLevel {
  readonly teams = new Map<string, TeamQueue>()
  readonly readyTeams: TeamQueue[] = []

  private constructor (readonly rank: number) {}

  static create (rank: number): PriorityLevel {
    return new PriorityLevel(rank)
  }
}

/** An item that stores its position in a list of ready items; -1 when it is not in the list. */
interface ReadyListItem { readyPosition: number }

/** Adds an item to a list of ready items unless it is in the list already. */
export function addToReadyList<Item extends ReadyListItem> (items: Item[], item: Item): void {
  if (item.readyPosition >= 0) return
  item.readyPosition = items.length
  items.push(item)
}

/** Removes an item from a list of ready items in constant time; the order of the list is not kept. */
export function removeFromReadyList<Item extends ReadyListItem> (items: Item[], item: Item): void {
  if (item.readyPosition < 0) return
  const last = items[items.length - 1]
  items[item.readyPosition] = last
  last.readyPosition = item.readyPosition
  items.pop()
  item.readyPosition = -1
}
