/**
 * Readiness of entries of uneven size: it follows lasting pressure and not single peaks, and never leaves fewer than half
 * of the entries of an availability zone ready.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EntryHeadroom, mayBeUnready, type EntryLoad, type ZoneEntry } from '../src/index.js'

const IDLE: EntryLoad = { processorShare: 0.2, loopDelayMs: 2, memoryShare: 0.5 }
const INTERVAL_MS = 250

/** Records a load every INTERVAL_MS from a time on, for a duration. */
function recordFor (headroom: EntryHeadroom, load: EntryLoad, fromMs: number, durationMs: number): void {
  for (let now = fromMs; now <= fromMs + durationMs; now += INTERVAL_MS) headroom.record(load, now)
}

describe('the headroom of an entry', () => {
  const pressures: Array<[string, Partial<EntryLoad>]> = [['processor time', { processorShare: 0.95 }], ['event loop', { loopDelayMs: 180 }], ['memory', { memoryShare: 0.95 }]]

  for (const [name, pressure] of pressures) {
    it(`is short after lasting pressure on its ${name}`, () => {
      const headroom = EntryHeadroom.create()
      recordFor(headroom, { ...IDLE, ...pressure }, 0, 750)
      assert.equal(headroom.isShort, false)
      recordFor(headroom, { ...IDLE, ...pressure }, 1_000, 0)
      assert.equal(headroom.isShort, true)
    })
  }

  it('is not short after peaks with pauses between them', () => {
    const headroom = EntryHeadroom.create()
    for (let now = 0; now < 60_000; now += 1_000) {
      recordFor(headroom, { ...IDLE, loopDelayMs: 180 }, now, 500)
      recordFor(headroom, IDLE, now + 750, 0)
    }
    assert.equal(headroom.isShort, false)
  })

  it('stays short while the load is between the limits, so that readiness does not follow the connections that it moves', () => {
    const headroom = EntryHeadroom.create()
    recordFor(headroom, { ...IDLE, processorShare: 0.95 }, 0, 1_000)
    recordFor(headroom, { ...IDLE, processorShare: 0.7 }, 1_250, 60_000)
    assert.equal(headroom.isShort, true)
  })

  it('is ample again after a lasting low load, and not before', () => {
    const headroom = EntryHeadroom.create()
    recordFor(headroom, { ...IDLE, processorShare: 0.95 }, 0, 1_000)
    recordFor(headroom, IDLE, 1_250, 3_750)
    assert.equal(headroom.isShort, true)
    recordFor(headroom, IDLE, 5_250, 0)
    assert.equal(headroom.isShort, false)
  })

  it('changes at most twice per 5 s, whatever the load', () => {
    const headroom = EntryHeadroom.create()
    let changes = 0
    for (let now = 0; now < 60_000; now += INTERVAL_MS) {
      const wasShort = headroom.isShort
      headroom.record(wasShort ? IDLE : { ...IDLE, processorShare: 1 }, now)
      if (headroom.isShort !== wasShort) changes += 1
    }
    // Each cycle of two changes takes at least 1 s and 4 s.
    assert.ok(changes <= 2 * 60 / 5, `${changes} changes in 60 s`)
  })
})

describe('the entries of an availability zone that are all short of headroom', () => {
  function grantInTurn (entries: ZoneEntry[]): void {
    for (const entry of entries) {
      if (entry.isReady && mayBeUnready(entry.process, entries)) entry.isReady = false
    }
  }

  function createZone (count: number, zone = 'zone'): ZoneEntry[] {
    return Array.from({ length: count }, (_, index) => ({ process: `${zone}-${index}`, availabilityZone: zone, isReady: true }))
  }

  for (const count of [1, 2, 3, 9, 10]) {
    it(`leave at least half of ${count} ready`, () => {
      const entries = createZone(count)
      grantInTurn(entries)
      const ready = entries.filter(({ isReady }) => isReady).length
      assert.equal(ready, Math.ceil(count / 2))
    })
  }

  it('count each zone by itself', () => {
    const entries = [...createZone(8, 'one'), ...createZone(1, 'two')]
    grantInTurn(entries)
    assert.equal(entries.find(({ availabilityZone }) => availabilityZone === 'two')?.isReady, true)
  })

  it('count those that are not ready for another reason', () => {
    const entries = createZone(4).map((entry, index) => ({ ...entry, isReady: index >= 2 }))
    assert.equal(mayBeUnready('zone-3', entries), false)
  })

  it('grant nothing to an entry that is not known', () => {
    assert.equal(mayBeUnready('other', createZone(4)), false)
  })
})
