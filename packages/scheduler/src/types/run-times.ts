/**
 * What is learnt from finished runs about how long tasks take. It is part of the
 * replicated state, so that every replica and a new leader know the same.
 */

/** A histogram of the logarithm of positive values, in which older samples count less. */
export interface LogHistogram {
  /** Decayed number of samples of each bucket; buckets above the highest used one are left out. */
  weights: number[]
  /** Number of samples ever added. */
  samples: number
}

export interface RunTimeState {
  /**
   * Work of finished runs in milliseconds on a worker of speed 1, by kind of task; the kind that was updated last is the last
   * entry.
   */
  work: Map<string, LogHistogram>
  /** Ratio of the work of finished runs to their declared times, by queue; the queue that was updated last is the last entry. */
  declaredRatios: Map<string, LogHistogram>
}

/** How long a task is expected to run, on a worker of speed 1. */
export interface RunTimeEstimate {
  /** 0 when nothing is known. */
  expectedMs: number
  /** A run time that nine tenths of such runs do not exceed; 0 when nothing is known. */
  upperMs: number
  /** Number of finished runs, weighted by age, on which the estimate is based; 0 when it is the declared time. */
  samples: number
}

export function createRunTimeState (): RunTimeState {
  return { work: new Map(), declaredRatios: new Map() }
}
