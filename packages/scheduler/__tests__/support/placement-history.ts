/**
 * Generated histories of a small cell: workloads that arrive and end, workers
 * that join, are lost and are drained, and changes of leader.
 */

import fc from 'fast-check'
import { TargetPhase, TaskPhase, WorkloadKind, type Decision, type TaskState } from '../../src/index.js'
import { type Cell, createResources } from './cell.js'

const WORKER_COUNT = 6

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
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('announce' as const), worker: fc.nat(WORKER_COUNT - 1) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('lose' as const, 'drain' as const, 'readmit' as const), worker: fc.nat(WORKER_COUNT - 1) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constantFrom('end' as const, 'end' as const, 'start' as const, 'fail' as const, 'cancel' as const), pick: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('stopped' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('wait' as const, 'restart' as const) }) }
)

export type Action = typeof ACTION extends fc.Arbitrary<infer Value> ? Value : never

export const HISTORY = fc.array(ACTION, { minLength: 10, maxLength: 80 })

/** Configures policies and a quota of 24 cores and 1 accelerator for the team `bound`, and adds the first workers. */
export function setUpCell (cell: Cell): void {
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

/**
 * The decisions of other components that an action stands for; `restart` starts a new leader
 * instead.
 */
export function createDecisions (cell: Cell, action: Action, actionNumber: number): Decision[] {
  switch (action.kind) {
    case 'apply': return [cell.createApplied(`w${actionNumber}`, {
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
    case 'lose': return loseWorker(cell, `worker-${action.worker}`)
    case 'drain': return [{ kind: 'vmDrained', vm: getVmName(action.worker), reason: 'test' }]
    case 'readmit': return [{ kind: 'vmReadmitted', vm: getVmName(action.worker) }]
    case 'end': return changeAssigned(cell, action.pick, (id, task) => cell.createEnded(id, task.index))
    case 'start': return changeAssigned(cell, action.pick, (id, task) => cell.createStarted(id, task.index))
    case 'fail': return failAssigned(cell, action.pick)
    case 'cancel': return cancelWaitingWorkload(cell, action.pick)
    case 'stopped': return requeueStopping(cell)
    case 'wait': return []
    case 'restart': cell.restart(); return []
  }
}

function announce (cell: Cell, worker: number): Decision {
  return cell.createAnnounced({
    name: `worker-${worker}`,
    vm: getVmName(worker),
    rack: `rack-${worker >> 2}`,
    availabilityZone: `zone-${worker % 2}`,
    capacity: createResources(32, 128, worker % 3)
  })
}

/** Two workers run on each VM. */
function getVmName (worker: number): string {
  return `vm-${worker >> 1}`
}

/**
 * The first call marks the worker as lost. The next one requeues its tasks, with the whole
 * gang for a task of a gang, and removes it.
 */
function loseWorker (cell: Cell, name: string): Decision[] {
  const target = cell.state.targets.get(name)
  if (target === undefined) return []
  const { session } = target
  if (target.phase !== TargetPhase.lost) return [{ kind: 'targetPhaseSet', name, session, phase: TargetPhase.lost }]
  const requeued = listAssigned(cell)
    .filter(([id, task]) => task.target === name || isGangOn(cell, id, name))
    .map(([id, task]) => cell.createRequeued(id, task.index))
  return [...requeued, { kind: 'targetRemoved', name, session }]
}

/** True for a gang with a task on the worker; all of its tasks are requeued together. */
function isGangOn (cell: Cell, id: string, name: string): boolean {
  const workload = cell.state.workloads.get(id)
  return workload?.spec.kind === 'gang' && workload.tasks.some(task => task.target === name)
}

function changeAssigned (cell: Cell, pick: number, change: (id: string, task: TaskState) => Decision): Decision[] {
  const assigned = listAssigned(cell).filter(([, task]) => task.stopping === '')
  if (assigned.length === 0) return []
  const [id, task] = assigned[pick % assigned.length]
  return [change(id, task)]
}

/** A failed task is requeued with a retry backoff; a gang is requeued as a whole. */
function failAssigned (cell: Cell, pick: number): Decision[] {
  const assigned = listAssigned(cell).filter(([, task]) => task.stopping === '')
  if (assigned.length === 0) return []
  const [id] = assigned[pick % assigned.length]
  const workload = cell.state.workloads.get(id)
  const failed = workload?.spec.kind === 'gang' ? assigned.filter(([other]) => other === id) : [assigned[pick % assigned.length]]
  return failed.map(([, task]) => {
    const decision = cell.createRequeued(id, task.index, true)
    return decision.kind === 'taskRequeued' ? { ...decision, notBefore: cell.now + 250 } : decision
  })
}

function cancelWaitingWorkload (cell: Cell, pick: number): Decision[] {
  const waiting = Array.from(cell.state.workloads.values()).filter(workload => workload.tasks.every(task => task.phase === 'waiting'))
  if (waiting.length === 0) return []
  const { id, tasks } = waiting[pick % waiting.length]
  return [
    ...tasks.map(task => cell.createEnded(id, task.index, TaskPhase.cancelled)),
    { kind: 'workloadEnded', id, reason: 'cancelled' }
  ]
}

/** Requeues all tasks that were asked to stop. */
function requeueStopping (cell: Cell): Decision[] {
  return listAssigned(cell).filter(([, task]) => task.stopping !== '').map(([id, task]) => cell.createRequeued(id, task.index))
}

function listAssigned (cell: Cell): Array<[string, TaskState]> {
  const assigned: Array<[string, TaskState]> = []
  for (const { id, tasks } of cell.state.workloads.values()) {
    for (const task of tasks) {
      if (task.target !== '') assigned.push([id, task])
    }
  }
  return assigned
}
