/**
 * Starts and failures of each kind of work on each worker. Workloads of the same
 * team and name count as the same work. Not durable.
 */

import type { WorkloadSpec } from '../../types/workloads.js'

/** Largest number of records; the one that was added first is evicted. */
const RECORDS_MAX = 2_048
/** Prior for work without any starts: one failure in five starts. */
const PRIOR_FAILURES = 1
const PRIOR_STARTS = 5

interface Tally { starts: number, failures: number }

/** Starts and failures of one kind of work. */
export interface WorkRecord {
  total: Tally
  byWorker: Map<string, Tally>
  /** Workers on which the work failed since it last succeeded on any worker. */
  failedOn: Set<string>
  /** Number of delays since the work last succeeded; determines the next delay. */
  delayCount: number
}

export class WorkRecords {
  private readonly records = new Map<string, WorkRecord>()

  private constructor () {}

  static create (): WorkRecords {
    return new WorkRecords()
  }

  clear (): void {
    this.records.clear()
  }

  add (spec: WorkloadSpec, worker: string, isFailure: boolean): WorkRecord {
    const record = this.getOrCreateRecord(spec)
    addStart(record.total, isFailure)
    addStart(getOrCreateTally(record, worker), isFailure)
    if (isFailure) {
      record.failedOn.add(worker)
    } else {
      record.failedOn.clear()
      record.delayCount = 0
    }
    return record
  }

  private getOrCreateRecord (spec: WorkloadSpec): WorkRecord {
    const key = `${spec.team.length} ${spec.team} ${spec.name}`
    const existing = this.records.get(key)
    if (existing !== undefined) return existing
    if (this.records.size >= RECORDS_MAX) this.records.delete(this.records.keys().next().value as string)
    const record = { total: { starts: 0, failures: 0 }, byWorker: new Map(), failedOn: new Set<string>(), delayCount: 0 }
    this.records.set(key, record)
    return record
  }
}

/** Number of starts of the work on all workers except `worker`. */
export function startsElsewhere (record: WorkRecord, worker: string): number {
  return record.total.starts - (record.byWorker.get(worker)?.starts ?? 0)
}

/** Probability that the work fails on a worker that is as reliable as the other workers. */
export function failureRateElsewhere (record: WorkRecord, worker: string): number {
  const failures = record.total.failures - (record.byWorker.get(worker)?.failures ?? 0)
  return (failures + PRIOR_FAILURES) / (startsElsewhere(record, worker) + PRIOR_STARTS)
}

function getOrCreateTally (record: WorkRecord, worker: string): Tally {
  const existing = record.byWorker.get(worker)
  if (existing !== undefined) return existing
  const tally = { starts: 0, failures: 0 }
  record.byWorker.set(worker, tally)
  return tally
}

function addStart (tally: Tally, isFailure: boolean): void {
  tally.starts += 1
  if (isFailure) tally.failures += 1
}
