/**
 * Requests to runners, in fake time, with the decisions and effects looked at.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import {
  DEFAULT_LIMITS, OutcomeKind, Requests, Scheduler, TargetKind, TargetPhase, Urgency, bare, createClusterState,
  type Effect, type Event, type Grant, type Outcome, type RequestFacts, type StepResult, type TargetState
} from '../src/index.js'

const LIMITS = { ...DEFAULT_LIMITS, entryLimit: 2 }
const START = 1_700_000_000_000

function runner (name: string, slots = 1): TargetState {
  return {
    name,
    kind: TargetKind.runner,
    session: `${name}-1`,
    fence: 1,
    incarnation: 1,
    vm: name,
    rack: 'r',
    availabilityZone: 'z',
    address: `${name}:80`,
    capacity: { millicores: 0, memoryMib: 0, accelerators: 0 },
    service: 'lookup',
    slots,
    connections: 64,
    phase: TargetPhase.ready
  }
}

function facts (requestId: string, changes: Partial<RequestFacts> = {}): RequestFacts {
  return {
    caller: 'ann',
    requestId,
    service: 'lookup',
    idempotent: true,
    urgency: Urgency.normal,
    deadlineMs: 10_000,
    digest: 'd',
    createdMs: START,
    token: `token-${requestId}`,
    ...changes
  }
}

function replies (result: StepResult): Effect[] {
  return result.effects.filter(effect => effect.kind === 'reply' || effect.kind === 'refuse')
}

function grantOf (result: StepResult): Grant {
  const reply = replies(result)[0]
  assert.ok(reply?.kind === 'reply' && reply.answer.kind === 'granted', JSON.stringify(reply))
  return reply.answer.grant
}

const done: Outcome = { ...bare(OutcomeKind.done, ''), body: new Uint8Array([1]), digest: 'x' }

describe('requests', () => {
  let scheduler: Scheduler
  let now: number
  let call = 0

  function start (...runners: TargetState[]): void {
    const state = createClusterState()
    for (const target of runners) state.targets.set(target.name, target)
    scheduler = Scheduler.create([Requests.create(LIMITS)], state)
    scheduler.lead(now)
  }

  function handle (event: Event): StepResult {
    return scheduler.handle(event, now)
  }

  function acquire (request: RequestFacts, entry = 'e1'): StepResult {
    call += 1
    return handle({ kind: 'acquire', call, entry, facts: request })
  }

  function settle (grant: Grant, requestId: string, outcome = done, retry = false): StepResult {
    call += 1
    return handle({ kind: 'settle', call, entry: 'e1', grant: grant.id, caller: 'ann', requestId, outcome, retry })
  }

  beforeEach(() => {
    now = START
    call = 0
  })

  describe('slots', () => {
    it('gives a slot to one request at a time, and to the next when it is settled', () => {
      start(runner('a'))
      const first = grantOf(acquire(facts('1')))
      assert.equal(replies(acquire(facts('2'))).length, 0)
      const next = settle(first, '1')
      const granted = next.effects.filter(effect => effect.kind === 'reply' && effect.answer.kind === 'granted')
      assert.deepEqual(granted.map(effect => effect.kind === 'reply' && effect.call), [2])
    })

    it('lets urgent requests go first, but not before those that waited long', () => {
      start(runner('a'))
      const first = grantOf(acquire(facts('1')))
      acquire(facts('old', { urgency: Urgency.normal }))
      now += 1_000
      acquire(facts('urgent', { urgency: Urgency.urgent }))
      now += 1_500
      acquire(facts('late', { urgency: Urgency.urgent }))
      const order: number[] = []
      let result = settle(first, '1')
      for (const id of ['urgent', 'old', 'late']) {
        const granted = result.effects.find(effect => effect.kind === 'reply' && effect.answer.kind === 'granted')
        assert.ok(granted?.kind === 'reply' && granted.answer.kind === 'granted')
        order.push(granted.call)
        result = settle(granted.answer.grant, id)
      }
      assert.deepEqual(order, [3, 2, 4])
    })

    it('keeps new requests from a runner that leaves', () => {
      start(runner('a'), runner('b'))
      const target = scheduler.state.targets.get('a')
      assert.ok(target)
      target.phase = TargetPhase.leaving
      assert.equal(grantOf(acquire(facts('1'))).runner, 'b')
      assert.equal(replies(acquire(facts('2'))).length, 0)
    })
  })

  describe('requests that are not idempotent', () => {
    it('are claimed by a decision in the step of the grant, and never granted again', () => {
      start(runner('a', 4))
      const result = acquire(facts('1', { idempotent: false }))
      const grant = grantOf(result)
      assert.equal(result.decisions.some(decision => decision.kind === 'requestClaimed'), true)
      assert.equal(replies(acquire(facts('1', { idempotent: false, token: 'other' }), 'e2')).length, 0)
      const unknown = bare(OutcomeKind.unknown, 'cut')
      const settled = replies(settle(grant, '1', unknown, true))
      assert.deepEqual(settled.map(effect => effect.kind === 'reply' && effect.answer), [
        { kind: 'outcome', outcome: unknown }, { kind: 'outcome', outcome: unknown }
      ])
    })

    it('give a repeat the first outcome, and a repeat with other content a conflict', () => {
      start(runner('a', 4))
      settle(grantOf(acquire(facts('1', { idempotent: false }))), '1')
      const again = replies(acquire(facts('1', { idempotent: false })))
      assert.deepEqual(again, [{ kind: 'reply', call: 3, answer: { kind: 'outcome', outcome: done } }])
      const other = replies(acquire(facts('1', { idempotent: false, digest: 'e' })))
      assert.equal(other[0].kind === 'refuse' && other[0].error, 'conflict')
    })
  })
})
