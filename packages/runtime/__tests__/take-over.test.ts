/**
 * A controller that begins to lead while there is a backlog. No timer runs in these tests, so that nothing can
 * wait for a tick: under the load of a take-over, a tick is late by hundreds of milliseconds.
 */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { InternalMethod, type CallFrame, type Link, type Replica } from '@flamingorouter/controllers'
import { createClusterState, Scheduler, StagedJobs, type CalledWorker, type ClusterState, type Event, type JobQueue } from '@flamingorouter/scheduler'
import { createStage } from '../../scheduler/__tests__/support/stages.js'
import { Controller, NoopLog, OrderDispatcher, type WorkerEffect } from '../src/index.js'

const QUEUE: JobQueue = {
  name: 'urgent',
  host: 'jobs.example',
  pathPrefix: '/urgent/',
  service: 'work',
  priority: 0,
  attemptLimit: 2,
  stretch: 1.5,
  targetMs: 250,
  timeoutMs: 3_000,
  admission: { decideMs: 0, perWorkerMs: 0.7, validMs: 2_500 }
}

const WORKER: CalledWorker = {
  id: 'worker',
  incarnation: 1,
  address: 'worker:1',
  service: 'work',
  availabilityZone: 'zone',
  rack: 'rack',
  labels: [],
  capacity: { millicores: 32_000, memoryMib: 65_536, accelerators: 0 },
  isDraining: false,
  hasLeft: false
}

/** The state that a former leader left: a known worker, and more jobs than there are entries. */
function createBacklog (): ClusterState {
  const scheduler = Scheduler.create([StagedJobs.create()], createClusterState())
  const feed = (event: Event): void => { scheduler.handle(event, 0) }
  scheduler.startLeading(0)
  feed({ kind: 'configureCell', call: 1, cell: { version: 1, queues: [QUEUE], retired: [], services: [], document: '' } })
  feed({ kind: 'workerReported', call: 2, worker: WORKER })
  for (let index = 0; index < 5; index++) {
    feed({ kind: 'acceptJob', call: 3, host: QUEUE.host, path: `/urgent/job-${index}`, spec: { payload: '', stages: [createStage()] } })
  }
  return scheduler.state
}

class RecordingDispatcher extends OrderDispatcher {
  readonly effects: WorkerEffect[] = []

  static create (): RecordingDispatcher {
    return new RecordingDispatcher()
  }

  override startLeading (): void {}
  override stopLeading (): void {}

  override dispatch (effect: WorkerEffect): void {
    this.effects.push(effect)
  }
}

/** An entry that answers no query; records the stages that it was asked about. */
class RecordingEntry {
  readonly stages: string[] = []
  readonly notices: string[] = []

  private constructor (readonly name: string) {}

  static create (name: string): RecordingEntry {
    return new RecordingEntry(name)
  }

  get link (): Link {
    return {
      peer: { kind: 'hello', group: 'group', process: this.name, role: 'entry', availabilityZone: 'zone' },
      send: ({ topic }: { topic: string }) => { this.notices.push(topic) },
      call: (_method: string, { stage }: { stage: string }) => {
        this.stages.push(stage)
        return new Promise(() => {})
      }
    } as unknown as Link
  }

  get heartbeat (): CallFrame {
    const body = { process: this.name, availabilityZone: 'zone', configurationVersion: 0, isAdmitting: true, isAdvisor: true }
    return { kind: 'call', id: 1, method: InternalMethod.heartbeat, body }
  }
}

function nextTurn (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}

describe('a controller that begins to lead', () => {
  let controller: Controller
  let dispatcher: RecordingDispatcher
  let holdsLease: boolean

  beforeEach(() => {
    holdsLease = true
    dispatcher = RecordingDispatcher.create()
    const scheduler = Scheduler.create([StagedJobs.create()], createBacklog())
    controller = Controller.create({ scheduler, bindings: [], localMethods: new Map(), log: NoopLog.create(), orderDispatcher: dispatcher, handleFault: reason => { assert.fail(reason) } })
    const replica = { holdsLease: () => holdsLease, sustain: () => {}, propose: () => 1, status: () => ({ term: 2, members: [], leader: '' }) }
    controller.attach(replica as unknown as Replica)
  })

  it('begins its sessions with the workers without waiting for a tick', async () => {
    controller.startLeading(2)
    await nextTurn()
    assert.deepEqual(dispatcher.effects.map(({ kind }) => kind), ['watchWorker'])
  })

  it('begins no session before it holds the lease', async () => {
    holdsLease = false
    controller.startLeading(2)
    await nextTurn()
    assert.deepEqual(dispatcher.effects, [])
  })

  it('asks for tickets through each entry once it has sent a heartbeat, without waiting for a tick', async () => {
    const entries = ['one', 'two', 'three'].map(name => RecordingEntry.create(name))
    for (const { link } of entries) controller.handleLinkOpened(link)
    controller.startLeading(2)
    await nextTurn()
    assert.deepEqual(entries.map(({ stages }) => stages.length), [0, 0, 0])
    for (const { link, heartbeat } of entries) await controller.handleCall(link, heartbeat)
    await nextTurn()
    assert.deepEqual(entries.map(({ stages }) => stages.length), [1, 1, 1])
  })

  it('starts from the beginning when it leads again after a leadership that was lost during the take-over', async () => {
    const entry = RecordingEntry.create('one')
    const { link } = entry
    controller.handleLinkOpened(link)
    for (const term of [2, 4]) {
      controller.startLeading(term)
      await nextTurn()
      await controller.handleCall(link, entry.heartbeat)
      await nextTurn()
      controller.stopLeading('other')
    }
    assert.deepEqual(dispatcher.effects.map(({ kind }) => kind), ['watchWorker', 'watchWorker'])
    assert.equal(entry.stages.length, 2)
    assert.equal(entry.notices.length, 2)
  })

  it('reports no entry after it has lost the leadership', async () => {
    const entry = RecordingEntry.create('one')
    controller.handleLinkOpened(entry.link)
    controller.startLeading(2)
    await nextTurn()
    await controller.handleCall(entry.link, entry.heartbeat)
    controller.stopLeading('other')
    await nextTurn()
    assert.deepEqual(entry.stages, [])
  })
})
