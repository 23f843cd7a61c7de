/**
 * Whoever carries the leader's orders to workers that are called.
 */

import type { Effect, Event } from '@flamingorouter/scheduler'

export type WorkerEffect = Extract<Effect, {
  kind: 'startRun' | 'stopRun' | 'paceRun' | 'watchWorker' | 'unwatchWorker' | 'ackEnds'
}>

export abstract class OrderCarrier {
  /** This process leads; `feed` takes what workers answer. The term is the fence. */
  abstract lead (term: number, feed: (event: Event) => void): void
  /** This process leads no more: nothing is sent any more. */
  abstract follow (): void
  abstract carry (effect: WorkerEffect): void
}
