/**
 * Which waiting units the known workers could hold once the work that ends by itself has
 * ended. A unit that none of them could hold would wait at the head of the order for as
 * long as its job lives, so it takes no part in a pass: it holds back no capacity, asks
 * for no tickets and uses up no limit on the number of units. Workers that are silent for
 * a while count, those that drain do not; the answer is computed again for each pass, so
 * a unit returns with the first worker that could hold it.
 */

import type { Resources } from '../../../types/resources.js'
import { addResources, copyResources, createZeroResources, RESOURCE_DIMENSIONS } from '../../placement/resource-arithmetic.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'
import { RunStatus, type WorkerView } from '../workers/worker-view.js'
import type { AdmissionTickets } from './admission-tickets.js'

/** A worker, and what it has for work beside the long-running tasks that stay there. */
interface Room { view: WorkerView, amounts: Resources }

/** The workers with one service and one label, the most that one of them has in each dimension, and what they have together. */
interface RoomGroup { rooms: Room[], most: Resources, total: Resources }

export class Feasibility {
  /** By service and required label. */
  private readonly groups = new Map<string, Map<string, RoomGroup>>()
  private readonly rooms = new Map<string, Room>()

  private constructor (views: Iterable<WorkerView>, private readonly tickets: AdmissionTickets) {
    for (const view of views) {
      if (!view.worker.isDraining && view.worker.address !== '') this.rooms.set(view.id, { view, amounts: computeRoom(view) })
    }
  }

  static create (views: Iterable<WorkerView>, tickets: AdmissionTickets): Feasibility {
    return new Feasibility(views, tickets)
  }

  /** True when the workers could hold a task of the unit or, if it is a gang, all of its tasks at the same time. */
  isFeasible (unit: SchedulingUnit): boolean {
    const { spec, queue, waiting } = unit
    const { rooms, most, total } = this.getGroup(queue.service, spec.requiredLabel)
    const needed = spec.gang ? waiting.length : 1
    if (countTasks(unit, most) === 0 || countTasks(unit, total) < needed) return false
    let count = 0
    for (const { view, amounts } of rooms) {
      if (!this.isRefused(unit, view)) count += Math.min(countTasks(unit, amounts), countAllowed(unit, view))
      if (count >= needed) return true
    }
    return false
  }

  /** True when the worker could hold a task of the unit. */
  canHold (unit: SchedulingUnit, view: WorkerView): boolean {
    const room = this.rooms.get(view.id)
    return room !== undefined && countTasks(unit, room.amounts) > 0
  }

  private isRefused ({ key, queue }: SchedulingUnit, { id }: WorkerView): boolean {
    return queue.admission !== undefined && this.tickets.getStageTickets(key).refused.has(id)
  }

  private getGroup (service: string, label: string): RoomGroup {
    let byLabel = this.groups.get(service)
    if (byLabel === undefined) this.groups.set(service, byLabel = new Map<string, RoomGroup>())
    let group = byLabel.get(label)
    if (group === undefined) byLabel.set(label, group = this.createGroup(service, label))
    return group
  }

  private createGroup (service: string, label: string): RoomGroup {
    const rooms = [...this.rooms.values()].filter(({ view: { worker } }) => worker.service === service && (label === '' || worker.labels.includes(label)))
    const most = createZeroResources()
    const total = createZeroResources()
    for (const { amounts } of rooms) {
      for (const dimension of RESOURCE_DIMENSIONS) {
        most[dimension] = Math.max(most[dimension], amounts[dimension])
        total[dimension] += Math.max(0, amounts[dimension])
      }
    }
    return { rooms, most, total }
  }
}

/** The capacity of a worker without that of the long-running tasks that are not being stopped. */
function computeRoom ({ worker, runs, longRunning }: WorkerView): Resources {
  const room = copyResources(worker.capacity)
  if (RESOURCE_DIMENSIONS.every(dimension => longRunning[dimension] === 0)) return room
  for (const { isLongRunning, status, fills, resources } of runs.values()) {
    if (isLongRunning && status !== RunStatus.stopping) addResources(room, fills ? { ...resources, millicores: 0 } : resources, -1)
  }
  return room
}

/** How many tasks of a unit fit into an amount. Best-effort tasks need no processor capacity. */
function countTasks ({ spec: { resources, fills } }: SchedulingUnit, available: Resources): number {
  let count = Infinity
  for (const dimension of RESOURCE_DIMENSIONS) {
    const need = resources[dimension]
    if (fills && dimension === 'millicores') continue
    if (available[dimension] < need) return 0
    if (need > 0) count = Math.min(count, Math.floor(available[dimension] / need))
  }
  return count
}

/** How many more tasks of the unit a worker may have; those of the stage that end by themselves count as ended. */
function countAllowed ({ spec, placedCounts }: SchedulingUnit, { id }: WorkerView): number {
  if (spec.perWorkerLimit === 0) return Infinity
  return Math.max(0, spec.perWorkerLimit - (spec.longRunning ? placedCounts.get(id) ?? 0 : 0))
}
