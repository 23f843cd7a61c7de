/**
 * An entry that has two links to the leader, as over two addresses of it. The leader took the entry for lost, and ended what
 * it had granted to it, when the newer link closed.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { Link, Replica } from '@flamingorouter/controllers'
import { Component, Scheduler, type Event } from '@flamingorouter/scheduler'
import { Controller, NoopLog } from '../src/index.js'

/** Records the entries that are reported as lost. */
class LostEntries extends Component {
  override readonly handledKinds = ['entryLost'] as const
  readonly names: string[] = []

  static create (): LostEntries {
    return new LostEntries()
  }

  override reset (): void {}

  override handle (event: Event): void {
    if (event.kind === 'entryLost') this.names.push(event.entry)
  }
}

function createLink (): Link {
  return { peer: { process: 'entry', role: 'entry' }, send: () => true } as unknown as Link
}

describe('an entry with two links to the leader', () => {
  let lost: LostEntries
  let controller: Controller
  const [older, newer] = [createLink(), createLink()]

  beforeEach(() => {
    lost = LostEntries.create()
    controller = Controller.create({
      scheduler: Scheduler.create([lost]), bindings: [], localMethods: new Map(), log: NoopLog.create(), handleFault: reason => { assert.fail(reason) }
    })
    controller.attach({ holdsLease: () => true, sustain: () => {}, propose: () => 1, status: () => ({ term: 1, leader: 'self', members: [] }) } as unknown as Replica)
    controller.startLeading(1)
    for (const link of [older, newer]) controller.handleLinkOpened(link)
  })

  for (const [name, first, second] of [['newer', newer, older], ['older', older, newer]] as const) {
    it(`is lost only with the other link after the ${name} one has closed`, () => {
      controller.handleLinkClosed(first)
      assert.deepEqual(lost.names, [])
      controller.handleLinkClosed(second)
      assert.deepEqual(lost.names, ['entry'])
    })
  }
})
