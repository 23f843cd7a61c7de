/**
 * Placement: capacity, gangs, quotas, drains and a restart, over generated
 * histories and single cases.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { TargetPhase, TaskPhase, WorkloadKind, type Decision } from '../src/index.js'
import { Cell, createResources, listPlaced } from './cell.js'
import { checkCapacity, checkGangs, checkQuotas } from './placementChecks.js'

const SEED = 20_261_203

describe('placement', () => {
  describe('over generated histories', () => {
    const action = fc.oneof(
      fc.record({
        kind: fc.constant('apply' as const),
        workload: fc.constantFrom(WorkloadKind.batch, WorkloadKind.gang, WorkloadKind.service),
        tasks: fc.integer({ min: 1, max: 12 }),
        cores: fc.integer({ min: 1, max: 20 }),
        gib: fc.integer({ min: 1, max: 80 }),
        accelerators: fc.integer({ min: 0, max: 2 }),
        urgency: fc.constantFrom(1 as const, 2 as const, 3 as const),
        team: fc.constantFrom('free', 'bound')
      }),
      fc.record({ kind: fc.constantFrom('announce' as const, 'lose' as const, 'drain' as const), worker: fc.integer({ min: 0, max: 5 }) }),
      fc.record({ kind: fc.constantFrom('end' as const, 'start' as const), pick: fc.nat() }),
      fc.record({ kind: fc.constantFrom('wait' as const, 'restart' as const) })
    )

    it('keeps capacity, gangs and quotas after every step', () => {
      fc.assert(fc.property(fc.array(action, { minLength: 5, maxLength: 60 }), actions => {
        const cell = Cell.create()
        cell.step({
          kind: 'teamPut',
          team: { name: 'bound', firm: 'firm', quota: createResources(24, 0, 1), weight: 100, version: 1 }
        })
        for (const [number, next] of actions.entries()) {
          const decisions: Decision[] = []
          if (next.kind === 'apply') {
            decisions.push(cell.applied(`w${number}`, {
              kind: next.workload,
              taskCount: next.tasks,
              resources: createResources(next.cores, next.gib, next.accelerators),
              urgency: next.urgency,
              team: next.team
            }))
          } else if (next.kind === 'announce') {
            const name = `worker-${next.worker}`
            if (!cell.state.targets.has(name)) {
              decisions.push(cell.announced({
                name,
                vm: `vm-${next.worker >> 1}`,
                rack: `rack-${next.worker >> 2}`,
                capacity: createResources(32, 128, next.worker % 3)
              }))
            }
          } else if (next.kind === 'lose') {
            const target = cell.state.targets.get(`worker-${next.worker}`)
            if (target !== undefined) decisions.push({ kind: 'targetPhaseSet', name: target.name, session: target.session, phase: TargetPhase.lost })
          } else if (next.kind === 'drain') {
            decisions.push({ kind: 'vmDrained', vm: `vm-${next.worker >> 1}`, reason: 'test' })
          } else if (next.kind === 'end' || next.kind === 'start') {
            const held = Array.from(cell.state.workloads.values(), workload => workload.tasks
              .filter(task => task.target !== '')
              .map(task => [workload.id, task.index] as const)).flat()
            if (held.length > 0) {
              const [id, index] = held[next.pick % held.length]
              decisions.push(next.kind === 'end' ? cell.ended(id, index) : cell.started(id, index))
            }
          } else if (next.kind === 'restart') {
            cell.restart()
          }
          for (const decision of listPlaced(cell.advance(100, ...decisions))) {
            const target = cell.state.targets.get(decision.target)
            assert.equal(target?.phase, TargetPhase.ready)
            assert.ok(!cell.state.drainedVms.has(target.vm))
          }
          checkCapacity(cell.state)
          checkGangs(cell.state)
          checkQuotas(cell.state)
        }
      }), { seed: SEED, numRuns: 300 })
    })
  })

  describe('capacity', () => {
    it('frees the room of a task only when its end is decided', () => {
      const cell = Cell.create()
      cell.step(cell.announced({ name: 'worker', capacity: createResources(4, 4) }))
      assert.equal(listPlaced(cell.step(cell.applied('first', { resources: createResources(4, 4) }))).length, 1)
      assert.equal(listPlaced(cell.step(cell.applied('second', { resources: createResources(4, 4) }))).length, 0)
      const stopping: Decision = { kind: 'taskStopping', id: 'first', index: 0, attempt: 1, stopping: 'cancel' }
      assert.equal(listPlaced(cell.step(stopping)).length, 0)
      assert.equal(listPlaced(cell.step(cell.ended('first', 0, TaskPhase.cancelled)))[0].id, 'second')
    })
  })
})
