/**
 * Whether an entry is short of headroom: of processor time, of turns of its event
 * loop, or of memory. Entries differ in size, and callers that move between
 * availability zones or arrive in bursts bring a small one to its limit while large
 * ones have room. The state has hysteresis, since a readiness that follows each
 * peak would send the connections of callers to and fro.
 */

/** The load of an entry over a short interval. */
export interface EntryLoad {
  /** Processor time used, as a share of what the process may use. */
  processorShare: number
  /** Longest delay of a timer, in milliseconds. */
  loopDelayMs: number
  /** Memory used, as a share of what the process may use. */
  memoryShare: number
}

/** An entry above one of these is short of headroom. A loop delay of 100 ms is two fifths of the fixed part of an urgent objective. */
const UPPER_LIMITS: EntryLoad = Object.freeze({ processorShare: 0.85, loopDelayMs: 100, memoryShare: 0.9 })

/** An entry below all of these has headroom again. */
const LOWER_LIMITS: EntryLoad = Object.freeze({ processorShare: 0.6, loopDelayMs: 30, memoryShare: 0.8 })

/** Time above a limit after which an entry is short of headroom, in milliseconds; one probe of the balancer, so that no single peak counts. */
const SHORT_AFTER_MS = 1_000

/** Time below all limits after which it has headroom again, in milliseconds; the load falls as soon as connections move away. */
const AMPLE_AFTER_MS = 4_000

export class EntryHeadroom {
  private short = false
  /** Time since which the load has spoken against the present state without a break, in milliseconds; undefined while it does not. */
  private contradictedSince: number | undefined

  static create (): EntryHeadroom {
    return new EntryHeadroom()
  }

  get isShort (): boolean {
    return this.short
  }

  /** Records the load of the interval that ends at `now`, in monotonic milliseconds. */
  record (load: EntryLoad, now: number): void {
    const isContradicted = this.short ? isBelowAll(load, LOWER_LIMITS) : !isBelowAll(load, UPPER_LIMITS)
    if (!isContradicted) {
      this.contradictedSince = undefined
      return
    }
    this.contradictedSince ??= now
    if (now - this.contradictedSince < (this.short ? AMPLE_AFTER_MS : SHORT_AFTER_MS)) return
    this.short = !this.short
    this.contradictedSince = undefined
  }
}

function isBelowAll (load: EntryLoad, limits: EntryLoad): boolean {
  return load.processorShare <= limits.processorShare && load.loopDelayMs <= limits.loopDelayMs && load.memoryShare <= limits.memoryShare
}

/** An entry as the leader knows it. */
export interface ZoneEntry {
  process: string
  availabilityZone: string
  /** False while it may report itself not ready, for whatever reason. */
  isReady: boolean
}

/**
 * True when an entry may report itself not ready for want of headroom: at least half of the known entries of its
 * availability zone are ready without it. The leader decides, since an entry does not know the others.
 */
export function mayBeUnready (process: string, entries: readonly ZoneEntry[]): boolean {
  const zone = entries.find(entry => entry.process === process)?.availabilityZone
  const inZone = entries.filter(entry => entry.availabilityZone === zone)
  const readyOthers = inZone.filter(entry => entry.process !== process && entry.isReady).length
  return zone !== undefined && readyOthers * 2 >= inZone.length
}
