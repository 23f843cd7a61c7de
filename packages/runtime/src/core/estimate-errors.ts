/**
 * How far off the learnt run times are, by queue, so that operators see when callers
 * declare times, or change their work, in a way that estimates do not follow.
 */

import { addSample, createHistogram, RunTimeModel, summarize, type ClusterState, type Decision, type LogHistogram } from '@flamingorouter/scheduler'

/** Number of queues whose errors are kept; the one that was updated longest ago is left out. */
const QUEUE_LIMIT = 64

export class EstimateErrors {
  private readonly ratios = new Map<string, LogHistogram>()

  private constructor () {}

  static create (): EstimateErrors {
    return new EstimateErrors()
  }

  /** Takes the end of a run whose work is known. `state` contains the end already, by the weight of one sample. */
  record ({ ref, workMs }: Extract<Decision, { kind: 'runEnded' }>, state: ClusterState): void {
    const job = state.jobs.get(ref.job)
    const stage = job?.spec.stages[ref.stage]
    if (job === undefined || stage === undefined || workMs === undefined) return
    const { expectedMs } = RunTimeModel.create(state.runTimes).estimate(job.queue, stage)
    if (expectedMs <= 0) return
    const histogram = this.ratios.get(job.queue) ?? createHistogram()
    addSample(histogram, workMs / expectedMs)
    this.ratios.delete(job.queue)
    this.ratios.set(job.queue, histogram)
    for (const oldest of this.ratios.keys()) {
      if (this.ratios.size <= QUEUE_LIMIT) return
      this.ratios.delete(oldest)
    }
  }

  /** The 50th and 90th percentile of the ratio of real to expected run time, by queue. */
  list (): Array<{ queue: string, p50: number, p90: number }> {
    return [...this.ratios].flatMap(([queue, histogram]) => {
      const summary = summarize(histogram)
      return summary === undefined ? [] : [{ queue, p50: Math.exp(summary.median), p90: Math.exp(summary.upper) }]
    })
  }
}
