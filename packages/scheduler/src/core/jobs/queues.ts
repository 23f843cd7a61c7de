/**
 * Which queue a call goes to, and what its objective is.
 */

import type { CellConfiguration, JobSpec, JobQueue } from '../../types/jobs.js'

/** Workers that the objective allows one question to the admission service for. */
const OBJECTIVE_WORKERS = 30

export interface Route {
  queue: JobQueue
  /** What follows the prefix of the queue in the path. */
  rest: string
}

/** The queue of a host with the longest prefix of a path. */
export function findRoute (cell: CellConfiguration, host: string, path: string): Route | undefined {
  const wanted = host.toLowerCase()
  let best: JobQueue | undefined
  for (const queue of cell.queues) {
    if (!path.startsWith(queue.pathPrefix) || queue.host.toLowerCase() !== wanted) continue
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best === undefined ? undefined : { queue: best, rest: path.slice(best.pathPrefix.length) }
}

/** A queue in force, or one that was removed and has live jobs still. */
export function findQueue (cell: CellConfiguration | undefined, name: string): JobQueue | undefined {
  return cell?.queues.find(queue => queue.name === name) ?? cell?.retired.find(queue => queue.name === name)
}

/** Time of the longest chain of stages in milliseconds, by declared or learnt times of one task. */
export function chainMs (spec: JobSpec, queue: JobQueue, learntMs: number | undefined): number {
  return Math.max(0, ...spec.stages.map((_stage, index) => remainingMs(spec, queue, learntMs, index)))
}

/** Time of the longest chain that begins with a stage, in milliseconds. */
export function remainingMs (spec: JobSpec, queue: JobQueue, learntMs: number | undefined, first: number): number {
  const { admission } = queue
  const askMs = admission === undefined ? 0 : admission.decideMs + OBJECTIVE_WORKERS * admission.perWorkerMs
  // Stages depend on earlier ones only, so one sweep finds the end of each.
  const ends: Array<number | undefined> = []
  let longest = 0
  for (const [index, { dependsOn, estimateMs }] of spec.stages.entries()) {
    const before = dependsOn.flatMap(stage => ends[stage] ?? [])
    if (index !== first && before.length === 0) continue
    const end = Math.max(0, ...before) + askMs + expectedMs(estimateMs, learntMs)
    ends[index] = end
    longest = Math.max(longest, end)
  }
  return longest
}

/** Declared times are far off, so the mean of the queue counts as much. */
export function expectedMs (declaredMs: number, learntMs: number | undefined): number {
  if (learntMs === undefined) return declaredMs
  return declaredMs === 0 ? learntMs : Math.sqrt(declaredMs * learntMs)
}
