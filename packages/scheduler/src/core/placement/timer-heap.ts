/**
 * A binary heap of items that become due at a time, earliest first.
 */

interface TimedItem<Item> { readonly dueAt: number, readonly item: Item }

export class TimerHeap<Item> {
  private readonly heap: Array<TimedItem<Item>> = []

  private constructor () {}

  static create<Item> (): TimerHeap<Item> {
    return new TimerHeap()
  }

  /** Adds an item that is due at a time in milliseconds. */
  add (dueAt: number, item: Item): void {
    let position = this.heap.length
    this.heap.push({ dueAt, item })
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (this.heap[parent].dueAt <= this.heap[position].dueAt) return
      this.swap(parent, position)
      position = parent
    }
  }

  /** Removes and returns the earliest item that is due; undefined when none is. */
  popDue (now: number): Item | undefined {
    const first = this.heap[0]
    if (first === undefined || first.dueAt > now) return undefined
    const last = this.heap.pop()
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last
      this.siftDown()
    }
    return first.item
  }

  private siftDown (): void {
    let position = 0
    for (;;) {
      const left = position * 2 + 1
      if (left >= this.heap.length) return
      const right = left + 1
      const earliest = right < this.heap.length && this.heap[right].dueAt < this.heap[left].dueAt ? right : left
      if (this.heap[position].dueAt <= this.heap[earliest].dueAt) return
      this.swap(position, earliest)
      position = earliest
    }
  }

  private swap (one: number, other: number): void {
    const swapped = this.heap[one]
    this.heap[one] = this.heap[other]
    this.heap[other] = swapped
  }
}
