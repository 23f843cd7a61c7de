/**
 * Reads that wait for a change of the state.
 */

import { ErrorKind, Failure, type ClusterState } from '@flamingorouter/scheduler'

/** Reads that may wait at once. */
const WATCH_LIMIT = 2_000

interface Watch {
  isChanged: (state: ClusterState) => boolean
  resolve: () => void
  reject: (failure: Failure) => void
  timer: NodeJS.Timeout
}

export class Watches {
  private readonly waiting = new Set<Watch>()
  private checkedChange = -1

  static create (): Watches {
    return new Watches()
  }

  /** Resolves when the state has changed as asked, or after `waitMs`. */
  async wait (isChanged: (state: ClusterState) => boolean, waitMs: number, state: ClusterState): Promise<void> {
    if (isChanged(state)) return
    if (this.waiting.size >= WATCH_LIMIT) {
      throw Failure.create(ErrorKind.resourceExhausted, `${WATCH_LIMIT} watches are open`, { retryAfterMs: waitMs })
    }
    await new Promise<void>((resolve, reject) => {
      const watch: Watch = { isChanged, resolve, reject, timer: setTimeout(() => { this.end(watch) }, waitMs) }
      this.waiting.add(watch)
    })
  }

  /** Looks at the waiting reads after the state may have changed. */
  check (state: ClusterState): void {
    if (state.change === this.checkedChange) return
    this.checkedChange = state.change
    for (const watch of this.waiting) {
      if (watch.isChanged(state)) this.end(watch)
    }
  }

  /** Refuses every waiting read, since this process does not lead any more. */
  abandon (): void {
    this.checkedChange = -1
    for (const watch of this.waiting) {
      this.remove(watch)
      watch.reject(Failure.create(ErrorKind.notLeader, 'leadership was lost'))
    }
  }

  private end (watch: Watch): void {
    this.remove(watch)
    watch.resolve()
  }

  private remove (watch: Watch): void {
    clearTimeout(watch.timer)
    this.waiting.delete(watch)
  }
}
