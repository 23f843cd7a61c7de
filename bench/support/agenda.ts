/**
 * What happens when, in fake time: a binary heap of actions.
 */

interface Item { at: number, number: number, action: () => void }

export class Agenda {
  private readonly items: Item[] = []
  private time = 0
  private number = 0

  static create (): Agenda {
    return new Agenda()
  }

  private constructor () {}

  /** Milliseconds. */
  get now (): number {
    return this.time
  }

  after (ms: number, action: () => void): void {
    this.number += 1
    this.items.push({ at: this.time + ms, number: this.number, action })
    this.rise(this.items.length - 1)
  }

  runUntil (end: number): void {
    while (this.items.length > 0 && this.items[0].at <= end) {
      const first = this.items[0]
      const last = this.items.pop()
      if (last !== undefined && this.items.length > 0) {
        this.items[0] = last
        this.sink(0)
      }
      this.time = first.at
      first.action()
    }
    this.time = end
  }

  private isBefore (a: number, b: number): boolean {
    const first = this.items[a]
    const second = this.items[b]
    return first.at < second.at || (first.at === second.at && first.number < second.number)
  }

  private swap (a: number, b: number): void {
    const item = this.items[a]
    this.items[a] = this.items[b]
    this.items[b] = item
  }

  private rise (from: number): void {
    let at = from
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!this.isBefore(at, parent)) return
      this.swap(at, parent)
      at = parent
    }
  }

  private sink (from: number): void {
    let at = from
    for (;;) {
      let least = at
      for (const child of [2 * at + 1, 2 * at + 2]) {
        if (child < this.items.length && this.isBefore(child, least)) least = child
      }
      if (least === at) return
      this.swap(at, least)
      at = least
    }
  }
}
