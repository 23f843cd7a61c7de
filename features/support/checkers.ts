/**
 * Invariant checkers over the journals of the stand-in targets and what callers
 * were told. They share no code with the system that they check.
 */

import type { RunRecord, TaskRun } from '@flamingorouter/targets'

export interface Capacity { millicores: number, memoryMib: number, accelerators: number }

/** What a caller was told of one request. */
export interface ToldOutcome {
  caller: string
  requestId: string
  idempotent: boolean
  /** done, notRun, unknown, cancelled, or refused when the call failed. */
  kind: string
  body: string
  sent: string
}

/** A task runs in one place at a time, over all of its attempts. */
export function findOverlaps (runs: readonly TaskRun[]): string[] {
  const faults: string[] = []
  const byTask = groupBy(runs, run => run.task)
  for (const [task, list] of byTask) {
    const ordered = [...list].sort((a, b) => a.begin - b.begin)
    for (let index = 1; index < ordered.length; index += 1) {
      const earlier = ordered[index - 1]
      const later = ordered[index]
      if (earlier.end === 0 || earlier.end > later.begin) {
        faults.push(`${task}: attempt ${earlier.attempt} on ${earlier.worker} until ${earlier.end || 'now'}, ` +
          `attempt ${later.attempt} on ${later.worker} from ${later.begin}`)
      }
    }
  }
  return faults
}

/** At every begin, what runs on the VM fits its capacity in each dimension. */
export function findOverloads (runs: readonly TaskRun[], capacities: ReadonlyMap<string, Capacity>): string[] {
  const faults: string[] = []
  for (const [vm, list] of groupBy(runs, run => run.vm)) {
    const capacity = capacities.get(vm)
    if (capacity === undefined) {
      faults.push(`${vm}: ran work and is not a known VM`)
      continue
    }
    for (const { begin } of list) {
      const open = list.filter(run => run.begin <= begin && (run.end === 0 || run.end > begin))
      for (const dimension of ['millicores', 'memoryMib', 'accelerators'] as const) {
        const used = open.reduce((sum, run) => sum + run.resources[dimension], 0)
        if (used > capacity[dimension]) faults.push(`${vm}: ${used} of ${capacity[dimension]} ${dimension} at ${begin}`)
      }
    }
  }
  return faults
}

/** A non-idempotent request begins at most once over all runners. */
export function findRepeats (records: readonly RunRecord[], told: readonly ToldOutcome[]): string[] {
  const begins = countBegins(records)
  return told
    .filter(({ idempotent, caller, requestId }) => !idempotent && (begins.get(`${caller} ${requestId}`) ?? 0) > 1)
    .map(({ requestId }) => `${requestId}: not idempotent and began more than once`)
}

/** Not run means no runner began it; done means one did, and the answer is whole. */
export function findUntruths (records: readonly RunRecord[], told: readonly ToldOutcome[]): string[] {
  const begins = countBegins(records)
  const faults: string[] = []
  for (const { caller, requestId, kind, body, sent } of told) {
    const count = begins.get(`${caller} ${requestId}`) ?? 0
    if ((kind === 'notRun' || kind === 'cancelled') && count > 0) faults.push(`${requestId}: told ${kind} and ran ${count} times`)
    if (kind === 'done' && count === 0) faults.push(`${requestId}: told done and never ran`)
    if (kind === 'done' && body !== sent) faults.push(`${requestId}: the answer is not its own`)
  }
  return faults
}

/** Slots and connections as counted by each runner itself. */
export function findOversubscription (records: readonly RunRecord[], slots: number, connections: number): string[] {
  return records
    .filter(record => record.running > slots || record.connections > connections)
    .map(record => `${record.runner}: ${record.running} running over ${record.connections} connections`)
}

function countBegins (records: readonly RunRecord[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { event, caller, requestId } of records) {
    const key = `${caller} ${requestId}`
    if (event === 'begin') counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts
}

function groupBy<T> (items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item))
    if (group === undefined) groups.set(keyOf(item), [item])
    else group.push(item)
  }
  return groups
}
