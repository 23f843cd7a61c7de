/**
 * Index of live jobs by label, so that the cost of a selector depends on the
 * number of jobs with its labels and not on the number of all jobs. It is volatile;
 * a new leader rebuilds it from the replicated state.
 */

import type { ClusterState } from '../../types/state.js'
import { WorkloadKind, type WorkloadState } from '../../types/workloads.js'

export class LabelIndex {
  /** Ids of live jobs, by label key. */
  private readonly byLabel = new Map<string, Set<string>>()

  private constructor () {}

  static create (): LabelIndex {
    return new LabelIndex()
  }

  rebuild (state: ClusterState): void {
    this.byLabel.clear()
    for (const workload of state.workloads.values()) this.add(workload)
  }

  /** Adds a workload; ended workloads and services are ignored because selectors only apply to live jobs. */
  add (workload: WorkloadState): void {
    if (workload.ended || workload.spec.kind === WorkloadKind.service) return
    for (const label of listLabelKeys(workload)) {
      const ids = this.byLabel.get(label)
      if (ids === undefined) this.byLabel.set(label, new Set([workload.id]))
      else ids.add(workload.id)
    }
  }

  remove (workload: WorkloadState): void {
    for (const label of listLabelKeys(workload)) {
      const ids = this.byLabel.get(label)
      ids?.delete(workload.id)
      if (ids?.size === 0) this.byLabel.delete(label)
    }
  }

  /** Ids of the live jobs that have every label of the selector; none for an empty selector. */
  select (selector: Record<string, string>): string[] {
    const sets = Object.entries(selector).map(([name, value]) => this.byLabel.get(createLabelKey(name, value)))
    if (sets.length === 0 || sets.includes(undefined)) return []
    const [smallest, ...others] = (sets as Set<string>[]).sort((one, other) => one.size - other.size)
    return [...smallest].filter(id => others.every(ids => ids.has(id)))
  }
}

function listLabelKeys (workload: WorkloadState): string[] {
  return Object.entries(workload.spec.labels).map(([name, value]) => createLabelKey(name, value))
}

/** An unambiguous key for a label; the length of the name separates names that contain `=`. */
function createLabelKey (name: string, value: string): string {
  return `${name.length} ${name}=${value}`
}
