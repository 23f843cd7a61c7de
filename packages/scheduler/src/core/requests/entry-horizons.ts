/**
 * The processes of entries that have grants in use. For each, the replicated state
 * holds a horizon: the cluster time after which none of its grants is in use.
 * Before a new leader reuses the slots of these grants, the process must have
 * reported its grants or its horizon must have passed. A restarted entry is another
 * process and has none of the grants of the process before it.
 */

import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import type { Step } from '../step.js'

/** Horizons are moved ahead by this much more than needed, so that they are logged rarely. */
const HORIZON_STEP_MS = 5_000
/** Time within which an entry closes idle connections. */
const IDLE_CONNECTION_TIMEOUT_MS = 5_000
/** Number of instances whose latest report is remembered. */
const REPORTED_INSTANCE_LIMIT = 1_000

export class EntryHorizons {
  /** Instances that have not reported their grants, with the time until which they may use them. */
  private readonly unreportedUntil = new Map<string, number>()
  /** Number of the latest report of each instance, in the order of the reports. */
  private readonly latestReports = new Map<string, number>()
  /** Distinguishes the grants of this term from those of others; 0 until this term has logged a horizon. */
  private epoch = 0
  private grantCount = 0

  static create (limits: Limits, state?: ClusterState, now = 0): EntryHorizons {
    const horizons = new EntryHorizons(limits)
    for (const { instance, horizon } of state?.entries.values() ?? []) {
      const until = horizon + limits.driftMs
      if (until > now) horizons.unreportedUntil.set(instance, until)
    }
    return horizons
  }

  private constructor (private readonly limits: Limits) {}

  get unreportedCount (): number {
    return this.unreportedUntil.size
  }

  /** Records that an instance has reported its grants; returns false when a later report has arrived before. */
  recordReport (instance: string, sequence: number): boolean {
    const latest = this.latestReports.get(instance) ?? 0
    if (sequence < latest) return false
    this.unreportedUntil.delete(instance)
    this.latestReports.delete(instance)
    this.latestReports.set(instance, sequence)
    if (this.latestReports.size > REPORTED_INSTANCE_LIMIT) this.latestReports.delete(this.latestReports.keys().next().value as string)
    return true
  }

  /** Makes sure that a later leader waits until a grant has expired; returns false when there are too many entries. */
  extendHorizon (instance: string, until: number, step: Step): boolean {
    const { entries } = step.state
    const horizon = entries.get(instance)?.horizon ?? 0
    if (horizon === 0 && entries.size >= this.limits.entryLimit) return false
    if (horizon >= until && this.epoch > 0) return true
    step.decide({ kind: 'entryExtended', entry: { instance, horizon: Math.max(horizon, until + HORIZON_STEP_MS) } })
    // The decision with this number is in the log, so that no other leader can use the number.
    if (this.epoch === 0) this.epoch = step.state.change
    return true
  }

  /** Id for a new grant, unique across all terms. */
  nextGrantId (): string {
    this.grantCount += 1
    return `${this.epoch}-${this.grantCount}`
  }

  tick (step: Step): void {
    for (const [instance, until] of this.unreportedUntil) {
      if (step.now >= until) this.unreportedUntil.delete(instance)
    }
    for (const { instance, horizon } of step.state.entries.values()) {
      if (step.now < horizon + this.limits.driftMs + IDLE_CONNECTION_TIMEOUT_MS) continue
      step.decide({ kind: 'entryForgotten', instance })
    }
  }
}
