/**
 * Caches the answers of the external admission service: which workers may run a
 * stage, and until when their tickets are valid. The set of permitted workers of
 * a stage does not change, so an answer is kept after its tickets have lapsed and
 * only granted workers are queried again. The service accepts one query at a time
 * from each entry, so each entry has at most one in flight.
 */

export interface Ticket {
  /** Text that the admission service issued; it is sent with the start order. */
  ticket: string
  /** Cluster time in milliseconds until which the ticket is valid; 0 once a worker has rejected it. */
  validUntil: number
}

/** Answers of the admission service for one stage, by worker id. */
export interface StageTickets {
  granted: ReadonlyMap<string, Ticket>
  refused: ReadonlySet<string>
}

interface StageRecord extends StageTickets {
  granted: Map<string, Ticket>
  refused: Set<string>
  /** Cluster time until which the latest tickets are valid. */
  validUntil: number
  isQueryInFlight: boolean
  /** Cluster time in milliseconds before which the stage is not queried again. */
  notBefore: number
}

const NO_TICKETS: StageTickets = Object.freeze({ granted: new Map<string, Ticket>(), refused: new Set<string>() })

/** Remaining validity that a ticket needs for a start to be ordered with it: covers one commit and one call to the worker. */
const TICKET_MARGIN_MS = 250

/** Pause after a query that the service did not answer. */
const RETRY_INTERVAL_MS = 150

/** Maximum number of workers in one query. */
export const QUERY_WORKER_LIMIT = 100

export class AdmissionTickets {
  /** By key of the stage: `job/occurrence/stage`. */
  private readonly stages = new Map<string, StageRecord>()
  /** Keys of the stages with a record, by job. */
  private readonly stagesByJob = new Map<string, string[]>()
  /** Number of queries in flight, 0 or 1, by entry name; idle entries are used in the order of insertion. */
  private readonly entries = new Map<string, number>()

  static create (): AdmissionTickets {
    return new AdmissionTickets()
  }

  clear (): void {
    this.stages.clear()
    this.stagesByJob.clear()
    this.entries.clear()
  }

  /** Sets the entries through which queries can be sent; state of entries that remain is kept. */
  setEntries (names: readonly string[]): void {
    for (const name of this.entries.keys()) {
      if (!names.includes(name)) this.entries.delete(name)
    }
    for (const name of names) {
      if (!this.entries.has(name)) this.entries.set(name, 0)
    }
  }

  /** The ticket with which a start on a worker may be ordered now; undefined when there is no valid one. */
  find (stage: string, worker: string, now: number): string | undefined {
    const ticket = this.getStageTickets(stage).granted.get(worker)
    return ticket !== undefined && isTicketValid(ticket, now) ? ticket.ticket : undefined
  }

  /** The answers known for a stage; empty when there are none. */
  getStageTickets (stage: string): StageTickets {
    return this.stages.get(stage) ?? NO_TICKETS
  }

  /** True when some ticket of the stage may be valid; a cheap check before the tickets are examined one by one. */
  mayHaveValidTicket (stage: string, now: number): boolean {
    return (this.stages.get(stage)?.validUntil ?? 0) - now > TICKET_MARGIN_MS
  }

  /** True when no query for the stage is in flight and the pause after a failed one is over. */
  isQueryAllowed (stage: string, now: number): boolean {
    const record = this.stages.get(stage)
    return record === undefined || (!record.isQueryInFlight && now >= record.notBefore)
  }

  /**
   * Takes an entry without a query in flight and moves it to the end of the order; undefined when there is none.
   * Leaves `reservedCount` idle entries for more urgent queries. If there are no more entries than that in total, one is
   * taken only while all of them are idle.
   */
  acquireEntry (reservedCount: number): string | undefined {
    const idle = this.findIdleEntry(reservedCount)
    if (idle === undefined) return undefined
    this.entries.delete(idle)
    this.entries.set(idle, 1)
    return idle
  }

  /** Number of entries through which queries can be sent. */
  get entryCount (): number {
    return this.entries.size
  }

  /** The entry that `acquireEntry` would take; undefined when there is none. */
  findIdleEntry (reservedCount: number): string | undefined {
    let idle: string | undefined
    let count = 0
    for (const [name, inFlight] of this.entries) {
      if (inFlight > 0) continue
      idle ??= name
      count += 1
    }
    return count <= Math.min(reservedCount, this.entries.size - 1) ? undefined : idle
  }

  /** Records that a query for a stage was sent. */
  recordQuery (stage: string): void {
    this.getOrCreateRecord(stage).isQueryInFlight = true
  }

  /**
   * Records an answer: `workers` are the ids that were queried, `tickets` those that were granted. Queried workers that
   * were never granted count as refused.
   */
  recordAnswer (stage: string, entry: string, workers: readonly string[], tickets: ReadonlyArray<{ worker: string, ticket: string }>, validUntil: number): void {
    this.releaseEntry(entry)
    // The job may have been closed while the query was in flight.
    const record = this.stages.get(stage)
    if (record === undefined) return
    record.isQueryInFlight = false
    record.validUntil = validUntil
    for (const { worker, ticket } of tickets) record.granted.set(worker, { ticket, validUntil })
    for (const worker of workers) {
      if (!record.granted.has(worker)) record.refused.add(worker)
    }
  }

  /** Records that a query got no answer; the stage is queried again after a pause. */
  recordFailure (stage: string, entry: string, now: number): void {
    this.releaseEntry(entry)
    const record = this.stages.get(stage)
    if (record === undefined) return
    record.isQueryInFlight = false
    record.notBefore = now + RETRY_INTERVAL_MS
  }

  /** Invalidates a ticket after the worker refused a start with it. */
  invalidate (stage: string, worker: string): void {
    const ticket = this.stages.get(stage)?.granted.get(worker)
    if (ticket !== undefined) ticket.validUntil = 0
  }

  /** Forgets the answers for all stages of a job. */
  forgetJob (job: string): void {
    for (const stage of this.stagesByJob.get(job) ?? []) this.stages.delete(stage)
    this.stagesByJob.delete(job)
  }

  private releaseEntry (entry: string): void {
    if (this.entries.has(entry)) this.entries.set(entry, 0)
  }

  private getOrCreateRecord (stage: string): StageRecord {
    let record = this.stages.get(stage)
    if (record === undefined) {
      record = { granted: new Map(), refused: new Set(), validUntil: 0, isQueryInFlight: false, notBefore: 0 }
      this.stages.set(stage, record)
      const job = stage.slice(0, stage.indexOf('/'))
      const stages = this.stagesByJob.get(job)
      if (stages === undefined) this.stagesByJob.set(job, [stage])
      else stages.push(stage)
    }
    return record
  }
}

/** True when a start may be ordered with the ticket, allowing for the ticket margin. */
export function isTicketValid (ticket: Ticket, now: number): boolean {
  return ticket.validUntil - now > TICKET_MARGIN_MS
}
