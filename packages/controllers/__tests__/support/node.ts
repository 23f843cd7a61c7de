/**
 * One node under test: a replica and its owner on a simulated disk and clock.
 */

import assert from 'node:assert/strict'
import {
  Clock, Replica, type MemberFacts, type Raft, type ReplicaOwner, type RaftTiming, type Transport
} from '../../src/index.js'
import type { Failure } from '@flamingorouter/scheduler'
import { apply, NOTHING_APPLIED, type Applied, type Checker } from './checker.js'
import { FakeDisk, Medium } from './disk.js'

export const TIMING: RaftTiming = Object.freeze({ heartbeatMs: 30, electionMs: 200, driftMs: 80 })
/** Largest relative deviation of a clock's rate for which the drift bound in TIMING still holds. */
export const CLOCK_RATE_BOUND = 0.24
/** Number of entries after which a snapshot is taken; small, so that short schedules take several. */
export const SNAPSHOT_EVERY = 12
/** Size at which a new log segment is started; small, so that short schedules use several. */
const SEGMENT_BYTES = 600

/** Services of the cluster that a node depends on. */
export interface TestEnvironment {
  now: () => number
  /** Calls back after the simulated duration of a sync. */
  delay: (done: () => void) => void
  transportOf: (id: string) => Transport
  seed: () => number
  /** Reports a failure that was not injected by a schedule. */
  handleFailure: (failure: unknown) => void
  checker: Checker
}

export class TestNode {
  medium = Medium.create()
  disk: FakeDisk | undefined
  replica: Replica | undefined
  /** Rate of the node's clock relative to simulated time. */
  rate = 1
  isPaused = false
  /** True from the loss of the node's disk until it is added to the group again. */
  hasLostDisk = false
  applied: Applied = NOTHING_APPLIED
  private generation = 0
  private isLeading = false
  /** True from the loss of leadership until the state is restored. */
  private isAwaitingRestore = false
  /** States after each entry that was proposed by this node and is not committed yet. */
  private uncommittedStates: Applied[] = []
  private nextEntryNumber = 0

  private constructor (
    readonly id: string,
    private readonly bootstrap: MemberFacts[],
    private readonly environment: TestEnvironment
  ) {}

  static create (id: string, bootstrap: MemberFacts[], environment: TestEnvironment): TestNode {
    return new TestNode(id, bootstrap, environment)
  }

  /** True from the start of the process, including while it reads its data folder. */
  get isStarted (): boolean {
    return this.disk !== undefined
  }

  /** True when the node's disk contains the group's membership. */
  get hasGroupData (): boolean {
    return this.replica === undefined ? !this.hasLostDisk : this.raft.state.isFormed
  }

  get isRunning (): boolean {
    return this.replica !== undefined && !this.isPaused
  }

  get raft (): Raft {
    return (this.replica as unknown as { raft: Raft }).raft
  }

  async start (): Promise<void> {
    const { environment, rate } = this
    const startedAt = environment.now()
    // The monotonic clock of a process starts anew with the process.
    const clock = new (class extends Clock {
      now (): number { return (environment.now() - startedAt) * rate }
    })()
    const generation = ++this.generation
    const disk = FakeDisk.create(this.medium, done => { environment.delay(done) })
    this.disk = disk
    this.applied = NOTHING_APPLIED
    this.uncommittedStates = []
    this.isLeading = false
    this.isAwaitingRestore = false
    const replica = await Replica.open({
      id: this.id,
      group: 'test',
      disk,
      newDiskId: `${this.id}${generation}`,
      bootstrap: this.bootstrap,
      transport: environment.transportOf(this.id),
      owner: this.createOwner(generation),
      clock,
      seed: environment.seed(),
      timing: TIMING,
      snapshotEvery: SNAPSHOT_EVERY,
      segmentBytes: SEGMENT_BYTES
    })
    if (generation === this.generation) this.replica = replica
  }

  stop (): void {
    this.generation += 1
    this.disk?.kill()
    this.disk = undefined
    this.replica?.close().catch(this.environment.handleFailure)
    this.replica = undefined
    this.isPaused = false
  }

  propose (): void {
    if (!this.isRunning || !this.isLeading) return
    const entry = Buffer.from(`${this.id}${this.generation}-${this.nextEntryNumber++}`)
    let index: number
    try {
      index = this.replica!.propose(entry)
    } catch {
      // A leadership transfer is in progress.
      return
    }
    const stateBefore = this.uncommittedStates.at(-1) ?? this.applied
    this.uncommittedStates.push(apply(stateBefore, index, entry))
  }

  private createOwner (generation: number): ReplicaOwner {
    const { checker } = this.environment
    const isCurrentProcess = (): boolean => generation === this.generation
    return {
      applyEntry: (index, entry, isOwn) => {
        if (!isCurrentProcess()) return
        assert.ok(!this.isAwaitingRestore, `${this.id} received entry ${index} before its state was restored`)
        assert.ok(index > this.applied.index, `${this.id} received entry ${index} after entry ${this.applied.index}`)
        if (isOwn) assert.equal(this.uncommittedStates[0]?.index, index, `${this.id} did not propose entry ${index}`)
        else assert.equal(this.uncommittedStates.length, 0, `${this.id} received entry ${index} of another leader while it leads`)
        this.applied = isOwn ? this.uncommittedStates.shift()! : apply(this.applied, index, entry)
        checker.checkApplied(this.applied, isOwn)
      },
      restoreSnapshot: (index, snapshot) => {
        if (!isCurrentProcess()) return
        this.isAwaitingRestore = false
        this.applied = snapshot.length === 0 ? NOTHING_APPLIED : JSON.parse(Buffer.from(snapshot).toString()) as Applied
        assert.ok(this.applied.index <= index)
        checker.checkRestored(this.applied)
      },
      startLeading: () => { if (isCurrentProcess()) this.isLeading = true },
      stopLeading: () => {
        if (!isCurrentProcess()) return
        checker.coverage.stepDowns += 1
        this.isLeading = false
        this.isAwaitingRestore = true
        this.uncommittedStates = []
      },
      encodeSnapshot: () => {
        checker.coverage.snapshotsTaken += 1
        return Buffer.from(JSON.stringify(this.uncommittedStates.at(-1) ?? this.applied))
      },
      handleFault: (failure: Failure) => {
        if (!isCurrentProcess()) return
        checker.coverage.faults += 1
        if (this.disk?.isFailing !== true) this.environment.handleFailure(failure)
      }
    }
  }
}
