/**
 * Which waiting units the known workers could hold once the work that ends by itself has
 * ended. A unit that none of them could hold would wait at the head of the order for as
 * long as its job lives, so it takes no part in a pass: it holds back no capacity, asks
 * for no tickets and uses up no limit on the number of units. Workers that are silent for
 * a while count; those that drain, and those that the leader could not reach, do not.
 * Each pass asks again, so a unit returns with the first worker that could hold it; what
 * the workers have is kept until one changes.
 */

import type { CalledWorker } from '../../../types/jobs.js'
import type { Resources } from '../../../types/resources.js'
import { addResources, copyResources, createZeroResources, RESOURCE_DIMENSIONS } from '../../placement/resource-arithmetic.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'
import { RunStatus, type WorkerView } from '../workers/worker-view.js'
import type { AdmissionTickets } from './admission-tickets.js'

/** What a worker has for work beside the long-running tasks that stay there, and what this was computed from. */
interface Room { view: WorkerView, worker: CalledWorker, isExpected: boolean, longRunningVersion: number, amounts: Resources }

/** The workers with one service and one label, the most that one of them has in each dimension, and what they have together. */
interface RoomGroup { rooms: Room[], most: Resources, total: Resources }

export class Feasibility {
  /** By service and required label. */
  private readonly groups = new Map<string, Map<string, RoomGroup>>()
  private readonly rooms = new Map<string, Room>()

  private constructor (private readonly tickets: AdmissionTickets) {}

  static create (tickets: AdmissionTickets): Feasibility {
    return new Feasibility(tickets)
  }

  /** Takes over what the workers have now. */
  refresh (views: readonly WorkerView[]): void {
    if (views.length === this.rooms.size && views.every(view => this.isCurrent(view))) return
    this.groups.clear()
    this.rooms.clear()
    for (const view of views) {
      this.rooms.set(view.id, { view, worker: view.worker, isExpected: view.isExpected, longRunningVersion: view.longRunningVersion, amounts: computeRoom(view) })
    }
  }

  /** True when the workers could hold a task of the unit or, if it is a gang, all of its tasks at the same time. */
  isFeasible (unit: SchedulingUnit): boolean {
    const { spec, queue, waiting } = unit
    const { rooms, most, total } = this.getGroup(queue.service, spec.requiredLabel)
    const needed = spec.gang ? waiting.length : 1
    if (countTasks(unit, most) === 0 || (needed > 1 && countTasks(unit, total) < needed)) return false
    const { refused } = this.tickets.getStageTickets(unit.key)
    let count = 0
    for (const { view, amounts } of rooms) {
      if (refused.has(view.id)) continue
      count += Math.min(countTasks(unit, amounts), countAllowed(unit, view))
      if (count >= needed) return true
    }
    return false
  }

  /** True when the worker could hold a task of the unit. */
  canHold (unit: SchedulingUnit, view: WorkerView): boolean {
    const room = this.rooms.get(view.id)
    return room !== undefined && countTasks(unit, room.amounts) > 0
  }

  private isCurrent (view: WorkerView): boolean {
    const room = this.rooms.get(view.id)
    return room?.view === view && room.worker === view.worker && room.isExpected === view.isExpected && room.longRunningVersion === view.longRunningVersion
  }

  private getGroup (service: string, label: string): RoomGroup {
    let byLabel = this.groups.get(service)
    if (byLabel === undefined) this.groups.set(service, byLabel = new Map<string, RoomGroup>())
    let group = byLabel.get(label)
    if (group === undefined) byLabel.set(label, group = this.createGroup(service, label))
    return group
  }

  private createGroup (service: string, label: string): RoomGroup {
    const rooms = [...this.rooms.values()].filter(({ worker, isExpected }) => {
      return isExpected && !worker.isDraining && worker.address !== '' && worker.service === service && (label === '' || worker.labels.includes(label))
    })
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
