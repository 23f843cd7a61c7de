/**
 * The ids of the jobs in the replicated state by what the leader looks for: live ones,
 * recurring ones and closed ones. Closed jobs are kept for minutes, so they are most of
 * all jobs in a busy cell, and what concerns live jobs must not walk through them.
 */

import type { Decision } from '../../../types/decisions.js'
import { isLiveJob, type StagedJob } from '../../../types/jobs.js'
import type { ClusterState } from '../../../types/state.js'

export class JobIndex {
  readonly live = new Set<string>()
  readonly recurring = new Set<string>()
  /** In the order in which the jobs closed. */
  readonly closed = new Set<string>()

  private constructor () {}

  static create (): JobIndex {
    return new JobIndex()
  }

  reset (state: ClusterState): void {
    this.live.clear()
    this.recurring.clear()
    this.closed.clear()
    const closed: StagedJob[] = []
    for (const job of state.jobs.values()) {
      if (job.spec.recurrence !== undefined) this.recurring.add(job.id)
      if (isLiveJob(job)) this.live.add(job.id)
      else closed.push(job)
    }
    for (const { id } of closed.sort((one, other) => one.closedAt - other.closedAt)) this.closed.add(id)
  }

  observe (decision: Decision): void {
    switch (decision.kind) {
      case 'jobAccepted':
        this.live.add(decision.id)
        if (decision.spec.recurrence !== undefined) this.recurring.add(decision.id)
        return
      case 'jobClosed':
        this.live.delete(decision.id)
        this.closed.add(decision.id)
        return
      case 'jobForgotten':
        this.live.delete(decision.id)
        this.recurring.delete(decision.id)
        this.closed.delete(decision.id)
    }
  }
}
