/**
 * A few nodes on a simulated network in simulated time. The simulation can lose,
 * delay, duplicate and reorder messages, stop and pause nodes, and destroy their disks.
 */

import assert from 'node:assert/strict'
import { decode, encode } from 'cbor-x'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import {
  decodeChecksummedFile, HARD_STATE_FILE, isVoter, quorumSize, readFolderContent, Transport,
  type LogEntry, type HardState, type HardStateHeader, type Member, type MemberFacts, type Message
} from '../../src/index.js'
import { Checker, type Coverage } from './checker.js'
import { FakeDisk, Medium } from './disk.js'
import { CLOCK_RATE_BOUND, TestNode, type TestEnvironment } from './node.js'

/** Duration of one step of the simulation, in milliseconds. */
const STEP_MS = 5
/** Time between two ticks of a node, in milliseconds. */
const TICK_MS = 10
const PERCENT_MAX = 100

interface InFlightMessage {
  dueAt: number
  from: string
  to: string
  bytes: Uint8Array
}

interface Timer {
  dueAt: number
  done: () => void
}

export class Cluster {
  readonly nodes = new Map<string, TestNode>()
  readonly checker: Checker
  /** Percentage of messages that are lost. */
  lossPercent = 0
  /** Longest duration of a sync, in milliseconds. */
  syncMs = 8
  private now = 0
  /** The first failure raised outside of a check; the next check throws it. */
  private failure: unknown
  private inFlightMessages: InFlightMessage[] = []
  private timers: Timer[] = []
  /** Highest commit index checked, by term. */
  private readonly checkedCommitIndexes = new Map<number, number>()
  private readonly blockedDirections = new Set<string>()
  private readonly random: RandomGenerator

  private constructor (seed: number, coverage: Coverage) {
    this.random = xoroshiro128plus(seed)
    this.checker = Checker.create(coverage)
  }

  /** Starts the initial members a, b and c, and the spare nodes d and e. */
  static async create (seed: number, coverage: Coverage): Promise<Cluster> {
    const cluster = new Cluster(seed, coverage)
    const initialMembers = ['a', 'b', 'c'].map(factsOf)
    for (const id of ['a', 'b', 'c', 'd', 'e']) {
      const isInitial = initialMembers.some(member => member.id === id)
      const node = TestNode.create(id, isInitial ? initialMembers : [], cluster.createEnvironment())
      node.rate = 1 + cluster.drawInteger(-PERCENT_MAX, PERCENT_MAX) * CLOCK_RATE_BOUND / PERCENT_MAX
      cluster.nodes.set(id, node)
      cluster.start(node)
    }
    return cluster
  }

  node (id: string): TestNode {
    return this.nodes.get(id)!
  }

  /** The node that holds the lease, if there is one. */
  get leader (): TestNode | undefined {
    return [...this.nodes.values()].find(node => node.isRunning && node.replica?.holdsLease() === true)
  }

  async run (ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end;) await this.step()
  }

  /** Runs until a condition holds; resolves with false if it does not hold within `ms`. */
  async runUntil (isDone: () => boolean, ms: number): Promise<boolean> {
    for (const end = this.now + ms; this.now < end && !isDone();) await this.step()
    return isDone()
  }

  /** Drops all messages from one node to another; the opposite direction is not affected. */
  blockMessages (from: string, to: string): void {
    this.blockedDirections.add(`${from} ${to}`)
  }

  isolate (id: string): void {
    for (const other of this.nodes.keys()) {
      this.blockMessages(id, other)
      this.blockMessages(other, id)
    }
  }

  heal (): void {
    this.blockedDirections.clear()
    this.lossPercent = 0
    this.syncMs = 8
  }

  start (node: TestNode): void {
    if (node.isStarted) return
    node.start().catch((thrown: unknown) => {
      if (node.disk?.isFailing === true) node.stop()
      else this.failure ??= thrown
    })
  }

  crash (node: TestNode): void {
    if (!node.isStarted) return
    this.checker.coverage.crashes += 1
    node.stop()
    node.medium.crash(this.random)
  }

  loseDisk (node: TestNode): void {
    this.checker.coverage.disksLost += 1
    node.stop()
    node.medium = Medium.create()
    node.hasLostDisk = true
  }

  resume (node: TestNode): void {
    if (!node.isPaused) return
    node.isPaused = false
    // A resumed node may act on its old state before any message or tick reaches it.
    this.check()
  }

  /** True when the newest membership of every node with a formed group has a quorum of voters with intact disks. */
  get canMakeProgress (): boolean {
    const formedNodes = [...this.nodes.values()].filter(node => node.raft.state.isFormed)
    return formedNodes.length > 0 && formedNodes.every(node => {
      const voters = node.raft.state.log.members.filter(isVoter)
      const intact = voters.filter(voter => this.node(voter.id).raft.state.disk === voter.disk)
      return intact.length >= quorumSize(voters.length)
    })
  }

  private async step (): Promise<void> {
    this.now += STEP_MS
    const isTick = this.now % TICK_MS === 0
    const dueMessages = this.inFlightMessages.filter(inFlight => inFlight.dueAt <= this.now).sort((a, b) => a.dueAt - b.dueAt)
    const expired = this.timers.filter(timer => timer.dueAt <= this.now)
    if (!isTick && dueMessages.length === 0 && expired.length === 0) return
    this.inFlightMessages = this.inFlightMessages.filter(inFlight => inFlight.dueAt > this.now)
    this.timers = this.timers.filter(timer => timer.dueAt > this.now)
    for (const timer of expired) timer.done()
    for (const inFlight of dueMessages) this.deliver(inFlight)
    if (isTick) for (const node of this.nodes.values()) if (node.isRunning) node.replica!.tick()
    await runPendingCallbacks()
    await this.checkDurable()
    this.check()
  }

  private check (): void {
    if (this.failure !== undefined) throw this.failure
    const running = [...this.nodes.values()].filter(node => node.isRunning)
    const holders = running.filter(node => node.replica!.holdsLease())
    this.checker.checkLeaseHolders(holders.map(node => ({ id: node.id, appliedIndex: node.applied.index })))
    for (const node of running) {
      const { log, commitIndex } = node.raft.state
      if (log.membersIndex <= commitIndex) this.checker.recordMembership(log.members)
      this.checker.checkLog(entriesOf(log.firstIndex, index => log.entryAt(index)), log.termAt(log.firstIndex - 1) ?? 0)
    }
  }

  /** Checks that a leader commits only entries that are synced on a quorum of the disks. */
  private async checkDurable (): Promise<void> {
    for (const node of this.nodes.values()) {
      if (!node.isRunning || node.raft.role !== 'leader') continue
      const { commitIndex, term, log } = node.raft.state
      if (commitIndex <= (this.checkedCommitIndexes.get(term) ?? 0)) continue
      this.checkedCommitIndexes.set(term, commitIndex)
      // A membership change may have been proposed after the commit in the same step.
      const isSynced = await this.isSyncedOnQuorum(log.members, commitIndex) ||
        await this.isSyncedOnQuorum(log.membersAt(commitIndex), commitIndex)
      assert.ok(isSynced, `entry ${commitIndex} is committed, but not synced on a quorum of the disks`)
    }
  }

  private async isSyncedOnQuorum (members: readonly Member[], index: number): Promise<boolean> {
    const voters = members.filter(isVoter)
    let syncedCount = 0
    for (const voter of voters) if (await this.isSyncedOn(voter, index)) syncedCount += 1
    return syncedCount >= quorumSize(voters.length)
  }

  /** True when an entry is synced on a voter's disk. A disk lost since then counts, because it acknowledged the entry. */
  private async isSyncedOn ({ id, disk }: Member, index: number): Promise<boolean> {
    const content = await readFolderContent(FakeDisk.create(this.node(id).medium.syncedCopy()))
    if (content.hardState?.disk !== disk) return true
    return (content.entries.at(-1)?.index ?? content.snapshot?.index ?? 0) >= index
  }

  private deliver (inFlight: InFlightMessage): void {
    const node = this.node(inFlight.to)
    // Messages to a paused process wait in its socket buffers.
    if (node.isPaused) this.inFlightMessages.push({ ...inFlight, dueAt: this.now + STEP_MS })
    else node.replica?.receive(inFlight.from, decode(inFlight.bytes))
  }

  private send (from: string, to: string, message: Message): void {
    this.checker.checkSent(from, message)
    this.checker.checkVote(message, to, () => this.hardStateOf(from))
    if (this.blockedDirections.has(`${from} ${to}`) || !this.nodes.has(to) || this.drawInteger(1, PERCENT_MAX) <= this.lossPercent) return
    const bytes = encode(message)
    // Of all messages 3 % are duplicated; of all copies 2 % take up to 1.5 s instead of 15 ms, so that later ones overtake them.
    const copies = this.drawInteger(1, PERCENT_MAX) <= 3 ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      const isLate = this.drawInteger(1, PERCENT_MAX) <= 2
      this.inFlightMessages.push({ dueAt: this.now + this.drawInteger(1, isLate ? 1500 : 15), from, to, bytes })
    }
  }

  private createEnvironment (): TestEnvironment {
    const send = (from: string, to: string, message: Message): void => { this.send(from, to, message) }
    return {
      now: () => this.now,
      delay: done => { this.timers.push({ dueAt: this.now + this.drawInteger(1, this.syncMs), done }) },
      transportOf: id => new (class extends Transport {
        send (to: string, message: unknown): void { send(id, to, message as Message) }
      })(),
      seed: () => this.drawInteger(1, 1_000_000),
      handleFailure: failure => { this.failure ??= failure },
      checker: this.checker
    }
  }

  private hardStateOf (id: string): HardState | undefined {
    const file = this.node(id).medium.syncedFile(HARD_STATE_FILE)
    return file === undefined ? undefined : decodeChecksummedFile<HardStateHeader>(file)?.header.hardState
  }

  private drawInteger (from: number, to: number): number {
    return uniformInt(this.random, from, to)
  }
}

export function factsOf (id: string): MemberFacts {
  return { id, address: `${id}:1`, availabilityZone: `zone-${id}`, role: 'voter' }
}

function * entriesOf (first: number, at: (index: number) => LogEntry | undefined): Iterable<LogEntry> {
  for (let index = first, entry = at(index); entry !== undefined; entry = at(++index)) yield entry
}

/** Waits until the callbacks and promises that are ready have run. */
function runPendingCallbacks (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}
