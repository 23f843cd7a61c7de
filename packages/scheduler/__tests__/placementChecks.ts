/**
 * Checks of what must always hold of placements. They read the durable state
 * alone and share no code with the placement.
 */

import assert from 'node:assert/strict'
import type { ClusterState, Resources, WorkloadState } from '../src/index.js'

/** No worker holds more than its capacity, in any dimension. */
export function checkCapacity (state: ClusterState): void {
  const used = new Map<string, Resources>()
  for (const [target, need] of listHeld(state)) {
    const sum = used.get(target) ?? { millicores: 0, memoryMib: 0, accelerators: 0 }
    sum.millicores += need.millicores
    sum.memoryMib += need.memoryMib
    sum.accelerators += need.accelerators
    used.set(target, sum)
  }
  for (const [name, sum] of used) {
    const capacity = state.targets.get(name)?.capacity
    if (capacity === undefined) continue
    assert.ok(sum.millicores <= capacity.millicores, `${name} over its processors`)
    assert.ok(sum.memoryMib <= capacity.memoryMib, `${name} over its memory`)
    assert.ok(sum.accelerators <= capacity.accelerators, `${name} over its accelerators`)
  }
}

/** No gang that never failed holds some of its tasks without the others. */
export function checkGangs (state: ClusterState): void {
  for (const workload of state.workloads.values()) {
    if (workload.spec.kind !== 'gang' || workload.ended) continue
    const held = workload.tasks.filter(task => task.target !== '').length
    const waiting = workload.tasks.filter(task => task.phase === 'waiting').length
    assert.ok(held === 0 || waiting === 0, `gang ${workload.id} holds ${held} and waits for ${waiting}`)
  }
}

/** No team holds more than its quota. */
export function checkQuotas (state: ClusterState): void {
  for (const team of state.teams.values()) {
    let millicores = 0
    let memoryMib = 0
    let accelerators = 0
    for (const workload of state.workloads.values()) {
      if (workload.spec.team !== team.name) continue
      const held = countHeld(workload)
      millicores += held * workload.spec.resources.millicores
      memoryMib += held * workload.spec.resources.memoryMib
      accelerators += held * workload.spec.resources.accelerators
    }
    if (team.quota.millicores > 0) assert.ok(millicores <= team.quota.millicores, `${team.name} over its processors`)
    if (team.quota.memoryMib > 0) assert.ok(memoryMib <= team.quota.memoryMib, `${team.name} over its memory`)
    if (team.quota.accelerators > 0) assert.ok(accelerators <= team.quota.accelerators, `${team.name} over its accelerators`)
  }
}

function countHeld (workload: WorkloadState): number {
  return workload.tasks.filter(task => task.target !== '').length
}

function * listHeld (state: ClusterState): Generator<[string, Resources]> {
  for (const workload of state.workloads.values()) {
    for (const task of workload.tasks) {
      if (task.target !== '') yield [task.target, workload.spec.resources]
    }
  }
}
