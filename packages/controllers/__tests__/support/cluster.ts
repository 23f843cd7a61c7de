/**
 * A few nodes on a fake network in fake time. It knows just enough to lose,
 * delay, double and reorder messages, and to stop, pause and damage nodes.
 */

import assert from 'node:assert/strict'
import { decode, encode } from 'cbor-x'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import {
  decodeChecked, HARD_STATE_FILE, isVoter, quorumOf, readContent, Transport,
  type Entry, type HardState, type HardStateHead, type Member, type MemberFacts, type Message
} from '../../src/index.js'
import { Checker, type Coverage } from './checker.js'
import { FakeDisk, Medium } from './disk.js'
import { CLOCK_RATE_BOUND, TestNode, type Surroundings } from './node.js'

const STEP_MS = 5
/** Time between two ticks of a node, in milliseconds. */
const TICK_MS = 10
const PERCENT = 100

interface Letter {
  due: number
  from: string
  to: string
  bytes: Uint8Array
}

interface Timer {
  due: number
  done: () => void
}

export class Cluster {
  readonly nodes = new Map<string, TestNode>()
  readonly checker: Checker
  /** Percent of the messages lost. */
  loss = 0
  /** Longest time that a sync takes, in milliseconds. */
  syncMs = 8
  private now = 0
  /** The first fault found outside of a check. */
  private failure: unknown
  private letters: Letter[] = []
  private timers: Timer[] = []
  /** Highest commit index checked, by term. */
  private readonly durableIndexes = new Map<number, number>()
  private readonly cut = new Set<string>()
  private readonly random: RandomGenerator

  private constructor (seed: number, coverage: Coverage) {
    this.random = xoroshiro128plus(seed)
    this.checker = Checker.create(coverage)
  }

  /** Three first members a, b and c, and two spare nodes d and e. */
  static async create (seed: number, coverage: Coverage): Promise<Cluster> {
    const cluster = new Cluster(seed, coverage)
    const first = ['a', 'b', 'c'].map(factsOf)
    for (const id of ['a', 'b', 'c', 'd', 'e']) {
      const isFirst = first.some(member => member.id === id)
      const node = TestNode.create(id, isFirst ? first : [], cluster.surroundings())
      node.rate = 1 + cluster.draw(-PERCENT, PERCENT) * CLOCK_RATE_BOUND / PERCENT
      cluster.nodes.set(id, node)
      cluster.start(node)
    }
    return cluster
  }

  node (id: string): TestNode {
    return this.nodes.get(id)!
  }

  /** The node that may decide, if there is one. */
  get leader (): TestNode | undefined {
    return [...this.nodes.values()].find(node => node.isRunning && node.replica?.holdsLease() === true)
  }

  async run (ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end;) await this.step()
  }

  /** Runs until a condition holds; false when it does not within the time. */
  async runUntil (isDone: () => boolean, ms: number): Promise<boolean> {
    for (const end = this.now + ms; this.now < end && !isDone();) await this.step()
    return isDone()
  }

  /** Cuts the way from one node to another; the way back stays. */
  cutWay (from: string, to: string): void {
    this.cut.add(`${from} ${to}`)
  }

  isolate (id: string): void {
    for (const other of this.nodes.keys()) {
      this.cutWay(id, other)
      this.cutWay(other, id)
    }
  }

  heal (): void {
    this.cut.clear()
    this.loss = 0
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
    node.isBlank = true
  }

  resume (node: TestNode): void {
    if (!node.isPaused) return
    node.isPaused = false
    // It may act on what it believed before anything reaches it.
    this.check()
  }

  /** Whether the newest membership of each node that is up has a quorum of intact, running voters. */
  get canMakeProgress (): boolean {
    const known = [...this.nodes.values()].filter(node => node.raft.state.isFormed)
    return known.length > 0 && known.every(node => {
      const voters = node.raft.state.log.members.filter(isVoter)
      const intact = voters.filter(voter => this.node(voter.id).raft.state.disk === voter.disk)
      return intact.length >= quorumOf(voters.length)
    })
  }

  private async step (): Promise<void> {
    this.now += STEP_MS
    const isTick = this.now % TICK_MS === 0
    const due = this.letters.filter(letter => letter.due <= this.now).sort((a, b) => a.due - b.due)
    const expired = this.timers.filter(timer => timer.due <= this.now)
    if (!isTick && due.length === 0 && expired.length === 0) return
    this.letters = this.letters.filter(letter => letter.due > this.now)
    this.timers = this.timers.filter(timer => timer.due > this.now)
    for (const timer of expired) timer.done()
    for (const letter of due) this.deliver(letter)
    if (isTick) for (const node of this.nodes.values()) if (node.isRunning) node.replica!.tick()
    await settled()
    await this.checkDurable()
    this.check()
  }

  private check (): void {
    if (this.failure !== undefined) throw this.failure
    const running = [...this.nodes.values()].filter(node => node.isRunning)
    const holders = running.filter(node => node.replica!.holdsLease())
    this.checker.mayRead(holders.map(node => ({ id: node.id, appliedIndex: node.applied.index })))
    for (const node of running) {
      const { log, commitIndex } = node.raft.state
      if (log.membersIndex <= commitIndex) this.checker.members(log.members)
      this.checker.logged(entriesOf(log.firstIndex, index => log.entryAt(index)), log.termAt(log.firstIndex - 1) ?? 0)
    }
  }

  /** What a leader commits is synced on a quorum of the disks at that moment. */
  private async checkDurable (): Promise<void> {
    for (const node of this.nodes.values()) {
      if (!node.isRunning || node.raft.role !== 'leader') continue
      const { commitIndex, term, log } = node.raft.state
      if (commitIndex <= (this.durableIndexes.get(term) ?? 0)) continue
      this.durableIndexes.set(term, commitIndex)
      // A change of membership may have been proposed since, in the same step.
      const isHeld = await this.isHeldByQuorum(log.members, commitIndex) ||
        await this.isHeldByQuorum(log.membersAt(commitIndex), commitIndex)
      assert.ok(isHeld, `entry ${commitIndex} is committed, but not synced on a quorum of the disks`)
    }
  }

  private async isHeldByQuorum (members: readonly Member[], index: number): Promise<boolean> {
    const voters = members.filter(isVoter)
    let holding = 0
    for (const voter of voters) if (await this.holds(voter, index)) holding += 1
    return holding >= quorumOf(voters.length)
  }

  /** True when a voter has an entry on its disk. What it acknowledged under a disk that is lost by now counts. */
  private async holds ({ id, disk }: Member, index: number): Promise<boolean> {
    const content = await readContent(FakeDisk.create(this.node(id).medium.syncedCopy()))
    if (content.hardState?.disk !== disk) return true
    return (content.entries.at(-1)?.index ?? content.snapshot?.index ?? 0) >= index
  }

  private deliver (letter: Letter): void {
    const node = this.node(letter.to)
    // What reaches a paused process waits in its sockets.
    if (node.isPaused) this.letters.push({ ...letter, due: this.now + STEP_MS })
    else node.replica?.receive(letter.from, decode(letter.bytes))
  }

  private send (from: string, to: string, message: Message): void {
    this.checker.sent(from, message)
    this.checker.voted(message, to, () => this.hardStateOf(from))
    if (this.cut.has(`${from} ${to}`) || !this.nodes.has(to) || this.draw(1, PERCENT) <= this.loss) return
    const bytes = encode(message)
    const copies = this.draw(1, PERCENT) <= 3 ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      const isLate = this.draw(1, PERCENT) <= 2
      this.letters.push({ due: this.now + this.draw(1, isLate ? 1500 : 15), from, to, bytes })
    }
  }

  private surroundings (): Surroundings {
    const send = (from: string, to: string, message: Message): void => { this.send(from, to, message) }
    return {
      now: () => this.now,
      delay: done => { this.timers.push({ due: this.now + this.draw(1, this.syncMs), done }) },
      transportOf: id => new (class extends Transport {
        send (to: string, message: unknown): void { send(id, to, message as Message) }
      })(),
      seed: () => this.draw(1, 1_000_000),
      failed: failure => { this.failure ??= failure },
      checker: this.checker
    }
  }

  private hardStateOf (id: string): HardState | undefined {
    const file = this.node(id).medium.syncedFile(HARD_STATE_FILE)
    return file === undefined ? undefined : decodeChecked<HardStateHead>(file)?.head.hardState
  }

  private draw (from: number, to: number): number {
    return uniformInt(this.random, from, to)
  }
}

export function factsOf (id: string): MemberFacts {
  return { id, address: `${id}:1`, availabilityZone: `zone-${id}`, role: 'voter' }
}

function * entriesOf (first: number, at: (index: number) => Entry | undefined): Iterable<Entry> {
  for (let index = first, entry = at(index); entry !== undefined; entry = at(++index)) yield entry
}

/** Lets all that waits on finished work go on. */
function settled (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}
