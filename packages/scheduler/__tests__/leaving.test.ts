/**
 * A runner that leaves, tested with all components of the scheduler together.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createComponents, DEFAULT_LIMITS, Scheduler, TargetKind, Urgency, type Effect, type Event } from '../src/index.js'

class Leader {
  readonly scheduler = Scheduler.create(createComponents(DEFAULT_LIMITS))
  private now = 1_000
  private call = 0

  constructor () {
    this.scheduler.startLeading(this.now)
  }

  announce (name: string): void {
    const announcement = {
      name,
      kind: TargetKind.runner,
      incarnation: 1,
      vm: name,
      rack: 'rack',
      availabilityZone: 'zone',
      address: name,
      capacity: { millicores: 0, memoryMib: 0, accelerators: 0 },
      service: 'dispatch',
      slots: 8,
      connections: 64
    }
    this.feed({ kind: 'announce', call: ++this.call, entry: 'entry', announcement })
  }

  leave (name: string): Effect[] {
    const session = this.scheduler.state.targets.get(name)?.session ?? ''
    return this.feed({ kind: 'leave', call: ++this.call, name, session, reason: '' })
  }

  acquire (requestId: string): string | undefined {
    const facts = {
      caller: 'caller',
      requestId,
      service: 'dispatch',
      idempotent: true,
      urgency: Urgency.normal,
      deadlineMs: 10_000,
      digest: requestId,
      createdMs: this.now,
      instance: 'e1',
      token: requestId,
      attempt: 1
    }
    const [effect] = this.feed({ kind: 'acquire', call: ++this.call, entry: 'entry', facts })
    return effect?.kind === 'reply' && effect.answer.kind === 'granted' ? effect.answer.grant.runner : undefined
  }

  private feed (event: Event): Effect[] {
    this.now += 1
    return this.scheduler.handle(event, this.now).effects
  }
}

/** Number of requests that one entry may have in flight on a runner: the 64 connections of the runner, divided by 16 entries. */
const REQUESTS_PER_ENTRY = 4

describe('a runner that leaves', () => {
  it('gets no request after its leave was answered, and the answer counts the requests in flight', () => {
    const leader = new Leader()
    leader.announce('runner-1')
    assert.equal(leader.acquire('request-0'), 'runner-1')
    leader.announce('runner-2')
    const [answer] = leader.leave('runner-1')
    assert.deepEqual(answer.kind === 'reply' && answer.answer, { kind: 'left', inFlight: 1 })
    const runners = Array.from({ length: REQUESTS_PER_ENTRY }, (_, index) => leader.acquire(`request-${index + 1}`))
    assert.deepEqual(runners, Array.from({ length: REQUESTS_PER_ENTRY }, () => 'runner-2'))
  })
})
