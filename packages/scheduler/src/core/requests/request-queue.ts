/**
 * The queue of one service. Requests that may use the same runners share a lane,
 * so that requests that cannot use any free slot are skipped in one step. Among
 * the heads of the lanes, the lowest order is served first. The order is the time
 * of arrival plus a fixed delay for each urgency, so that a request overtakes only
 * less urgent requests that arrived earlier by less than the difference of the two
 * delays. This bounds how long urgent requests can delay the others.
 */

import type { LiveRequest } from './live-request.js'

/** Consumed items at the front of a lane above which they are removed from the array. */
const COMPACT_THRESHOLD = 1_024

class Lane {
  private items: LiveRequest[] = []
  /** Index of the first item that is not consumed. */
  private head = 0

  /** The first waiting request; undefined when there is none. */
  get first (): LiveRequest | undefined {
    while (this.head < this.items.length && this.items[this.head].phase !== 'waiting') this.head += 1
    if (this.head > COMPACT_THRESHOLD) {
      this.items = this.items.slice(this.head)
      this.head = 0
    }
    return this.items[this.head]
  }

  /** Inserts a request in order; the place is almost always the end. */
  push (request: LiveRequest): void {
    let index = this.items.length
    while (index > this.head && this.items[index - 1].order > request.order) index -= 1
    if (index === this.items.length) this.items.push(request)
    else this.items.splice(index, 0, request)
  }

  /** Number of requests that are served before a new one with this order; those that no longer wait count until they reach the head. */
  countAhead (order: number): number {
    let low = this.head
    let high = this.items.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.items[middle].order <= order) low = middle + 1
      else high = middle
    }
    return low - this.head
  }

  * waiting (): Iterable<LiveRequest> {
    for (let index = this.head; index < this.items.length; index += 1) {
      if (this.items[index].phase === 'waiting') yield this.items[index]
    }
  }
}

export class RequestQueue {
  private readonly lanes = new Map<string, Lane>()
  private count = 0

  static create (): RequestQueue {
    return new RequestQueue()
  }

  private constructor () {}

  /** Number of waiting requests. */
  get size (): number {
    return this.count
  }

  add (request: LiveRequest): void {
    const key = laneKeyOf(request)
    let lane = this.lanes.get(key)
    if (lane === undefined) {
      lane = new Lane()
      this.lanes.set(key, lane)
    }
    lane.push(request)
    this.count += 1
  }

  /** To be called after the phase of a queued request changed from `waiting`. */
  handleDeparture (): void {
    this.count -= 1
  }

  /** The first waiting request of each lane, in queue order. */
  listHeads (): LiveRequest[] {
    const heads: LiveRequest[] = []
    for (const [key, lane] of this.lanes) {
      const first = lane.first
      if (first === undefined) this.lanes.delete(key)
      else heads.push(first)
    }
    return heads.sort((a, b) => a.order - b.order)
  }

  /** Number of requests in all lanes that are served before a new one with this order. */
  countAhead (order: number): number {
    let total = 0
    for (const lane of this.lanes.values()) total += lane.countAhead(order)
    return total
  }

  * waiting (): Iterable<LiveRequest> {
    for (const lane of this.lanes.values()) yield * lane.waiting()
  }
}

function laneKeyOf ({ facts, triedRunners: tried }: LiveRequest): string {
  return `${facts.urgency} ${facts.idempotent ? 'again' : 'once'} ${tried.join(' ')} ${facts.instance}`
}
