/**
 * Dispatchers of requests: the one of the system, with one queue per service at the
 * leader, and for comparison one that divides the slots among the entries.
 */

import {
  DEFAULT_LIMITS, OutcomeKind, Requests, Scheduler, TargetKind, TargetPhase, Urgency, createOutcome, createClusterState, isAnswerEffect,
  type Effect, type Event, type Grant, type Outcome, type TargetState
} from '../../packages/scheduler/src/index.js'
import { Dispatcher, ENTRIES, MESSAGE_MS, RUNNERS, SLOTS, type LoadRequest } from './request-simulation.js'

const TICK_MS = 100
/** Time without a leader after its loss, in milliseconds. */
const FAILOVER_MS = 1_000
const SERVICE = 'lookups'
/** Period after which the slots of the entries are redistributed, in milliseconds. */
const LEASE_MS = 1_000
/** Cluster time at which a simulation begins, in Unix milliseconds. */
const START_TIME_MS = 1_700_000_000_000

interface PendingRequest { request: LoadRequest, grant: Grant | undefined }

/** Queues all requests at the leader, in the scheduler's component for requests. */
export class LeaderQueueDispatcher extends Dispatcher {
  private readonly scheduler: Scheduler
  private readonly pendingCalls = new Map<number, PendingRequest>()
  private readonly grantedRequests = new Map<string, PendingRequest>()
  private lastCall = 0
  private hasLeader = true
  private isTicking = false

  static create (hasRetryBudget: boolean): LeaderQueueDispatcher {
    return new LeaderQueueDispatcher(hasRetryBudget)
  }

  private constructor (hasRetryBudget: boolean) {
    super()
    const state = createClusterState()
    for (let index = 0; index < RUNNERS; index += 1) state.targets.set(String(index), createRunner(index))
    this.scheduler = Scheduler.create([Requests.create(DEFAULT_LIMITS, { hasRetryBudget })], state)
    this.scheduler.startLeading(START_TIME_MS)
  }

  override handleArrival (request: LoadRequest): void {
    if (!this.isTicking) this.tick()
    this.simulation.clock.schedule(MESSAGE_MS, () => { this.acquireGrant({ request, grant: undefined }) })
  }

  override handleAttemptEnd (request: LoadRequest, _runner: number, isDone: boolean): void {
    const pending = this.grantedRequests.get(request.id)
    if (pending === undefined) return
    this.simulation.clock.schedule(MESSAGE_MS, () => { this.settleGrant(pending, isDone) })
  }

  override handleLeaderLoss (): void {
    this.hasLeader = false
    const waiting = [...this.pendingCalls.values()]
    this.pendingCalls.clear()
    this.simulation.clock.schedule(FAILOVER_MS, () => {
      this.hasLeader = true
      this.scheduler.startLeading(START_TIME_MS + this.simulation.now)
      this.reportGrants()
      for (const pending of waiting) this.acquireGrant(pending)
    })
  }

  private tick (): void {
    this.isTicking = true
    if (this.hasLeader) this.handleEvent({ kind: 'tick' })
    this.simulation.clock.schedule(TICK_MS, () => { this.tick() })
  }

  private acquireGrant (pending: PendingRequest): void {
    const { request } = pending
    if (this.simulation.now > request.deadlineAt) return this.simulation.refuse(request)
    // Retries every 50 ms until there is a leader.
    if (!this.hasLeader) return this.simulation.clock.schedule(50, () => { this.acquireGrant(pending) })
    this.lastCall += 1
    this.pendingCalls.set(this.lastCall, pending)
    const facts = {
      caller: 'ann',
      requestId: request.id,
      service: SERVICE,
      idempotent: true,
      urgency: request.urgency,
      deadlineMs: request.deadlineAt - this.simulation.now,
      digest: '',
      createdMs: START_TIME_MS + request.arrivedAt,
      instance: String(request.entry),
      token: request.id,
      attempt: this.lastCall
    }
    this.handleEvent({ kind: 'acquire', call: this.lastCall, entry: String(request.entry), facts })
  }

  private settleGrant (pending: PendingRequest, isDone: boolean): void {
    const { grant, request } = pending
    if (grant === undefined) return
    if (!this.hasLeader) return this.simulation.clock.schedule(50, () => { this.settleGrant(pending, isDone) })
    this.grantedRequests.delete(request.id)
    const outcome: Outcome = isDone ? createOutcome(OutcomeKind.done, '') : createOutcome(OutcomeKind.unknown, 'failed')
    this.lastCall += 1
    this.pendingCalls.set(this.lastCall, pending)
    const retry = !isDone && this.simulation.now < request.deadlineAt
    const ids = { caller: 'ann', requestId: request.id, grant: grant.id }
    this.handleEvent({ kind: 'settle', call: this.lastCall, entry: String(request.entry), ...ids, outcome, retry })
  }

  /** Reports the grants in use at each entry to the new leader. */
  private reportGrants (): void {
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      const grants = []
      for (const { request, grant } of this.grantedRequests.values()) {
        if (request.entry !== entry || grant === undefined) continue
        const ids = { id: grant.id, runner: grant.runner, slot: grant.slot, caller: 'ann', requestId: request.id }
        grants.push({ ...ids, expiresInMs: request.deadlineAt + DEFAULT_LIMITS.lateMs - this.simulation.now })
      }
      this.handleEvent({ kind: 'grantsHeld', report: { instance: String(entry), sequence: this.lastCall, grants, tokens: [] } })
    }
  }

  private handleEvent (event: Event): void {
    for (const effect of this.scheduler.handle(event, START_TIME_MS + this.simulation.now).effects) this.handleEffect(effect)
  }

  private handleEffect (effect: Effect): void {
    if (!isAnswerEffect(effect)) return
    const pending = this.pendingCalls.get(effect.call)
    this.pendingCalls.delete(effect.call)
    if (pending === undefined) return
    if (effect.kind === 'reply' && effect.answer.kind === 'granted') this.useGrant(pending, effect.answer.grant)
    else if (effect.kind === 'reply' && effect.answer.kind === 'outcome') this.handleOutcome(pending.request, effect.answer.outcome)
  }

  private useGrant (pending: PendingRequest, grant: Grant): void {
    pending.grant = grant
    this.grantedRequests.set(pending.request.id, pending)
    this.simulation.clock.schedule(MESSAGE_MS, () => { this.simulation.send(pending.request, Number(grant.runner)) })
  }

  private handleOutcome (request: LoadRequest, outcome: Outcome): void {
    if (outcome.kind === OutcomeKind.notRun) this.simulation.refuse(request)
  }
}

function createRunner (index: number): TargetState {
  const name = String(index)
  return {
    name,
    kind: TargetKind.runner,
    session: name,
    fence: 1,
    incarnation: 1,
    vm: name,
    rack: '',
    availabilityZone: '',
    address: name,
    capacity: { millicores: 0, memoryMib: 0, accelerators: 0 },
    service: SERVICE,
    slots: SLOTS,
    connections: 64,
    phase: TargetPhase.ready
  }
}

/** Each entry owns a share of the slots and queues requests for them. */
export class SlotShareDispatcher extends Dispatcher {
  /** Runners of the free slots of each entry, one item per slot. */
  private readonly freeSlots: number[][] = []
  /** Waiting requests by entry and urgency. */
  private readonly queues: LoadRequest[][][] = []
  /** Number of slots of each entry, free or in use. */
  private readonly ownedSlots: number[] = []
  /** Number of slots in use that each entry must give up when they become free. */
  private readonly owedSlots: number[] = []
  private isRebalancing = false

  /** If `rebalances`, the slots are redistributed by demand once per lease period. */
  static create (rebalances: boolean): SlotShareDispatcher {
    return new SlotShareDispatcher(rebalances)
  }

  private constructor (private readonly rebalances: boolean) {
    super()
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      this.freeSlots.push([])
      this.queues.push([[], [], [], []])
      this.ownedSlots.push(0)
      this.owedSlots.push(0)
    }
    for (let slot = 0; slot < RUNNERS * SLOTS; slot += 1) {
      this.freeSlots[slot % ENTRIES].push(Math.floor(slot / SLOTS))
      this.ownedSlots[slot % ENTRIES] += 1
    }
  }

  override handleArrival (request: LoadRequest): void {
    if (this.rebalances && !this.isRebalancing) this.scheduleRebalance()
    this.queues[request.entry][request.urgency].push(request)
    this.sendQueued(request.entry)
  }

  override handleAttemptEnd (request: LoadRequest, runner: number): void {
    const { entry } = request
    if (this.owedSlots[entry] > 0) {
      this.owedSlots[entry] -= 1
      this.transferSlot(this.findNeediestEntry(), runner, entry)
      return
    }
    this.freeSlots[entry].push(runner)
    this.sendQueued(entry)
  }

  private sendQueued (entry: number): void {
    const free = this.freeSlots[entry]
    while (free.length > 0) {
      const request = this.takeNextRequest(entry)
      const runner = request === undefined ? undefined : free.shift()
      if (request === undefined || runner === undefined) return
      this.simulation.send(request, runner)
    }
  }

  private takeNextRequest (entry: number): LoadRequest | undefined {
    for (const urgency of [Urgency.urgent, Urgency.normal, Urgency.bulk]) {
      const queue = this.queues[entry][urgency]
      while (queue.length > 0) {
        const request = queue.shift()
        if (request !== undefined && request.deadlineAt > this.simulation.now) return request
        if (request !== undefined) this.simulation.refuse(request)
      }
    }
    return undefined
  }

  private scheduleRebalance (): void {
    this.isRebalancing = true
    this.simulation.clock.schedule(LEASE_MS, () => {
      this.rebalance()
      this.scheduleRebalance()
    })
  }

  private computeDemand (entry: number): number {
    const queued = this.queues[entry].reduce((sum, queue) => sum + queue.length, 0)
    return queued + this.ownedSlots[entry] - this.freeSlots[entry].length
  }

  /** Distributes the slots by demand; slots in use are transferred when they become free. */
  private rebalance (): void {
    const demands = this.ownedSlots.map((_, entry) => this.computeDemand(entry) + 1)
    const total = demands.reduce((sum, demand) => sum + demand, 0)
    const slots = RUNNERS * SLOTS
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      const surplus = this.ownedSlots[entry] - Math.max(1, Math.round(slots * demands[entry] / total))
      this.owedSlots[entry] = 0
      for (let count = 0; count < surplus; count += 1) this.giveUpSlot(entry)
    }
  }

  private giveUpSlot (entry: number): void {
    const runner = this.freeSlots[entry].shift()
    if (runner === undefined) this.owedSlots[entry] += 1
    else this.transferSlot(this.findNeediestEntry(), runner, entry)
  }

  private findNeediestEntry (): number {
    let best = 0
    for (let entry = 1; entry < ENTRIES; entry += 1) {
      if (this.computeDemand(entry) - this.ownedSlots[entry] > this.computeDemand(best) - this.ownedSlots[best]) best = entry
    }
    return best
  }

  private transferSlot (entry: number, runner: number, from: number): void {
    this.ownedSlots[from] -= 1
    this.ownedSlots[entry] += 1
    this.freeSlots[entry].push(runner)
    this.sendQueued(entry)
  }
}
