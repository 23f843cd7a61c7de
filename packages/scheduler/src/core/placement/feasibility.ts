/**
 * Feasibility: whether the cell could ever hold a workload, were it empty. Work
 * that it could never hold is refused at once, with the reason.
 */

import type { Resources } from '../../types/resources.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, TargetPhase, type TargetState } from '../../types/targets.js'
import { WorkloadKind, type WorkloadSpec } from '../../types/workloads.js'
import { resolvePolicy, type EffectivePolicy } from './policy.js'
import { countWithin, DIMENSIONS, isWithin } from './sizes.js'

/**
 * The reason why the workload can never be placed, or an empty text. A cell
 * without workers refuses nothing, since it can't know.
 */
export function checkFeasible (state: ClusterState, spec: WorkloadSpec): string {
  const overQuota = checkQuota(state, spec)
  if (overQuota !== '') return overQuota
  if (spec.policy !== '' && !state.policies.has(spec.policy)) return `no policy named ${spec.policy}`
  const workers = listWorkers(state)
  if (workers.length === 0) return ''
  const inZone = workers.filter(worker => isZoneAllowed(spec, worker.availabilityZone))
  if (inZone.length === 0) return `no worker in the availability zones ${spec.availabilityZones.join(', ')}`
  const large = inZone.filter(worker => isWithin(spec.resources, worker.capacity))
  if (large.length === 0) return describeTooLarge(spec.resources, inZone)
  if (spec.kind !== WorkloadKind.gang) return ''
  const most = countMost(large, spec, resolvePolicy(state, spec))
  if (most >= spec.taskCount) return ''
  return `the empty cell holds ${most} of the ${spec.taskCount} tasks that must run at once`
}

export function isZoneAllowed (spec: WorkloadSpec, availabilityZone: string): boolean {
  return spec.availabilityZones.length === 0 || spec.availabilityZones.includes(availabilityZone)
}

function checkQuota (state: ClusterState, spec: WorkloadSpec): string {
  const quota = state.teams.get(spec.team)?.quota
  if (quota === undefined) return ''
  const times = spec.kind === WorkloadKind.gang ? spec.taskCount : 1
  for (const dimension of DIMENSIONS) {
    const need = spec.resources[dimension] * times
    if (quota[dimension] > 0 && need > quota[dimension]) {
      return `needs ${need} ${dimension} at once, over the quota ${quota[dimension]} of team ${spec.team}`
    }
  }
  return ''
}

function listWorkers (state: ClusterState): TargetState[] {
  const workers: TargetState[] = []
  for (const target of state.targets.values()) {
    if (target.kind !== TargetKind.worker) continue
    if (target.phase === TargetPhase.lost || target.phase === TargetPhase.leaving) continue
    workers.push(target)
  }
  return workers
}

function describeTooLarge (need: Resources, workers: readonly TargetState[]): string {
  for (const dimension of DIMENSIONS) {
    const largest = Math.max(...workers.map(worker => worker.capacity[dimension]))
    if (need[dimension] > largest) {
      return `needs ${need[dimension]} ${dimension}, the largest of ${workers.length} workers has ${largest}`
    }
  }
  return `none of ${workers.length} workers is large enough in all dimensions at once`
}

/** Tasks that the empty workers hold together, within the limits of the policy. */
function countMost (workers: readonly TargetState[], spec: WorkloadSpec, policy: EffectivePolicy): number {
  const perRack = new Map<string, Map<string, number>>()
  for (const worker of workers) {
    const vms = perRack.get(worker.rack) ?? new Map<string, number>()
    const count = (vms.get(worker.vm) ?? 0) + countWithin(spec.resources, worker.capacity)
    vms.set(worker.vm, limit(count, policy.maxPerVm))
    perRack.set(worker.rack, vms)
  }
  let most = 0
  for (const vms of perRack.values()) {
    let inRack = 0
    for (const count of vms.values()) inRack += count
    most += limit(inRack, policy.maxPerRack)
  }
  return most
}

function limit (count: number, most: number): number {
  return most > 0 ? Math.min(count, most) : count
}
