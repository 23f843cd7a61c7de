/**
 * One pass of placement over the waiting units, in their order. Pure: it reads
 * rooms and tickets and returns what to place and what to ask.
 *
 * Small tasks go where they leave the least room (best fit), so that whole gaps
 * stay for large ones. A gang is placed whole or not at all; what it lacks is
 * claimed on workers that it may use, so that less urgent work doesn't take that
 * room again and again. Less urgent runs that keep their work by a checkpoint are
 * stopped for more urgent ones: it answers a burst over a full pool.
 */

import type { Resources } from '../../types/resources.js'
import { isInTime } from './order.js'
import { isValid, QUESTION_WORKERS, type Tickets } from './tickets.js'
import type { Unit } from './units.js'
import { isServing, RunStatus, type Run, type WorkerView } from './workers.js'

/** Units without room that claim some, in one pass. */
const CLAIM_LIMIT = 12

/** A task that needs more than this share of a worker claims room although it is no gang. */
const LARGE_SHARE = 0.2

/** Entries kept free for urgent questions while others are asked. */
const URGENT_ENTRIES = 3

export interface RunPlacement {
  unit: Unit
  index: number
  view: WorkerView
  ticket: string
}

/** A less urgent run that is stopped, without loss, so that a unit finds room. */
export interface RunPreemption {
  view: WorkerView
  run: Run
  unit: Unit
}

export interface Question {
  unit: Unit
  entry: string
  workers: string[]
}

/** Room of one worker as one pass sees it: less what it has given away and what is claimed. */
interface Room {
  view: WorkerView
  free: Amounts
  /** What runs that are being stopped will leave, less what is claimed of that. */
  leaving: Amounts
  /** Less urgent units claimed room there in the pass before. */
  isClaimed: boolean
  /** Runs there that may be stopped without loss, largest first; found when first asked for. */
  preemptible: Run[] | undefined
}

interface Amounts { millicores: number, memoryMib: number, accelerators: number }

export class PlacementPass {
  readonly placements: RunPlacement[] = []
  readonly questions: Question[] = []
  readonly preemptions: RunPreemption[] = []
  /** Workers on which waiting units claimed room in this pass. */
  readonly claimed = new Set<string>()
  private readonly rooms: Room[] = []
  /** Rooms by service and label. */
  private readonly eligible = new Map<string, Room[]>()
  private readonly stopped = new Set<Run>()
  private claims = 0

  private constructor (
    views: Iterable<WorkerView>,
    private readonly tickets: Tickets,
    private readonly now: number,
    claimedBefore: ReadonlySet<string>
  ) {
    for (const view of views) {
      if (!view.takesWork(now)) continue
      const free = { millicores: view.freeMillicores, memoryMib: view.freeMemory, accelerators: view.freeAccelerators }
      this.rooms.push({ view, free, leaving: leavingOf(view), isClaimed: claimedBefore.has(view.id), preemptible: undefined })
    }
  }

  /** `claimedBefore` are the workers on which units claimed room in the pass before. */
  static create (
    views: Iterable<WorkerView>, tickets: Tickets, now: number, claimedBefore: ReadonlySet<string> = new Set()
  ): PlacementPass {
    return new PlacementPass(views, tickets, now, claimedBefore)
  }

  place (unit: Unit): void {
    const rooms = this.roomsFor(unit)
    const usable = this.usableFor(unit, rooms)
    const chosen = this.choose(unit, usable)
    const isWhole = chosen.length === unit.waiting.length
    if (isWhole || !unit.spec.gang) {
      chosen.forEach((room, position) => {
        this.placements.push({ unit, index: unit.waiting[position], view: room.view, ticket: this.ticketOf(unit, room) ?? '' })
      })
    } else {
      for (const room of chosen) give(room.free, unit, 1)
    }
    if (isWhole) return
    const missing = unit.spec.gang ? unit.waiting.length : unit.waiting.length - chosen.length
    const waitsFor = this.makeRoom(unit, rooms, missing)
    if (unit.queue.admission !== undefined) this.ask(unit, rooms, waitsFor)
  }

  /** Rooms for the waiting tasks in turn, as far as there are any; what is chosen is taken. */
  private choose (unit: Unit, usable: Room[]): Room[] {
    const chosen: Room[] = []
    const counts = new Map(unit.placedOn)
    for (let count = 0; count < unit.waiting.length; count++) {
      const room = pickRoom(unit, usable, counts)
      if (room === undefined) break
      give(room.free, unit, -1)
      counts.set(room.view.id, (counts.get(room.view.id) ?? 0) + 1)
      chosen.push(room)
    }
    return chosen
  }

  private roomsFor (unit: Unit): Room[] {
    const key = `${unit.queue.service} ${unit.spec.requiredLabel}`
    let rooms = this.eligible.get(key)
    if (rooms === undefined) {
      rooms = this.rooms.filter(room => isEligible(room, unit))
      this.eligible.set(key, rooms)
    }
    return rooms
  }

  /** The rooms for which the unit needs no ticket, or has one. */
  private usableFor (unit: Unit, rooms: Room[]): Room[] {
    if (unit.queue.admission === undefined) return rooms
    if (!this.tickets.hasValid(unit.key, this.now)) return []
    const { granted } = this.tickets.of(unit.key)
    return rooms.filter(({ view }) => {
      const ticket = granted.get(view.id)
      return ticket !== undefined && isValid(ticket, this.now)
    })
  }

  private ticketOf (unit: Unit, room: Room): string | undefined {
    return unit.queue.admission === undefined ? '' : this.tickets.find(unit.key, room.view.id, this.now)
  }

  /**
   * Claims room for tasks that found none: what is free or is being left first,
   * then what less urgent runs leave when they are stopped without loss, then
   * what ends next. Returns the workers.
   */
  private makeRoom (unit: Unit, rooms: Room[], missing: number): Set<string> {
    const waitsFor = new Set<string>()
    if (this.claims >= CLAIM_LIMIT) return waitsFor
    this.claims += 1
    const { granted } = this.tickets.of(unit.key)
    const allowed = unit.queue.admission === undefined ? rooms : rooms.filter(({ view }) => granted.has(view.id))
    const counts = new Map(unit.placedOn)
    for (let count = 0; count < missing; count++) {
      const mayPreempt = isInTime(unit, this.now)
      const room = this.findClaim(unit, allowed, counts) ?? (mayPreempt ? this.preemptFor(unit, allowed, counts) : undefined)
      if (room === undefined) {
        if (unit.spec.gang || isLarge(unit)) this.claimAnyway(unit, allowed, missing - count, waitsFor)
        break
      }
      counts.set(room.view.id, (counts.get(room.view.id) ?? 0) + 1)
      waitsFor.add(room.view.id)
      this.claimed.add(room.view.id)
    }
    return waitsFor
  }

  /** A worker on which what is free, and what is being left, holds one more task; it is claimed. */
  private findClaim (unit: Unit, allowed: Room[], counts: ReadonlyMap<string, number>): Room | undefined {
    const room = allowed.find(room => isBelowLimit(room, unit, counts) && fits(sumOf(room), unit.spec.resources, unit.spec.fills))
    if (room !== undefined) take(room, unit)
    return room
  }

  /** Stops less urgent runs on the worker where that takes the fewest, if they lose nothing by it. */
  private preemptFor (unit: Unit, allowed: Room[], counts: ReadonlyMap<string, number>): Room | undefined {
    let best: { room: Room, victims: Run[] } | undefined
    for (const room of allowed) {
      if (!isBelowLimit(room, unit, counts)) continue
      const victims = this.findVictims(unit, room)
      if (victims !== undefined && (best === undefined || victims.length < best.victims.length)) best = { room, victims }
    }
    if (best === undefined) return undefined
    const { room, victims } = best
    for (const run of victims) {
      this.preemptions.push({ view: room.view, run, unit })
      this.stopped.add(run)
      add(room.leaving, run.resources, 1)
    }
    take(room, unit)
    return room
  }

  private findVictims (unit: Unit, room: Room): Run[] | undefined {
    room.preemptible ??= listPreemptible(room.view, this.now)
    if (room.preemptible.length === 0) return undefined
    const sum = sumOf(room)
    const victims: Run[] = []
    for (const run of room.preemptible) {
      if (fits(sum, unit.spec.resources, unit.spec.fills)) break
      if (run.priority <= unit.queue.priority || this.stopped.has(run)) continue
      add(sum, run.resources, 1)
      victims.push(run)
    }
    return fits(sum, unit.spec.resources, unit.spec.fills) ? victims : undefined
  }

  /** Keeps less urgent work of this pass from the workers with the most room, until something ends there. */
  private claimAnyway (unit: Unit, allowed: Room[], count: number, waitsFor: Set<string>): void {
    const wanted = [...allowed].sort((one, other) => other.free.millicores - one.free.millicores)
    for (const room of wanted.slice(0, count)) {
      give(room.free, unit, -1)
      waitsFor.add(room.view.id)
      this.claimed.add(room.view.id)
    }
  }

  /**
   * Asks for workers, unless an answer is on its way: for all that may be allowed
   * while nothing is known, later for those whose room the unit waits for.
   */
  private ask (unit: Unit, rooms: Room[], waitsFor: ReadonlySet<string>): void {
    const { tickets } = this
    const keepFree = unit.queue.priority === 0 ? 0 : URGENT_ENTRIES
    if (!tickets.mayAsk(unit.key, this.now) || tickets.findEntry(keepFree) === undefined) return
    const { granted, refused } = tickets.of(unit.key)
    const wanted = rooms.filter(room => {
      const { id } = room.view
      if (refused.has(id)) return false
      const ticket = granted.get(id)
      if (ticket === undefined) return true
      return !isValid(ticket, this.now) && (waitsFor.has(id) || fits(room.free, unit.spec.resources, unit.spec.fills))
    })
    if (wanted.length === 0) return
    const entry = tickets.takeEntry(keepFree)
    if (entry === undefined) return
    wanted.sort((one, other) => other.free.millicores - one.free.millicores)
    const workers = wanted.slice(0, QUESTION_WORKERS).map(room => room.view.id)
    tickets.asked(unit.key)
    this.questions.push({ unit, entry, workers })
  }
}

/** Runs of a worker that lose nothing by a stop, largest first. */
function listPreemptible (view: WorkerView, now: number): Run[] {
  const found: Run[] = []
  for (const run of view.runs.values()) {
    if (run.isPreemptible && run.status === RunStatus.running && hasSlack(run, now)) found.push(run)
  }
  return found.sort((one, other) => other.resources.millicores - one.resources.millicores)
}

/** What the runs of a worker that are being stopped will leave. */
function leavingOf (view: WorkerView): Amounts {
  const leaving = { millicores: 0, memoryMib: 0, accelerators: 0 }
  for (const run of view.runs.values()) {
    if (run.status === RunStatus.stopping && !run.fills) add(leaving, run.resources, 1)
  }
  return leaving
}

function add (amounts: Amounts, { millicores, memoryMib, accelerators }: Resources, sign: number): void {
  amounts.millicores += sign * millicores
  amounts.memoryMib += sign * memoryMib
  amounts.accelerators += sign * accelerators
}

function sumOf ({ free, leaving }: Room): Amounts {
  return {
    millicores: Math.max(0, free.millicores) + leaving.millicores,
    memoryMib: Math.max(0, free.memoryMib) + leaving.memoryMib,
    accelerators: Math.max(0, free.accelerators) + leaving.accelerators
  }
}

/** Claims the room of one task, first of what is free, then of what is being left. */
function take (room: Room, { spec }: Unit): void {
  for (const dimension of ['millicores', 'memoryMib', 'accelerators'] as const) {
    const wanted = spec.fills && dimension === 'millicores' ? 0 : spec.resources[dimension]
    const fromFree = Math.min(wanted, Math.max(0, room.free[dimension]))
    room.free[dimension] -= fromFree
    room.leaving[dimension] -= wanted - fromFree
  }
}

/** True when a run can begin anew later and its job meets its objective, or misses it in any case. */
function hasSlack (run: Run, now: number): boolean {
  const leftMs = run.objectiveAt - now
  const neededMs = run.estimateMs * (100 - run.percent) / 100
  return leftMs < neededMs || leftMs > PREEMPTED_SLACK * run.estimateMs + PREEMPTED_WAIT_MS
}

/** What the job of a preempted run must have left until its objective: run times of one task, and a time to wait, in milliseconds. */
const PREEMPTED_SLACK = 2
const PREEMPTED_WAIT_MS = 5_000

function isBelowLimit (room: Room, { spec }: Unit, counts: ReadonlyMap<string, number>): boolean {
  return spec.perWorkerLimit === 0 || (counts.get(room.view.id) ?? 0) < spec.perWorkerLimit
}

function isLarge (unit: Unit): boolean {
  const room = unit.spec.resources.millicores
  return room > LARGE_SHARE * LARGE_REFERENCE_MILLICORES
}

/** Millicores of the worker against which a task counts as large. */
const LARGE_REFERENCE_MILLICORES = 32_000

function isEligible ({ view }: Room, { queue, spec }: Unit): boolean {
  return view.worker.service === queue.service &&
    (spec.requiredLabel === '' || view.worker.labels.includes(spec.requiredLabel))
}

function fits (room: Amounts, { millicores, memoryMib, accelerators }: Resources, fills: boolean): boolean {
  return (fills || room.millicores >= millicores) && room.memoryMib >= memoryMib && room.accelerators >= accelerators
}

/** Takes the room of one task (-1) or gives it back (1). */
function give (amounts: Amounts, { spec }: Unit, sign: number): void {
  add(amounts, spec.fills ? { ...spec.resources, millicores: 0 } : spec.resources, sign)
}

function pickRoom (unit: Unit, usable: Room[], counts: ReadonlyMap<string, number>): Room | undefined {
  const { spec } = unit
  let best: Room | undefined
  let bestScore = Infinity
  for (const room of usable) {
    if (!fits(room.free, spec.resources, spec.fills) || !isBelowLimit(room, unit, counts)) continue
    const score = scoreOf(room, unit, counts)
    if (score >= bestScore) continue
    best = room
    bestScore = score
  }
  return best
}

/** Millicores that a worker on another rack than the data, or than the other tasks of the stage, is worse by. */
const FAR_PENALTY = 1_000_000

/** Millicores that a worker on which a gang claims room is worse by for other tasks. */
const CLAIMED_PENALTY = 100_000

/** Millicores that a worker whose recent runs all failed is worse by. */
const FAILURE_PENALTY = 200_000

/** Millicores that a worker whose tasks serve users is worse by for what would disturb them. */
const SERVING_PENALTY = 500_000

function scoreOf (room: Room, { spec }: Unit, counts: ReadonlyMap<string, number>): number {
  let score = room.free.millicores + FAILURE_PENALTY * room.view.failureRate
  if (spec.fills) score = (isServing(room.view) ? SERVING_PENALTY : 0) - room.free.millicores
  if (room.isClaimed && !spec.gang) score += CLAIMED_PENALTY
  if (spec.dataRack !== '' && room.view.worker.rack !== spec.dataRack) score += FAR_PENALTY
  if (spec.rackLocal && counts.size > 0 && !counts.has(room.view.id)) score += FAR_PENALTY / 2
  return score
}
