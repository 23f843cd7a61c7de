/**
 * Explains why the tasks of a workload wait: which constraint each VM fails, the
 * quota of the team, the place in the queue, and room that is held.
 */

import type { Answer, Constraint } from '../../types/answers.js'
import type { ClusterState } from '../../types/state.js'
import { TaskPhase, type WorkloadState } from '../../types/workloads.js'
import type { Demand } from './demand.js'
import { checkFeasible, isZoneAllowed } from './feasibility.js'
import type { Indexes } from './indexes.js'
import { rankOf } from './lines.js'
import { addSize, copySize, DIMENSIONS } from './sizes.js'
import type { Worker } from './worker.js'

type Explanation = Extract<Answer, { kind: 'explained' }>

export function explain (state: ClusterState, workload: WorkloadState, indexes: Indexes, now: number): Explanation {
  const waiting = workload.tasks.filter(task => task.phase === TaskPhase.waiting).length
  const demand = indexes.demands.get(workload.id)
  if (waiting === 0 || demand === undefined) return { kind: 'explained', summary: 'no task waits', constraints: [] }
  const infeasible = checkFeasible(state, workload.spec)
  const constraints = [
    ...explainBackoff(demand, now),
    ...explainQuota(demand, indexes),
    ...explainWorkers(demand, indexes),
    ...explainHolds(demand, indexes, now),
    explainPosition(demand, indexes)
  ]
  const summary = infeasible !== ''
    ? `can never run: ${infeasible}`
    : `${waiting} of ${workload.tasks.length} tasks wait: ${constraints[0].name}`
  return { kind: 'explained', summary, constraints }
}

function explainBackoff (demand: Demand, now: number): Constraint[] {
  if (demand.delayedCount === 0) return []
  const { notBefore } = demand.workload
  const detail = notBefore > now
    ? `the workload backs off for ${notBefore - now} ms`
    : `${demand.delayedCount} tasks back off after a failure`
  return [{ name: 'backoff', failingVms: 0, detail }]
}

function explainQuota (demand: Demand, indexes: Indexes): Constraint[] {
  if (indexes.ledger.isAllowed(demand)) return []
  const { team } = demand.workload.spec
  const { used, quota } = indexes.ledger.get(team)
  const amounts = DIMENSIONS.filter(dimension => quota[dimension] > 0)
    .map(dimension => `${used[dimension]} of ${quota[dimension]} ${dimension}`)
  return [{ name: 'quota', failingVms: 0, detail: `team ${team} holds ${amounts.join(', ')}` }]
}

const WORKER_CONSTRAINTS: ReadonlyArray<{ name: string, detail: string }> = Object.freeze([
  { name: 'outOfUse', detail: 'draining, suspect, leaving or lost' },
  { name: 'availabilityZone', detail: 'not in an allowed availability zone' },
  { name: 'size', detail: 'too small for one task even when empty' },
  { name: 'millicores', detail: 'not enough processors free' },
  { name: 'memoryMib', detail: 'not enough memory free' },
  { name: 'accelerators', detail: 'not enough accelerators free' },
  { name: 'held', detail: 'the room is held for other work' },
  { name: 'limit', detail: 'at the limit of the policy for one VM or rack' }
])

/** Counts for each constraint the VMs on which no worker passes it, most first. */
function explainWorkers (demand: Demand, indexes: Indexes): Constraint[] {
  const byName = new Map<string, Set<string>>()
  for (const worker of indexes.fleet.workers.values()) {
    if (!worker.present) continue
    const name = failedBy(worker, demand)
    if (name === '') continue
    const vms = byName.get(name) ?? new Set<string>()
    byName.set(name, vms.add(worker.target.vm))
  }
  return WORKER_CONSTRAINTS
    .map(({ name, detail }) => ({ name, failingVms: byName.get(name)?.size ?? 0, detail }))
    .filter(constraint => constraint.failingVms > 0)
    .sort((one, other) => other.failingVms - one.failingVms)
}

/** The first constraint that keeps one task off a worker; empty when none does. */
function failedBy (worker: Worker, demand: Demand): string {
  if (!worker.usable) return 'outOfUse'
  if (!isZoneAllowed(demand.workload.spec, worker.target.availabilityZone)) return 'availabilityZone'
  const { capacity } = worker.target
  if (DIMENSIONS.some(dimension => demand.need[dimension] > capacity[dimension])) return 'size'
  const room = copySize(capacity)
  addSize(room, worker.used, -1)
  const lacking = DIMENSIONS.find(dimension => demand.need[dimension] > room[dimension])
  if (lacking !== undefined) return lacking
  if (!worker.hasRoom(demand.need)) return 'held'
  return demand.isAllowed(worker) ? '' : 'limit'
}

function explainHolds (demand: Demand, indexes: Indexes, now: number): Constraint[] {
  if (demand.heldCount === 0) return []
  const reservation = indexes.reservations.made.get(demand)
  const room = `room for ${demand.heldCount} tasks is held on ${demand.holds.size} workers`
  const detail = reservation === undefined
    ? `${room}, which preempted work leaves`
    : `${room}, expected in ${Math.max(0, reservation.expectedAt - now)} ms`
  return [{ name: 'reservation', failingVms: 0, detail }]
}

function explainPosition (demand: Demand, indexes: Indexes): Constraint {
  const rank = rankOf(demand.workload.spec)
  let ahead = 0
  for (const line of indexes.queue.list()) {
    if (line.rank < rank) continue
    for (const other of line.list()) {
      if (other !== demand && (line.rank > rank || isAhead(other, demand, indexes))) ahead += 1
    }
  }
  return { name: 'queue', failingVms: 0, detail: `${ahead} workloads go before it` }
}

function isAhead (other: Demand, demand: Demand, indexes: Indexes): boolean {
  const { team } = demand.workload.spec
  const otherTeam = other.workload.spec.team
  if (team === otherTeam) return other.order < demand.order
  return indexes.ledger.get(otherTeam).share < indexes.ledger.get(team).share
}
