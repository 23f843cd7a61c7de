/**
 * Leases of targets, counted by the leader from the receipt of each renewal
 * (Gray and Cheriton, 1989). They are volatile: a new leader takes every lease as
 * renewed just before it took over.
 */

import type { Limits } from '../../types/limits.js'

interface Lease { session: string, renewedAt: number }

export class Leases {
  private readonly leases = new Map<string, Lease>()
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

  drop (name: string): void {
    this.leases.delete(name)
  }

  /** Milliseconds until nothing of the session can run any more; 0 when that is so. */
  remainingMs (name: string, now: number): number {
    const lease = this.leases.get(name)
    if (lease === undefined) return 0
    return Math.max(0, lease.renewedAt + this.limits.leaseMs + this.limits.driftMs - now)
  }

  /**
   * Names whose lease and drift bound have run out. While this process did not
   * run it received nothing, so a gap between checks prolongs every lease.
   */
  expired (now: number): string[] {
    const gap = now - this.checkedAt
    if (gap > this.limits.renewEveryMs) this.prolong(gap)
    this.checkedAt = now
    const names: string[] = []
    for (const [name, lease] of this.leases) {
      if (now - lease.renewedAt > this.limits.leaseMs + this.limits.driftMs) names.push(name)
    }
    return names
  }

  private prolong (ms: number): void {
    for (const lease of this.leases.values()) lease.renewedAt += ms
  }
}
