/**
 * What the external admission service has answered: which workers may run a
 * stage, and until when their tickets are valid. The set of workers does not
 * change for a stage, so an answer is kept after its tickets have lapsed, and
 * only the workers that were granted are asked for again. The service takes one
 * question at a time from each entry, so each entry has one in flight.
 */

export interface Ticket {
  ticket: string
  /** Cluster time in milliseconds. */
  validUntil: number
}

/** What is known of one stage. */
export interface StageTickets {
  granted: ReadonlyMap<string, Ticket>
  refused: ReadonlySet<string>
}

interface StageRecord extends StageTickets {
  granted: Map<string, Ticket>
  refused: Set<string>
  /** Cluster time until which the latest tickets are valid. */
  validUntil: number
  isAsked: boolean
  /** Cluster time before which it is not asked again. */
  notBefore: number
}

const NOTHING_KNOWN: StageTickets = Object.freeze({ granted: new Map<string, Ticket>(), refused: new Set<string>() })

/** Time that a ticket must still be valid for a start to be ordered with it, in milliseconds: a commit and a call. */
const TICKET_MARGIN_MS = 250

/** Pause after a question that the service did not answer, in milliseconds. */
const RETRY_MS = 150

/** Longest list of workers in one question. */
export const QUESTION_WORKERS = 100

export class Tickets {
  private readonly stages = new Map<string, StageRecord>()
  /** Entries and how many questions each has in flight. */
  private readonly entries = new Map<string, number>()

  static create (): Tickets {
    return new Tickets()
  }

  clear (): void {
    this.stages.clear()
    this.entries.clear()
  }

  setEntries (names: readonly string[]): void {
    for (const name of this.entries.keys()) {
      if (!names.includes(name)) this.entries.delete(name)
    }
    for (const name of names) {
      if (!this.entries.has(name)) this.entries.set(name, 0)
    }
  }

  /** The ticket with which a start on a worker may be ordered now. */
  find (stage: string, worker: string, now: number): string | undefined {
    const ticket = this.of(stage).granted.get(worker)
    return ticket !== undefined && isValid(ticket, now) ? ticket.ticket : undefined
  }

  /** Which workers are known to be allowed, or not, for a stage. */
  of (stage: string): StageTickets {
    return this.stages.get(stage) ?? NOTHING_KNOWN
  }

  /** True when some ticket of the stage may be valid: a cheap question before the tickets are looked at one by one. */
  hasValid (stage: string, now: number): boolean {
    return (this.stages.get(stage)?.validUntil ?? 0) - now > TICKET_MARGIN_MS
  }

  /** True when a question on the stage may be asked now. */
  mayAsk (stage: string, now: number): boolean {
    const known = this.stages.get(stage)
    return known === undefined || (!known.isAsked && now >= known.notBefore)
  }

  /**
   * An entry without a question in flight; undefined when there is none. `keepFree`
   * entries are left for more urgent questions.
   */
  takeEntry (keepFree: number): string | undefined {
    const free = this.findEntry(keepFree)
    if (free === undefined) return undefined
    this.entries.delete(free)
    this.entries.set(free, 1)
    return free
  }

  /** The entry that would be taken. */
  findEntry (keepFree: number): string | undefined {
    let free: string | undefined
    let count = 0
    for (const [name, inFlight] of this.entries) {
      if (inFlight > 0) continue
      free ??= name
      count += 1
    }
    return count <= Math.min(keepFree, this.entries.size - 1) ? undefined : free
  }

  asked (stage: string): void {
    this.stageOf(stage).isAsked = true
  }

  answered (stage: string, entry: string, workers: readonly string[], tickets: ReadonlyArray<{ worker: string, ticket: string }>, validUntil: number): void {
    this.returned(entry)
    const known = this.stageOf(stage)
    known.isAsked = false
    known.validUntil = validUntil
    for (const { worker, ticket } of tickets) known.granted.set(worker, { ticket, validUntil })
    for (const worker of workers) {
      if (!known.granted.has(worker)) known.refused.add(worker)
    }
  }

  failed (stage: string, entry: string, now: number): void {
    this.returned(entry)
    const known = this.stageOf(stage)
    known.isAsked = false
    known.notBefore = now + RETRY_MS
  }

  /** A start was refused for want of a valid ticket. */
  drop (stage: string, worker: string): void {
    const ticket = this.stages.get(stage)?.granted.get(worker)
    if (ticket !== undefined) ticket.validUntil = 0
  }

  forget (stage: string): void {
    this.stages.delete(stage)
  }

  private returned (entry: string): void {
    if (this.entries.has(entry)) this.entries.set(entry, 0)
  }

  private stageOf (stage: string): StageRecord {
    let known = this.stages.get(stage)
    if (known === undefined) {
      known = { granted: new Map(), refused: new Set(), validUntil: 0, isAsked: false, notBefore: 0 }
      this.stages.set(stage, known)
    }
    return known
  }
}

/** True while a start may be ordered with the ticket. */
export function isValid (ticket: Ticket, now: number): boolean {
  return ticket.validUntil - now > TICKET_MARGIN_MS
}
