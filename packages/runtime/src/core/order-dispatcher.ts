/**
 * Sends the leader's orders to called workers.
 */

import type { Effect, Event } from '@flamingorouter/scheduler'

export type WorkerEffect = Extract<Effect, {
  kind: 'startRun' | 'stopRun' | 'paceRun' | 'watchWorker' | 'unwatchWorker' | 'ackEnds'
}>

/** Records the time of some work in milliseconds, by kind, for the line of a stall. */
export type RecordWork = (kind: string, durationMs: number) => void

export abstract class OrderDispatcher {
  /** Called when this process starts to lead: the term is the fencing token, and `feed` receives the workers' answers. */
  abstract startLeading (term: number, feed: (event: Event) => void, recordWork?: RecordWork): void
  /** Called when this process no longer leads: no further orders are sent. */
  abstract stopLeading (): void
  /** Carries out an effect. Returns at once; the results arrive as events. */
  abstract dispatch (effect: WorkerEffect): void
}
