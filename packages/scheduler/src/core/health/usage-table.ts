/**
 * Reported usage of tasks, smoothed by an exponential moving average over time,
 * since reports lag and fluctuate. Not durable.
 */

import { type Resources } from '../../types/resources.js'

/** Time constant of the average. */
const SMOOTHING_TIME_MS = 10_000

interface UsageRecord { attempt: number, usage: Resources, reportedAt: number }

export class UsageTable {
  private readonly records = new Map<string, UsageRecord>()

  private constructor () {}

  static create (): UsageTable {
    return new UsageTable()
  }

  clear (): void {
    this.records.clear()
  }

  recordUsage (key: string, attempt: number, usage: Resources, now: number): void {
    const record = this.records.get(key)
    if (record === undefined || record.attempt !== attempt) {
      this.records.set(key, { attempt, usage: { ...usage }, reportedAt: now })
      return
    }
    const weight = 1 - Math.exp(-Math.max(0, now - record.reportedAt) / SMOOTHING_TIME_MS)
    record.usage.millicores += weight * (usage.millicores - record.usage.millicores)
    record.usage.memoryMib += weight * (usage.memoryMib - record.usage.memoryMib)
    record.usage.accelerators = Math.max(record.usage.accelerators, usage.accelerators)
    record.reportedAt = now
  }

  remove (key: string): void {
    this.records.delete(key)
  }

  /** Smoothed usage of an assigned task; undefined before its first report. */
  getUsage (key: string): Readonly<Resources> | undefined {
    return this.records.get(key)?.usage
  }

  /** Resources that the allocation of an assigned task covers: in each dimension, the larger of declared and used. */
  computeAllocationSize (key: string, declared: Resources): Resources {
    const usage = this.getUsage(key)
    if (usage === undefined) return declared
    return {
      millicores: Math.max(declared.millicores, Math.ceil(usage.millicores)),
      memoryMib: Math.max(declared.memoryMib, Math.ceil(usage.memoryMib)),
      accelerators: Math.max(declared.accelerators, usage.accelerators)
    }
  }
}
