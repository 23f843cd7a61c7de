/**
 * Generated schedules of faults and operations. The cluster is checked after every
 * step and must make progress once all faults are healed.
 */

import assert from 'node:assert/strict'
import fc from 'fast-check'
import type { Coverage } from './checker.js'
import { Cluster, factsOf } from './cluster.js'
import type { TestNode } from './node.js'

const IDS = ['a', 'b', 'c', 'd', 'e'] as const

/** Time within which a healed cluster must elect a leader and commit, in milliseconds. */
const RECOVERY_LIMIT_MS = 8000

/** One fault or operation; `runAction` implements each kind. */
export interface Action {
  kind: 'propose' | 'isolate' | 'blockOneWay' | 'heal' | 'loseMessages' | 'pause' | 'resume' | 'crash' | 'start' | 'crashLeader' |
  'isolateLeader' | 'pauseLeader' | 'loseDisk' | 'replace' | 'add' | 'remove' | 'blockFromLeader' | 'transfer' | 'failDisk' | 'slowDisks'
  /** Node that the action applies to, for the kinds that need one; `blockFromLeader` drops the leader's messages to it. */
  node: string
  /** Receiver of the messages that `blockOneWay` drops; the other kinds ignore it. */
  other: string
  /** Simulated time to run after the action, in milliseconds. */
  ms: number
}

export interface Schedule {
  seed: number
  actions: Action[]
}

/** Kinds of actions that are generated one at a time, each with its weight. */
const SINGLE_KINDS: Array<[Action['kind'], number]> = [
  ['propose', 14], ['isolate', 3], ['blockOneWay', 5], ['heal', 7], ['loseMessages', 2], ['pause', 3], ['resume', 5], ['crash', 4],
  ['start', 8], ['crashLeader', 3], ['isolateLeader', 4], ['pauseLeader', 3], ['loseDisk', 1], ['replace', 4],
  ['add', 4], ['remove', 4], ['transfer', 2], ['failDisk', 1], ['slowDisks', 1]
]

const id = fc.constantFrom(...IDS)
const ms = fc.oneof(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 100, max: 500 }))

const singleAction: fc.Arbitrary<Action[]> = fc.record({
  kind: fc.oneof(...SINGLE_KINDS.map(([kind, weight]) => ({ arbitrary: fc.constant(kind), weight }))),
  node: id,
  other: id,
  ms
}).map(action => [action])

/** A lost disk is replaced and another node fails shortly afterwards, possibly with further faults active. */
const repairSequence: fc.Arbitrary<Action[]> = fc.record({
  node: id,
  other: id,
  ms,
  second: fc.constantFrom<Action['kind']>('loseDisk', 'crash', 'isolate', 'pause', 'crashLeader')
}).map(({ node, other, ms, second }) => {
  const createAction = (kind: Action['kind'], ms: number): Action => ({ kind, node, other, ms })
  return [
    createAction('heal', 0), createAction('start', 400), createAction('loseDisk', 300), createAction('propose', 100), createAction('replace', 200),
    createAction('replace', ms), createAction('propose', ms), { kind: second, node: other, other: node, ms }
  ]
})

/** A member is added and one is removed again. */
const resizeSequence: fc.Arbitrary<Action[]> = fc.record({ node: id, other: id, ms }).map(({ node, other, ms }) => {
  const createAction = (kind: Action['kind'], ms: number): Action => ({ kind, node, other, ms })
  return [
    createAction('heal', 0), createAction('start', 400), createAction('propose', 50), createAction('add', ms), createAction('propose', ms),
    createAction('remove', ms), createAction('propose', 50)
  ]
})

/** A member that receives nothing from the leader starts an election while the leader still holds its lease. */
const competingElectionSequence: fc.Arbitrary<Action[]> = fc.record({ node: id, other: id, ms }).map(({ node, other, ms }) => {
  const createAction = (kind: Action['kind'], ms: number): Action => ({ kind, node, other, ms })
  return [
    createAction('heal', 0), createAction('start', 300), createAction('blockFromLeader', 150), createAction('propose', ms), createAction('isolateLeader', 150)
  ]
})

export const schedule: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 30 }),
  actions: fc.array(fc.oneof(
    { arbitrary: singleAction, weight: 20 }, { arbitrary: repairSequence, weight: 1 }, { arbitrary: resizeSequence, weight: 1 },
    { arbitrary: competingElectionSequence, weight: 1 }
  ), { minLength: 10, maxLength: 35, size: 'max' }).map(groups => groups.flat())
})

/** Runs a schedule; rejects at the first violated guarantee. */
export async function runSchedule ({ seed, actions }: Schedule, coverage: Coverage): Promise<void> {
  const cluster = await Cluster.create(seed, coverage)
  await cluster.runUntil(() => cluster.leader !== undefined, RECOVERY_LIMIT_MS)
  for (const next of actions) {
    runAction(cluster, next, coverage)
    await cluster.run(next.ms)
  }
  await healAndCheckProgress(cluster, coverage)
}

function runAction (cluster: Cluster, { kind, node: id, other }: Action, coverage: Coverage): void {
  const node = cluster.node(id)
  switch (kind) {
    case 'propose': return proposeOnAll(cluster)
    case 'isolate': return cluster.isolate(id)
    case 'blockOneWay': return cluster.blockMessages(id, other)
    case 'heal': return cluster.heal()
    case 'loseMessages': cluster.lossPercent = 20; return
    case 'pause': node.isPaused = node.replica !== undefined; return
    case 'resume': return cluster.resume(node)
    case 'crash': return cluster.crash(node)
    case 'start': for (const stopped of cluster.nodes.values()) cluster.start(stopped); return
    case 'crashLeader': return withLeader(cluster, leader => { cluster.crash(leader) })
    case 'isolateLeader': return withLeader(cluster, leader => { cluster.isolate(leader.id) })
    case 'blockFromLeader': return withLeader(cluster, leader => { cluster.blockMessages(leader.id, id) })
    case 'pauseLeader': return withLeader(cluster, leader => { leader.isPaused = true })
    case 'loseDisk': return loseDisk(cluster, node)
    case 'replace': return replaceMember(cluster, coverage)
    case 'add': return addMember(cluster, id, coverage)
    case 'remove': return removeMember(cluster, id, coverage)
    case 'transfer': return withLeader(cluster, leader => { ignoreRefusal(() => { leader.replica!.transferLeadership() }) })
    case 'failDisk': if (node.disk !== undefined) node.disk.isFailing = true; return
    case 'slowDisks': cluster.syncMs = 300
  }
}

/** Proposes on every node; nodes that do not lead ignore it. */
function proposeOnAll (cluster: Cluster): void {
  for (const node of cluster.nodes.values()) {
    for (let count = 0; count < 5; count++) node.propose()
  }
}

function withLeader (cluster: Cluster, use: (leader: TestNode) => void): void {
  const { leader } = cluster
  if (leader !== undefined) use(leader)
}

function ignoreRefusal (operate: () => void): void {
  try {
    operate()
  } catch {
    // Refused operations are expected.
  }
}

function loseDisk (cluster: Cluster, node: TestNode): void {
  // If no initial member had the group's data, the same settings would form a new group.
  const others = ['a', 'b', 'c'].filter(id => id !== node.id && cluster.node(id).hasGroupData)
  if (others.length > 0) cluster.loseDisk(node)
}

/** Adds the given node or, if it is a member already, the first node that is not. */
function addMember (cluster: Cluster, wanted: string, coverage: Coverage): void {
  withLeader(cluster, leader => {
    const members = leader.raft.state.log.members.map(member => member.id)
    const id = [wanted, ...IDS].find(id => !members.includes(id)) ?? wanted
    leader.replica!.addMember(factsOf(id)).then(() => { coverage.membersAdded += 1 }, () => {})
  })
}

function removeMember (cluster: Cluster, id: string, coverage: Coverage): void {
  withLeader(cluster, leader => {
    leader.replica!.removeMember(id).then(() => { coverage.membersRemoved += 1 }, () => {})
  })
}

/** Repairs a member that lost its disk as an operator would: removes it, then adds it again. */
function replaceMember (cluster: Cluster, coverage: Coverage): void {
  withLeader(cluster, leader => {
    const { log } = leader.raft.state
    for (const node of cluster.nodes.values()) {
      if (!node.hasLostDisk) continue
      cluster.start(node)
      const member = log.members.find(member => member.id === node.id)
      if (member === undefined) {
        leader.replica!.addMember(factsOf(node.id)).then(() => {
          node.hasLostDisk = false
          coverage.replacements += 1
        }, () => {})
      } else {
        removeMember(cluster, node.id, coverage)
      }
      return
    }
  })
}

async function healAndCheckProgress (cluster: Cluster, coverage: Coverage): Promise<void> {
  cluster.heal()
  for (const node of cluster.nodes.values()) {
    cluster.resume(node)
    if (node.disk?.isFailing === true) cluster.crash(node)
    cluster.start(node)
  }
  await cluster.runUntil(() => [...cluster.nodes.values()].every(node => node.replica !== undefined), RECOVERY_LIMIT_MS)
  if (!cluster.canMakeProgress) return
  const acknowledgedBefore = cluster.checker.acknowledged
  const isLive = await cluster.runUntil(() => {
    proposeOnAll(cluster)
    return cluster.checker.acknowledged > acknowledgedBefore
  }, RECOVERY_LIMIT_MS)
  assert.ok(isLive, 'no entry was committed in time after all faults were healed')
  await cluster.run(500)
  coverage.liveEnds += 1
}
