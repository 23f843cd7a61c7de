/**
 * Carries out items in order, for a limited time in each turn of the event loop.
 * A burst of items does not hold up timers and messages that way, which keeps a
 * busy process from taking its peers for silent.
 */

export interface SlicedQueueOptions<T> {
  carryOut: (item: T) => void
  /** Time for which items are carried out in one turn, in milliseconds. */
  sliceMs: number
  /** Monotonic time in milliseconds. */
  now: () => number
  /** Runs a function in the next turn of the event loop. */
  defer: (run: () => void) => void
  /** Called with the time spent on items in a turn, in milliseconds. */
  recordTurn?: (spentMs: number) => void
}

export class SlicedQueue<T> {
  private items: T[] = []
  /** Position in `items` of the next one to carry out. */
  private next = 0
  /** Time spent on items in this turn, in milliseconds. */
  private spentMs = 0
  private isDeferred = false

  private constructor (private readonly options: SlicedQueueOptions<T>) {}

  static create<T> (options: SlicedQueueOptions<T>): SlicedQueue<T> {
    return new SlicedQueue(options)
  }

  /** Number of items that are not carried out yet. */
  get length (): number {
    return this.items.length - this.next
  }

  /** Adds an item; it is carried out at once if none waits and there is time left in this turn. */
  push (item: T): void {
    this.items.push(item)
    this.carryOutSlice()
  }

  clear (): void {
    this.items = []
    this.next = 0
  }

  private carryOutSlice (): void {
    while (this.length > 0 && this.spentMs < this.options.sliceMs) {
      const startedAt = this.options.now()
      this.options.carryOut(this.items[this.next++])
      this.spentMs += this.options.now() - startedAt
    }
    if (this.length === 0) this.clear()
    if (this.isDeferred) return
    this.isDeferred = true
    this.options.defer(() => { this.startTurn() })
  }

  private startTurn (): void {
    this.isDeferred = false
    this.options.recordTurn?.(this.spentMs)
    this.spentMs = 0
    if (this.length > 0) this.carryOutSlice()
  }
}
