/**
 * One pass of placement over the waiting units, in their order. Pure: it reads
 * rooms and tickets and returns what to place and what to ask.
 *
 * Small tasks go where they leave the least room (best fit), so that whole gaps
 * stay for large ones. A gang is placed whole or not at all; what it lacks is
 * claimed on workers that it may use, so that less urgent work doesn't take that
 * room again and again.
 */

import type { Resources } from '../../types/resources.js'
import { QUESTION_WORKERS, type Tickets } from './tickets.js'
import type { Unit } from './units.js'
import type { WorkerView } from './workers.js'

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

export interface Question {
  unit: Unit
  entry: string
  workers: string[]
}

/** Room of one worker as one pass sees it: less what it has given away and what is claimed. */
interface Room {
  view: WorkerView
  millicores: number
  memoryMib: number
  accelerators: number
}

export class PlacementPass {
  readonly placements: RunPlacement[] = []
  readonly questions: Question[] = []
  private readonly rooms: Room[]
  private claims = 0

  private constructor (views: Iterable<WorkerView>, private readonly tickets: Tickets, private readonly now: number) {
    this.rooms = []
    for (const view of views) {
      if (!view.takesWork(now)) continue
      this.rooms.push({ view, millicores: view.freeMillicores, memoryMib: view.freeMemory, accelerators: view.freeAccelerators })
    }
  }

  static create (views: Iterable<WorkerView>, tickets: Tickets, now: number): PlacementPass {
    return new PlacementPass(views, tickets, now)
  }

  place (unit: Unit): void {
    const rooms = this.rooms.filter(room => isEligible(room, unit))
    const usable = unit.queue.admission === undefined ? rooms : rooms.filter(room => this.ticketOf(unit, room) !== undefined)
    const chosen = this.choose(unit, usable)
    const isWhole = chosen.length === unit.waiting.length
    if (isWhole || !unit.spec.gang) {
      chosen.forEach((room, position) => {
        this.placements.push({ unit, index: unit.waiting[position], view: room.view, ticket: this.ticketOf(unit, room) ?? '' })
      })
    } else {
      for (const room of chosen) give(room, unit, 1)
    }
    if (isWhole) return
    if (unit.queue.admission !== undefined) this.ask(unit, rooms)
    const missing = unit.spec.gang ? unit.waiting.length : unit.waiting.length - chosen.length
    this.claim(unit, rooms, missing)
  }

  /** Rooms for the waiting tasks in turn, as far as there are any; what is chosen is taken. */
  private choose (unit: Unit, usable: Room[]): Room[] {
    const chosen: Room[] = []
    const counts = new Map(unit.placedOn)
    for (let count = 0; count < unit.waiting.length; count++) {
      const room = pickRoom(unit, usable, counts)
      if (room === undefined) break
      give(room, unit, -1)
      counts.set(room.view.id, (counts.get(room.view.id) ?? 0) + 1)
      chosen.push(room)
    }
    return chosen
  }

  private ticketOf (unit: Unit, room: Room): string | undefined {
    return unit.queue.admission === undefined ? '' : this.tickets.find(unit.key, room.view.id, this.now)
  }

  /** Asks for the workers that have room and may be allowed, unless an answer is on its way. */
  private ask (unit: Unit, rooms: Room[]): void {
    const { tickets } = this
    if (!tickets.mayAsk(unit.key, this.now)) return
    const possible = rooms.filter(room => !tickets.isRefused(unit.key, room.view.id) && this.ticketOf(unit, room) === undefined)
    const wanted = possible.filter(room => fits(room, unit.spec.resources, unit.spec.fills) || !tickets.isGranted(unit.key, room.view.id))
    if (!wanted.some(room => fits(room, unit.spec.resources, unit.spec.fills))) return
    const entry = tickets.takeEntry(unit.queue.priority === 0 ? 0 : URGENT_ENTRIES)
    if (entry === undefined) return
    wanted.sort((one, other) => other.millicores - one.millicores)
    const workers = wanted.slice(0, QUESTION_WORKERS).map(room => room.view.id)
    tickets.asked(unit.key)
    this.questions.push({ unit, entry, workers })
  }

  /** Keeps less urgent work of this pass from the room that a unit waits for. */
  private claim (unit: Unit, rooms: Room[], count: number): void {
    if (this.claims >= CLAIM_LIMIT || !(unit.spec.gang || isLarge(unit))) return
    this.claims += 1
    const allowed = rooms.filter(room => this.tickets.isGranted(unit.key, room.view.id))
    const wanted = allowed.length > 0 || unit.queue.admission !== undefined ? allowed : [...rooms]
    wanted.sort((one, other) => other.millicores - one.millicores)
    let left = count
    for (const room of wanted) {
      if (left === 0) return
      give(room, unit, -1)
      left -= 1
    }
  }
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

function fits (room: Room, { millicores, memoryMib, accelerators }: Resources, fills: boolean): boolean {
  return (fills || room.millicores >= millicores) && room.memoryMib >= memoryMib && room.accelerators >= accelerators
}

/** Takes the room of one task (-1) or gives it back (1). */
function give (room: Room, { spec }: Unit, sign: number): void {
  if (!spec.fills) room.millicores += sign * spec.resources.millicores
  room.memoryMib += sign * spec.resources.memoryMib
  room.accelerators += sign * spec.resources.accelerators
}

function pickRoom (unit: Unit, usable: Room[], counts: ReadonlyMap<string, number>): Room | undefined {
  const { spec } = unit
  let best: Room | undefined
  let bestScore = Infinity
  for (const room of usable) {
    if (!fits(room, spec.resources, spec.fills)) continue
    if (spec.perWorkerLimit > 0 && (counts.get(room.view.id) ?? 0) >= spec.perWorkerLimit) continue
    const score = scoreOf(room, unit, counts)
    if (score >= bestScore) continue
    best = room
    bestScore = score
  }
  return best
}

/** Millicores that a worker on another rack than the data, or than the other tasks of the stage, is worse by. */
const FAR_PENALTY = 1_000_000

/** Millicores that a worker whose recent runs all failed is worse by. */
const FAILURE_PENALTY = 200_000

function scoreOf (room: Room, { spec }: Unit, counts: ReadonlyMap<string, number>): number {
  let score = room.millicores + FAILURE_PENALTY * room.view.failureRate
  if (spec.fills) score = -room.millicores
  if (spec.dataRack !== '' && room.view.worker.rack !== spec.dataRack) score += FAR_PENALTY
  if (spec.rackLocal && counts.size > 0 && !counts.has(room.view.id)) score += FAR_PENALTY / 2
  return score
}
