/**
 * Orders whose commit takes longer than one attempt of their caller: each attempt used to start anew, so that none was
 * acknowledged while the leader was slow.
 */

import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import type { JobEvent } from '@flamingorouter/controllers'
import { createClusterState, ErrorKind, Failure, type Answer, type CalledWorker, type CellConfiguration, type ClusterState } from '@flamingorouter/scheduler'
import { NoopLog, type JobGateway } from '../src/index.js'
import { pause, SlowLeader } from './support/slow-leader.js'

const ATTEMPT_MS = 200

/** The time that a commit takes, in milliseconds: longer than an attempt. */
const SLOW_COMMIT_MS = 350

function configure (version: number, document = `{"version":${version}}`): Extract<JobEvent, { kind: 'configureCell' }> {
  return { kind: 'configureCell', cell: createCell(version, document) }
}

function createCell (version: number, document = ''): CellConfiguration {
  return { version, queues: [], retired: [], services: [], document }
}

const WORKER: CalledWorker = {
  id: 'w', incarnation: 1, address: '10.0.0.1:1', service: 's', availabilityZone: 'a', isDraining: true, hasLeft: false, labels: [], capacity: { millicores: 1, memoryMib: 1, accelerators: 0 }
} as unknown as CalledWorker

describe('an order whose commit takes longer than an attempt', () => {
  let leader: SlowLeader
  let gateways: JobGateway[]

  beforeEach(async () => {
    leader = await SlowLeader.start(NoopLog.create())
    gateways = ['first', 'second'].map(name => leader.createGateway(name))
    while (!gateways.every(gateway => gateway.leader.hasLeader)) await pause(5)
    leader.commitMs = SLOW_COMMIT_MS
  })

  afterEach(() => {
    for (const gateway of gateways) gateway.close()
    leader.close()
  })

  /** Sends an order to the processes in turn, as an operator does, and returns the answer and the number of attempts. */
  async function order (event: JobEvent, attemptLimit = 6): Promise<{ answer: Answer | undefined, attempts: number }> {
    for (let attempts = 1; attempts <= attemptLimit; attempts++) {
      const answer = await gateways[attempts % gateways.length].ask(event, ATTEMPT_MS).catch(() => undefined)
      if (answer !== undefined) return { answer, attempts }
      await pause(50)
    }
    return { answer: undefined, attempts: attemptLimit }
  }

  it('is acknowledged by a later attempt at any process', async () => {
    const { answer, attempts } = await order(configure(41))
    assert.equal(answer?.kind, 'cell')
    assert.ok(attempts <= 3, `${attempts} attempts`)
  })

  it('reaches the leader once from each process, however often it is sent', async () => {
    await order(configure(41))
    await gateways[0].ask(configure(41), ATTEMPT_MS)
    assert.ok(leader.orders.length <= gateways.length, `${leader.orders.length} calls`)
  })

  it('is not told as not run while it goes on', async () => {
    leader.commitMs = 60_000
    await assert.rejects(gateways[0].ask(configure(41), ATTEMPT_MS), { kind: ErrorKind.deadlineExceeded })
  })

  it('is acknowledged by a process that learns of its commit with a heartbeat, though the leader does not answer there', async () => {
    await order(configure(41))
    leader.commitMs = 60_000
    const late = leader.createGateway('third')
    gateways.push(late)
    while (!late.leader.hasLeader) await pause(5)
    assert.equal((await late.ask(configure(41), ATTEMPT_MS)).kind, 'cell')
    await assert.rejects(late.ask(configure(42), ATTEMPT_MS), { kind: ErrorKind.deadlineExceeded })
  })

  it('is answered at once, as unknown, by a process that has found no leader for longer than an election takes', async () => {
    leader.term = 0
    gateways[0].leader.sendHeartbeats()
    while (gateways[0].leader.leaderlessMs < 1_050) await pause(20)
    const startedAt = performance.now()
    await assert.rejects(gateways[0].ask(configure(41), 950), { kind: ErrorKind.deadlineExceeded })
    assert.ok(performance.now() - startedAt < 500, 'the caller waited for a process that is cut off')
  })

  it('is sent again when its answer is lost for good, though its callers only join it', async () => {
    leader.commitMs = 60_000
    await assert.rejects(gateways[0].ask(configure(41), ATTEMPT_MS))
    leader.commitMs = 10
    assert.equal((await gateways[0].ask(configure(41), 3_000)).kind, 'cell')
    assert.equal(leader.orders.length, 2)
  })

  it('is an order of its own if its content differs', async () => {
    await gateways[0].ask(configure(41), 2 * SLOW_COMMIT_MS)
    leader.commitMs = 60_000
    await assert.rejects(gateways[0].ask(configure(43, 'one'), ATTEMPT_MS), { kind: ErrorKind.deadlineExceeded })
    await assert.rejects(gateways[0].ask(configure(43, 'other'), ATTEMPT_MS), { kind: ErrorKind.deadlineExceeded })
    assert.equal(leader.orders.length, 3)
  })

  it('is sent again after a refusal', async () => {
    leader.commitMs = 0
    leader.refusal = Failure.create(ErrorKind.invalidArgument, 'two accounts have one key')
    await assert.rejects(gateways[0].ask(configure(41), ATTEMPT_MS), { kind: ErrorKind.invalidArgument })
    leader.refusal = undefined
    assert.equal((await gateways[0].ask(configure(41), ATTEMPT_MS)).kind, 'cell')
  })

  it('is passed on to the next leader without a further attempt', async () => {
    leader.term = 0
    gateways[0].leader.sendHeartbeats()
    while (gateways[0].leader.hasLeader) await pause(5)
    await assert.rejects(gateways[0].ask(configure(41), ATTEMPT_MS))
    assert.equal(leader.orders.length, 0)
    leader.term = 2
    for (let waitedMs = 0; leader.orders.length === 0 && waitedMs < 1_500; waitedMs += 20) await pause(20)
    assert.equal(leader.orders.length, 1)
  })

  it('is acknowledged for a worker that drains, but not for one that reports otherwise', async () => {
    assert.equal((await order({ kind: 'workerReported', worker: WORKER })).answer?.kind, 'workerKnown')
    const report: JobEvent = { kind: 'workerReported', worker: { ...WORKER, isDraining: false } }
    const sentBefore = leader.orders.length
    // An answer that arrives while this process stalls would count, however long after the attempt.
    leader.commitMs = 60_000
    const { answer } = await order(report, 2)
    assert.equal(answer, undefined)
    assert.deepEqual(leader.orders.slice(sentBefore), [report, report])
  })
})

describe('a process with a replica, while the leader does not answer', () => {
  let leader: SlowLeader
  let gateway: JobGateway
  let state: ClusterState | undefined

  beforeEach(async () => {
    leader = await SlowLeader.start(NoopLog.create())
    leader.commitMs = 60_000
    state = createClusterState()
    gateway = leader.createGateway('member')
    gateway.attachState(() => state)
    while (!gateway.leader.hasLeader) await pause(5)
  })

  afterEach(() => {
    gateway.close()
    leader.close()
  })

  it('acknowledges an order in progress as soon as its replica has applied it', async () => {
    const answer = gateway.ask(configure(41), 2_000)
    await pause(20)
    state = { ...createClusterState(), cell: createCell(41) }
    gateway.completeCommittedOrders()
    assert.equal((await answer).kind, 'cell')
  })

  it('does not send an order again that has become known to be committed', async () => {
    const answer = gateway.ask(configure(41), 500)
    while (leader.orders.length === 0) await pause(5)
    state = { ...createClusterState(), cell: createCell(41) }
    gateway.completeCommittedOrders()
    await answer
    await pause(2_300)
    assert.equal(leader.orders.length, 1)
  })

  it('acknowledges what its replica shows to be done: versions up to the one in force, waves and draining workers', async () => {
    const wave = { id: 3, vms: new Map(), cap: 1, acceptedAt: 0, durationMs: 1 }
    state = { ...createClusterState(), cell: createCell(41), upkeepWaves: new Map([[3, wave]]), calledWorkers: new Map([['w', WORKER]]) }
    const done: JobEvent[] = [configure(41), configure(12), { kind: 'startUpkeepWave', id: 3, vms: ['m'], cap: 1, durationMs: 1 }, { kind: 'workerReported', worker: WORKER }]
    for (const event of done) await gateway.ask(event, ATTEMPT_MS)
    assert.deepEqual(leader.orders, [])
  })

  it('asks the leader for all else: a higher version, an invalid configuration or wave, another incarnation', async () => {
    const wave = { id: 3, vms: new Map(), cap: 1, acceptedAt: 0, durationMs: 1 }
    state = { ...createClusterState(), cell: createCell(41), upkeepWaves: new Map([[3, wave]]), calledWorkers: new Map([['w', WORKER]]) }
    const account = { name: 'a', weight: 1, keyDigests: ['k'] }
    const invalid = { ...createCell(40), accounts: [account, account] } as unknown as CellConfiguration
    const open: JobEvent[] = [
      configure(42), { kind: 'configureCell', cell: invalid }, { kind: 'startUpkeepWave', id: 3, vms: [], cap: 1, durationMs: 1 }, { kind: 'startUpkeepWave', id: 4, vms: ['m'], cap: 1, durationMs: 1 },
      { kind: 'workerReported', worker: { ...WORKER, incarnation: 2 } }, { kind: 'workerLeft', id: 'w', incarnation: 0 }
    ]
    for (const event of open) await assert.rejects(gateway.ask(event, ATTEMPT_MS), { kind: ErrorKind.deadlineExceeded })
    assert.equal(leader.orders.length, open.length)
  })

  it('does not acknowledge from a state that may hold what is not committed', async () => {
    state = undefined
    await assert.rejects(gateway.ask(configure(41), ATTEMPT_MS), { kind: ErrorKind.deadlineExceeded })
  })
})
