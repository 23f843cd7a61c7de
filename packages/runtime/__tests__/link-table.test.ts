/**
 * Links to a process that has several. When one of them closed, the leader took an entry for lost that was still connected.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Link } from '@flamingorouter/controllers'
import { LinkTable } from '../src/index.js'

function createLink (process: string): Link {
  return { peer: { process } } as unknown as Link
}

describe('a table of links', () => {
  const [first, second, other] = [createLink('entry'), createLink('entry'), createLink('other')]

  function createTable (): LinkTable {
    const table = LinkTable.create()
    for (const link of [first, other, second]) table.add(link)
    return table
  }

  it('finds the link to a process that was opened last', () => {
    assert.equal(createTable().find('entry'), second)
    assert.deepEqual(createTable().list(), [second, other])
    assert.equal(createTable().find('absent'), undefined)
  })

  for (const [name, closing, remaining] of [['newest', second, first], ['oldest', first, second]] as const) {
    it(`keeps the other link to a process when the ${name} closes, and tells when the last one does`, () => {
      const table = createTable()
      assert.equal(table.remove(closing), false)
      assert.equal(table.find('entry'), remaining)
      assert.equal(table.remove(remaining), true)
      assert.equal(table.find('entry'), undefined)
    })
  }

  it('ignores links that are not in it', () => {
    const table = createTable()
    table.remove(other)
    assert.equal(table.remove(other), false)
    assert.equal(table.remove(createLink('entry')), false)
    assert.equal(table.remove({ peer: undefined } as unknown as Link), false)
    assert.equal(table.find('entry'), second)
  })
})
