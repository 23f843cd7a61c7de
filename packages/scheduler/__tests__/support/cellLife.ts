/**
 * The life of placed tasks in fake time: each runs for a time and ends; one that
 * is asked to stop waits again after the time that a checkpoint takes.
 */

import { type Decision, Timers } from '../../src/index.js'
import type { Cell, Placed } from './cell.js'

export interface LifeOptions {
  /** Run time of a task in milliseconds; a checkpoint keeps what was done of it. */
  runMs: (id: string, index: number) => number
  /** From the request to stop until the task is known to have stopped. */
  stopMs: number
}

interface Due { readonly id: string, readonly index: number, readonly attempt: number, readonly stopped: boolean }

export class Life {
  /** When each task was last placed, by `id/index`. */
  readonly placedAt = new Map<string, number>()
  preemptions = 0
  /** Run time that is left after a checkpoint, by `id/index`. */
  private readonly leftMs = new Map<string, number>()
  private readonly due = Timers.create<Due>()

  private constructor (private readonly cell: Cell, private readonly options: LifeOptions) {}

  static create (cell: Cell, options: LifeOptions): Life {
    return new Life(cell, options)
  }

  /** Moves the time on, with the ends that are due and other decisions; returns what was placed. */
  advance (ms: number, ...decisions: Decision[]): Placed[] {
    this.cell.now += ms
    const placed: Placed[] = []
    for (const decision of this.cell.step(...this.takeDue(), ...decisions)) {
      if (decision.kind === 'taskPlaced') {
        placed.push(decision)
        this.place(decision)
      } else if (decision.kind === 'taskStopping') {
        this.preemptions += 1
        const { id, index, attempt } = decision
        this.due.add(this.cell.now + this.options.stopMs, { id, index, attempt, stopped: true })
      }
    }
    return placed
  }

  private place ({ id, index, attempt }: Placed): void {
    const key = `${id}/${index}`
    const leftMs = this.leftMs.get(key) ?? this.options.runMs(id, index)
    this.placedAt.set(key, this.cell.now)
    this.leftMs.set(key, leftMs)
    this.due.add(this.cell.now + leftMs, { id, index, attempt, stopped: false })
  }

  private checkpoint ({ id, index }: Due): Decision {
    const key = `${id}/${index}`
    const ranMs = this.cell.now - (this.placedAt.get(key) ?? 0)
    this.leftMs.set(key, Math.max(0, (this.leftMs.get(key) ?? 0) - ranMs))
    return this.cell.requeued(id, index)
  }

  private takeDue (): Decision[] {
    const decisions: Decision[] = []
    const ended = new Set<string>()
    for (;;) {
      const due = this.due.take(this.cell.now)
      if (due === undefined) return decisions
      const key = `${due.id}/${due.index}`
      const task = this.cell.task(due.id, due.index)
      if (task.attempt !== due.attempt || task.target === '' || ended.has(key)) continue
      ended.add(key)
      decisions.push(due.stopped ? this.checkpoint(due) : this.cell.ended(due.id, due.index))
      if (!due.stopped) this.leftMs.delete(key)
    }
  }
}
