/**
 * How far off the learnt run times are, by queue, so that operators see when callers
 * declare times, or change their work, in a way that estimates do not follow.
 */

import { addSample, createHistogram, RunTimeModel, summarize, type ClusterState, type Decision, type LogHistogram } from '@flamingorouter/scheduler'

/** Number of queues whose errors are kept; the one that was updated longest ago is left out. */
const QUEUE_LIMIT = 64

/** Number of ends of a queue for each that is compared; an estimate walks histograms that every end changes. */
const ENDS_PER_COMPARISON = 8

interface QueueErrors {
  /** Number of ends of the queue. */
  ends: number
  /** Ratios of real over expected time. */
  ratios: LogHistogram
}

export class EstimateErrors {
  private readonly errors = new Map<string, QueueErrors>()

  private constructor () {}

  static create (): EstimateErrors {
    return new EstimateErrors()
  }

  /** Takes the end of a run whose work is known, and compares some of them. `state` contains the end already, by the weight of one sample. */
  record ({ ref, workMs }: Extract<Decision, { kind: 'runEnded' }>, state: ClusterState): void {
    const job = state.jobs.get(ref.job)
    const stage = job?.spec.stages[ref.stage]
    if (job === undefined || stage === undefined || workMs === undefined) return
    const errors = this.touch(job.queue)
    if (errors.ends++ % ENDS_PER_COMPARISON !== 0) return
    const { expectedMs } = RunTimeModel.create(state.runTimes).estimate(job.queue, stage)
    if (expectedMs <= 0) return
    addSample(errors.ratios, workMs / expectedMs)
  }

  /** The errors of a queue, moved to the end; those of the first queues beyond the limit are removed. */
  private touch (queue: string): QueueErrors {
    const errors = this.errors.get(queue) ?? { ends: 0, ratios: createHistogram() }
    this.errors.delete(queue)
    this.errors.set(queue, errors)
    for (const oldest of this.errors.keys()) {
      if (this.errors.size <= QUEUE_LIMIT) break
      this.errors.delete(oldest)
    }
    return errors
  }

  /** The 50th and 90th percentile of the ratio of real to expected run time, by queue. */
  list (): Array<{ queue: string, p50: number, p90: number }> {
    return [...this.errors].flatMap(([queue, { ratios }]) => {
      const summary = summarize(ratios)
      return summary === undefined ? [] : [{ queue, p50: Math.exp(summary.median), p90: Math.exp(summary.upper) }]
    })
  }
}
