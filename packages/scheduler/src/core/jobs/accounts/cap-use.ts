/**
 * Summarizes for operators how much of its cap each client account uses, so that they see
 * which accounts wait for their caps during a burst.
 */

import { isLiveJob, StageTaskPhase } from '../../../types/jobs.js'
import type { Resources } from '../../../types/resources.js'
import type { ClusterState } from '../../../types/state.js'
import { addResources, computeDominantShare, createZeroResources } from '../../placement/resource-arithmetic.js'
import { hasCap } from './account-usage.js'

/** The largest share of its cap that the placed tasks of each configured account use, by name, for accounts that have a cap. */
export function summarizeCapUse (state: ClusterState): Map<string, number> {
  const accounts = (state.cell?.accounts ?? []).filter(({ cap }) => hasCap(cap))
  if (accounts.length === 0) return new Map()
  const used = new Map<string | undefined, Resources>(accounts.map(({ name }) => [name, createZeroResources()]))
  for (const job of state.jobs.values()) {
    const sum = used.get(job.account)
    if (sum === undefined || (!job.started && isLiveJob(job))) continue
    for (const [stage, tasks] of [...job.occurrences.values()].flatMap(occurrence => [...occurrence.entries()])) {
      addResources(sum, job.spec.stages[stage].resources, tasks.filter(({ phase }) => phase === StageTaskPhase.placed).length)
    }
  }
  return new Map(accounts.map(({ name, cap }) => [name, computeDominantShare(used.get(name) ?? createZeroResources(), cap)]))
}
