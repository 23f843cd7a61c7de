/**
 * What follows from a list of a worker for a run that it names neither as running nor
 * as ended. A worker lists its ends in the order of their numbers and only so many at
 * a time, so the end of such a run may still be to come: the list is evidence only once
 * all ends from before it are known. The run keeps its resources and its task until then.
 */

import type { EndedRun } from '../../../types/events.js'
import type { Step } from '../../step.js'
import { isInStartup, RunStatus, type Run, type WorkerView } from '../workers/worker-view.js'
import type { RunOrders } from './run-orders.js'
import { clearCrashes } from './worker-crashes.js'

/**
 * Records that the end of a run is known, and with it all ends from before the last list that named the run as running. So a
 * worker whose lists are always truncated yields evidence as well.
 */
export function recordKnownEnd (view: WorkerView, { task, run }: EndedRun): void {
  const ended = view.runs.get(task)
  if (ended?.run === run && ended.listedAt !== undefined) view.endsKnownUntil = Math.max(view.endsKnownUntil, ended.listedAt)
}

/** Handles a run that is missing in the answer to a list request that was sent at `sentAt`. */
export function handleMissingRun (step: Step, orders: RunOrders, view: WorkerView, run: Run, sentAt: number): void {
  // A list from before the answer to an order does not show the effect of the order.
  if (run.missingSince === undefined || run.missingSince <= run.confirmedAt) run.missingSince = sentAt
  if (run.missingSince > view.endsKnownUntil) return
  if (run.status === RunStatus.inherited) return orders.removeRun(step, view, run, 'it never started')
  if (run.confirmedAt === 0 || run.missingSince <= run.confirmedAt) return
  if (run.status === RunStatus.stopping) {
    if (!isInStartup(view, run)) clearCrashes(step, run.ref)
    return orders.removeRun(step, view, run, 'stopped')
  }
  // Either its end was listed and acknowledged, or it was never there; a confirmed stop makes its end certain.
  if (run.status === RunStatus.running) orders.stopRun(step, view, run, 'the worker does not list it')
}
