/**
 * The JSON log never blocks: its buffer is bounded while nobody reads, the lines of
 * each event are bounded by a rate, and dropped lines are counted.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JsonLog } from '../src/index.js'

type Done = (error: Error | null) => void

describe('the JSON log', () => {
  it('writes one object per line with its fields', () => {
    const lines: string[] = []
    JsonLog.create('p', (bytes, done) => { lines.push(bytes.toString()); done(null) }, 0).info('started', { role: 'entry' })
    const record = JSON.parse(lines.join(''))
    assert.equal(record.event, 'started')
    assert.equal(record.process, 'p')
    assert.equal(record.role, 'entry')
  })

  it('buffers a bounded number of bytes for a reader that stopped, and counts the dropped lines', () => {
    const pendingWrites: Done[] = []
    const chunks: Buffer[] = []
    const log = JsonLog.create('p', (bytes, done) => {
      chunks.push(bytes)
      pendingWrites.push(done)
    }, 0)
    const text = 'x'.repeat(10_000)
    for (let index = 0; index < 300; index++) log.info(`event-${index}`, { text })
    assert.equal(chunks.length, 2)
    for (let done = pendingWrites.shift(); done !== undefined; done = pendingWrites.shift()) done(null)
    const written = chunks.reduce((sum, chunk) => sum + chunk.length, 0)
    assert.ok(written < 1_100_000, `${written} bytes were buffered`)
    log.info('later')
    const last = JSON.parse(chunks[chunks.length - 1].toString())
    assert.ok(last.leftOutForTheReader > 100)
  })

  it('keeps up with a busy process whose event loop turns 50 times a second, in writes that a shared pipe does not mix', () => {
    const pendingWrites: Done[] = []
    const chunks: Buffer[] = []
    const log = JsonLog.create('p', (bytes, done) => {
      chunks.push(bytes)
      pendingWrites.push(done)
    }, 0)
    // About a second of log lines of a busy leader.
    for (let index = 0; index < 1_000; index++) log.info(`event-${index}`, { text: 'x'.repeat(200) })
    let turns = 0
    for (; pendingWrites.length > 0; turns++) for (const done of pendingWrites.splice(0)) done(null)
    assert.ok(turns <= 50, `${turns} turns for 300 KB`)
    assert.ok(chunks.every(chunk => chunk.length <= 4_096 && chunk.toString().endsWith('\n')))
    assert.equal(chunks.join('').split('\n').length - 1, 1_000)
  })

  it('gathers the lines of a few milliseconds in one write, and writes at once what fills one', async () => {
    const chunks: Buffer[] = []
    const log = JsonLog.create('p', (bytes, done) => {
      chunks.push(bytes)
      done(null)
    })
    for (let index = 0; index < 5; index++) log.info(`event-${index}`)
    assert.equal(chunks.length, 0)
    await new Promise(resolve => { setTimeout(resolve, 30) })
    assert.equal(chunks.length, 1)
    for (let index = 0; index < 40; index++) log.info(`event-${index}`, { text: 'x'.repeat(200) })
    assert.ok(chunks.length >= 3, `${chunks.length} writes`)
    await new Promise(resolve => { setTimeout(resolve, 30) })
    assert.equal(chunks.join('').split('\n').length - 1, 45)
  })

  it('writes a rare line of a process that turns four times a second within half a second, however many lines each job has', () => {
    const pendingWrites: Done[] = []
    const chunks: Buffer[] = []
    const log = JsonLog.create('p', (bytes, done) => {
      chunks.push(bytes)
      pendingWrites.push(done)
    }, 0)
    const turn = (): void => { for (const done of pendingWrites.splice(0)) done(null) }
    for (let round = 0; round < 8; round++) {
      for (let index = 0; index < 100; index++) {
        for (const event of ['run_placed', 'run_ended', 'job_accepted']) log.info(event, { text: 'x'.repeat(200) })
      }
      turn()
    }
    log.warn('event_loop_stalled')
    for (let turns = 0; turns < 2 && !chunks.join('').includes('event_loop_stalled'); turns++) turn()
    assert.ok(chunks.join('').includes('event_loop_stalled'), `${chunks.length} writes, none of them with the line`)
  })

  it('drops lines of an event beyond its rate limit', () => {
    let lines = 0
    const log = JsonLog.create('p', (bytes, done) => { lines += bytes.toString().split('\n').length - 1; done(null) }, 0)
    for (let index = 0; index < 1_000; index++) log.info('often')
    log.info('seldom')
    // The limit is 400 lines of an event per second; the loop may span two of these windows.
    assert.ok(lines <= 802 && lines >= 401, `${lines} lines were written`)
  })
})
