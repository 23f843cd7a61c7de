/**
 * The runners of one service and the slots in use on each. Slots are tracked by
 * the name of a runner across its sessions, since requests of an older session may
 * still occupy them.
 */

import type { TargetState } from '../../types/targets.js'
import { TargetPhase } from '../../types/targets.js'
import { LatencyEstimate, ConcurrencyLimiter } from './concurrency-limiter.js'
import type { ActiveGrant, LiveRequest } from './live-request.js'

/** Delay of the first probe in a session of a runner. */
const FIRST_PROBE_DELAY_MS = 1_000
/** Upper bound of the probe delay, which doubles each time it is applied. */
const PROBE_DELAY_MAX_MS = 30_000

export interface Runner {
  name: string
  /** Undefined once the runner has left and only old grants occupy its slots. */
  target: TargetState | undefined
  isDrained: boolean
  /** Grants in use by slot number. */
  grantsBySlot: Map<number, ActiveGrant>
  /** Number of grants in use by instance of an entry. */
  grantCountByInstance: Map<string, number>
  limiter: ConcurrencyLimiter
  /** Cluster time in milliseconds from which the runner may get its next probe while it is suspect. */
  probeAt: number
  /** Delay in milliseconds that the next call of `delayProbe` applies. */
  probeDelayMs: number
}

export class RunnerPool {
  readonly latency = LatencyEstimate.create()
  private readonly byName = new Map<string, Runner>()

  static create (entryLimit: number): RunnerPool {
    return new RunnerPool(entryLimit)
  }

  private constructor (private readonly entryLimit: number) {}

  get all (): Iterable<Runner> {
    return this.byName.values()
  }

  get (name: string): Runner | undefined {
    return this.byName.get(name)
  }

  /** Adds a runner or updates it; a new session starts with a new limiter. */
  put (target: TargetState, isDrained: boolean): Runner {
    const existing = this.byName.get(target.name)
    const isNew = existing?.target === undefined || existing.target.session !== target.session
    const runner: Runner = {
      name: target.name,
      target,
      isDrained,
      grantsBySlot: existing?.grantsBySlot ?? new Map(),
      grantCountByInstance: existing?.grantCountByInstance ?? new Map(),
      limiter: isNew ? ConcurrencyLimiter.create(countUsableSlots(target)) : existing.limiter,
      probeAt: isNew ? 0 : existing.probeAt,
      probeDelayMs: isNew ? FIRST_PROBE_DELAY_MS : existing.probeDelayMs
    }
    this.byName.set(target.name, runner)
    return runner
  }

  remove (name: string): void {
    const runner = this.byName.get(name)
    if (runner === undefined) return
    runner.target = undefined
    this.deleteIfUnused(runner)
  }

  /** Connections that one entry may keep open to a runner; if 0, the entry closes each connection after use. */
  getConnectionShare (target: TargetState): number {
    return Math.floor(target.connections / this.entryLimit)
  }

  /** Slots that one entry may use on a runner at the same time. */
  getSlotShare (target: TargetState): number {
    return Math.min(countUsableSlots(target), Math.max(1, this.getConnectionShare(target)))
  }

  /**
   * Occupies the slot of a grant, or the next free one if that is in use: the slot of a grant that
   * a new leader restores from its claim is not known.
   */
  addGrant (runner: Runner, grant: ActiveGrant): void {
    let slot = grant.slot
    while (runner.grantsBySlot.has(slot)) slot += 1
    grant.slot = slot
    runner.grantsBySlot.set(slot, grant)
    runner.grantCountByInstance.set(grant.instance, (runner.grantCountByInstance.get(grant.instance) ?? 0) + 1)
  }

  removeGrant (grant: ActiveGrant): Runner | undefined {
    const runner = this.byName.get(grant.runner)
    if (runner === undefined || !runner.grantsBySlot.delete(grant.slot)) return runner
    const remaining = (runner.grantCountByInstance.get(grant.instance) ?? 1) - 1
    if (remaining > 0) runner.grantCountByInstance.set(grant.instance, remaining)
    else runner.grantCountByInstance.delete(grant.instance)
    this.deleteIfUnused(runner)
    return runner
  }

  /**
   * Number of slots that may be granted now; 0 or negative when there is none. Each entry that
   * has not reported its grants to a new leader may be using its whole share.
   */
  countFreeSlots (runner: Runner, unreportedEntries: number, now: number): number {
    const target = runner.target
    if (target === undefined || runner.isDrained) return 0
    if (target.phase === TargetPhase.suspect) return runner.grantsBySlot.size === 0 && now >= runner.probeAt ? 1 : 0
    if (target.phase !== TargetPhase.ready) return 0
    const slots = countUsableSlots(target)
    const possiblyUsed = unreportedEntries * this.getSlotShare(target)
    return Math.min(slots - runner.grantsBySlot.size - possiblyUsed, runner.limiter.limit - runner.grantsBySlot.size)
  }

  /** Number of requests that the ready runners may run at the same time; drained runners do not count. */
  sumConcurrencyLimits (): number {
    let total = 0
    for (const runner of this.byName.values()) {
      if (runner.target?.phase === TargetPhase.ready && !runner.isDrained) total += runner.limiter.limit
    }
    return total
  }

  /** Runners that can accept a request now. */
  findAvailable (unreportedEntries: number, now: number): Runner[] {
    const available: Runner[] = []
    for (const runner of this.byName.values()) {
      if (this.countFreeSlots(runner, unreportedEntries, now) > 0) available.push(runner)
    }
    return available
  }

  /** The available runner with the lowest expected latency; undefined when the request may use none of them. */
  pickFastest (available: readonly Runner[], request: LiveRequest): Runner | undefined {
    let best: Runner | undefined
    let bestLatency = Infinity
    for (const runner of available) {
      if (!this.isAllowed(runner, request)) continue
      const latency = this.expectedLatencyMs(runner)
      if (latency >= bestLatency) continue
      best = runner
      bestLatency = latency
    }
    return best
  }

  /** Postpones the next probe of a suspect runner; the delay doubles each time, up to a maximum. */
  delayProbe (runner: Runner, now: number): void {
    runner.probeAt = now + runner.probeDelayMs
    runner.probeDelayMs = Math.min(PROBE_DELAY_MAX_MS, runner.probeDelayMs * 2)
  }

  private isAllowed (runner: Runner, request: LiveRequest): boolean {
    const target = runner.target
    if (target === undefined || request.triedRunners.includes(runner.name)) return false
    // A probe may fail, so only a request that can be sent again is used as one.
    if (target.phase === TargetPhase.suspect && !request.facts.idempotent) return false
    return (runner.grantCountByInstance.get(request.facts.instance) ?? 0) < this.getSlotShare(target)
  }

  private expectedLatencyMs (runner: Runner): number {
    const load = (runner.grantsBySlot.size + 1) / runner.limiter.limit
    return load * Math.max(1, runner.limiter.latency.meanMs)
  }

  private deleteIfUnused (runner: Runner): void {
    if (runner.target === undefined && runner.grantsBySlot.size === 0) this.byName.delete(runner.name)
  }
}

/** Slots that can be in use at the same time; the number of connections that the runner accepts limits them as well. */
export function countUsableSlots (target: TargetState): number {
  return Math.min(target.slots, target.connections)
}

export function findLowestFreeSlot (runner: Runner): number {
  let slot = 0
  while (runner.grantsBySlot.has(slot)) slot += 1
  return slot
}
