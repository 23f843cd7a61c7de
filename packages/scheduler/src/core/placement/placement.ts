/**
 * The scheduler component that places waiting tasks on workers and explains why
 * tasks wait. After each event it decides `taskPlaced`, and `taskStopping` for
 * tasks that it preempts. Its indexes are volatile: they are rebuilt from the
 * replicated state when the replica starts to lead.
 */

import type { Decision } from '../../types/decisions.js'
import type { Event, EventKind } from '../../types/events.js'
import { createClusterState, type ClusterState } from '../../types/state.js'
import { ErrorKind } from '../../utils/errors.js'
import { RunTimeEstimates } from '../health/run-time-estimates.js'
import { UsageTable } from '../health/usage-table.js'
import { Component } from '../component.js'
import type { Step } from '../step.js'
import { explain } from './explain.js'
import { PlacementIndexes } from './placement-indexes.js'
import { Placer } from './placer.js'
import { DEFAULT_RESERVATION_OPTIONS, type ReservationOptions } from './reservations.js'
import { AllocationResizer } from './allocation-resizer.js'

export interface PlacementOptions {
  /**
   * Number of placements after which no further task is taken from the queue in one step; the
   * remaining ones are placed in later steps. Tasks with held resources, tasks on headroom and
   * the rest of a gang are placed beyond it.
   */
  placementsPerStep?: number
  reservation?: Partial<ReservationOptions>
  /** Measured resource usage of tasks, maintained by the `Tasks` component. */
  usage?: UsageTable
  /** Run time estimates from finished tasks, maintained by the `Tasks` component. */
  estimates?: RunTimeEstimates
}

const DEFAULT_PLACEMENTS_PER_STEP = 400

export class Placement extends Component {
  override readonly handledKinds: readonly EventKind[] = ['explain']
  private readonly placementsPerStep: number
  private readonly reservation: ReservationOptions
  private readonly usage: UsageTable
  private readonly estimates: RunTimeEstimates
  private indexes: PlacementIndexes
  private placer: Placer
  private allocationResizer: AllocationResizer

  private constructor (options: PlacementOptions) {
    super()
    this.placementsPerStep = options.placementsPerStep ?? DEFAULT_PLACEMENTS_PER_STEP
    this.reservation = { ...DEFAULT_RESERVATION_OPTIONS, ...options.reservation }
    this.usage = options.usage ?? UsageTable.create()
    this.estimates = options.estimates ?? RunTimeEstimates.create()
    this.indexes = PlacementIndexes.create(createClusterState(), 0, this.estimates, this.reservation)
    this.placer = Placer.create(this.indexes, this.placementsPerStep)
    this.allocationResizer = AllocationResizer.create(this.indexes.fleet, this.usage)
  }

  static create (options: PlacementOptions = {}): Placement {
    return new Placement(options)
  }

  override reset (state: ClusterState, now: number): void {
    this.indexes = PlacementIndexes.create(state, now, this.estimates, this.reservation)
    this.placer = Placer.create(this.indexes, this.placementsPerStep)
    this.allocationResizer = AllocationResizer.create(this.indexes.fleet, this.usage)
  }

  override handle (event: Event, step: Step): void {
    if (event.kind !== 'explain') return
    const workload = step.state.workloads.get(event.id)
    if (workload === undefined) step.refuse(event.call, ErrorKind.notFound, `no workload ${event.id}`)
    else step.reply(event.call, explain(step.state, workload, this.indexes, step.now))
  }

  override observe (decision: Decision, _state: ClusterState, now: number): void {
    this.indexes.observe(decision, now)
  }

  override tick (): void {
    this.allocationResizer.tick()
  }

  override reconcile (step: Step): void {
    this.placer.run(step)
  }
}
