/**
 * One placement pass over the waiting units, in their order. It reads the free
 * capacity of workers and the admission tickets, and collects the runs to place,
 * the runs to preempt and the queries to the admission service. It performs no
 * effects itself.
 *
 * Small tasks are placed by best fit, so that workers with much free capacity
 * remain available for large tasks. A gang is placed as a whole or not at all;
 * capacity that it lacks is reserved on eligible workers, so that less urgent work
 * does not take that capacity again and again. Less urgent runs that keep their
 * progress in a checkpoint are preempted for more urgent ones, so that bursts of
 * urgent work can start on a full pool.
 */

import { limitToCap, type AccountUsage } from '../accounts/account-usage.js'
import { isPreemptionDue } from '../order/unit-order.js'
import { isTicketValid, QUERY_WORKER_LIMIT, type AdmissionTickets, type Ticket } from './admission-tickets.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'
import type { Run, WorkerView } from '../workers/worker-view.js'
import { add, applyDemand, fits, getReleasing, isBelowLimit, isEligible, reserveTask, sumAvailable, type Amounts, type Candidate } from './candidate.js'
import { pickCandidate } from './candidate-score.js'
import { countReservedEntries } from './entry-reserve.js'
import { Feasibility } from './feasibility.js'
import { HeldWorkers } from './held-workers.js'
import { MissingRoom } from './missing-room.js'
import type { AdmissionQuery, RunPlacement, RunPreemption } from './pass-results.js'
import { listPreemptible } from './preemptible-runs.js'
import { countReservations, isLarge, mayReserve } from './reservation-rules.js'
import { SpareCapacity } from '../shares/spare-capacity.js'
import { SuspectWorkers } from './suspect-workers.js'

/** A worker for one waiting task; if it is not ready, the task has to wait until other runs there have outlived their startup. */
interface Choice { index: number, candidate: Candidate, isReady: boolean }

/** The capacity for one task on a worker, the runs that are preempted for it, and the amounts of the worker before. */
interface Reservation { candidate: Candidate, victims: Run[], free: Amounts, releasing: Amounts }

export class PlacementPass {
  readonly placements: RunPlacement[] = []
  readonly queries: AdmissionQuery[] = []
  readonly preemptions: RunPreemption[] = []
  /** Ids of workers on which waiting units reserved capacity in this pass. */
  readonly reservedWorkers = new Set<string>()
  private readonly candidates: Candidate[] = []
  private readonly candidatesById = new Map<string, Candidate>()
  /** Workers whose free capacity is not known, since this leader has not listed their runs yet. They are queried about, not used. */
  private readonly unlisted: WorkerView[] = []
  /** Results of `listEligible`, by service and required label. */
  private readonly eligible = new Map<string, Candidate[]>()
  /** The runs in `preemptions`. */
  private readonly preemptedRuns = new Set<Run>()
  /** What work beyond the weight of its account may use. */
  private readonly spare = SpareCapacity.create(this.candidates)
  private readonly heldWorkers = HeldWorkers.create(this.candidates)
  private readonly missingRoom = MissingRoom.create()
  private reservationCount = 0
  private readonly suspectWorkers: SuspectWorkers

  private constructor (
    views: readonly WorkerView[],
    private readonly tickets: AdmissionTickets,
    private readonly now: number,
    previouslyReserved: ReadonlySet<string>,
    private readonly usage: AccountUsage | undefined,
    private readonly feasibility: Feasibility
  ) {
    for (const view of views) {
      if (view.isUnlisted) this.unlisted.push(view)
      if (!view.isSchedulable(now)) continue
      const free = { millicores: view.freeMillicores, memoryMib: view.freeMemoryMib, accelerators: view.freeAccelerators }
      const candidate = { view, free, releasing: undefined, isReserved: previouslyReserved.has(view.id), suspectUnit: undefined, isChosen: false, preemptible: undefined }
      this.candidates.push(candidate)
      this.candidatesById.set(view.id, candidate)
    }
    this.suspectWorkers = SuspectWorkers.create(views, this.candidates.length, now)
  }

  /**
   * `previouslyReserved`: workers on which units reserved capacity in the previous pass; `usage`: what accounts have before this
   * one; `feasibility`: kept between passes, so that each need not compute it anew.
   */
  static create (views: Iterable<WorkerView>, tickets: AdmissionTickets, now: number, previouslyReserved: ReadonlySet<string> = new Set(), usage?: AccountUsage, feasibility = Feasibility.create(tickets)): PlacementPass {
    const known = [...views]
    feasibility.refresh(known)
    return new PlacementPass(known, tickets, now, previouslyReserved, usage, feasibility)
  }

  /**
   * Places a unit as far as the cap of its account allows and, if it is beyond the weight of its account, the spare capacity;
   * false if they allow nothing, or there is certainly no room, and then the pass ignores the unit.
   */
  place (unit: SchedulingUnit): boolean {
    if (!this.hasReservationsLeft && this.missingRoom.isCertain(unit)) return false
    const capped = this.usage === undefined ? unit : limitToCap(unit, this.usage)
    const startable = capped === undefined ? undefined : this.spare.limit(capped)
    if (startable !== undefined) this.placeUnit(startable)
    return startable !== undefined
  }

  /** Splits units into those that the known workers could hold and the others, which are not to be placed. */
  splitFeasible (units: Iterable<SchedulingUnit>): { feasible: SchedulingUnit[], infeasible: SchedulingUnit[] } {
    const feasible: SchedulingUnit[] = []
    const infeasible: SchedulingUnit[] = []
    for (const unit of units) (this.feasibility.isFeasible(unit) ? feasible : infeasible).push(unit)
    return { feasible, infeasible }
  }

  /** Places the tasks of a unit as far as possible; for the rest, reserves capacity and queries the admission service. */
  private placeUnit (unit: SchedulingUnit): void {
    const candidates = this.listEligible(unit)
    const usable = this.filterUsable(unit, candidates)
    const chosen = this.mayChoose(unit, usable) ? this.choose(unit, usable) : []
    const isWhole = chosen.length === unit.waiting.length && chosen.every(({ isReady }) => isReady)
    if (isWhole || !unit.spec.gang) {
      for (const { index, candidate } of chosen) {
        candidate.isChosen = true
        this.placements.push({ unit, index, view: candidate.view, ticket: this.findTicket(unit, candidate) ?? '' })
      }
      this.usage?.charge(unit.account, unit.spec.resources, chosen.length)
      this.spare.take(unit, chosen.length)
    } else {
      for (const { candidate } of chosen) applyDemand(candidate.free, unit, 1)
    }
    if (isWhole) return
    this.missingRoom.record(unit)
    const missing = unit.spec.gang ? unit.waiting.length : unit.waiting.length - chosen.length
    const reservedIds = mayReserve(unit, this.now) ? this.reserve(unit, candidates, missing) : new Set<string>()
    if (unit.queue.admission !== undefined) this.queryAdmission(unit, candidates, reservedIds)
  }

  /**
   * Chooses a candidate for each waiting task until none fits, those of suspected tasks first, and deducts the demand of the
   * task from its free capacity. Of a gang, all workers that suspected tasks have to wait for are chosen at once, so that they
   * become ready together.
   */
  private choose (unit: SchedulingUnit, usable: Candidate[]): Choice[] {
    const chosen: Choice[] = []
    const taskCounts = new Map(unit.placedCounts)
    const isSuspect = (index: number): boolean => unit.suspects.has(index)
    const ordered = unit.suspects.size === 0 ? unit.waiting : [...unit.waiting].sort((one, other) => Number(isSuspect(other)) - Number(isSuspect(one)))
    for (const index of ordered) {
      const suspectWorker = isSuspect(index) ? this.suspectWorkers.pick(unit, usable, taskCounts) : undefined
      const candidate = isSuspect(index) ? suspectWorker?.candidate : pickCandidate(unit, usable, taskCounts)
      const isReady = suspectWorker?.isCalm !== false
      if (candidate === undefined || (!isReady && !unit.spec.gang)) break
      applyDemand(candidate.free, unit, -1)
      taskCounts.set(candidate.view.id, (taskCounts.get(candidate.view.id) ?? 0) + 1)
      chosen.push({ index, candidate, isReady })
    }
    return chosen
  }

  /** False for a gang whose suspected tasks cannot start now; no worker is kept free of other starts for them then. */
  private mayChoose (unit: SchedulingUnit, usable: Candidate[]): boolean {
    if (!unit.spec.gang || unit.suspects.size === 0) return true
    return this.suspectWorkers.isOpenToGangs && this.isWholeFitting(unit, usable)
  }

  private isWholeFitting (unit: SchedulingUnit, usable: Candidate[]): boolean {
    const chosen = this.choose({ ...unit, suspects: new Set() }, usable)
    for (const { candidate } of chosen) applyDemand(candidate.free, unit, 1)
    return chosen.length === unit.waiting.length
  }

  /** Candidates that offer the service of the unit and the label that it requires. */
  private listEligible (unit: SchedulingUnit): Candidate[] {
    const key = `${unit.queue.service} ${unit.spec.requiredLabel}`
    let candidates = this.eligible.get(key)
    if (candidates === undefined) {
      candidates = this.candidates.filter(({ view }) => isEligible(view, unit))
      this.eligible.set(key, candidates)
    }
    return candidates
  }

  /** Candidates for which the unit needs no ticket or has a valid one. */
  private filterUsable (unit: SchedulingUnit, candidates: Candidate[]): Candidate[] {
    if (unit.queue.admission === undefined) return candidates
    if (!this.tickets.mayHaveValidTicket(unit.key, this.now)) return []
    return this.listGranted(unit, ticket => isTicketValid(ticket, this.now))
  }

  /** Candidates that the admission service granted to the unit. They are looked up by id, since they are a part of all workers. */
  private listGranted (unit: SchedulingUnit, isWanted: (ticket: Ticket) => boolean): Candidate[] {
    const found: Candidate[] = []
    for (const [id, ticket] of this.tickets.getStageTickets(unit.key).granted) {
      if (!isWanted(ticket)) continue
      const candidate = this.candidatesById.get(id)
      if (candidate !== undefined && isEligible(candidate.view, unit)) found.push(candidate)
    }
    return found
  }

  private findTicket (unit: SchedulingUnit, candidate: Candidate): string | undefined {
    return unit.queue.admission === undefined ? '' : this.tickets.find(unit.key, candidate.view.id, this.now)
  }

  /**
   * Reserves capacity for tasks that could not be placed: first capacity that is free or being released, then, once the unit
   * has no time left to wait for more, capacity from preempted runs, then, for gangs and large tasks, the workers with the
   * most free processor capacity. Returns the ids of the workers.
   */
  private reserve (unit: SchedulingUnit, candidates: Candidate[], missing: number): Set<string> {
    const reservedIds = new Set<string>()
    if (!this.hasReservationsLeft) return reservedIds
    this.reservationCount += 1
    const allowed = unit.queue.admission === undefined ? candidates : this.listGranted(unit, () => true)
    const taskCounts = new Map(unit.placedCounts)
    const reservations: Reservation[] = []
    const note = (reservation: Reservation): void => {
      const { id } = reservation.candidate.view
      taskCounts.set(id, (taskCounts.get(id) ?? 0) + 1)
      reservations.push(reservation)
    }
    while (reservations.length < missing) {
      const reservation = this.reserveReleasing(unit, allowed, taskCounts)
      if (reservation === undefined) break
      note(reservation)
    }
    if (reservations.length < missing && isPreemptionDue(unit, this.now)) this.preemptFor(unit, allowed, taskCounts, missing - reservations.length).forEach(note)
    const open = missing - reservations.length
    for (const reservation of reservations.reverse()) {
      // A gang that has to wait for the rest of its capacity cannot use this part of it before.
      if (open > 0 && unit.spec.gang && !this.heldWorkers.hold(reservation.candidate.view, unit)) this.undo(reservation)
      else this.noteReserved(reservation.candidate, reservedIds)
    }
    // Later units of its account must not use the room under the cap that this capacity is being released for.
    // A gang that cannot have all of its capacity yet starts in no case, and must not use up the cap.
    if (!unit.spec.gang || open === 0) this.usage?.charge(unit.account, unit.spec.resources, missing - open)
    if (open > 0 && (unit.spec.gang || isLarge(unit))) {
      const holders = allowed.filter(candidate => isBelowLimit(candidate, unit, taskCounts) && this.feasibility.canHold(unit, candidate.view))
      this.reserveFreest(unit, holders, open, reservedIds)
    }
    return reservedIds
  }

  private noteReserved ({ view }: Candidate, reservedIds: Set<string>): void {
    reservedIds.add(view.id)
    this.reservedWorkers.add(view.id)
  }

  private get hasReservationsLeft (): boolean {
    return this.reservationCount < countReservations(this.candidates.length)
  }

  /** Reserves capacity for one task on the first candidate whose free and releasing capacity suffices; undefined when none does. */
  private reserveReleasing (unit: SchedulingUnit, allowed: Candidate[], taskCounts: ReadonlyMap<string, number>): Reservation | undefined {
    const candidate = allowed.find(candidate => isBelowLimit(candidate, unit, taskCounts) && fits(sumAvailable(candidate), unit.spec.resources, unit.spec.fills))
    return candidate === undefined ? undefined : this.reserveOn(candidate, unit, [])
  }

  /** Reserves capacity for one task on a worker, where the victims release what is not free. */
  private reserveOn (candidate: Candidate, unit: SchedulingUnit, victims: Run[]): Reservation {
    const releasing = getReleasing(candidate)
    const reservation = { candidate, victims, free: { ...candidate.free }, releasing: { ...releasing } }
    for (const run of victims) {
      this.preemptedRuns.add(run)
      add(releasing, run.resources, 1)
    }
    reserveTask(candidate, unit)
    return reservation
  }

  /**
   * Preempts less urgent runs for up to `count` tasks, each on the worker where this takes the fewest. Only runs that lose no
   * progress are chosen. A gang starts as a whole, so it gets all of its tasks or no preemption: the capacity of a part would be
   * idle, and would be taken by other work before the rest is free.
   */
  private preemptFor (unit: SchedulingUnit, allowed: Candidate[], taskCounts: ReadonlyMap<string, number>, count: number): Reservation[] {
    const counts = new Map(taskCounts)
    const planned: Reservation[] = []
    while (planned.length < count) {
      const preemption = this.planPreemption(unit, allowed, counts)
      if (preemption === undefined) break
      planned.push(preemption)
      const { id } = preemption.candidate.view
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    if (unit.spec.gang && planned.length < count) {
      for (const preemption of planned.reverse()) this.undo(preemption)
      return []
    }
    for (const { candidate, victims } of planned) {
      for (const run of victims) this.preemptions.push({ view: candidate.view, run, unit })
    }
    return planned
  }

  /** Reserves the capacity of one task on the worker with the fewest victims; undefined when no worker suffices. */
  private planPreemption (unit: SchedulingUnit, allowed: Candidate[], taskCounts: ReadonlyMap<string, number>): Reservation | undefined {
    let best: { candidate: Candidate, victims: Run[] } | undefined
    for (const candidate of allowed) {
      if (!isBelowLimit(candidate, unit, taskCounts)) continue
      const victims = this.findVictims(unit, candidate)
      if (victims !== undefined && (best === undefined || victims.length < best.victims.length)) best = { candidate, victims }
    }
    return best === undefined ? undefined : this.reserveOn(best.candidate, unit, best.victims)
  }

  private undo ({ candidate, victims, free, releasing }: Reservation): void {
    for (const run of victims) this.preemptedRuns.delete(run)
    candidate.free = free
    candidate.releasing = releasing
  }

  /** Runs whose preemption makes one task of the unit fit; undefined when no set of preemptible runs suffices. */
  private findVictims (unit: SchedulingUnit, candidate: Candidate): Run[] | undefined {
    candidate.preemptible ??= listPreemptible(candidate.view, this.now)
    if (candidate.preemptible.length === 0) return undefined
    const available = sumAvailable(candidate)
    const victims: Run[] = []
    for (const run of candidate.preemptible) {
      if (fits(available, unit.spec.resources, unit.spec.fills)) break
      if (run.priority <= unit.queue.priority || this.preemptedRuns.has(run)) continue
      add(available, run.resources, 1)
      victims.push(run)
    }
    return fits(available, unit.spec.resources, unit.spec.fills) ? victims : undefined
  }

  /**
   * Reserves capacity on the workers with the most free processor capacity although it does not suffice yet, so that
   * less urgent units of this pass do not use it up before enough has been released there.
   */
  private reserveFreest (unit: SchedulingUnit, holders: Candidate[], count: number, reservedIds: Set<string>): void {
    holders.sort((one, other) => other.free.millicores - one.free.millicores)
    for (const candidate of holders.slice(0, count)) {
      if (!this.heldWorkers.hold(candidate.view, unit)) continue
      applyDemand(candidate.free, unit, -1)
      this.noteReserved(candidate, reservedIds)
    }
  }

  /**
   * Adds a query to the admission service unless one is in flight for the unit. It covers workers without a known
   * answer, and granted workers whose ticket has lapsed if the task fits there or capacity is reserved there. A new leader
   * also queries about workers that it has not listed yet, so that their answers do not have to be waited for afterwards.
   */
  private queryAdmission (unit: SchedulingUnit, candidates: Candidate[], reservedIds: ReadonlySet<string>): void {
    const { tickets } = this
    const reservedEntries = countReservedEntries(unit, tickets.entryCount)
    if (!tickets.isQueryAllowed(unit.key, this.now) || tickets.findIdleEntry(reservedEntries) === undefined) return
    const { granted, refused } = tickets.getStageTickets(unit.key)
    const wanted = candidates.filter(candidate => {
      const { id } = candidate.view
      if (refused.has(id)) return false
      const ticket = granted.get(id)
      if (ticket === undefined) return true
      return !isTicketValid(ticket, this.now) && (reservedIds.has(id) || fits(candidate.free, unit.spec.resources, unit.spec.fills))
    })
    const unlisted = this.unlisted.filter(view => isEligible(view, unit) && !refused.has(view.id) && !granted.has(view.id))
    if (wanted.length + unlisted.length === 0) return
    const entry = tickets.acquireEntry(reservedEntries)
    if (entry === undefined) return
    wanted.sort((one, other) => other.free.millicores - one.free.millicores)
    const workers = [...wanted.map(({ view }) => view), ...unlisted].slice(0, QUERY_WORKER_LIMIT).map(({ id }) => id)
    tickets.recordQuery(unit.key)
    this.queries.push({ unit, entry, workers })
  }
}
