/**
 * What the leader knows of entries: which live, and which configuration each has
 * in force. An entry stops admitting work by itself once it could not confirm
 * its configuration for the freshness bound, so an entry that has been silent
 * for longer than the bound serves nothing under an older version.
 */

import type { HeartbeatBody } from '@flamingorouter/controllers'

export interface EntryState {
  process: string
  availabilityZone: string
  configurationVersion: number
  isAdmitting: boolean
  isAdvisor?: boolean
  /** Monotonic milliseconds of the last heartbeat. */
  heardAt: number
}

/** After how long an entry without a confirmation stops admitting, in milliseconds. */
export const FRESHNESS_MS = 2_000

/** Added on the leader's side for the drift of two clocks, in milliseconds. */
export const FRESHNESS_DRIFT_MS = 200

/** After how long a silent entry is forgotten, in milliseconds. */
const FORGET_MS = 600_000

export class EntryTable {
  private readonly entries = new Map<string, EntryState>()
  private ledSince = 0

  static create (): EntryTable {
    return new EntryTable()
  }

  /** Starts anew as this process begins to lead. */
  reset (now: number): void {
    this.entries.clear()
    this.ledSince = now
  }

  hear (body: HeartbeatBody, now: number): void {
    this.entries.set(body.process, { ...body, heardAt: now })
  }

  list (): EntryState[] {
    return [...this.entries.values()]
  }

  isLive (entry: EntryState, now: number): boolean {
    return now - entry.heardAt <= FRESHNESS_MS + FRESHNESS_DRIFT_MS
  }

  /**
   * True when no entry can serve under a version older than this one. A new
   * leader has not heard of every entry before the bound has passed.
   */
  isInForce (version: number, now: number): boolean {
    if (now - this.ledSince <= FRESHNESS_MS + FRESHNESS_DRIFT_MS) return false
    return this.list().every(entry => entry.configurationVersion >= version || !this.isLive(entry, now))
  }

  /** Forgets entries that have been silent for long. */
  sweep (now: number): void {
    for (const entry of this.entries.values()) {
      if (now - entry.heardAt > FORGET_MS) this.entries.delete(entry.process)
    }
  }
}
