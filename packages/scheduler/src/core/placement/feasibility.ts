/**
 * Feasibility: whether an empty cell could run a workload. A workload that it
 * could never run is refused immediately, with the reason.
 */

import type { Resources } from '../../types/resources.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, TargetPhase, type TargetState } from '../../types/targets.js'
import { WorkloadKind, type WorkloadSpec } from '../../types/workloads.js'
import { resolvePolicy, type EffectivePolicy } from './policy.js'
import { countFitting, RESOURCE_DIMENSIONS, isWithin } from './resource-arithmetic.js'

/**
 * The reason why the workload can never be placed, or an empty string. While the cell has
 * no workers only the quota and the policy are checked, because the capacity is not known.
 */
export function findInfeasibility (state: ClusterState, spec: WorkloadSpec): string {
  const quotaExcess = findQuotaExcess(state, spec)
  if (quotaExcess !== '') return quotaExcess
  if (spec.policy !== '' && !state.policies.has(spec.policy)) return `no policy named ${spec.policy}`
  const workers = listWorkers(state)
  if (workers.length === 0) return ''
  const inAllowedZones = workers.filter(worker => isZoneAllowed(spec, worker.availabilityZone))
  if (inAllowedZones.length === 0) return `no worker in the availability zones ${spec.availabilityZones.join(', ')}`
  const largeEnough = inAllowedZones.filter(worker => isWithin(spec.resources, worker.capacity))
  if (largeEnough.length === 0) return describeTooLarge(spec.resources, inAllowedZones)
  if (spec.kind !== WorkloadKind.gang) return ''
  const fitting = countEmptyCellTasks(largeEnough, spec, resolvePolicy(state, spec))
  if (fitting >= spec.taskCount) return ''
  return `the empty cell holds ${fitting} of the ${spec.taskCount} tasks that must run at once`
}

export function isZoneAllowed (spec: WorkloadSpec, availabilityZone: string): boolean {
  return spec.availabilityZones.length === 0 || spec.availabilityZones.includes(availabilityZone)
}

/** Why the tasks that must run at once exceed the quota of the team, or an empty string; a quota of 0 means unlimited. */
function findQuotaExcess (state: ClusterState, spec: WorkloadSpec): string {
  const quota = state.teams.get(spec.team)?.quota
  if (quota === undefined) return ''
  const tasksAtOnce = spec.kind === WorkloadKind.gang ? spec.taskCount : 1
  for (const dimension of RESOURCE_DIMENSIONS) {
    const need = spec.resources[dimension] * tasksAtOnce
    if (quota[dimension] > 0 && need > quota[dimension]) {
      return `needs ${need} ${dimension} at once, over the quota ${quota[dimension]} of team ${spec.team}`
    }
  }
  return ''
}

/** The workers that count as capacity of the cell: those that are neither lost nor leaving. */
function listWorkers (state: ClusterState): TargetState[] {
  const workers: TargetState[] = []
  for (const target of state.targets.values()) {
    if (target.kind !== TargetKind.worker) continue
    if (target.phase === TargetPhase.lost || target.phase === TargetPhase.leaving) continue
    workers.push(target)
  }
  return workers
}

/** Describes why no single worker has the capacity for one task. */
function describeTooLarge (need: Resources, workers: readonly TargetState[]): string {
  for (const dimension of RESOURCE_DIMENSIONS) {
    const largest = Math.max(...workers.map(worker => worker.capacity[dimension]))
    if (need[dimension] > largest) {
      return `needs ${need[dimension]} ${dimension}, the largest of ${workers.length} workers has ${largest}`
    }
  }
  return `none of ${workers.length} workers is large enough in all dimensions at once`
}

/** Number of tasks that the empty workers can run at the same time within the limits of the policy. */
function countEmptyCellTasks (workers: readonly TargetState[], spec: WorkloadSpec, policy: EffectivePolicy): number {
  const tasksByRack = new Map<string, Map<string, number>>()
  for (const worker of workers) {
    const vms = tasksByRack.get(worker.rack) ?? new Map<string, number>()
    const count = (vms.get(worker.vm) ?? 0) + countFitting(spec.resources, worker.capacity)
    vms.set(worker.vm, applyLimit(count, policy.maxPerVm))
    tasksByRack.set(worker.rack, vms)
  }
  let total = 0
  for (const vms of tasksByRack.values()) {
    let inRack = 0
    for (const count of vms.values()) inRack += count
    total += applyLimit(inRack, policy.maxPerRack)
  }
  return total
}

/** Caps a count; a limit of 0 means unlimited. */
function applyLimit (count: number, limit: number): number {
  return limit > 0 ? Math.min(count, limit) : count
}
