/**
 * Explains why the tasks of a workload wait: the constraint that each VM fails,
 * the quota of the team, held resources and the position in the queue.
 */

import type { Answer, Constraint } from '../../types/answers.js'
import type { ClusterState } from '../../types/state.js'
import { TaskPhase, type WorkloadState } from '../../types/workloads.js'
import type { Demand } from './demand.js'
import { findInfeasibility, isZoneAllowed } from './feasibility.js'
import type { PlacementIndexes } from './placement-indexes.js'
import { computeRank } from './class-queue.js'
import { addResources, copyResources, RESOURCE_DIMENSIONS } from './resource-arithmetic.js'
import type { Worker } from './worker.js'

type Explanation = Extract<Answer, { kind: 'explained' }>

/** Explains why tasks of a workload wait. The constraints are empty when none of its tasks waits. */
export function explain (state: ClusterState, workload: WorkloadState, indexes: PlacementIndexes, now: number): Explanation {
  const waiting = workload.tasks.filter(task => task.phase === TaskPhase.waiting).length
  const demand = indexes.demands.get(workload.id)
  if (waiting === 0 || demand === undefined) return { kind: 'explained', summary: 'no task is waiting', constraints: [] }
  const infeasibility = findInfeasibility(state, workload.spec)
  const constraints = [
    ...explainBackoff(demand, now),
    ...explainQuota(demand, indexes),
    ...explainWorkers(demand, indexes),
    ...explainHolds(demand, indexes, now),
    explainPosition(demand, indexes)
  ]
  const summary = infeasibility !== ''
    ? `can never run: ${infeasibility}`
    : `${waiting} of ${workload.tasks.length} tasks are waiting; first constraint: ${constraints[0].name}`
  return { kind: 'explained', summary, constraints }
}

function explainBackoff (demand: Demand, now: number): Constraint[] {
  if (demand.delayedCount === 0) return []
  const { notBefore } = demand.workload
  const detail = notBefore > now
    ? `the retry back-off of the workload ends in ${notBefore - now} ms`
    : `${demand.delayedCount} tasks are in retry back-off after a failure`
  return [{ name: 'backoff', failingVms: 0, detail }]
}

function explainQuota (demand: Demand, indexes: PlacementIndexes): Constraint[] {
  if (indexes.quotaAccounts.isWithinQuota(demand)) return []
  const { team } = demand.workload.spec
  const { used, quota } = indexes.quotaAccounts.getOrCreate(team)
  const amounts = RESOURCE_DIMENSIONS.filter(dimension => quota[dimension] > 0)
    .map(dimension => `${used[dimension]} of ${quota[dimension]} ${dimension}`)
  return [{ name: 'quota', failingVms: 0, detail: `team ${team} uses ${amounts.join(', ')} of its quota` }]
}

const WORKER_CONSTRAINTS: ReadonlyArray<{ name: string, detail: string }> = Object.freeze([
  { name: 'outOfUse', detail: 'the worker is draining, suspect, leaving or lost' },
  { name: 'availabilityZone', detail: 'the worker is not in an allowed availability zone' },
  { name: 'size', detail: 'the capacity of the worker is too small for one task' },
  { name: 'millicores', detail: 'not enough free processors' },
  { name: 'memoryMib', detail: 'not enough free memory' },
  { name: 'accelerators', detail: 'not enough free accelerators' },
  { name: 'held', detail: 'the free resources are held for other work' },
  { name: 'limit', detail: 'the policy allows no further task on the VM or in the rack' }
])

/**
 * Counts for each constraint the VMs with a worker that fails it, in descending order of the
 * count. Each worker counts only for the first constraint that it fails.
 */
function explainWorkers (demand: Demand, indexes: PlacementIndexes): Constraint[] {
  const vmsByConstraint = new Map<string, Set<string>>()
  for (const worker of indexes.fleet.workers.values()) {
    if (!worker.isPresent) continue
    const name = findFailedConstraint(worker, demand)
    if (name === '') continue
    const vms = vmsByConstraint.get(name) ?? new Set<string>()
    vmsByConstraint.set(name, vms.add(worker.target.vm))
  }
  return WORKER_CONSTRAINTS
    .map(({ name, detail }) => ({ name, failingVms: vmsByConstraint.get(name)?.size ?? 0, detail }))
    .filter(constraint => constraint.failingVms > 0)
    .sort((one, other) => other.failingVms - one.failingVms)
}

/** The first constraint that prevents one task of the demand from running on a worker; empty when there is none. */
function findFailedConstraint (worker: Worker, demand: Demand): string {
  if (!worker.isUsable) return 'outOfUse'
  if (!isZoneAllowed(demand.workload.spec, worker.target.availabilityZone)) return 'availabilityZone'
  const { capacity } = worker.target
  if (RESOURCE_DIMENSIONS.some(dimension => demand.need[dimension] > capacity[dimension])) return 'size'
  const unused = copyResources(capacity)
  addResources(unused, worker.used, -1)
  const lacking = RESOURCE_DIMENSIONS.find(dimension => demand.need[dimension] > unused[dimension])
  if (lacking !== undefined) return lacking
  if (!worker.hasFreeResources(demand.need)) return 'held'
  return demand.isWorkerAllowed(worker) ? '' : 'limit'
}

function explainHolds (demand: Demand, indexes: PlacementIndexes, now: number): Constraint[] {
  if (demand.heldTaskCount === 0) return []
  const reservation = indexes.reservations.active.get(demand)
  const held = `resources for ${demand.heldTaskCount} tasks are held on ${demand.holds.size} workers`
  const detail = reservation === undefined
    ? `${held}; they become free when preempted tasks stop`
    : `${held}; the start is expected in ${Math.max(0, reservation.expectedAt - now)} ms`
  return [{ name: 'reservation', failingVms: 0, detail }]
}

function explainPosition (demand: Demand, indexes: PlacementIndexes): Constraint {
  const rank = computeRank(demand.workload.spec)
  let ahead = 0
  for (const classQueue of indexes.queue.listClassQueues()) {
    if (classQueue.rank < rank) continue
    for (const other of classQueue.listDemands()) {
      if (other !== demand && (classQueue.rank > rank || isAhead(other, demand, indexes))) ahead += 1
    }
  }
  return { name: 'queue', failingVms: 0, detail: `${ahead} workloads are ahead in the queue` }
}

/** True when the other demand of equal rank precedes the demand in the queue. */
function isAhead (other: Demand, demand: Demand, indexes: PlacementIndexes): boolean {
  const { team } = demand.workload.spec
  const otherTeam = other.workload.spec.team
  if (team === otherTeam) return other.arrivalOrder < demand.arrivalOrder
  return indexes.quotaAccounts.getOrCreate(otherTeam).share < indexes.quotaAccounts.getOrCreate(team).share
}
