/**
 * The queue of demands: urgency and priority first, then the team with the
 * smallest weighted dominant share, then the order of arrival. Demands stand in
 * lines, one for each team and shape, which leave the queue as a whole while
 * they can't be placed, so that thousands of waiting tasks cost nothing.
 */

import type { WorkloadSpec } from '../../types/workloads.js'
import type { Demand } from './demand.js'
import type { Account, Ledger } from './ledger.js'
import type { Shape, ShapeBook } from './shapes.js'

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

export class Queue {
  /** Blocked lines whose demands may preempt other work. */
  readonly preemptors = new Set<ShapeLine>()
  /** Highest rank first. */
  private readonly levels: Level[] = []

  private constructor (private readonly ledger: Ledger, private readonly shapes: ShapeBook) {}

  static create (ledger: Ledger, shapes: ShapeBook): Queue {
    return new Queue(ledger, shapes)
  }

  /** Puts a demand in line if something of it waits and it does not stand there yet. */
  add (demand: Demand): ShapeLine | undefined {
    if (demand.waitingCount === 0) return undefined
    const line = demand.line ?? this.findLine(demand)
    line.add(demand)
    if (!line.lacksVictims) line.nextPreemptionAt = 0
    if (line.state === LineState.empty) this.setState(line, line.shape.isBlocked ? LineState.blocked : LineState.ready)
    return line
  }

  remove (demand: Demand): void {
    const { line } = demand
    if (line === undefined) return
    line.leave(demand)
    if (line.isEmpty) this.setState(line, LineState.empty)
  }

  /**
   * The line whose first demand goes next, among those that are ready and those
   * of blocked shapes that a few workers may have room for.
   */
  next (reopened: Iterable<Shape>): ShapeLine | undefined {
    let first = this.firstReady()
    for (const shape of reopened) {
      for (const line of shape.lines) {
        if (line.state === LineState.blocked && (first === undefined || isBefore(line, first))) first = line
      }
    }
    return first
  }

  private firstReady (): ShapeLine | undefined {
    for (const level of this.levels) {
      if (level.ready.length > 0) return findOldest(findPoorest(level.ready))
    }
    return undefined
  }

  setState (line: ShapeLine, state: LineState): void {
    if (line.state === state) return
    const { team } = line
    if (line.state === LineState.ready) takeOut(team.ready, line)
    if (line.state === LineState.overQuota) team.account.overQuota.delete(line)
    this.preemptors.delete(line)
    line.state = state
    if (state === LineState.blocked && line.shape.preempts) this.preemptors.add(line)
    if (state === LineState.ready) putIn(team.ready, line)
    if (state === LineState.overQuota) team.account.overQuota.add(line)
    if (state === LineState.empty) this.dropLine(line)
    this.updateLevel(team)
  }

  /** Takes all lines of a blocked shape out of the queue. */
  block (shape: Shape): void {
    for (const line of shape.lines) {
      if (line.state === LineState.ready) this.setState(line, LineState.blocked)
    }
  }

  /** Puts lines of a shape that is open again back into the queue. */
  reopen (shape: Shape): void {
    for (const line of Array.from(shape.lines)) {
      if (line.state === LineState.blocked) this.setState(line, LineState.ready)
    }
  }

  /** Lets lines that waited for the quota of a team be tried again. */
  reopenQuota (account: Account): void {
    for (const line of Array.from(account.overQuota)) {
      this.setState(line, line.shape.isBlocked ? LineState.blocked : LineState.ready)
    }
  }

  /** All lines with a demand in them. */
  * list (): Generator<ShapeLine> {
    for (const level of this.levels) {
      for (const team of level.teams.values()) yield * team.lines.values()
    }
  }

  private findLine (demand: Demand): ShapeLine {
    const shape = this.shapes.get(demand)
    const team = this.findTeam(demand.workload.spec)
    let line = team.lines.get(shape)
    if (line === undefined) {
      line = ShapeLine.create(team, shape)
      team.lines.set(shape, line)
      shape.lines.add(line)
    }
    return line
  }

  private findTeam (spec: WorkloadSpec): TeamLine {
    const level = this.findLevel(rankOf(spec))
    let team = level.teams.get(spec.team)
    if (team === undefined) level.teams.set(spec.team, team = TeamLine.create(level, this.ledger.get(spec.team)))
    return team
  }

  private findLevel (rank: number): Level {
    let at = 0
    while (at < this.levels.length && this.levels[at].rank > rank) at += 1
    if (this.levels[at]?.rank === rank) return this.levels[at]
    const level = Level.create(rank)
    this.levels.splice(at, 0, level)
    return level
  }

  private dropLine (line: ShapeLine): void {
    line.team.lines.delete(line.shape)
    line.shape.lines.delete(line)
    this.shapes.forget(line.shape)
  }

  private updateLevel (team: TeamLine): void {
    const { level } = team
    if (team.ready.length > 0) putIn(level.ready, team)
    else takeOut(level.ready, team)
    if (team.lines.size > 0) return
    level.teams.delete(team.account.team)
    if (level.teams.size === 0) this.levels.splice(this.levels.indexOf(level), 1)
  }
}

function findPoorest (teams: readonly TeamLine[]): TeamLine {
  let poorest = teams[0]
  for (const team of teams) {
    if (team.account.share < poorest.account.share) poorest = team
  }
  return poorest
}

/** The ready line of a team whose first demand came first. */
function findOldest (team: TeamLine): ShapeLine {
  let oldest = team.ready[0]
  let order = Infinity
  for (const line of team.ready) {
    const first = line.peek()?.order ?? Infinity
    if (first >= order) continue
    oldest = line
    order = first
  }
  return oldest
}

/** True when the first demand of one line goes before that of the other. */
function isBefore (one: ShapeLine, other: ShapeLine): boolean {
  if (one.rank !== other.rank) return one.rank > other.rank
  const [share, otherShare] = [one.team.account.share, other.team.account.share]
  if (share !== otherShare) return share < otherShare
  return (one.peek()?.order ?? Infinity) < (other.peek()?.order ?? Infinity)
}

interface Ready { readyAt: number }

function putIn<Item extends Ready> (items: Item[], item: Item): void {
  if (item.readyAt >= 0) return
  item.readyAt = items.length
  items.push(item)
}

function takeOut<Item extends Ready> (items: Item[], item: Item): void {
  if (item.readyAt < 0) return
  const last = items[items.length - 1]
  items[item.readyAt] = last
  last.readyAt = item.readyAt
  items.pop()
  item.readyAt = -1
}
