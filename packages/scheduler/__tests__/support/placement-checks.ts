/**
 * Invariants of placements. The checks read only the durable state and share no
 * code with the placement.
 */

import assert from 'node:assert/strict'
import type { ClusterState, Resources, TargetState, WorkloadState } from '../../src/index.js'

/** The tasks on a worker never exceed its capacity in any dimension. */
export function checkCapacity (state: ClusterState): void {
  const used = new Map<string, Resources>()
  for (const [target, need] of listAssigned(state)) {
    const sum = used.get(target) ?? { millicores: 0, memoryMib: 0, accelerators: 0 }
    sum.millicores += need.millicores
    sum.memoryMib += need.memoryMib
    sum.accelerators += need.accelerators
    used.set(target, sum)
  }
  for (const [name, sum] of used) {
    const capacity = state.targets.get(name)?.capacity
    if (capacity === undefined) continue
    assert.ok(sum.millicores <= capacity.millicores, `worker ${name} exceeds its millicores`)
    assert.ok(sum.memoryMib <= capacity.memoryMib, `worker ${name} exceeds its memory`)
    assert.ok(sum.accelerators <= capacity.accelerators, `worker ${name} exceeds its accelerators`)
  }
}

/** No gang has some tasks assigned to workers while others wait. */
export function checkGangs (state: ClusterState): void {
  for (const workload of state.workloads.values()) {
    if (workload.spec.kind !== 'gang' || workload.ended) continue
    const assigned = workload.tasks.filter(task => task.target !== '').length
    const waiting = workload.tasks.filter(task => task.phase === 'waiting').length
    assert.ok(assigned === 0 || waiting === 0, `gang ${workload.id} has ${assigned} tasks assigned while ${waiting} wait`)
  }
}

/** The assigned tasks of a team never exceed its quota. */
export function checkQuotas (state: ClusterState): void {
  for (const team of state.teams.values()) {
    let millicores = 0
    let memoryMib = 0
    let accelerators = 0
    for (const workload of state.workloads.values()) {
      if (workload.spec.team !== team.name) continue
      const assigned = countAssigned(workload)
      millicores += assigned * workload.spec.resources.millicores
      memoryMib += assigned * workload.spec.resources.memoryMib
      accelerators += assigned * workload.spec.resources.accelerators
    }
    if (team.quota.millicores > 0) assert.ok(millicores <= team.quota.millicores, `team ${team.name} exceeds its quota of millicores`)
    if (team.quota.memoryMib > 0) assert.ok(memoryMib <= team.quota.memoryMib, `team ${team.name} exceeds its quota of memory`)
    if (team.quota.accelerators > 0) assert.ok(accelerators <= team.quota.accelerators, `team ${team.name} exceeds its quota of accelerators`)
  }
}

/** Number of tasks that are assigned to a worker. */
function countAssigned (workload: WorkloadState): number {
  return workload.tasks.filter(task => task.target !== '').length
}

function * listAssigned (state: ClusterState): Generator<[string, Resources]> {
  for (const workload of state.workloads.values()) {
    for (const task of workload.tasks) {
      if (task.target !== '') yield [task.target, workload.spec.resources]
    }
  }
}

/**
 * No task that could start now is left waiting, provided that no resources are held for
 * other work. Gangs are not checked.
 */
export function checkNoStartableTaskWaits (state: ClusterState, now: number): void {
  for (const workload of state.workloads.values()) {
    if (workload.ended || workload.spec.kind === 'gang') continue
    const task = workload.tasks.find(candidate => candidate.phase === 'waiting' && candidate.notBefore <= now)
    if (task === undefined || isOverQuota(state, workload)) continue
    for (const target of state.targets.values()) {
      assert.ok(!isPlaceable(state, target, workload), `${workload.id}/${task.index} waits although ${target.name} has enough free resources`)
    }
  }
}

function isOverQuota (state: ClusterState, workload: WorkloadState): boolean {
  const { team, resources } = workload.spec
  const quota = state.teams.get(team)?.quota
  if (quota === undefined) return false
  let millicores = resources.millicores
  let accelerators = resources.accelerators
  for (const other of state.workloads.values()) {
    if (other.spec.team !== team) continue
    millicores += countAssigned(other) * other.spec.resources.millicores
    accelerators += countAssigned(other) * other.spec.resources.accelerators
  }
  return (quota.millicores > 0 && millicores > quota.millicores) ||
    (quota.accelerators > 0 && accelerators > quota.accelerators)
}

function isPlaceable (state: ClusterState, target: TargetState, workload: WorkloadState): boolean {
  if (target.phase !== 'ready' || state.drainedVms.has(target.vm)) return false
  const { availabilityZones, resources, policy: policyName } = workload.spec
  if (availabilityZones.length > 0 && !availabilityZones.includes(target.availabilityZone)) return false
  const { millicores, memoryMib, accelerators } = target.capacity
  const remaining = { millicores, memoryMib, accelerators }
  for (const [name, need] of listAssigned(state)) {
    if (name !== target.name) continue
    remaining.millicores -= need.millicores
    remaining.memoryMib -= need.memoryMib
    remaining.accelerators -= need.accelerators
  }
  if (remaining.millicores < resources.millicores || remaining.memoryMib < resources.memoryMib) return false
  if (remaining.accelerators < resources.accelerators) return false
  const policy = state.policies.get(policyName)
  if (policy === undefined) return true
  const assignedTargets = workload.tasks.map(task => state.targets.get(task.target)).filter(assignedTarget => assignedTarget !== undefined)
  const onVm = assignedTargets.filter(place => place.vm === target.vm).length
  const inRack = assignedTargets.filter(place => place.rack === target.rack).length
  return (policy.maxPerVm === 0 || onVm < policy.maxPerVm) && (policy.maxPerRack === 0 || inRack < policy.maxPerRack)
}

/** No workload has more tasks on one VM or in one rack than its policy allows. */
export function checkPolicyLimits (state: ClusterState): void {
  for (const workload of state.workloads.values()) {
    const policy = state.policies.get(workload.spec.policy)
    if (policy === undefined) continue
    const perVm = new Map<string, number>()
    const perRack = new Map<string, number>()
    for (const task of workload.tasks) {
      const target = state.targets.get(task.target)
      if (target === undefined) continue
      perVm.set(target.vm, (perVm.get(target.vm) ?? 0) + 1)
      perRack.set(target.rack, (perRack.get(target.rack) ?? 0) + 1)
    }
    if (policy.maxPerVm > 0) assert.ok(Math.max(0, ...perVm.values()) <= policy.maxPerVm, `workload ${workload.id} exceeds its policy limit for one VM`)
    if (policy.maxPerRack > 0) assert.ok(Math.max(0, ...perRack.values()) <= policy.maxPerRack, `workload ${workload.id} exceeds its policy limit for one rack`)
  }
}
