/**
 * Carries out items in order, for a limited time in each turn of the event loop.
 * A burst of items does not hold up timers and messages that way, which keeps a
 * busy process from taking its peers for silent.
 */

/**
 * Time for which items are carried out in one turn, in milliseconds: below a heartbeat interval of the replicas, and long
 * enough that a process whose turns are slow still sends as much as it decides.
 */
const SLICE_MS = 40

export interface SlicedQueueOptions<T> {
  carryOut: (item: T) => void
  /** Monotonic time in milliseconds. */
  now: () => number
  /** Runs a function in the next turn of the event loop. */
  defer: (run: () => void) => void
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
    while (this.length > 0 && this.spentMs < SLICE_MS) {
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
    this.spentMs = 0
    if (this.length > 0) this.carryOutSlice()
  }
}
