/**
 * Permissions of the leader for entries that report themselves not ready for want of headroom: across lost answers and
 * changes of the leader, at least half of the entries of an availability zone stay ready.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { HeartbeatBody } from '@flamingorouter/controllers'
import { EntryTable, RELIEF_VALIDITY_MS } from '../src/index.js'

const LEADING_SINCE_MS = 10_000

/** A time at which every permission of a former leader has lapsed. */
const SETTLED_MS = LEADING_SINCE_MS + 3_000

function createHeartbeat (process: string, isShort?: boolean): HeartbeatBody {
  return { process, availabilityZone: 'zone', configurationVersion: 0, isAdmitting: true, servesCallers: true, ...(isShort === undefined ? {} : { isShort }) }
}

describe('the table of entries', () => {
  let table: EntryTable

  beforeEach(() => {
    table = EntryTable.create()
    table.reset(LEADING_SINCE_MS)
  })

  function beat (process: string, isShort: boolean | undefined, now: number): boolean {
    const body = createHeartbeat(process, isShort)
    table.recordHeartbeat(body, now)
    return table.grantRelief(body, now)
  }

  it('permits half of the entries of a zone not to be ready', () => {
    for (const process of ['a', 'b', 'c', 'd']) beat(process, false, SETTLED_MS)
    assert.deepEqual(['a', 'b', 'c', 'd'].map(process => beat(process, true, SETTLED_MS + 1)), [true, true, false, false])
  })

  it('permits nothing to an entry that does not ask', () => {
    for (const process of ['a', 'b', 'c', 'd']) assert.equal(beat(process, undefined, SETTLED_MS), false)
  })

  it('counts a permission until it has lapsed at the entry, although the entry no longer asks for it', () => {
    for (const process of ['a', 'b']) beat(process, false, SETTLED_MS)
    assert.equal(beat('a', true, SETTLED_MS), true)
    assert.equal(beat('a', false, SETTLED_MS + 500), false)
    assert.equal(beat('b', true, SETTLED_MS + 600), false)
    beat('a', false, SETTLED_MS + RELIEF_VALIDITY_MS + 500)
    assert.equal(beat('b', true, SETTLED_MS + RELIEF_VALIDITY_MS + 500), true)
  })

  it('of a new leader permits nothing until the permissions of the former one have lapsed', () => {
    for (const process of ['a', 'b', 'c', 'd']) beat(process, false, LEADING_SINCE_MS + 10)
    assert.equal(beat('a', true, LEADING_SINCE_MS + RELIEF_VALIDITY_MS), false)
    for (const process of ['b', 'c', 'd']) beat(process, false, SETTLED_MS)
    assert.equal(beat('a', true, SETTLED_MS), true)
  })

  // With three controllers beside three entries, all three entries could be unready at once.
  it('does not count processes to which the load balancer sends no callers', () => {
    for (const process of ['a/control', 'b/control', 'c/control']) table.recordHeartbeat({ ...createHeartbeat(process), servesCallers: undefined }, SETTLED_MS)
    for (const process of ['a', 'b', 'c']) beat(process, false, SETTLED_MS)
    assert.deepEqual(['a', 'b', 'c'].map(process => beat(process, true, SETTLED_MS + 1)), [true, false, false])
  })

  it('counts a silent entry as not ready', () => {
    for (const process of ['a', 'b']) beat(process, false, SETTLED_MS)
    assert.equal(beat('a', true, SETTLED_MS + 5_000), false)
  })
})
