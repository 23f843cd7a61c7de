/**
 * The entries through which the leader can send admission queries. A new leader
 * faces the work that gathered while there was none, and nothing of it can start
 * without tickets. An entry therefore counts from its first heartbeat, not from the
 * next tick of the scheduler, which comes late while the event loop is busy with the
 * lists of all workers. Heartbeats of one turn of the event loop are reported together.
 */

import type { HeartbeatBody } from '@flamingorouter/controllers'
import type { EntryTable } from './entry-table.js'
import type { LinkTable } from './link-table.js'

export interface AdmissionEntriesOwner {
  /** Passes the names of the entries to the scheduler. */
  report: (entries: string[]) => void
  /** Monotonic time in milliseconds. */
  now: () => number
  /** Runs a function in the next turn of the event loop. */
  defer: (run: () => void) => void
}

export class AdmissionEntries {
  /** Names of the entries last reported. */
  private reported: ReadonlySet<string> = new Set()
  private isDeferred = false

  private constructor (
    private readonly table: EntryTable,
    private readonly links: LinkTable,
    private readonly owner: AdmissionEntriesOwner
  ) {}

  /** `links` contains the open links to entries. */
  static create (table: EntryTable, links: LinkTable, owner: AdmissionEntriesOwner): AdmissionEntries {
    return new AdmissionEntries(table, links, owner)
  }

  /** Forgets what was reported; called when this process starts to lead. */
  reset (): void {
    this.reported = new Set()
  }

  /** Handles a heartbeat that is in the table already: a change of what the entry offers is reported in the next turn. */
  handleHeartbeat ({ process, isAdvisor = false }: HeartbeatBody): void {
    if (isAdvisor === this.reported.has(process) || this.isDeferred) return
    this.isDeferred = true
    this.owner.defer(() => {
      this.isDeferred = false
      this.refresh()
    })
  }

  /** Reports the entries that are live, connected and able to forward queries, if that set has changed. */
  refresh (): void {
    const now = this.owner.now()
    const live = this.table.list().filter(entry => entry.isAdvisor === true && this.table.isLive(entry, now) && this.links.find(entry.process) !== undefined)
    const names = live.map(entry => entry.process).sort()
    if (names.length === this.reported.size && names.every(name => this.reported.has(name))) return
    this.reported = new Set(names)
    this.owner.report(names)
  }
}
