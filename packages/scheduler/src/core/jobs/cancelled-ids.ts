/**
 * The ids of jobs that were cancelled before the leader knew them. A submission may be delayed in a process that
 * stands still, or be repeated by one that lost an answer, and arrive after its caller has been told that the job does
 * not exist. It is refused as long as the id is kept, which is as long as a closed job is known.
 */

import type { DecisionOf } from '../../types/decisions.js'
import type { ClusterState } from '../../types/state.js'
import { ErrorKind, type Refusal } from '../../utils/errors.js'
import { computeFingerprint } from '../../utils/fingerprint.js'

/** Cluster time for which the id of a job is known after the job was closed, or was cancelled before its submission. */
export const CLOSED_ID_RETENTION_MS = 300_000

/** Why a submission under an id is refused; undefined unless the id was cancelled. */
export function findSubmissionRefusal ({ cancelledIds }: ClusterState, id: string, now: number): Refusal | undefined {
  // Most cells have no such id, and the fingerprint has a cost.
  if (cancelledIds.size === 0) return undefined
  const cancelledAt = cancelledIds.get(computeFingerprint(id))
  if (cancelledAt === undefined || !isKept(cancelledAt, now)) return undefined
  const message = 'the job was cancelled before this submission arrived and does not run; submit it under another id'
  return { kind: ErrorKind.unavailable, message, retryAfterMs: cancelledAt + CLOSED_ID_RETENTION_MS - now }
}

/** Why the cancel of an unknown job cannot be acknowledged; undefined if there is room for its id. */
export function findCancelRefusal ({ cancelledIds }: ClusterState, id: string, now: number, limit: number): Refusal | undefined {
  if (cancelledIds.size < limit || cancelledIds.has(computeFingerprint(id))) return undefined
  const [oldest] = cancelledIds.values()
  if (!isKept(oldest, now)) return undefined
  const message = `${limit} ids of unknown jobs have been cancelled in the last ${CLOSED_ID_RETENTION_MS / 1_000} s, which is the limit`
  return { kind: ErrorKind.resourceExhausted, message, retryAfterMs: oldest + CLOSED_ID_RETENTION_MS - now }
}

export function createCancelDecision (id: string, now: number): DecisionOf<'unknownJobCancelled'> {
  return { kind: 'unknownJobCancelled', fingerprint: computeFingerprint(id), at: now, keptFrom: now - CLOSED_ID_RETENTION_MS }
}

/** Applies the decision to the state; every replica does. */
export function recordCancelledId ({ cancelledIds }: ClusterState, { fingerprint, at, keptFrom }: DecisionOf<'unknownJobCancelled'>): void {
  for (const [oldest, cancelledAt] of cancelledIds) {
    if (cancelledAt >= keptFrom) break
    cancelledIds.delete(oldest)
  }
  // The oldest id comes first.
  cancelledIds.delete(fingerprint)
  cancelledIds.set(fingerprint, at)
}

function isKept (cancelledAt: number, now: number): boolean {
  return now - cancelledAt < CLOSED_ID_RETENTION_MS
}
