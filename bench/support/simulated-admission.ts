/**
 * The external admission service, and the entries through which it is asked: each
 * entry carries one query at a time, also while the leader that sent it is gone.
 */

export class SimulatedAdmission {
  queries = 0
  private readonly busyUntilByEntry = new Map<string, number>()
  /** Times until which entries are busy with queries of former leaders, in milliseconds. */
  private formerBusyUntil: ReadonlyMap<string, number> = new Map()

  private constructor (private readonly entryCount: number, private readonly reportsBusyEntries: boolean) {}

  /** Unless `reportsBusyEntries`, a new leader is not told which entries still carry a query of a former one. */
  static create (entryCount: number, reportsBusyEntries: boolean): SimulatedAdmission {
    return new SimulatedAdmission(entryCount, reportsBusyEntries)
  }

  /** Begins the time of another leader; returns the times at which entries end queries of the former one. */
  replaceLeader (now: number): number[] {
    this.formerBusyUntil = this.reportsBusyEntries ? new Map(this.busyUntilByEntry) : new Map()
    return [...this.formerBusyUntil.values()].filter(until => until > now)
  }

  /** The entries that offer themselves for queries. */
  listEntries (now: number): string[] {
    return Array.from({ length: this.entryCount }, (_, index) => `entry-${index}`).filter(entry => (this.formerBusyUntil.get(entry) ?? 0) <= now)
  }

  /** Passes on a query that takes `costMs`; returns the time of its answer. */
  forward (entry: string, costMs: number, now: number): number {
    this.queries += 1
    const endAt = Math.max(now, this.busyUntilByEntry.get(entry) ?? 0) + costMs
    this.busyUntilByEntry.set(entry, endAt)
    return endAt
  }

  /** Decides whether a worker is allowed for a stage; the result is the same for each query. */
  allows (stage: string, worker: string, share: number): boolean {
    let hash = 0
    for (const character of `${stage} ${worker}`) hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193) >>> 0
    return (hash >>> 8) % 1_000 < share * 1_000
  }
}
