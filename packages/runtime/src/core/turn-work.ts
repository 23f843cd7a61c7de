/**
 * What a process did since its last timer: the handled items by kind, with the
 * time that they took. After a stall it names what held up the event loop.
 */

/** Number of kinds that a summary names. */
const NAMED_KINDS = 4

interface Work {
  count: number
  durationMs: number
  longestMs: number
}

export class TurnWork {
  private readonly byKind = new Map<string, Work>()
  private totalMs = 0

  private constructor () {}

  static create (): TurnWork {
    return new TurnWork()
  }

  /** `isNested`: the time is part of that of other work. */
  record (kind: string, durationMs: number, isNested = false): void {
    if (!isNested) this.totalMs += durationMs
    const work = this.byKind.get(kind)
    if (work === undefined) {
      this.byKind.set(kind, { count: 1, durationMs, longestMs: durationMs })
      return
    }
    work.count += 1
    work.durationMs += durationMs
    work.longestMs = Math.max(work.longestMs, durationMs)
  }

  /** The work with the longest total time first, each as `kind:total/count/longest` in milliseconds. */
  summarize (): { workMs: number, work: string } {
    const longest = [...this.byKind].sort(([, a], [, b]) => b.durationMs - a.durationMs).slice(0, NAMED_KINDS)
    const work = longest.map(([kind, { count, durationMs, longestMs }]) => `${kind}:${Math.round(durationMs)}/${count}/${Math.round(longestMs)}`).join(' ')
    return { workMs: Math.round(this.totalMs), work }
  }

  clear (): void {
    this.byKind.clear()
    this.totalMs = 0
  }
}
