/**
 * The story of one id out of several logs.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { parseLine, StoryTeller, type Story } from '../src/core/story.js'

const ACCEPTED = '{"time":"2026-01-01T00:00:01.000Z","level":"info","process":"a","event":"job_accepted","job":"j1","tasks":2}'
const PLACED = '   7.8 node-3 {"time":"2026-01-01T00:00:02.000Z","process":"a","event":"run_placed","task":"j1/0/0/1","leftOutOfThisEvent":3}'
const ANSWERED = 'time=2026-01-01T00:00:00.500Z level=info process=entry-1 event=call_answered path=/q/j1 detail="two words"'

function tell (id: string, lines: string[]): Story {
  const teller = StoryTeller.create(id)
  for (const line of lines) teller.read(line)
  return teller.tell()
}

describe('the story of an id', () => {
  it('holds what names it, of all processes and both formats, in the order of time', () => {
    const { records } = tell('j1', [PLACED, ACCEPTED, ANSWERED])
    assert.deepEqual(records.map(({ event }) => event), ['call_answered', 'job_accepted', 'run_placed'])
    assert.equal(records[0].fields.detail, 'two words')
    assert.equal(records[1].fields.tasks, '2')
  })

  it('leaves out what only looks like it', () => {
    assert.equal(tell('j', [PLACED, ACCEPTED, ANSWERED]).records.length, 0)
    assert.equal(tell('1', [PLACED, ACCEPTED, ANSWERED]).records.length, 0)
  })

  it('counts what could not be read and what was left out', () => {
    const story = tell('j1', [PLACED, '{"time":"2026-01-01T00:00:02.000Z","ev', 'Ctrl-C ends the cell.', ''])
    assert.equal(story.unreadable, 2)
    assert.equal(story.leftOut, 3)
  })

  it('takes any line without an error', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.string().map(text => `{"time"${text}`), fc.string().map(text => `a=${text} time="`)), line => {
      parseLine(line)
    }), { numRuns: 500 })
  })
})
