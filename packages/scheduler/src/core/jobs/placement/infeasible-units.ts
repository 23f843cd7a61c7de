/**
 * Tells an operator which work waits although no capacity can become free for it: a job
 * that no known worker could hold looks like any other that is queued.
 */

import type { Step } from '../../step.js'
import type { SchedulingUnit } from '../order/scheduling-units.js'

/** Time after which a unit is logged that no known worker could hold, in milliseconds; workers that start again are back by then. */
const LOG_DELAY_MS = 5_000

/** Number of units that one pass logs at most. */
const LOG_LIMIT = 10

interface InfeasibleUnit { since: number, isLogged: boolean }

export class InfeasibleUnits {
  private units = new Map<string, InfeasibleUnit>()

  static create (): InfeasibleUnits {
    return new InfeasibleUnits()
  }

  clear (): void {
    this.units.clear()
  }

  /** Records the units that a pass left out, and logs each once that stays so. */
  update (step: Step, units: readonly SchedulingUnit[]): void {
    const next = new Map<string, InfeasibleUnit>()
    let logged = 0
    for (const unit of units) {
      const record = this.units.get(unit.key) ?? { since: step.now, isLogged: false }
      next.set(unit.key, record)
      if (record.isLogged || logged >= LOG_LIMIT || step.now - record.since < LOG_DELAY_MS) continue
      record.isLogged = true
      logged += 1
      step.effects.push({ kind: 'noteInfeasible', stage: unit.key, queue: unit.queue.name, spec: unit.spec, taskCount: unit.waiting.length })
    }
    this.units = next
  }
}
