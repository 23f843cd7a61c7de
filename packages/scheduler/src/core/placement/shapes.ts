/**
 * Shapes: demands that need the same room under the same constraints. When no
 * worker has room for a shape, all of it stops being tried; after that only
 * workers on which room became free are looked at, so that a waiting task costs
 * no scan of the fleet.
 */

import type { Resources } from '../../types/resources.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { ShapeLine } from './lines.js'
import { isWithin } from './sizes.js'
import { getStrategy } from './strategies.js'
import type { Worker } from './worker.js'

/** With more open workers than this the indexes are the faster way. */
const MOST_OPEN_WORKERS = 32

export class Shape {
  /** Lines of the queue in which it waits. */
  readonly lines = new Set<ShapeLine>()
  /**
   * After a search of the whole fleet failed: the workers that gained room since,
   * the only ones that can have enough. Undefined before.
   */
  openWorkers: Set<Worker> | undefined

  private constructor (
    readonly key: string,
    readonly need: Resources,
    /** Allowed availability zones; empty allows all. */
    readonly availabilityZones: readonly string[],
    /** True when its demands may preempt other work. */
    readonly preempts: boolean,
    /** The gang that stands alone in this shape. */
    readonly gang: Demand | undefined
  ) {}

  static create (key: string, demand: Demand): Shape {
    const { availabilityZones } = demand.workload.spec
    return new Shape(key, demand.need, availabilityZones, demand.policy.preempts, demand.isGang ? demand : undefined)
  }

  get isBlocked (): boolean {
    return this.openWorkers?.size === 0
  }
}

export class ShapeBook {
  private readonly shapes = new Map<string, Shape>()
  /** Shapes for which a search of the whole fleet failed. */
  private readonly scarce = new Set<Shape>()
  /** Shapes that may be searched again. */
  private readonly reopened = new Set<Shape>()

  private constructor () {}

  static create (): ShapeBook {
    return new ShapeBook()
  }

  get (demand: Demand): Shape {
    const key = createKey(demand)
    let shape = this.shapes.get(key)
    if (shape === undefined) this.shapes.set(key, shape = Shape.create(key, demand))
    return shape
  }

  /** Drops a shape for which nothing waits. */
  forget (shape: Shape): void {
    if (shape.lines.size > 0) return
    this.shapes.delete(shape.key)
    this.scarce.delete(shape)
    this.reopened.delete(shape)
  }

  /** A worker for one task of the demand; the shape is blocked when there is none. */
  find (shape: Shape, demand: Demand, fleet: Fleet): Worker | undefined {
    if (shape.openWorkers !== undefined) return this.findOpen(shape, demand, fleet)
    const worker = getStrategy(demand.policy.strategy).find(demand, fleet)
    if (worker === undefined) this.block(shape)
    return worker
  }

  /** Stops trying a shape until room becomes free. */
  block (shape: Shape): void {
    shape.openWorkers = new Set()
    this.scarce.add(shape)
    this.reopened.delete(shape)
  }

  /** Lets a shape search the whole fleet again. */
  open (shape: Shape): void {
    if (shape.openWorkers === undefined) return
    this.reopened.add(shape)
    shape.openWorkers = undefined
    this.scarce.delete(shape)
  }

  openAll (): void {
    for (const shape of Array.from(this.scarce)) this.open(shape)
  }

  /** Lets the demand's shape search again when a limit of its policy may have eased. */
  openLimited (demand: Demand): void {
    if (!hasLimits(demand) || demand.isGang) return
    const shape = this.shapes.get(createKey(demand))
    if (shape !== undefined) this.open(shape)
  }

  /** Notes that more became free on a worker. */
  addRoom (worker: Worker): void {
    for (const shape of this.scarce) {
      if (shape.gang !== undefined || !isOpenFor(shape, worker)) continue
      this.reopened.add(shape)
      shape.openWorkers?.add(worker)
      if ((shape.openWorkers?.size ?? 0) > MOST_OPEN_WORKERS) this.open(shape)
    }
  }

  /** Lets the gangs that may now fit be tried again, at most a few at a time. */
  openGangs (fleet: Fleet, most: number): void {
    let left = most
    for (const shape of this.scarce) {
      if (left <= 0) return
      if (shape.gang === undefined || !mayFit(shape.gang, fleet)) continue
      this.open(shape)
      left -= 1
    }
  }

  /** The shapes that may be searched again, until their search fails. */
  listReopened (): ReadonlySet<Shape> {
    return this.reopened
  }

  /** Notes that the lines of a shape are in the queue again. */
  settle (shape: Shape): void {
    this.reopened.delete(shape)
  }

  private findOpen (shape: Shape, demand: Demand, fleet: Fleet): Worker | undefined {
    const open = shape.openWorkers
    if (open === undefined) return undefined
    const candidates: Worker[] = []
    for (const worker of open) {
      if (worker.hasRoom(demand.need) && demand.isAllowed(worker)) candidates.push(worker)
      else open.delete(worker)
    }
    if (candidates.length === 0) this.reopened.delete(shape)
    return getStrategy(demand.policy.strategy).choose(candidates, demand, fleet)
  }
}

function isOpenFor (shape: Shape, worker: Worker): boolean {
  if (!isWithin(shape.need, worker.free)) return false
  return shape.availabilityZones.length === 0 || shape.availabilityZones.includes(worker.target.availabilityZone)
}

function mayFit (gang: Demand, fleet: Fleet): boolean {
  const times = gang.waitingCount - gang.heldCount
  return gang.need.millicores * times <= fleet.free.millicores &&
    gang.need.memoryMib * times <= fleet.free.memoryMib &&
    gang.need.accelerators * times <= fleet.free.accelerators
}

function hasLimits (demand: Demand): boolean {
  return demand.policy.maxPerVm > 0 || demand.policy.maxPerRack > 0
}

/** Gangs and demands with limits of their own stand alone. */
function createKey (demand: Demand): string {
  const { need, policy } = demand
  if (demand.isGang || hasLimits(demand)) return `one ${demand.id}`
  const zones = demand.workload.spec.availabilityZones
  const sortedZones = zones.length > 1 ? [...zones].sort().join(',') : zones.join(',')
  return [
    need.millicores,
    need.memoryMib,
    need.accelerators,
    policy.strategy,
    policy.preempts ? 'preempts' : '',
    demand.isProbe ? 'probes' : '',
    sortedZones
  ].join(' ')
}
