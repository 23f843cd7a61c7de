/**
 * The queue of demands: urgency and priority first, then the team with the
 * smallest weighted dominant share, then the order of arrival. Demands stand in
 * lines, one for each team and shape, which leave the queue as a whole while
 * they can't be placed, so that thousands of waiting tasks cost nothing.
 */

import type { Demand } from './demand.js'
import type { Account, Ledger } from './ledger.js'
import { Level, LineState, putIn, rankOf, ShapeLine, takeOut, TeamLine } from './lines.js'
import type { Shape, ShapeBook } from './shapes.js'

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

  private findTeam (spec: Demand['workload']['spec']): TeamLine {
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
