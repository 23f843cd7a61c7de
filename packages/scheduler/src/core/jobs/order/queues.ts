/**
 * Finds the queue of a request and computes the run times on which the objective
 * of a job is based.
 */

import { JobPhase, type CellConfiguration, type JobSpec, type JobQueue, type StagedJob, type StageSpec } from '../../../types/jobs.js'

/** Number of workers that each admission query is assumed to cover when the objective of a job is computed. */
const OBJECTIVE_QUERY_WORKERS = 30

/**
 * What the run times of a queue are expected by: the mean that was observed in it, undefined before the first run; or, where run
 * times are learnt, a function that estimates those of a stage in milliseconds.
 */
export type RunTimeSource = number | undefined | ((stage: StageSpec) => number)

export interface Route {
  queue: JobQueue
  /** Part of the path after the prefix of the queue; empty when the path ends there. */
  jobId: string
}

/** The queue of a host whose prefix is the longest that matches a path; undefined when none matches. */
export function findRoute (cell: CellConfiguration, host: string, path: string): Route | undefined {
  const lowerCaseHost = host.toLowerCase()
  let best: JobQueue | undefined
  for (const queue of cell.queues) {
    if (!path.startsWith(queue.pathPrefix) || queue.host.toLowerCase() !== lowerCaseHost) continue
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best === undefined ? undefined : { queue: best, jobId: path.slice(best.pathPrefix.length) }
}

/** A configured queue, or one that was removed while it still has live jobs. */
export function findQueue (cell: CellConfiguration | undefined, name: string): JobQueue | undefined {
  return cell?.queues.find(queue => queue.name === name) ?? cell?.retired.find(queue => queue.name === name)
}

/**
 * Length of the critical path through the stages of a job in milliseconds, from declared and observed run times, or from learnt
 * ones alone.
 */
export function criticalPathMs (spec: JobSpec, queue: JobQueue, runTimes: RunTimeSource): number {
  return Math.max(0, ...spec.stages.map((_stage, index) => remainingPathMs(spec, queue, runTimes, index)))
}

/** Time from the acceptance of a job to its objective, in milliseconds; see `criticalPathMs`. */
export function objectiveMs (spec: JobSpec, queue: JobQueue, runTimes: RunTimeSource): number {
  return queue.stretch * criticalPathMs(spec, queue, runTimes) + queue.targetMs
}

/** Cluster time in milliseconds at which the submission of a job reached the system, from which its objective counts. */
export function submittedAt ({ acceptedAt, heldMs = 0 }: StagedJob): number {
  return acceptedAt - heldMs
}

/** True when a closed job was completed within its objective, by the run times that its caller declared. */
export function isClosedInTime (job: StagedJob, cell: CellConfiguration | undefined): boolean {
  const queue = findQueue(cell, job.queue)
  return job.phase === JobPhase.completed && queue !== undefined && job.closedAt - submittedAt(job) <= objectiveMs(job.spec, queue, undefined)
}

/** Length of the critical path that begins with stage `first`, in milliseconds. */
export function remainingPathMs (spec: JobSpec, queue: JobQueue, runTimes: RunTimeSource, first: number): number {
  const { admission } = queue
  const queryMs = admission === undefined ? 0 : admission.decideMs + OBJECTIVE_QUERY_WORKERS * admission.perWorkerMs
  // Stages depend only on earlier ones, so one pass in order is enough.
  const ends: Array<number | undefined> = []
  let longest = 0
  for (const [index, stage] of spec.stages.entries()) {
    const dependencyEnds = stage.dependsOn.flatMap(earlier => ends[earlier] ?? [])
    if (index !== first && dependencyEnds.length === 0) continue
    const end = Math.max(0, ...dependencyEnds) + queryMs + expectRunMs(stage, runTimes)
    ends[index] = end
    longest = Math.max(longest, end)
  }
  return longest
}

function expectRunMs (stage: StageSpec, runTimes: RunTimeSource): number {
  return typeof runTimes === 'function' ? runTimes(stage) : computeExpectedRunMs(stage.estimateMs, runTimes)
}

/**
 * Expected run time of a task in milliseconds; 0 when neither time is known. Declared times are often far off, so the
 * result is the geometric mean of the declared time and the mean observed in the queue.
 */
export function computeExpectedRunMs (declaredMs: number, meanRunMs: number | undefined): number {
  if (meanRunMs === undefined) return declaredMs
  return declaredMs === 0 ? meanRunMs : Math.sqrt(declaredMs * meanRunMs)
}
