/**
 * Journals that stand-in runners write of the requests that they ran or refused. Checks
 * compare them with the reports of the system under test, which may be wrong.
 */

export const RunEvent = Object.freeze({
  begin: 'begin',
  end: 'end',
  /** The request was refused and did not run. */
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
  /** Milliseconds since 1970. */
  at: number
  /** Number of requests that run on the runner after this event. */
  running: number
  /** Number of open connections to the runner. */
  connections: number
}

export type JournalWriter = (record: RunRecord) => void

/** Keeps the records in memory, in the order in which they are written. */
export class MemoryJournal {
  readonly records: RunRecord[] = []
  readonly write: JournalWriter = record => { this.records.push(record) }

  static create (): MemoryJournal {
    return new MemoryJournal()
  }

  private constructor () {}
}
