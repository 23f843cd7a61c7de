/**
 * Requests to runners in simulated time: the tests check the decisions and effects
 * of each step of the scheduler.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import {
  DEFAULT_LIMITS, OutcomeKind, Requests, Scheduler, TargetKind, TargetPhase, Urgency, createOutcome, createClusterState,
  type Effect, type Event, type Grant, type Outcome, type RequestFacts, type StepResult, type TargetState
} from '../src/index.js'

const LIMITS = { ...DEFAULT_LIMITS, entryLimit: 2 }
const START = 1_700_000_000_000

function createRunner (name: string, slots = 1): TargetState {
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

function createFacts (requestId: string, changes: Partial<RequestFacts> = {}): RequestFacts {
  return {
    caller: 'ann',
    requestId,
    service: 'lookup',
    idempotent: true,
    urgency: Urgency.normal,
    deadlineMs: 10_000,
    digest: 'd',
    createdMs: START,
    instance: 'e1',
    token: `token-${requestId}`,
    attempt: 1,
    ...changes
  }
}

function listReplies (result: StepResult): Effect[] {
  return result.effects.filter(effect => effect.kind === 'reply' || effect.kind === 'refuse')
}

function getGrant (result: StepResult): Grant {
  const reply = listReplies(result)[0]
  assert.ok(reply?.kind === 'reply' && reply.answer.kind === 'granted', JSON.stringify(reply))
  return reply.answer.grant
}

const done: Outcome = { ...createOutcome(OutcomeKind.done, ''), body: new Uint8Array([1]), digest: 'x' }

describe('requests', () => {
  let scheduler: Scheduler
  let now: number
  let call = 0

  function start (...runners: TargetState[]): void {
    const state = createClusterState()
    for (const target of runners) state.targets.set(target.name, target)
    scheduler = Scheduler.create([Requests.create(LIMITS)], state)
    scheduler.startLeading(now)
  }

  function handle (event: Event): StepResult {
    return scheduler.handle(event, now)
  }

  function acquire (request: RequestFacts, entry = 'e1'): StepResult {
    call += 1
    return handle({ kind: 'acquire', call, entry, facts: { ...request, instance: entry } })
  }

  function settle (grant: Grant, requestId: string, outcome = done, retry = false): StepResult {
    call += 1
    return handle({ kind: 'settle', call, entry: 'e1', grant: grant.id, caller: 'ann', requestId, outcome, retry })
  }

  function getPhase (name: string): TargetPhase | undefined {
    return scheduler.state.targets.get(name)?.phase
  }

  beforeEach(() => {
    now = START
    call = 0
  })

  describe('slots', () => {
    it('are granted to one request at a time, and to the next one when the first is settled', () => {
      start(createRunner('a'))
      const first = getGrant(acquire(createFacts('1')))
      assert.equal(listReplies(acquire(createFacts('2'))).length, 0)
      const next = settle(first, '1')
      const granted = next.effects.filter(effect => effect.kind === 'reply' && effect.answer.kind === 'granted')
      assert.deepEqual(granted.map(effect => effect.kind === 'reply' && effect.call), [2])
    })

    it('are granted to urgent requests first, but not ahead of requests that have waited long', () => {
      start(createRunner('a'))
      const first = getGrant(acquire(createFacts('1')))
      acquire(createFacts('old', { urgency: Urgency.normal }))
      now += 1_000
      acquire(createFacts('urgent', { urgency: Urgency.urgent }))
      now += 1_500
      acquire(createFacts('late', { urgency: Urgency.urgent }))
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

    it('of a runner that is leaving are not granted to new requests', () => {
      start(createRunner('a'), createRunner('b'))
      const target = scheduler.state.targets.get('a')
      assert.ok(target)
      target.phase = TargetPhase.leaving
      assert.equal(getGrant(acquire(createFacts('1'))).runner, 'b')
      assert.equal(listReplies(acquire(createFacts('2'))).length, 0)
    })
  })

  describe('a request for a service that no runner offers', () => {
    it('is refused immediately and leaves no live request behind', () => {
      start(createRunner('a'))
      const refused = listReplies(acquire(createFacts('1', { service: 'other' })))[0]
      assert.ok(refused.kind === 'reply' && refused.answer.kind === 'outcome')
      assert.equal(refused.answer.outcome.kind, OutcomeKind.notRun)
      assert.equal(listReplies(acquire(createFacts('1', { service: 'other' }))).length, 1)
    })
  })

  describe('requests that are not idempotent', () => {
    it('are claimed by a decision in the step of the grant, and are not granted again', () => {
      start(createRunner('a', 4))
      const result = acquire(createFacts('1', { idempotent: false }))
      const grant = getGrant(result)
      assert.equal(result.decisions.some(decision => decision.kind === 'requestClaimed'), true)
      assert.equal(listReplies(acquire(createFacts('1', { idempotent: false, token: 'other' }), 'e2')).length, 0)
      const unknown = createOutcome(OutcomeKind.unknown, 'cut')
      const settled = listReplies(settle(grant, '1', unknown, true))
      assert.deepEqual(settled.map(effect => effect.kind === 'reply' && effect.answer), [
        { kind: 'outcome', outcome: unknown }, { kind: 'outcome', outcome: unknown }
      ])
    })

    it('answer a repeat with the first outcome, and a repeat with other content with a conflict', () => {
      start(createRunner('a', 4))
      settle(getGrant(acquire(createFacts('1', { idempotent: false }))), '1')
      const again = listReplies(acquire(createFacts('1', { idempotent: false })))
      assert.deepEqual(again, [{ kind: 'reply', call: 3, answer: { kind: 'outcome', outcome: done } }])
      const other = listReplies(acquire(createFacts('1', { idempotent: false, digest: 'e' })))
      assert.equal(other[0].kind === 'refuse' && other[0].error, 'conflict')
    })

    it('become unknown when no outcome is reported, and the first late outcome replaces that', () => {
      start(createRunner('a', 4))
      const grant = getGrant(acquire(createFacts('1', { idempotent: false })))
      now += 10_000 + LIMITS.lateMs + LIMITS.driftMs
      handle({ kind: 'tick' })
      const fetched = (): string => {
        const reply = listReplies(handle({ kind: 'fetchOutcome', call: 9, caller: 'ann', requestId: '1' }))[0]
        return reply.kind === 'reply' && reply.answer.kind === 'outcome' ? reply.answer.outcome.kind : reply.kind
      }
      assert.equal(fetched(), OutcomeKind.unknown)
      settle(grant, '1')
      settle(grant, '1', createOutcome(OutcomeKind.notRun, 'duplicated and out of order'))
      assert.equal(fetched(), OutcomeKind.done)
    })

    it('are refused after their record was removed, also by a leader whose clock is behind', () => {
      start(createRunner('a', 4))
      settle(getGrant(acquire(createFacts('1', { idempotent: false }))), '1')
      settle(getGrant(acquire(createFacts('2', { idempotent: false, createdMs: 0 }))), '2')
      now += LIMITS.retentionMs
      handle({ kind: 'tick' })
      assert.equal(scheduler.state.requests.size, 0)
      scheduler.startLeading(now - 300)
      now -= 300
      for (const request of [createFacts('1', { idempotent: false }), createFacts('2', { idempotent: false, createdMs: 0 })]) {
        const refused = listReplies(acquire(request))
        assert.equal(refused[0].kind === 'refuse' && refused[0].error, 'failedPrecondition')
      }
    })
  })

  describe('a request whose runners end without an answer', () => {
    it('is tried on two runners at most, since it may be what ends them', () => {
      start(...['a', 'b', 'c', 'd'].map(name => createRunner(name, 4)))
      const lost = createOutcome(OutcomeKind.unknown, 'the runner closed the connection')
      const second = getGrant(settle(getGrant(acquire(createFacts('1'))), '1', lost, true))
      const [reply] = listReplies(settle(second, '1', lost, true))
      assert.deepEqual(reply.kind === 'reply' && reply.answer, { kind: 'outcome', outcome: lost })
    })
  })

  describe('a new leader', () => {
    it('grants no slot that an entry without a report may be using, and grants the slots that are reported free', () => {
      start(createRunner('a', 2))
      const grant = getGrant(acquire(createFacts('1')))
      scheduler.startLeading(now)
      assert.equal(listReplies(acquire(createFacts('2'), 'e2')).length, 0)
      const held = { id: grant.id, runner: 'a', slot: 0, caller: 'ann', requestId: '1', expiresInMs: 5_000 }
      const result = handle({ kind: 'grantsHeld', report: { instance: 'e1', sequence: 1, grants: [held], tokens: ['token-1'] } })
      assert.equal(getGrant(result).runner, 'a')
      assert.equal(listReplies(acquire(createFacts('3'), 'e2')).length, 0)
      assert.equal(listReplies(settle(grant, '1')).length, 2)
    })

    it('waits until the grants of an entry that never reports have expired', () => {
      start(createRunner('a', 2))
      acquire(createFacts('1', { deadlineMs: 1_000 }))
      scheduler.startLeading(now)
      assert.equal(listReplies(acquire(createFacts('2', { deadlineMs: 60_000 }), 'e2')).length, 0)
      now += scheduler.state.grantHorizon - START + LIMITS.driftMs
      assert.equal(getGrant(handle({ kind: 'tick' })).runner, 'a')
    })
  })

  describe('a grant that never reached its entry', () => {
    it('frees its slot only when the same process of the entry reports that it no longer works on the request', () => {
      start(createRunner('a'))
      acquire(createFacts('1'))
      acquire(createFacts('other'), 'e2')
      handle({ kind: 'grantsHeld', report: { instance: 'e1', sequence: 1, grants: [], tokens: ['token-1'] } })
      handle({ kind: 'grantsHeld', report: { instance: 'restarted', sequence: 1, grants: [], tokens: [] } })
      assert.equal(listReplies(handle({ kind: 'tick' })).length, 0)
      handle({ kind: 'cancelRequest', call: 9, caller: 'ann', requestId: 'other' })
      const again = handle({ kind: 'grantsHeld', report: { instance: 'e1', sequence: 2, grants: [], tokens: [] } })
      assert.equal(listReplies(again).length, 0)
      assert.equal(getGrant(acquire(createFacts('2'))).runner, 'a')
    })
  })

  describe('an attempt to acquire a grant that arrives after a later attempt', () => {
    function assertRefused (result: StepResult): void {
      assert.deepEqual(listReplies(result).map(effect => effect.kind), ['refuse'])
    }

    it('does not get the grant instead of the later one', () => {
      start(createRunner('a'))
      const first = getGrant(acquire(createFacts('1')))
      acquire(createFacts('2', { attempt: 1 }))
      acquire(createFacts('2', { attempt: 3 }))
      assertRefused(acquire(createFacts('2', { attempt: 2 })))
      const granted = settle(first, '1').effects.filter(effect => effect.kind === 'reply' && effect.answer.kind === 'granted')
      assert.deepEqual(granted.map(effect => effect.kind === 'reply' && effect.call), [3])
    })

    it('does not get the outcome instead of the later one when another call runs the request', () => {
      start(createRunner('a'))
      const grant = getGrant(acquire(createFacts('1')))
      acquire(createFacts('1', { token: 'other', attempt: 2 }), 'e2')
      assertRefused(acquire(createFacts('1', { token: 'other', attempt: 1 }), 'e2'))
      const replies = settle(grant, '1').effects.filter(effect => effect.kind === 'reply')
      assert.deepEqual(replies.map(effect => effect.kind === 'reply' && effect.call).sort(), [2, 4])
    })

    it('does not free a grant that a new leader inherited', () => {
      start(createRunner('a'))
      const grant = getGrant(acquire(createFacts('1', { idempotent: false, attempt: 2 })))
      scheduler.startLeading(now)
      assertRefused(acquire(createFacts('1', { idempotent: false, attempt: 1 })))
      settle(grant, '1')
      assert.deepEqual([...scheduler.state.requests.values()].map(record => record.outcome.kind), [OutcomeKind.done])
    })
  })

  describe('an overloaded service', () => {
    it('refuses a request immediately when its turn would come too late, states when to retry, and still queues an urgent one', () => {
      start(createRunner('a'))
      for (let index = 0; index < 30; index += 1) {
        const grant = getGrant(acquire(createFacts(`${index}`)))
        now += 100
        settle(grant, `${index}`)
      }
      acquire(createFacts('running'))
      for (let index = 0; index < 10; index += 1) acquire(createFacts(`queued ${index}`))
      const shed = listReplies(acquire(createFacts('late', { deadlineMs: 500 })))[0]
      assert.ok(shed.kind === 'reply' && shed.answer.kind === 'outcome')
      assert.equal(shed.answer.outcome.kind, OutcomeKind.notRun)
      assert.equal(shed.answer.outcome.retryAfterMs, 1_000)
      const urgent = listReplies(acquire(createFacts('urgent', { deadlineMs: 500, urgency: Urgency.urgent })))
      assert.equal(urgent.length, 0)
    })
  })

  describe('a runner that fails requests', () => {
    it('becomes suspect when other runners answer theirs, is probed with one idempotent request, and is ready again after the probe', () => {
      start(createRunner('a', 2), createRunner('b', 2), createRunner('c', 2))
      let failures = 0
      for (let round = 0; round < 10 && getPhase('a') === TargetPhase.ready; round += 1) {
        const ids = [0, 1, 2, 3, 4].map(index => `${round} ${index}`)
        const grants = ids.map(id => getGrant(acquire(createFacts(id))))
        grants.forEach((grant, index) => {
          if (grant.runner === 'a') failures += 1
          settle(grant, ids[index], grant.runner === 'a' ? createOutcome(OutcomeKind.unknown, 'failed') : done)
        })
      }
      assert.equal(failures, 3)
      for (let index = 0; index < 4; index += 1) assert.notEqual(getGrant(acquire(createFacts(`open ${index}`))).runner, 'a')
      now += 2_000
      assert.equal(listReplies(acquire(createFacts('claimed', { idempotent: false }))).length, 0)
      const probe = getGrant(acquire(createFacts('probe')))
      assert.equal(probe.runner, 'a')
      settle(probe, 'probe')
      assert.equal(getPhase('a'), TargetPhase.ready)
    })

    it('does not become suspect when all runners fail', () => {
      start(createRunner('a', 2), createRunner('b', 2))
      for (let index = 0; index < 20; index += 1) {
        settle(getGrant(acquire(createFacts(`${index}`))), `${index}`, createOutcome(OutcomeKind.unknown, 'failed'))
      }
      assert.deepEqual([getPhase('a'), getPhase('b')], [TargetPhase.ready, TargetPhase.ready])
    })
  })
})
