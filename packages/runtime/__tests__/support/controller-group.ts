/**
 * Three controllers with their replicas in virtual time. Handling the list of a worker may take virtual time, in which the
 * other controllers go on and the leader reads nothing.
 */

import assert from 'node:assert/strict'
import { Clock, InternalMethod, Replica, Transport, type CallFrame, type HeartbeatBody, type JobEvent, type Link, type MemberFacts } from '@flamingorouter/controllers'
import { Component, Scheduler, StagedJobs, type Event } from '@flamingorouter/scheduler'
import { FakeDisk, Medium } from '../../../controllers/__tests__/support/disk.js'
import { Controller, NoopLog, OrderDispatcher } from '../../src/index.js'

const TIMING = Object.freeze({ heartbeatMs: 60, electionMs: 300, driftMs: 30 })
export const STEP_MS = 5
const TICK_MS = 20
const DELIVERY_MS = 1
const IDS = ['a', 'b', 'c']
const MEMBERS: MemberFacts[] = IDS.map(id => ({ id, address: `${id}:1`, availabilityZone: id, role: 'voter' }))

/** Charges virtual time for each list of a worker. */
class ChargingComponent extends Component {
  override readonly handledKinds = ['workerListed'] as const

  private constructor (private readonly charge: () => void) {
    super()
  }

  static create (charge: () => void): ChargingComponent {
    return new ChargingComponent(charge)
  }

  override reset (): void {}

  override handle (): void {
    this.charge()
  }
}

/** Keeps the function that passes events to the scheduler. */
class FeedingDispatcher extends OrderDispatcher {
  feed: (event: Event) => void = () => {}

  static create (): FeedingDispatcher {
    return new FeedingDispatcher()
  }

  override startLeading (_term: number, feed: (event: Event) => void): void {
    this.feed = feed
  }

  override stopLeading (): void {}
  override dispatch (): void {}
}

export interface Process {
  controller: Controller
  replica: Replica
  dispatcher: FeedingDispatcher
}

export class Group {
  now = 0
  /** Virtual time for which the list of one worker keeps the leader busy, in milliseconds. */
  listingMs = 0
  elections = 0
  /** Controllers whose messages are lost. */
  readonly cutOff = new Set<string>()
  private readonly processes = new Map<string, Process>()
  private messages: Array<{ dueAt: number, from: string, to: string, message: unknown }> = []

  static async create (): Promise<Group> {
    const group = new Group()
    for (const [index, id] of IDS.entries()) group.processes.set(id, await group.start(id, index))
    return group
  }

  get leader (): Process | undefined {
    return [...this.processes.values()].find(({ controller }) => controller.isAuthoritative)
  }

  get followers (): Process[] {
    const { leader } = this
    return [...this.processes.values()].filter(process => process !== leader)
  }

  /** Passes an order to a controller, as another process does. */
  async order ({ controller }: Process, body: JobEvent): Promise<unknown> {
    const frame: CallFrame = { kind: 'call', id: 1, method: InternalMethod.job, body }
    return await controller.handleCall({ peer: { process: 'relay' } } as unknown as Link, frame)
  }

  /** Sends a heartbeat to a controller, as a process does that searches for the leader. */
  async heartbeat ({ controller }: Process): Promise<unknown> {
    const body: HeartbeatBody = { process: 'relay', availabilityZone: 'a', configurationVersion: 0, isAdmitting: true }
    return await controller.handleCall({ peer: { process: 'relay' } } as unknown as Link, { kind: 'call', id: 1, method: InternalMethod.heartbeat, body })
  }

  /** Lets all processes run, each in short turns. */
  async run (ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end;) {
      this.step(IDS)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  private async start (id: string, seed: number): Promise<Process> {
    const { messages, cutOff } = this
    const dispatcher = FeedingDispatcher.create()
    const component = ChargingComponent.create(() => { this.keepBusy(id, this.listingMs) })
    const controller = Controller.create({
      scheduler: Scheduler.create([component, StagedJobs.create()]),
      bindings: [],
      localMethods: new Map(),
      log: NoopLog.create(),
      orderDispatcher: dispatcher,
      handleFault: reason => { assert.fail(reason) }
    })
    controller.startElection = () => { this.elections += 1 }
    const readNow = (): number => this.now
    const clock = new (class extends Clock { now (): number { return readNow() } })()
    const transport = new (class extends Transport {
      send (to: string, message: unknown): void {
        if (!cutOff.has(id) && !cutOff.has(to)) messages.push({ dueAt: readNow() + DELIVERY_MS, from: id, to, message })
      }
    })()
    const replica = await Replica.open({
      id, group: 'group', disk: FakeDisk.create(Medium.create()), newDiskId: `${id}1`, bootstrap: MEMBERS, transport, owner: controller, clock, seed, timing: TIMING, snapshotEvery: 1_000
    })
    controller.attach(replica)
    return { controller, replica, dispatcher }
  }

  /** Lets virtual time pass in which one process is in the middle of a turn. */
  private keepBusy (busy: string, ms: number): void {
    const idle = IDS.filter(id => id !== busy)
    for (const end = this.now + ms; this.now < end;) this.step(idle, Math.min(STEP_MS, end - this.now))
  }

  private step (running: readonly string[], ms = STEP_MS): void {
    const before = Math.floor(this.now / TICK_MS)
    this.now += ms
    if (Math.floor(this.now / TICK_MS) > before) {
      for (const id of running) {
        this.processes.get(id)?.controller.flush()
        this.processes.get(id)?.replica.tick()
      }
    }
    const due = this.messages.filter(({ dueAt, to }) => dueAt <= this.now && running.includes(to))
    this.messages.splice(0, this.messages.length, ...this.messages.filter(message => !due.includes(message)))
    for (const { from, to, message } of due) this.processes.get(to)?.controller.receive(from, message)
  }
}
