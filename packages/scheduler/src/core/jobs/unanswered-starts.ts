/**
 * Starts that got no answer, by worker. Such an order may be carried out seconds
 * later. The incarnation that it was sent to rejects it once it has been told to stop
 * the run, but an incarnation that starts afterwards does not know of that stop.
 */

/** Time after which an order without an answer can no longer be under way, in milliseconds. */
const DELIVERY_LIMIT_MS = 30_000

export interface UnansweredStart {
  task: string
  run: number
  /** Cluster time in milliseconds. */
  recordedAt: number
}

export class UnansweredStarts {
  private readonly byWorker = new Map<string, Map<string, UnansweredStart>>()

  static create (): UnansweredStarts {
    return new UnansweredStarts()
  }

  clear (): void {
    this.byWorker.clear()
  }

  /** Records a start; an earlier run of the task on the same worker is rejected together with it. */
  record (worker: string, task: string, run: number, now: number): void {
    let starts = this.byWorker.get(worker)
    if (starts === undefined) {
      starts = new Map()
      this.byWorker.set(worker, starts)
    }
    starts.set(task, { task, run, recordedAt: now })
  }

  /** The starts that a worker may still carry out. */
  list (worker: string, now: number): UnansweredStart[] {
    return [...this.byWorker.get(worker)?.values() ?? []].filter(start => !isOver(start, now))
  }

  /** Removes the starts that can no longer be under way. */
  prune (now: number): void {
    for (const [worker, starts] of this.byWorker) {
      for (const start of starts.values()) {
        if (isOver(start, now)) starts.delete(start.task)
      }
      if (starts.size === 0) this.byWorker.delete(worker)
    }
  }
}

function isOver (start: UnansweredStart, now: number): boolean {
  return now - start.recordedAt > DELIVERY_LIMIT_MS
}
