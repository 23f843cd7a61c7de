/**
 * Simulates the execution of placed tasks: each task ends after its run time. A
 * task that is asked to stop waits again after the time that a checkpoint
 * takes.
 */

import { type Decision, TimerHeap } from '../../src/index.js'
import type { Cell, TaskPlaced } from './cell.js'

export interface TaskSimulatorOptions {
  /** Run time of a task in milliseconds. The part that ran before a checkpoint is not repeated. */
  runMs: (id: string, index: number) => number
  /** Time from the request to stop until the task has stopped, in milliseconds. */
  stopMs: number
}

/** The end of an attempt, by completion or by a stop. */
interface DueTask { readonly id: string, readonly index: number, readonly attempt: number, readonly isStopped: boolean }

export class TaskSimulator {
  /** Cluster time in milliseconds at which each task was last placed, by `id/index`. */
  readonly placedAt = new Map<string, number>()
  /** Number of tasks that were asked to stop. */
  preemptions = 0
  /** Remaining run time in milliseconds, by `id/index`. */
  private readonly remainingMs = new Map<string, number>()
  private readonly timers = TimerHeap.create<DueTask>()

  private constructor (private readonly cell: Cell, private readonly options: TaskSimulatorOptions) {}

  static create (cell: Cell, options: TaskSimulatorOptions): TaskSimulator {
    return new TaskSimulator(cell, options)
  }

  /**
   * Advances the time and makes the decisions for the ends that are due and the given ones;
   * returns the tasks that were placed.
   */
  advance (ms: number, ...decisions: Decision[]): TaskPlaced[] {
    this.cell.now += ms
    const placed: TaskPlaced[] = []
    for (const decision of this.cell.step(...this.popDueDecisions(), ...decisions)) {
      if (decision.kind === 'taskPlaced') {
        placed.push(decision)
        this.startTask(decision)
      } else if (decision.kind === 'taskStopping') {
        this.preemptions += 1
        const { id, index, attempt } = decision
        this.timers.add(this.cell.now + this.options.stopMs, { id, index, attempt, isStopped: true })
      }
    }
    return placed
  }

  private startTask ({ id, index, attempt }: TaskPlaced): void {
    const key = `${id}/${index}`
    const remainingMs = this.remainingMs.get(key) ?? this.options.runMs(id, index)
    this.placedAt.set(key, this.cell.now)
    this.remainingMs.set(key, remainingMs)
    this.timers.add(this.cell.now + remainingMs, { id, index, attempt, isStopped: false })
  }

  private checkpoint ({ id, index }: DueTask): Decision {
    const key = `${id}/${index}`
    const ranMs = this.cell.now - (this.placedAt.get(key) ?? 0)
    this.remainingMs.set(key, Math.max(0, (this.remainingMs.get(key) ?? 0) - ranMs))
    return this.cell.createRequeued(id, index)
  }

  private popDueDecisions (): Decision[] {
    const decisions: Decision[] = []
    const ended = new Set<string>()
    for (;;) {
      const due = this.timers.popDue(this.cell.now)
      if (due === undefined) return decisions
      const key = `${due.id}/${due.index}`
      const task = this.cell.getTask(due.id, due.index)
      if (task.attempt !== due.attempt || task.target === '' || ended.has(key)) continue
      ended.add(key)
      decisions.push(due.isStopped ? this.checkpoint(due) : this.cell.createEnded(due.id, due.index))
      if (!due.isStopped) this.remainingMs.delete(key)
    }
  }
}
