/**
 * The lines in which demands wait: one for each shape of a team at one rank.
 */

import type { WorkloadSpec } from '../../types/workloads.js'
import type { Demand } from './demand.js'
import type { Account } from './ledger.js'
import type { Shape } from './shapes.js'

/** More than the largest priority. */
const PRIORITY_SPAN = 1_000

/** Rank in the queue by urgency and priority; the highest goes first. */
export function rankOf (spec: WorkloadSpec): number {
  return spec.urgency * PRIORITY_SPAN + spec.priority
}

export const LineState = Object.freeze({
  ready: 'ready',
  /** No worker has room for its shape. */
  blocked: 'blocked',
  overQuota: 'overQuota',
  empty: 'empty'
} as const)
export type LineState = typeof LineState[keyof typeof LineState]

/** Demands of one rank, team and shape in order of arrival. */
export class ShapeLine {
  state: LineState = LineState.empty
  /** Position among the ready lines of the team; -1 when not ready. */
  readyAt = -1
  /** Time before which no preemption is tried for it, in milliseconds. */
  nextPreemptionAt = 0
  /** True when the last preemption for it found nothing to stop. */
  lacksVictims = false
  /** When a task of it was last placed, in milliseconds of cluster time. */
  lastPlacedAt = 0
  /** Demands that stand here; the array also has some that left. */
  private standing = 0
  private demands: Demand[] = []
  private head = 0

  private constructor (readonly team: TeamLine, readonly shape: Shape) {}

  static create (team: TeamLine, shape: Shape): ShapeLine {
    return new ShapeLine(team, shape)
  }

  get rank (): number {
    return this.team.level.rank
  }

  get isEmpty (): boolean {
    return this.standing === 0
  }

  add (demand: Demand): void {
    if (demand.line === this) return
    let at = this.demands.length
    while (at > this.head && this.demands[at - 1].order > demand.order) at -= 1
    if (this.demands[at - 1] !== demand || at === this.head) this.demands.splice(at, 0, demand)
    demand.line = this
    this.standing += 1
  }

  /** Takes a demand out in constant time; its place in the array is passed over later. */
  leave (demand: Demand): void {
    demand.line = undefined
    this.standing -= 1
    if (this.standing > 0) return
    this.demands = []
    this.head = 0
  }

  /** The first demand of which a task may be placed now. */
  peek (): Demand | undefined {
    while (this.head < this.demands.length) {
      const demand = this.demands[this.head]
      if (demand.line === this) return demand
      this.head += 1
    }
    return undefined
  }

  /** Since when nothing of it was placed though its first demand waited; Infinity when empty. */
  get starvedSince (): number {
    return Math.max(this.lastPlacedAt, this.peek()?.waitingSince ?? Infinity)
  }

  * list (): Generator<Demand> {
    for (let at = this.head; at < this.demands.length; at += 1) {
      if (this.demands[at].line === this) yield this.demands[at]
    }
  }
}

/** The lines of one team within one level. */
export class TeamLine {
  readonly lines = new Map<Shape, ShapeLine>()
  readonly ready: ShapeLine[] = []
  /** Position among the teams of the level with ready lines; -1 without one. */
  readyAt = -1

  private constructor (readonly level: Level, readonly account: Account) {}

  static create (level: Level, account: Account): TeamLine {
    return new TeamLine(level, account)
  }
}

/** All teams at one rank. */
export class Level {
  readonly teams = new Map<string, TeamLine>()
  readonly ready: TeamLine[] = []

  private constructor (readonly rank: number) {}

  static create (rank: number): Level {
    return new Level(rank)
  }
}

/** What knows its position in a list of ready ones; -1 when it is not there. */
interface Ready { readyAt: number }

/** Adds an item to a list of ready ones, once. */
export function putIn<Item extends Ready> (items: Item[], item: Item): void {
  if (item.readyAt >= 0) return
  item.readyAt = items.length
  items.push(item)
}

/** Takes an item out of a list of ready ones in constant time. */
export function takeOut<Item extends Ready> (items: Item[], item: Item): void {
  if (item.readyAt < 0) return
  const last = items[items.length - 1]
  items[item.readyAt] = last
  last.readyAt = item.readyAt
  items.pop()
  item.readyAt = -1
}
