/**
 * One controller under test: a replica with its owner over a fake disk and clock.
 */

import assert from 'node:assert/strict'
import {
  Clock, Replica, type MemberFacts, type Raft, type ReplicaOwner, type Timing, type Transport
} from '../../src/index.js'
import type { Failure } from '@flamingorouter/scheduler'
import { apply, NOTHING_APPLIED, type Applied, type Checker } from './checker.js'
import { FakeDisk, Medium } from './disk.js'

export const TIMING: Timing = Object.freeze({ heartbeatMs: 30, electionMs: 200, driftMs: 80 })
/** By how much a clock may run fast or slow, such that the drift bound above just holds. */
export const CLOCK_RATE_BOUND = 0.24
export const SNAPSHOT_EVERY = 12
const SEGMENT_BYTES = 600

/** What a node needs of the cluster around it. */
export interface Surroundings {
  now: () => number
  /** Calls back when a sync is done. */
  delay: (done: () => void) => void
  transportOf: (id: string) => Transport
  seed: () => number
  /** Takes a fault that no schedule caused. */
  failed: (failure: unknown) => void
  checker: Checker
}

export class TestNode {
  medium = Medium.create()
  disk: FakeDisk | undefined
  replica: Replica | undefined
  rate = 1
  isPaused = false
  /** True while the disk with the group's data is lost and the node was not added anew. */
  isBlank = false
  applied: Applied = NOTHING_APPLIED
  private generation = 0
  private isLeading = false
  /** True from the loss of leadership until the state is delivered anew. */
  private isStale = false
  /** States after entries that were proposed here and are not committed yet. */
  private proposed: Applied[] = []
  private nextEntry = 0

  private constructor (
    readonly id: string,
    private readonly bootstrap: MemberFacts[],
    private readonly around: Surroundings
  ) {}

  static create (id: string, bootstrap: MemberFacts[], around: Surroundings): TestNode {
    return new TestNode(id, bootstrap, around)
  }

  /** True from the start of the process on, also while it still reads its folder. */
  get isStarted (): boolean {
    return this.disk !== undefined
  }

  /** True when the disk holds the group's membership. */
  get knowsGroup (): boolean {
    return this.replica === undefined ? !this.isBlank : this.raft.state.isFormed
  }

  get isRunning (): boolean {
    return this.replica !== undefined && !this.isPaused
  }

  get raft (): Raft {
    return (this.replica as unknown as { raft: Raft }).raft
  }

  async start (): Promise<void> {
    const { around } = this
    const clock = new (class extends Clock {
      constructor (private readonly rate: number) { super() }
      now (): number { return around.now() * this.rate }
    })(this.rate)
    const generation = ++this.generation
    const disk = FakeDisk.create(this.medium, done => { around.delay(done) })
    this.disk = disk
    this.applied = NOTHING_APPLIED
    this.proposed = []
    this.isLeading = false
    this.isStale = false
    const replica = await Replica.open({
      id: this.id,
      group: 'test',
      disk,
      newDisk: `${this.id}${generation}`,
      bootstrap: this.bootstrap,
      transport: around.transportOf(this.id),
      owner: this.owner(generation),
      clock,
      seed: around.seed(),
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
    this.replica?.close().catch(this.around.failed)
    this.replica = undefined
    this.isPaused = false
  }

  propose (): void {
    if (!this.isRunning || !this.isLeading) return
    const entry = Buffer.from(`${this.id}${this.generation}-${this.nextEntry++}`)
    let index: number
    try {
      index = this.replica!.propose(entry)
    } catch {
      // Leadership is being handed over.
      return
    }
    const before = this.proposed.at(-1) ?? this.applied
    this.proposed.push(apply(before, index, entry))
  }

  private owner (generation: number): ReplicaOwner {
    const { checker } = this.around
    const isCurrent = (): boolean => generation === this.generation
    return {
      committed: (index, entry, own) => {
        if (!isCurrent()) return
        assert.ok(!this.isStale, `${this.id} was given entry ${index} before its state was delivered anew`)
        assert.ok(index > this.applied.index, `${this.id} was given entry ${index} after ${this.applied.index}`)
        if (own) assert.equal(this.proposed[0]?.index, index, `${this.id} did not propose entry ${index}`)
        else assert.equal(this.proposed.length, 0, `${this.id} was given another's entry ${index} while it leads`)
        this.applied = own ? this.proposed.shift()! : apply(this.applied, index, entry)
        checker.applied(this.applied, own)
      },
      restored: (index, snapshot) => {
        if (!isCurrent()) return
        this.isStale = false
        this.applied = snapshot.length === 0 ? NOTHING_APPLIED : JSON.parse(Buffer.from(snapshot).toString()) as Applied
        assert.ok(this.applied.index <= index)
        checker.restored(this.applied)
      },
      leading: () => { if (isCurrent()) this.isLeading = true },
      following: () => {
        if (!isCurrent()) return
        checker.coverage.stepDowns += 1
        this.isLeading = false
        this.isStale = true
        this.proposed = []
      },
      snapshot: () => {
        checker.coverage.snapshotsTaken += 1
        return Buffer.from(JSON.stringify(this.proposed.at(-1) ?? this.applied))
      },
      faulted: (failure: Failure) => {
        if (!isCurrent()) return
        checker.coverage.faults += 1
        if (this.disk?.isFailing !== true) this.around.failed(failure)
      }
    }
  }
}
