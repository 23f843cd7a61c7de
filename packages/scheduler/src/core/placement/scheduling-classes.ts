/**
 * Scheduling classes: demands with the same resource requirements and the same
 * constraints. When no worker has enough free resources for a class, the whole
 * class is blocked. From then on only workers whose free resources increased
 * are examined for it, so that a waiting task costs no scan of the fleet.
 */

import type { Resources } from '../../types/resources.js'
import type { Demand } from './demand.js'
import type { Fleet } from './fleet.js'
import type { ClassQueue } from './class-queue.js'
import { isWithin } from './resource-arithmetic.js'
import { getStrategy } from './strategies.js'
import type { Worker } from './worker.js'

/** Above this number of candidate workers a search through the indexes of the fleet is faster. */
const CANDIDATE_WORKER_LIMIT = 32

export class SchedulingClass {
  /** Class queues, one for each rank and team, that hold demands of this class. */
  readonly classQueues = new Set<ClassQueue>()
  /**
   * The workers whose free resources increased since a search of the whole fleet failed;
   * only these can have enough. Undefined while the whole fleet may be searched.
   */
  candidateWorkers: Set<Worker> | undefined

  private constructor (
    readonly key: string,
    readonly need: Resources,
    /** Allowed availability zones; empty allows all. */
    readonly availabilityZones: readonly string[],
    /** True when its demands may preempt other work. */
    readonly preempts: boolean,
    /** The only demand of the class when it is a gang; undefined otherwise. */
    readonly gang: Demand | undefined
  ) {}

  static create (key: string, demand: Demand): SchedulingClass {
    const { availabilityZones } = demand.workload.spec
    return new SchedulingClass(key, demand.need, availabilityZones, demand.policy.preempts, demand.isGang ? demand : undefined)
  }

  /** True when the last search found no worker, and no worker has become a candidate since. */
  get isBlocked (): boolean {
    return this.candidateWorkers?.size === 0
  }
}

export class SchedulingClassTable {
  private readonly classes = new Map<string, SchedulingClass>()
  /** Classes that may not search the whole fleet, because the last such search failed. */
  private readonly exhausted = new Set<SchedulingClass>()
  /** Classes whose search may succeed again; some of them only among their candidate workers. */
  private readonly reopened = new Set<SchedulingClass>()

  private constructor () {}

  static create (): SchedulingClassTable {
    return new SchedulingClassTable()
  }

  /** The scheduling class of a demand, created when it does not exist yet. */
  getOrCreate (demand: Demand): SchedulingClass {
    const key = createClassKey(demand)
    let schedulingClass = this.classes.get(key)
    if (schedulingClass === undefined) this.classes.set(key, schedulingClass = SchedulingClass.create(key, demand))
    return schedulingClass
  }

  /** Removes a class that no class queue refers to; any other stays. */
  removeIfUnused (schedulingClass: SchedulingClass): void {
    if (schedulingClass.classQueues.size > 0) return
    this.classes.delete(schedulingClass.key)
    this.exhausted.delete(schedulingClass)
    this.reopened.delete(schedulingClass)
  }

  /**
   * Finds a worker for one task of the demand. When there is none, the class is blocked and
   * undefined is returned.
   */
  findWorker (schedulingClass: SchedulingClass, demand: Demand, fleet: Fleet): Worker | undefined {
    if (schedulingClass.candidateWorkers !== undefined) return this.findAmongCandidates(schedulingClass, demand, fleet)
    const worker = getStrategy(demand.policy.strategy).find(demand, fleet)
    if (worker === undefined) this.block(schedulingClass)
    return worker
  }

  /** Excludes a class from searches until resources that may suffice for it are freed. */
  block (schedulingClass: SchedulingClass): void {
    schedulingClass.candidateWorkers = new Set()
    this.exhausted.add(schedulingClass)
    this.reopened.delete(schedulingClass)
  }

  /** Allows a class to search the whole fleet again. */
  reopen (schedulingClass: SchedulingClass): void {
    if (schedulingClass.candidateWorkers === undefined) return
    this.reopened.add(schedulingClass)
    schedulingClass.candidateWorkers = undefined
    this.exhausted.delete(schedulingClass)
  }

  reopenAll (): void {
    for (const schedulingClass of Array.from(this.exhausted)) this.reopen(schedulingClass)
  }

  /** Reopens the class of a demand whose policy limits the tasks per VM or rack, after one of its tasks ended. */
  reopenLimited (demand: Demand): void {
    if (!hasLimits(demand) || demand.isGang) return
    const schedulingClass = this.classes.get(createClassKey(demand))
    if (schedulingClass !== undefined) this.reopen(schedulingClass)
  }

  /** Adds a worker whose free resources increased to the candidates of each class that it may fit. */
  addCandidateWorker (worker: Worker): void {
    for (const schedulingClass of this.exhausted) {
      if (schedulingClass.gang !== undefined || !isCandidate(schedulingClass, worker)) continue
      this.reopened.add(schedulingClass)
      schedulingClass.candidateWorkers?.add(worker)
      if ((schedulingClass.candidateWorkers?.size ?? 0) > CANDIDATE_WORKER_LIMIT) this.reopen(schedulingClass)
    }
  }

  /** Reopens gangs whose total demand is within the free resources of the fleet, up to the limit. */
  reopenGangs (fleet: Fleet, limit: number): void {
    let remaining = limit
    for (const schedulingClass of this.exhausted) {
      if (remaining <= 0) return
      if (schedulingClass.gang === undefined || !hasEnoughFreeInTotal(schedulingClass.gang, fleet)) continue
      this.reopen(schedulingClass)
      remaining -= 1
    }
  }

  /** The classes whose search may succeed again; a class leaves the set when its search fails or its queues are unblocked. */
  listReopened (): ReadonlySet<SchedulingClass> {
    return this.reopened
  }

  /** Removes a class from the reopened ones after its queues were unblocked. */
  markUnblocked (schedulingClass: SchedulingClass): void {
    this.reopened.delete(schedulingClass)
  }

  private findAmongCandidates (schedulingClass: SchedulingClass, demand: Demand, fleet: Fleet): Worker | undefined {
    const candidateWorkers = schedulingClass.candidateWorkers
    if (candidateWorkers === undefined) return undefined
    const candidates: Worker[] = []
    for (const worker of candidateWorkers) {
      if (worker.hasFreeResources(demand.need) && demand.isWorkerAllowed(worker)) candidates.push(worker)
      else candidateWorkers.delete(worker)
    }
    if (candidates.length === 0) this.reopened.delete(schedulingClass)
    return getStrategy(demand.policy.strategy).chooseBest(candidates, demand, fleet)
  }
}

/**
 * True when the free resources and the availability zone of the worker suit the class;
 * policy limits are not checked.
 */
function isCandidate (schedulingClass: SchedulingClass, worker: Worker): boolean {
  if (!isWithin(schedulingClass.need, worker.free)) return false
  return schedulingClass.availabilityZones.length === 0 || schedulingClass.availabilityZones.includes(worker.target.availabilityZone)
}

/**
 * True when the free resources of all workers together suffice for a gang. This is only a
 * necessary condition for its placement, since the resources may be fragmented over workers.
 */
function hasEnoughFreeInTotal (gang: Demand, fleet: Fleet): boolean {
  const taskCount = gang.waitingCount - gang.heldTaskCount
  return gang.need.millicores * taskCount <= fleet.totalFree.millicores &&
    gang.need.memoryMib * taskCount <= fleet.totalFree.memoryMib &&
    gang.need.accelerators * taskCount <= fleet.totalFree.accelerators
}

function hasLimits (demand: Demand): boolean {
  return demand.policy.maxPerVm > 0 || demand.policy.maxPerRack > 0
}

/** Each gang, and each demand whose policy limits tasks per VM or rack, forms a class of its own. */
function createClassKey (demand: Demand): string {
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
    demand.canBeProbe ? 'probes' : '',
    sortedZones
  ].join(' ')
}
