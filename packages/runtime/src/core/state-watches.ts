/**
 * Reads that wait for a change of the replicated state.
 */

import { ErrorKind, Failure, type ClusterState } from '@flamingorouter/scheduler'

/** Maximum number of reads that wait at the same time. */
const WATCH_LIMIT = 2_000

interface Watch {
  isChanged: (state: ClusterState) => boolean
  resolve: () => void
  reject: (failure: Failure) => void
  timer: NodeJS.Timeout
}

export class StateWatches {
  private readonly watches = new Set<Watch>()
  private lastCheckedChange = -1

  static create (): StateWatches {
    return new StateWatches()
  }

  /**
   * Resolves when `isChanged` holds for the state, or after `waitMs`. Rejects with
   * resourceExhausted at the limit of open watches, and with notLeader when
   * leadership is lost.
   */
  async wait (isChanged: (state: ClusterState) => boolean, waitMs: number, state: ClusterState): Promise<void> {
    if (isChanged(state)) return
    if (this.watches.size >= WATCH_LIMIT) {
      throw Failure.create(ErrorKind.resourceExhausted, `the limit of ${WATCH_LIMIT} open watches is reached`, { retryAfterMs: waitMs })
    }
    await new Promise<void>((resolve, reject) => {
      const watch: Watch = { isChanged, resolve, reject, timer: setTimeout(() => { this.complete(watch) }, waitMs) }
      this.watches.add(watch)
    })
  }

  /** Completes the waiting reads whose condition holds; does nothing when the state has not changed since the last call. */
  completeChanged (state: ClusterState): void {
    if (state.change === this.lastCheckedChange) return
    this.lastCheckedChange = state.change
    for (const watch of this.watches) {
      if (watch.isChanged(state)) this.complete(watch)
    }
  }

  /** Rejects every waiting read with notLeader, since this process no longer leads. */
  rejectAll (): void {
    // The state is restored from a snapshot next, so a change number may occur again for another state.
    this.lastCheckedChange = -1
    for (const watch of this.watches) {
      this.remove(watch)
      watch.reject(Failure.create(ErrorKind.notLeader, 'leadership was lost while the read waited for a change'))
    }
  }

  private complete (watch: Watch): void {
    this.remove(watch)
    watch.resolve()
  }

  private remove (watch: Watch): void {
    clearTimeout(watch.timer)
    this.watches.delete(watch)
  }
}
