/**
 * Leases of targets in cluster time in milliseconds, measured by the leader from the receipt of each renewal
 * (Gray and Cheriton, 1989). They are volatile: a new leader treats every lease as
 * renewed at the moment it took over.
 */

import type { Limits } from '../../types/limits.js'

interface Lease { session: string, renewedAt: number }

export class Leases {
  /** By target name. */
  private readonly leases = new Map<string, Lease>()
  /** Cluster time of the last check for expired leases. */
  private checkedAt = 0

  private constructor (private readonly limits: Limits) {}

  static create (limits: Limits): Leases {
    return new Leases(limits)
  }

  clear (now: number): void {
    this.leases.clear()
    this.checkedAt = now
  }

  renew (name: string, session: string, now: number): void {
    const lease = this.leases.get(name)
    if (lease?.session === session) lease.renewedAt = now
    else this.leases.set(name, { session, renewedAt: now })
  }

  remove (name: string): void {
    this.leases.delete(name)
  }

  /** Time in milliseconds until no task of the session can run any more; 0 if this is already the case, or without a lease. */
  computeRemainingMs (name: string, now: number): number {
    const lease = this.leases.get(name)
    if (lease === undefined) return 0
    return Math.max(0, lease.renewedAt + this.limits.leaseMs + this.limits.driftMs - now)
  }

  /**
   * Names of targets whose lease expired more than `limits.driftMs` ago. A leader that was
   * suspended could not receive renewals, so a gap between two checks that is longer than
   * the renewal interval extends every lease by the gap.
   */
  listExpired (now: number): string[] {
    const gapMs = now - this.checkedAt
    if (gapMs > this.limits.renewEveryMs) this.extendAll(gapMs)
    this.checkedAt = now
    const names: string[] = []
    for (const [name, lease] of this.leases) {
      if (now - lease.renewedAt > this.limits.leaseMs + this.limits.driftMs) names.push(name)
    }
    return names
  }

  private extendAll (ms: number): void {
    for (const lease of this.leases.values()) lease.renewedAt += ms
  }
}
