/**
 * The leader's table of entries: which of them are live, and which configuration
 * each has in force. An entry stops admitting work when it could not confirm its
 * configuration within the freshness limit, so an entry that has been silent for
 * longer than the limit serves nothing under an older version.
 */

import type { HeartbeatBody } from '@flamingorouter/controllers'
import { mayBeUnready } from '@flamingorouter/scheduler'

/** The contents of an entry's last heartbeat, and the time at which it arrived. */
export interface TrackedEntry {
  process: string
  availabilityZone: string
  /** Version of the configuration in force; -1 before the first. */
  configurationVersion: number
  isAdmitting: boolean
  /** True if the load balancer sends callers to it. */
  servesCallers?: boolean
  /** True if the entry can forward admission queries. */
  isAdvisor?: boolean
  /** Monotonic time in milliseconds until which the entry may report itself not ready for want of headroom; absent if it never could. */
  relievedUntil?: number
  /** Monotonic time of the last heartbeat in milliseconds. */
  lastHeartbeatAt: number
}

/** Time without a confirmation of its configuration after which an entry stops admitting work, in milliseconds. */
export const FRESHNESS_LIMIT_MS = 2_000

/** Added to the freshness limit on the leader's side to allow for the drift between two clocks, in milliseconds. */
export const CLOCK_DRIFT_ALLOWANCE_MS = 200

/** Time after the heartbeat that asked for it for which an entry may report itself not ready, in milliseconds; four heartbeats. */
export const RELIEF_VALIDITY_MS = 2_000

/** Time without a heartbeat after which an entry is removed from the table, in milliseconds. */
const ENTRY_RETENTION_MS = 600_000

export class EntryTable {
  private readonly entries = new Map<string, TrackedEntry>()
  /** Monotonic time at which this process started to lead, in milliseconds. */
  private leadingSince = 0

  static create (): EntryTable {
    return new EntryTable()
  }

  /** Clears the table when this process starts to lead; `now` is the monotonic time in milliseconds. */
  reset (now: number): void {
    this.entries.clear()
    this.leadingSince = now
  }

  /** Records a heartbeat that arrived at `now`, in monotonic milliseconds. */
  recordHeartbeat (body: HeartbeatBody, now: number): void {
    const relievedUntil = this.entries.get(body.process)?.relievedUntil
    this.entries.set(body.process, { ...body, lastHeartbeatAt: now, ...(relievedUntil === undefined ? {} : { relievedUntil }) })
  }

  list (): TrackedEntry[] {
    return [...this.entries.values()]
  }

  /** True if the entry's last heartbeat is recent enough that it may still be admitting work. */
  isLive (entry: TrackedEntry, now: number): boolean {
    return now - entry.lastHeartbeatAt <= FRESHNESS_LIMIT_MS + CLOCK_DRIFT_ALLOWANCE_MS
  }

  /**
   * True when no entry can serve under a version older than this one. False on a
   * new leader until the freshness limit has passed, since entries that have
   * not sent it a heartbeat yet may still serve.
   */
  isInForce (version: number, now: number): boolean {
    if (now - this.leadingSince <= FRESHNESS_LIMIT_MS + CLOCK_DRIFT_ALLOWANCE_MS) return false
    return this.list().every(entry => entry.configurationVersion >= version || !this.isLive(entry, now))
  }

  /**
   * Decides whether the sender of a heartbeat, which is recorded already, may report itself not ready for want of headroom.
   * A new leader permits it only once the permissions of the former one have lapsed.
   */
  grantRelief ({ process, isShort = false }: HeartbeatBody, now: number): boolean {
    const tracked = this.entries.get(process)
    if (tracked === undefined || !isShort || now - this.leadingSince <= RELIEF_VALIDITY_MS + CLOCK_DRIFT_ALLOWANCE_MS) return false
    const entries = this.list().filter(entry => entry.servesCallers === true).map(entry => ({ ...entry, isReady: entry.isAdmitting && now >= (entry.relievedUntil ?? 0) && this.isLive(entry, now) }))
    const isGranted = mayBeUnready(process, entries)
    // The answer may be lost, so the permission counts until it has lapsed at the entry, even if the next one is refused.
    if (isGranted) tracked.relievedUntil = now + RELIEF_VALIDITY_MS + CLOCK_DRIFT_ALLOWANCE_MS
    return isGranted
  }

  /** Removes the entries whose last heartbeat is older than the retention time. */
  removeExpired (now: number): void {
    for (const entry of this.entries.values()) {
      if (now - entry.lastHeartbeatAt > ENTRY_RETENTION_MS) this.entries.delete(entry.process)
    }
  }
}
