/**
 * Log lines and metrics of dropped messages between controllers.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DropReason } from '@flamingorouter/controllers'
import { MessageDropLog, MetricsRegistry, RuntimeLog, type LogFields } from '../src/index.js'

class RecordingLog extends RuntimeLog {
  readonly lines: LogFields[] = []

  static create (): RecordingLog {
    return new RecordingLog()
  }

  override info (): void {}
  override warn (event: string, fields: LogFields = {}): void { this.lines.push({ event, ...fields }) }
  override error (): void {}
}

describe('dropped messages between controllers', () => {
  const drop = { peer: 'two', kind: 'appendAnswer', reason: DropReason.notMember } as const

  it('are logged at once for the first of a peer and reason, and then as a count', () => {
    const log = RecordingLog.create()
    const drops = MessageDropLog.create(log)
    for (let now = 0; now <= 6_000; now += 60) drops.record(drop, now)
    drops.record({ ...drop, reason: DropReason.noLink }, 6_000)
    assert.deepEqual(log.lines.map(({ reason, count }) => [reason, count]), [['notMember', 1], ['notMember', 84], ['noLink', 1]])
  })

  it('are all counted by kind and reason', () => {
    const metrics = MetricsRegistry.create()
    const drops = MessageDropLog.create(RecordingLog.create(), metrics)
    for (let count = 0; count < 3; count++) drops.record(drop, 0)
    assert.match(metrics.render(), /message_drops_total\{kind="appendAnswer",reason="notMember"\} 3/)
  })
})
