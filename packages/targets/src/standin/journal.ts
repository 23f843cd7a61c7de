/**
 * Journals of stand-in runners: what each really did, for checks that must not
 * believe the system that they check.
 */

export const RunEvent = Object.freeze({
  begin: 'begin',
  end: 'end',
  /** It did not run. */
  refused: 'refused'
} as const)
export type RunEvent = typeof RunEvent[keyof typeof RunEvent]

export interface RunRecord {
  event: RunEvent
  runner: string
  session: string
  grant: string
  caller: string
  requestId: string
  /** Unix milliseconds. */
  at: number
  /** Requests that run after this event. */
  running: number
  /** Open connections. */
  connections: number
}

export type Journal = (record: RunRecord) => void

/** Keeps the records in memory. */
export class MemoryJournal {
  readonly records: RunRecord[] = []
  readonly write: Journal = record => { this.records.push(record) }

  static create (): MemoryJournal {
    return new MemoryJournal()
  }

  private constructor () {}
}
