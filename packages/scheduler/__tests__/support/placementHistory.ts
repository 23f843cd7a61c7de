/**
 * Generated histories of a small cell: work that comes and ends, workers that
 * come, shrink to nothing and are drained, and new leaders.
 */

import fc from 'fast-check'
import { TargetPhase, TaskPhase, WorkloadKind, type Decision, type TaskState } from '../../src/index.js'
import { type Cell, createResources } from './cell.js'

const WORKERS = 6

const ACTION = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('apply' as const),
      workload: fc.constantFrom(WorkloadKind.batch, WorkloadKind.batch, WorkloadKind.gang, WorkloadKind.service),
      tasks: fc.integer({ min: 1, max: 12 }),
      cores: fc.integer({ min: 1, max: 20 }),
      gib: fc.integer({ min: 1, max: 80 }),
      accelerators: fc.constantFrom(0, 0, 0, 1),
      urgency: fc.constantFrom(1 as const, 2 as const, 3 as const),
      priority: fc.integer({ min: 0, max: 2 }),
      preemptible: fc.boolean(),
      team: fc.constantFrom('free', 'bound'),
      policy: fc.constantFrom('', '', 'limited', 'first', 'balanced'),
      availabilityZones: fc.constantFrom([], [], ['zone-0'])
    })
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('announce' as const), worker: fc.nat(WORKERS - 1) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('lose' as const, 'drain' as const, 'readmit' as const), worker: fc.nat(WORKERS - 1) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constantFrom('end' as const, 'end' as const, 'start' as const, 'fail' as const, 'cancel' as const), pick: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('stopped' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('wait' as const, 'restart' as const) }) }
)

export type Action = typeof ACTION extends fc.Arbitrary<infer Value> ? Value : never

export const HISTORY = fc.array(ACTION, { minLength: 10, maxLength: 80 })

/** Policies and a quota, and the first workers. */
export function prepare (cell: Cell): void {
  const policy = { kind: '' as const, firm: '', preempts: false, version: 1 }
  cell.step(
    { kind: 'teamPut', team: { name: 'bound', firm: 'firm', quota: createResources(24, 0, 1), weight: 100, version: 1 } },
    { kind: 'policyPut', policy: { ...policy, name: 'limited', strategy: 'best-fit', maxPerVm: 2, maxPerRack: 3 } },
    { kind: 'policyPut', policy: { ...policy, name: 'first', strategy: 'first-fit', maxPerVm: 0, maxPerRack: 0 } },
    { kind: 'policyPut', policy: { ...policy, name: 'balanced', strategy: 'balance', maxPerVm: 0, maxPerRack: 0 } },
    announce(cell, 0),
    announce(cell, 1)
  )
}

/** The decisions of other parts that an action stands for, and a new leader. */
export function act (cell: Cell, action: Action, number: number): Decision[] {
  switch (action.kind) {
    case 'apply': return [cell.applied(`w${number}`, {
      kind: action.workload,
      taskCount: action.tasks,
      resources: createResources(action.cores, action.gib, action.accelerators),
      urgency: action.urgency,
      priority: action.priority,
      preemptible: action.preemptible,
      team: action.team,
      policy: action.policy,
      availabilityZones: [...action.availabilityZones]
    })]
    case 'announce': return cell.state.targets.has(`worker-${action.worker}`) ? [] : [announce(cell, action.worker)]
    case 'lose': return lose(cell, `worker-${action.worker}`)
    case 'drain': return [{ kind: 'vmDrained', vm: vmOf(action.worker), reason: 'test' }]
    case 'readmit': return [{ kind: 'vmReadmitted', vm: vmOf(action.worker) }]
    case 'end': return changeHeld(cell, action.pick, (id, task) => cell.ended(id, task.index))
    case 'start': return changeHeld(cell, action.pick, (id, task) => cell.started(id, task.index))
    case 'fail': return failHeld(cell, action.pick)
    case 'cancel': return cancelWaiting(cell, action.pick)
    case 'stopped': return stopHeld(cell)
    case 'wait': return []
    case 'restart': cell.restart(); return []
  }
}

function announce (cell: Cell, worker: number): Decision {
  return cell.announced({
    name: `worker-${worker}`,
    vm: vmOf(worker),
    rack: `rack-${worker >> 2}`,
    availabilityZone: `zone-${worker % 2}`,
    capacity: createResources(32, 128, worker % 3)
  })
}

/** Two workers to a VM. */
function vmOf (worker: number): string {
  return `vm-${worker >> 1}`
}

/** The worker is lost, and once that is known its tasks wait again and it is gone. */
function lose (cell: Cell, name: string): Decision[] {
  const target = cell.state.targets.get(name)
  if (target === undefined) return []
  const { session } = target
  if (target.phase !== TargetPhase.lost) return [{ kind: 'targetPhaseSet', name, session, phase: TargetPhase.lost }]
  const requeued = listHeld(cell)
    .filter(([id, task]) => task.target === name || isGangOn(cell, id, name))
    .map(([id, task]) => cell.requeued(id, task.index))
  return [...requeued, { kind: 'targetRemoved', name, session }]
}

/** A gang waits again as a whole. */
function isGangOn (cell: Cell, id: string, name: string): boolean {
  const workload = cell.state.workloads.get(id)
  return workload?.spec.kind === 'gang' && workload.tasks.some(task => task.target === name)
}

function changeHeld (cell: Cell, pick: number, change: (id: string, task: TaskState) => Decision): Decision[] {
  const held = listHeld(cell).filter(([, task]) => task.stopping === '')
  if (held.length === 0) return []
  const [id, task] = held[pick % held.length]
  return [change(id, task)]
}

/** A failed task waits again with a back-off; a gang does as a whole. */
function failHeld (cell: Cell, pick: number): Decision[] {
  const held = listHeld(cell).filter(([, task]) => task.stopping === '')
  if (held.length === 0) return []
  const [id] = held[pick % held.length]
  const workload = cell.state.workloads.get(id)
  const failing = workload?.spec.kind === 'gang' ? held.filter(([other]) => other === id) : [held[pick % held.length]]
  return failing.map(([, task]) => {
    const decision = cell.requeued(id, task.index, true)
    return decision.kind === 'taskRequeued' ? { ...decision, notBefore: cell.now + 250 } : decision
  })
}

function cancelWaiting (cell: Cell, pick: number): Decision[] {
  const waiting = Array.from(cell.state.workloads.values()).filter(workload => workload.tasks.every(task => task.phase === 'waiting'))
  if (waiting.length === 0) return []
  const { id, tasks } = waiting[pick % waiting.length]
  return [
    ...tasks.map(task => cell.ended(id, task.index, TaskPhase.cancelled)),
    { kind: 'workloadEnded', id, reason: 'cancelled' }
  ]
}

/** All tasks that were asked to stop have stopped. */
function stopHeld (cell: Cell): Decision[] {
  return listHeld(cell).filter(([, task]) => task.stopping !== '').map(([id, task]) => cell.requeued(id, task.index))
}

function listHeld (cell: Cell): Array<[string, TaskState]> {
  const held: Array<[string, TaskState]> = []
  for (const { id, tasks } of cell.state.workloads.values()) {
    for (const task of tasks) {
      if (task.target !== '') held.push([id, task])
    }
  }
  return held
}
