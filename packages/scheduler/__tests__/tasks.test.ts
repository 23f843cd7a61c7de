/**
 * Tasks on fake workers under one fault at a time. Checks the replicated state,
 * the runs that the workers recorded, and the commands that they received.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { createControlComponents, DEFAULT_LIMITS, Scheduler, type WorkloadSpec } from '../src/index.js'
import { createJob, createOrigin, createResources, type CommandEffect, SimulatedCluster } from './support/simulated-cluster.js'

const LEASE_OVER_MS = DEFAULT_LIMITS.leaseMs + DEFAULT_LIMITS.driftMs

let cluster: SimulatedCluster

/** The start commands for a task, as `target#attempt`. */
function listStarts (effects: readonly CommandEffect[], task: string): string[] {
  return effects.flatMap(({ target, commands }) =>
    commands.filter(command => command.task === task && command.action.kind === 'start').map(({ attempt }) => `${target}#${attempt}`))
}

/** Submits a job, waits until its first task runs, and returns the worker of that task. */
function startJob (spec: Partial<WorkloadSpec> = {}): { id: string, worker: ReturnType<SimulatedCluster['getWorker']> } {
  const id = cluster.submit(spec)
  cluster.advance(300)
  assert.equal(cluster.getTask(id).phase, 'running')
  return { id, worker: cluster.getWorker(cluster.getTask(id).target) }
}

describe('tasks', () => {
  beforeEach(() => {
    cluster = SimulatedCluster.create()
    for (const name of ['w0', 'w1']) cluster.addWorker(name)
    cluster.advance(2_000)
  })

  describe('a start command', () => {
    it('is resent to the same worker when its answer is lost, and the task runs once', () => {
      cluster.network.lossPercent = 100
      const id = cluster.submit({})
      cluster.interceptCommand = (_effect, deliver) => { deliver() }
      cluster.advance(2_500)
      assert.equal(cluster.getTask(id).phase, 'placed')
      const sent = listStarts(cluster.commands, `${id}/0`)
      assert.ok(sent.length > 3 && new Set(sent).size === 1, sent.join())
      cluster.network.lossPercent = 0
      cluster.advance(5_000)
      assert.equal(cluster.getTask(id).phase, 'succeeded')
      assert.equal(cluster.journal.listRuns(`${id}/0`).length, 1)
    })

    it('runs no task when it arrives after the stop command', () => {
      const delayedDeliveries: Array<() => void> = []
      cluster.interceptCommand = (effect, deliver) => {
        if (effect.commands.some(command => command.action.kind === 'start')) delayedDeliveries.push(deliver)
        else deliver()
      }
      const id = cluster.submit({})
      cluster.advance(200)
      cluster.cancel(id)
      cluster.advance(2_000)
      assert.equal(cluster.getTask(id).phase, 'cancelled')
      for (const deliver of delayedDeliveries) deliver()
      cluster.advance(2_000)
      assert.ok(delayedDeliveries.length > 0)
      assert.equal(cluster.journal.runs.length, 0)
    })

    it('runs no task when it arrives after the session is over', () => {
      const delayedDeliveries: Array<() => void> = []
      cluster.interceptCommand = (_effect, deliver) => { delayedDeliveries.push(deliver) }
      const id = cluster.submit({ idempotent: false })
      cluster.advance(200)
      const worker = cluster.getWorker(cluster.getTask(id).target)
      worker.crash()
      worker.restart()
      cluster.advance(2_000)
      // The scheduler cannot know whether the start had arrived.
      assert.equal(cluster.getTask(id).phase, 'unknown')
      for (const deliver of delayedDeliveries) deliver()
      cluster.advance(2_000)
      assert.ok(delayedDeliveries.length > 0)
      assert.equal(cluster.journal.runs.length, 0)
    })

    it('that is refused counts as an attempt that never ran, and the task is placed again after a backoff', () => {
      for (const worker of cluster.workers) worker.startFault = 'refuses'
      const id = cluster.submit({ idempotent: false })
      cluster.advance(1_000)
      assert.equal(cluster.journal.runs.length, 0)
      assert.ok(cluster.getTask(id).attempt > 1)
      const { waitingSince, notBefore } = cluster.state.workloads.get(id)?.tasks[0] ?? assert.fail()
      assert.equal(notBefore - waitingSince, DEFAULT_LIMITS.backoffBaseMs)
      for (const worker of cluster.workers) worker.startFault = ''
      cluster.advance(20_000)
      assert.equal(cluster.getTask(id).phase, 'succeeded')
    })
  })

  describe('a new leader', () => {
    it('resends a start that the previous leader had decided', () => {
      cluster.interceptCommand = () => {}
      const id = cluster.submit({})
      cluster.advance(100)
      cluster.changeLeader()
      cluster.interceptCommand = undefined
      cluster.advance(8_000)
      assert.equal(cluster.getTask(id).phase, 'succeeded')
      assert.deepEqual(cluster.journal.listRuns(`${id}/0`).map(run => run.attempt), [1])
    })

    it('treats every lease as renewed at the moment it took over', () => {
      const { id, worker } = startJob({ idempotent: false })
      cluster.runMsOf = () => 60_000
      worker.isDisconnected = true
      cluster.advance(LEASE_OVER_MS - 1_000)
      cluster.changeLeader()
      cluster.advance(LEASE_OVER_MS - 500)
      assert.equal(cluster.getTask(id).phase, 'running')
      cluster.advance(1_500)
      assert.equal(cluster.getTask(id).phase, 'unknown')
    })
  })

  describe('a worker that is cut off', () => {
    it('loses its tasks only after lease and drift bound have expired, and idempotent ones then run elsewhere', () => {
      cluster.runMsOf = () => 20_000
      const { id, worker } = startJob()
      worker.isDisconnected = true
      // The last renewal came up to one interval before the cut.
      cluster.advance(LEASE_OVER_MS - DEFAULT_LIMITS.renewEveryMs - 200)
      assert.equal(cluster.getTask(id).target, worker.name)
      cluster.advance(DEFAULT_LIMITS.renewEveryMs + 1_000)
      assert.notEqual(cluster.getTask(id).target, worker.name)
      assert.deepEqual(cluster.findViolations(), [])
      assert.equal(cluster.journal.listRuns(`${id}/0`).length, 2)
    })

    it('keeps its capacity reserved until its lease has expired', () => {
      cluster.runMsOf = () => 3_000
      const wholeWorker = createResources(4, 8)
      const first = cluster.submit({ resources: wholeWorker })
      const second = cluster.submit({ resources: wholeWorker })
      cluster.advance(300)
      const worker = cluster.getWorker(cluster.getTask(first).target)
      worker.isDisconnected = true
      const third = cluster.submit({ resources: wholeWorker })
      cluster.advance(2_000)
      assert.equal(cluster.getTask(third).phase, 'waiting')
      cluster.advance(6_000)
      assert.equal(cluster.getTask(second).phase, 'succeeded')
      assert.deepEqual(cluster.findViolations(), [])
    })

    it('causes a task that is not idempotent to end as unknown and never run again', () => {
      cluster.runMsOf = () => 30_000
      const { id, worker } = startJob({ idempotent: false })
      worker.isDisconnected = true
      cluster.advance(20_000)
      worker.isDisconnected = false
      cluster.advance(20_000)
      assert.equal(cluster.getTask(id).phase, 'unknown')
      assert.equal(cluster.state.workloads.get(id)?.ended, true)
      assert.equal(cluster.journal.listRuns(`${id}/0`).length, 1)
    })
  })

  describe('clocks and pauses', () => {
    it('cause no overlapping runs, neither a clock that is 9 % slow, which the drift bound allows, nor a paused worker', () => {
      const slow = cluster.addWorker('slow', createResources(8, 16), 0.91)
      cluster.advance(2_000)
      cluster.runMsOf = () => 30_000
      const id = cluster.submit({ resources: createResources(5, 1) })
      cluster.advance(500)
      slow.isDisconnected = true
      const wide = cluster.addWorker('wide', createResources(8, 16))
      cluster.advance(LEASE_OVER_MS + 2_000)
      assert.equal(cluster.getTask(id).target, wide.name)
      assert.deepEqual(cluster.findViolations(), [])
      wide.pause()
      slow.isDisconnected = false
      cluster.advance(LEASE_OVER_MS + 2_000)
      assert.equal(cluster.getTask(id).target, slow.name)
      wide.resume()
      cluster.advance(2_000)
      assert.deepEqual(cluster.findViolations(), [])
      assert.equal(cluster.journal.listRuns(`${id}/0`).length, 3)
    })

    it('do not end the sessions of workers when the leader itself was suspended', () => {
      const { id } = startJob()
      cluster.workers.forEach(worker => { worker.isDisconnected = true })
      cluster.scheduler.handle({ kind: 'tick' }, cluster.now + 60_000)
      cluster.workers.forEach(worker => { worker.isDisconnected = false })
      assert.equal(cluster.scheduler.state.workloads.get(id)?.tasks[0].phase, 'running')
    })
  })

  describe('a cancel', () => {
    it('ends a waiting task at once, and the task never starts', () => {
      cluster.runMsOf = () => 1_000
      cluster.workers.forEach(() => cluster.submit({ resources: createResources(4, 8) }))
      const blocked = cluster.submit({ resources: createResources(4, 8) })
      cluster.cancel(blocked)
      assert.equal(cluster.getTask(blocked).phase, 'cancelled')
      assert.equal(cluster.state.workloads.get(blocked)?.ended, true)
      cluster.advance(5_000)
      assert.equal(cluster.journal.listRuns(`${blocked}/0`).length, 0)
      assert.equal(cluster.journal.runs.length, cluster.workers.length)
    })

    it('has no effect on a task that had already ended on its worker', () => {
      const { id, worker } = startJob({ idempotent: false })
      const run = cluster.journal.listRuns(`${id}/0`)[0]
      cluster.advance(run.from + 5_000 - cluster.now)
      assert.equal(worker.running.size, 0)
      cluster.cancel(id)
      cluster.advance(3_000)
      assert.equal(cluster.getTask(id).phase, 'succeeded')
    })

    it('of 10,000 jobs by selector decides only on the selected jobs', () => {
      const scheduler = Scheduler.create(createControlComponents(DEFAULT_LIMITS))
      const submit = (wave: string): void => {
        scheduler.handle({ kind: 'submitJob', call: 1, origin: createOrigin(), spec: createJob({ labels: { wave, day: '1' } }) }, 0)
      }
      submit('no')
      for (let count = 0; count < 10_000; count++) submit('yes')
      const { decisions, effects } = scheduler.handle({ kind: 'cancelJobs', call: 2, origin: createOrigin(), id: '', selector: { wave: 'yes' } }, 0)
      assert.deepEqual(effects, [{ kind: 'reply', call: 2, answer: { kind: 'cancelled', count: 10_000 } }])
      // Three decisions for each job (stop, end of its task, end of the job) and one for the audit trail.
      assert.equal(decisions.length, 3 * 10_000 + 1)
      const live = [...scheduler.state.workloads.values()].filter(workload => !workload.ended)
      assert.deepEqual(live.map(workload => workload.spec.labels.wave), ['no'])
    })
  })

  describe('a task that ends the process of each worker that starts it', () => {
    it('waits longer after each worker in a row that was lost with it', () => {
      cluster.runMsOf = () => 600_000
      const id = cluster.submit({ taskCount: 1 })
      for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 100) {
        cluster.advance(100)
        const task = cluster.state.workloads.get(id)?.tasks[0]
        if (task?.phase !== 'running') continue
        cluster.getWorker(task.target).crash()
        cluster.getWorker(task.target).restart()
      }
      const attempts = cluster.state.workloads.get(id)?.tasks[0].attempt ?? 0
      assert.ok(attempts <= 10, `${attempts} attempts in 60 s`)
    })
  })

  describe('a gang', () => {
    it('is restarted as a whole when the worker of one task is lost', () => {
      cluster.runMsOf = () => 8_000
      const id = cluster.submit({ kind: 'gang', taskCount: 2, resources: createResources(3, 1) })
      cluster.advance(1_000)
      cluster.getWorker('w1').crash()
      cluster.getWorker('w1').restart()
      cluster.advance(30_000)
      const tasks = cluster.state.workloads.get(id)?.tasks ?? []
      assert.deepEqual(tasks.map(task => task.phase), ['succeeded', 'succeeded'])
      assert.deepEqual(tasks.map(task => task.attempt), [2, 2])
      const [first, second] = [0, 1].map(index => cluster.journal.listRuns(`${id}/${index}`)[1])
      assert.ok(first.from < second.to && second.from < first.to, 'both ran together')
    })

    it('ends as a whole when it is not idempotent and the worker of one task is lost', () => {
      cluster.runMsOf = () => 8_000
      const id = cluster.submit({ kind: 'gang', taskCount: 2, resources: createResources(3, 1), idempotent: false })
      cluster.advance(1_000)
      cluster.getWorker('w1').crash()
      cluster.advance(30_000)
      const phases = (cluster.state.workloads.get(id)?.tasks ?? []).map(task => task.phase).sort()
      assert.deepEqual(phases, ['cancelled', 'unknown'])
      assert.equal(cluster.journal.runs.length, 2)
    })
  })

  describe('a worker that violates the contract', () => {
    it('is asked to stop a task that it no longer reports, and the attempt then ends', () => {
      cluster.runMsOf = () => 30_000
      const repeatable = startJob()
      const once = startJob({ idempotent: false })
      for (const { id, worker } of [repeatable, once]) worker.dropTask(`${id}/0#1`)
      cluster.advance(8_000)
      assert.equal(cluster.getTask(repeatable.id).attempt, 2)
      assert.equal(cluster.getTask(once.id).phase, 'unknown')
    })

    it('is asked to stop a task that is not assigned to it', () => {
      const { session, name } = cluster.getWorker('w0')
      const usage = createResources(1, 1)
      cluster.sendToLeader({ kind: 'renew', call: 0, entry: 'entry', name, session, running: [{ task: 'job-9/0', attempt: 4, usage }], ended: [] })
      cluster.advance(100)
      const commands = cluster.commands.flatMap(effect => effect.commands)
      assert.deepEqual(commands.map(({ task, attempt, action }) => `${task}#${attempt} ${action.kind}`), ['job-9/0#4 stop'])
    })
  })

  describe('a worker that leaves', () => {
    it('gets no new work, loses tasks that may run again, and completes tasks that may not', () => {
      cluster.runMsOf = () => 6_000
      const { worker } = startJob({ idempotent: false })
      const { session, name } = worker
      const ids = Array.from({ length: 4 }, () => cluster.submit({}))
      cluster.advance(300)
      cluster.callLeader({ kind: 'leave', call: 0, name, session, reason: 'planned stop' })
      const leftAt = cluster.now
      for (let count = 0; count < 8; count++) cluster.submit({})
      cluster.advance(20_000)
      const after = cluster.journal.runs.filter(run => run.worker === name && run.from > leftAt)
      assert.deepEqual(after, [])
      assert.deepEqual(cluster.findViolations(), [])
      for (const id of [...ids, 'job-1']) assert.equal(cluster.getTask(id).phase, 'succeeded')
      assert.equal(cluster.journal.listRuns('job-1/0').length, 1)
    })
  })

  describe('a worker that drains', () => {
    it('loses the tasks of a service one at a time, and completes tasks that cannot move', () => {
      cluster.runMsOf = task => task.startsWith('job') ? 6_000 : 600_000
      const { id, worker } = startJob()
      const other = cluster.workers.find(({ name }) => name !== worker.name)
      const spec = createJob({ name: 'web', kind: 'service', taskCount: 4 })
      cluster.callLeader({ kind: 'applyWorkload', call: 0, origin: createOrigin(), id: 'web', spec, expectedVersion: 0 })
      cluster.advance(1_000)
      assert.ok(worker.running.size > 1, 'the worker runs a task of the service')
      cluster.callLeader({ kind: 'drain', call: 0, origin: createOrigin(), vm: worker.vm, target: '', reason: 'repair' })
      let least = 4
      for (let round = 0; round < 200; round++) {
        cluster.advance(50)
        const running = cluster.workers.flatMap(({ running }) => [...running.keys()]).filter(key => key.startsWith('web'))
        least = Math.min(least, running.length)
      }
      assert.equal(least, 3)
      assert.equal(cluster.getTask(id).phase, 'succeeded')
      assert.equal(worker.running.size, 0)
      assert.equal(other?.running.size, 4)
    })
  })
})
