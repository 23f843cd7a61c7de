/**
 * Sums of resources over the cluster state.
 */

import { NO_RESOURCES, TargetKind, TaskPhase, type ClusterState, type Resources, type TaskState } from '@flamingorouter/scheduler'

/** Adds `count` times `amount` to `sum` in place. */
export function addResources (sum: Resources, amount: Resources, count = 1): void {
  sum.millicores += amount.millicores * count
  sum.memoryMib += amount.memoryMib * count
  sum.accelerators += amount.accelerators * count
}

/** True while the task is assigned to a worker, whether it has started or not. */
export function isAssigned (task: TaskState): boolean {
  return task.phase === TaskPhase.placed || task.phase === TaskPhase.running
}

/** Total capacity of all workers. */
export function sumCapacity (state: ClusterState): Resources {
  const sum = { ...NO_RESOURCES }
  for (const target of state.targets.values()) {
    if (target.kind === TargetKind.worker) addResources(sum, target.capacity)
  }
  return sum
}
