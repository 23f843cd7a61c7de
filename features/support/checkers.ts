/**
 * Invariant checkers over the journals of the stand-in targets and the outcomes
 * that callers received. They share no code with the system under test. Each
 * returns one line per violation.
 */

import type { RunRecord, TaskRun } from '@flamingorouter/targets'

export interface Capacity { millicores: number, memoryMib: number, accelerators: number }

/** The outcome of one request as its caller received it. */
export interface CallerOutcome {
  caller: string
  requestId: string
  idempotent: boolean
  /** done, notRun, unknown, cancelled, pending, none for an unknown kind, or refused if the call failed. */
  kind: string
  /** Body of the answer, or the error message of a failed call. */
  body: string
  /** Payload of the request; a runner answers with the same content. */
  payload: string
}

/** Checks that the runs of a task, over all of its attempts, do not overlap. */
export function findOverlappingRuns (runs: readonly TaskRun[]): string[] {
  const violations: string[] = []
  const runsByTask = groupBy(runs, run => run.task)
  for (const [task, taskRuns] of runsByTask) {
    const ordered = [...taskRuns].sort((a, b) => a.begin - b.begin)
    for (let index = 1; index < ordered.length; index += 1) {
      const earlier = ordered[index - 1]
      const later = ordered[index]
      if (earlier.end === 0 || earlier.end > later.begin) {
        violations.push(`${task}: attempt ${earlier.attempt} on ${earlier.worker} until ${earlier.end || 'now'} overlaps ` +
          `attempt ${later.attempt} on ${later.worker} from ${later.begin}`)
      }
    }
  }
  return violations
}

/** Checks that the tasks running on a VM fit its capacity in each dimension, at the start of each run. */
export function findOverloadedVms (runs: readonly TaskRun[], capacities: ReadonlyMap<string, Capacity>): string[] {
  const violations: string[] = []
  for (const [vm, vmRuns] of groupBy(runs, run => run.vm)) {
    const capacity = capacities.get(vm)
    if (capacity === undefined) {
      violations.push(`${vm}: ran tasks but is not a known VM`)
      continue
    }
    for (const { begin } of vmRuns) {
      const overlapping = vmRuns.filter(run => run.begin <= begin && (run.end === 0 || run.end > begin))
      for (const dimension of ['millicores', 'memoryMib', 'accelerators'] as const) {
        const used = overlapping.reduce((sum, run) => sum + run.resources[dimension], 0)
        if (used > capacity[dimension]) violations.push(`${vm}: tasks use ${used} of ${capacity[dimension]} ${dimension} at ${begin}`)
      }
    }
  }
  return violations
}

/** Checks that a request that is not idempotent begins at most once over all runners. */
export function findRepeatedExecutions (records: readonly RunRecord[], outcomes: readonly CallerOutcome[]): string[] {
  const begins = countBegins(records)
  return outcomes
    .filter(({ idempotent, caller, requestId }) => !idempotent && (begins.get(`${caller} ${requestId}`) ?? 0) > 1)
    .map(({ requestId }) => `${requestId}: not idempotent but began more than once`)
}

/** Checks that a request reported as not run or cancelled never began, and that one reported as done began and has its own complete answer. */
export function findIncorrectOutcomes (records: readonly RunRecord[], outcomes: readonly CallerOutcome[]): string[] {
  const begins = countBegins(records)
  const violations: string[] = []
  for (const { caller, requestId, kind, body, payload } of outcomes) {
    const count = begins.get(`${caller} ${requestId}`) ?? 0
    if ((kind === 'notRun' || kind === 'cancelled') && count > 0) violations.push(`${requestId}: reported as ${kind} but began ${count} times`)
    if (kind === 'done' && count === 0) violations.push(`${requestId}: reported as done but never began`)
    if (kind === 'done' && body !== payload) violations.push(`${requestId}: the answer differs from the payload that was sent`)
  }
  return violations
}

/** Checks the limits of slots and connections against the counts that each runner keeps itself. */
export function findOversubscribedRunners (records: readonly RunRecord[], slots: number, connections: number): string[] {
  return records
    .filter(record => record.running > slots || record.connections > connections)
    .map(record => `${record.runner}: over its limits with ${record.running} requests running and ${record.connections} connections`)
}

function countBegins (records: readonly RunRecord[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { event, caller, requestId } of records) {
    const key = `${caller} ${requestId}`
    if (event === 'begin') counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts
}

function groupBy<T> (items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const group = groups.get(getKey(item))
    if (group === undefined) groups.set(getKey(item), [item])
    else group.push(item)
  }
  return groups
}
