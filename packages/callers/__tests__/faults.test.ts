/**
 * Generated schedules of faults around requests: leader changes between claim and
 * send, lost answers, cut links, lost entries, runners that restart or answer
 * badly, cancels and deadlines, repeats through other entries.
 */

import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ENTRIES, RUNNERS, type Plan } from './model-runner.js'
import { START } from './model-timers.js'
import { World } from './model.js'

const SCHEDULES = Number(process.env.SCHEDULES ?? 150)
const SEED = Number(process.env.SEED ?? 7)

type Action = (world: World) => void | Promise<void>

/** Makes an action of generated arguments, shown by name in a failing schedule. */
function act<T extends unknown[]> (name: string, args: fc.Arbitrary<T>, run: (world: World, ...args: T) => void | Promise<void>): fc.Arbitrary<Action> {
  return args.map(values => {
    const action = async (world: World): Promise<void> => { await run(world, ...values) }
    return Object.assign(action, { [fc.toStringMethod]: () => `${name}(${values.join(', ')})` })
  })
}

const entry = fc.nat(ENTRIES - 1)
const requestId = fc.tuple(fc.constantFrom('i', 'n'), fc.nat(5)).map(([kind, number]) => `${kind}${number}`)
const plan = fc.constantFrom<Plan>('answer', 'answer', 'slow', 'refuse', 'unsent', 'lostBefore', 'lostAfter', 'late', 'far')
const deadlineMs = fc.constantFrom(50, 300, 2_000)
const urgency = fc.constantFrom(1, 2, 3)
const skewMs = fc.integer({ min: -200, max: 200 })

/** Half of the callers say when they first made a request. */
function madeAt (id: string): number {
  return Number(id.slice(1)) % 2 === 0 ? START : 0
}

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 8,
    arbitrary: act('submit', fc.tuple(entry, requestId, deadlineMs, urgency), (world, at, id, ms, rank) => {
      world.submit(at, id, ms, rank, madeAt(id))
    })
  },
  { weight: 5, arbitrary: act('plan', fc.tuple(plan), (world, next) => { world.plans.push(next) }) },
  { weight: 5, arbitrary: act('advance', fc.tuple(fc.constantFrom(1, 10, 60, 400, 2_500, 9_000)), async (world, ms) => { await world.advance(ms) }) },
  { weight: 2, arbitrary: act('commitsAtOnce', fc.tuple(fc.boolean()), (world, at) => { world.commitsAtOnce = at }) },
  { weight: 2, arbitrary: act('commit', fc.tuple(), world => { world.commit() }) },
  {
    weight: 2,
    arbitrary: act('changeLeader', fc.tuple(skewMs, fc.nat(ENTRIES)), (world, ms, cutOff) => { world.changeLeader(ms, cutOff) })
  },
  { weight: 2, arbitrary: act('cut', fc.tuple(entry), (world, at) => { world.links[at].cut() }) },
  { weight: 2, arbitrary: act('mend', fc.tuple(entry), (world, at) => { world.links[at].mend() }) },
  { weight: 2, arbitrary: act('report', fc.tuple(entry), (world, at) => { world.links[at].report() }) },
  { weight: 1, arbitrary: act('loseEntry', fc.tuple(entry), (world, at) => { world.loseEntry(at) }) },
  { weight: 1, arbitrary: act('restartEntry', fc.tuple(entry), (world, at) => { world.restartEntry(at) }) },
  { weight: 1, arbitrary: act('restartRunner', fc.tuple(fc.nat(RUNNERS - 1)), (world, at) => { world.restartRunner(at) }) },
  { weight: 2, arbitrary: act('cancel', fc.tuple(entry, requestId), (world, at, id) => { world.cancel(at, id) }) }
)

describe('requests under faults', () => {
  it('run at most once, in free slots only, and their callers are told the truth', async () => {
    const schedules = fc.array(action, { minLength: 5, maxLength: 60 })
    await fc.assert(fc.asyncProperty(schedules, async actions => {
      const world = new World()
      for (const run of actions) {
        await run(world)
        await world.advance(1)
      }
      await world.calm()
      world.check()
    }), { numRuns: SCHEDULES, seed: SEED, includeErrorInReport: true })
  })
})
