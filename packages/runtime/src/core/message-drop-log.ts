/**
 * Counts the dropped messages between controllers, and logs them by peer and reason. Drops come with each heartbeat while
 * a controller is down, so only the first one is logged at once, and the later ones as a count at intervals.
 */

import type { MessageDrop } from '@flamingorouter/controllers'
import type { MetricsRecorder } from './metrics-recorder.js'
import type { RuntimeLog } from './runtime-log.js'

/** Shortest time between two lines of one peer and reason, in milliseconds. */
const LINE_INTERVAL_MS = 5_000

/** Number of pairs of peer and reason whose counts are kept; ids of controllers that are gone would otherwise accumulate. */
const PAIR_LIMIT = 64

interface DropCount {
  /** Drops since the last line. */
  count: number
  loggedAt: number
}

export class MessageDropLog {
  private readonly counts = new Map<string, DropCount>()

  private constructor (private readonly log: RuntimeLog, private readonly metrics: MetricsRecorder | undefined) {}

  static create (log: RuntimeLog, metrics?: MetricsRecorder): MessageDropLog {
    return new MessageDropLog(log, metrics)
  }

  /** Records a drop at `now`, in monotonic milliseconds. */
  record (drop: MessageDrop, now: number): void {
    this.metrics?.recordMessageDrop(drop)
    const { peer, kind, reason } = drop
    const drops = this.findCount(`${peer} ${reason}`)
    drops.count += 1
    if (now - drops.loggedAt < LINE_INTERVAL_MS) return
    this.log.warn('messages_dropped', { peer, reason, kind, count: drops.count })
    drops.count = 0
    drops.loggedAt = now
  }

  private findCount (key: string): DropCount {
    const existing = this.counts.get(key)
    if (existing !== undefined) return existing
    if (this.counts.size >= PAIR_LIMIT) this.counts.clear()
    const created: DropCount = { count: 0, loggedAt: -Infinity }
    this.counts.set(key, created)
    return created
  }
}
