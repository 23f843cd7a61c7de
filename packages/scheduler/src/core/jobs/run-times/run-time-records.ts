/**
 * Adds the work of a finished run to the replicated run times. Callers declare run
 * times that are far off, and images differ in their use, so the work is kept by several
 * kinds of task from fine to coarse. Every replica runs this code, so it depends only on
 * its arguments.
 */

import { createHash } from 'node:crypto'
import type { StageSpec } from '../../../types/jobs.js'
import { createRunTimeState, type LogHistogram } from '../../../types/run-times.js'
import type { ClusterState } from '../../../types/state.js'
import { addSample, createHistogram } from './log-histogram.js'

/** Kinds of task that are kept; with their names this stays below 256 KB. The kind that was not updated for the longest time goes first. */
const KIND_LIMIT = 300

/** Queues whose declared times are rated. */
const QUEUE_LIMIT = 60

/** Names that are longer, in bytes, are replaced by a digest. */
const NAME_LENGTH_LIMIT = 48

/** No name of a queue contains it, so kinds of different queues cannot have the same key. */
const KIND_SEPARATOR = '\0'

export function keyOfQueue (queue: string): string {
  return shorten(queue)
}

/** Kind of the tasks of one image; undefined for a stage without one. */
export function keyOfImage (queue: string, { image }: Pick<StageSpec, 'image'>): string | undefined {
  return image === '' ? undefined : `${shorten(queue)}${KIND_SEPARATOR}image ${shorten(image)}`
}

/** Kind of the tasks whose declared times are within a factor of 2; undefined for a stage that declares none. */
export function keyOfDeclared (queue: string, { estimateMs }: Pick<StageSpec, 'estimateMs'>): string | undefined {
  return estimateMs > 0 ? `${shorten(queue)}${KIND_SEPARATOR}declared ${Math.floor(Math.log2(estimateMs))}` : undefined
}

/** Records the work of a run that succeeded, in milliseconds on a worker of speed 1. A value that is no time is ignored. */
export function recordWork (state: ClusterState, queue: string, stage: StageSpec, workMs: number): void {
  if (!Number.isFinite(workMs) || workMs <= 0) return
  state.runTimes ??= createRunTimeState()
  const { work, declaredRatios } = state.runTimes
  for (const key of [keyOfQueue(queue), keyOfDeclared(queue, stage), keyOfImage(queue, stage)]) {
    if (key !== undefined) addTo(work, key, workMs, KIND_LIMIT)
  }
  if (stage.estimateMs > 0) addTo(declaredRatios, keyOfQueue(queue), workMs / stage.estimateMs, QUEUE_LIMIT)
}

/** Adds a value, moves its histogram to the end, and removes the first ones beyond the limit. */
function addTo (histograms: Map<string, LogHistogram>, key: string, value: number, limit: number): void {
  const histogram = histograms.get(key) ?? createHistogram()
  addSample(histogram, value)
  histograms.delete(key)
  histograms.set(key, histogram)
  for (const oldest of histograms.keys()) {
    if (histograms.size <= limit) return
    histograms.delete(oldest)
  }
}

function shorten (name: string): string {
  return Buffer.byteLength(name) <= NAME_LENGTH_LIMIT ? name : createHash('sha256').update(name).digest('base64url').slice(0, 16)
}
